//! What a try does where its server is silent for too long.

use crate::call::Call;
use crate::server_probe::check_server;
use crate::signal::Signal;
use policy::AttemptResult;
use proto::BackendEntry;
use slog::info;

/// What a try does where its server is silent for too long: it goes on, and another server is tried beside it.
#[derive(Debug, Clone, Copy)]
pub struct OnSilence<'a> {
    silent: &'a Signal,
}

impl<'a> OnSilence<'a> {
    /// Has another server tried by `silent`.
    pub fn new(silent: &'a Signal) -> Self {
        Self { silent }
    }

    /// Whether the try ends instead. One that holds memory of helpers leaves it to the next one, unless none can
    /// follow.
    pub fn ends_try(self, call: &Call, holds_memory: bool) -> bool {
        holds_memory && call.has_repeats_left() && !call.shared.draining.is_started()
    }

    /// Has another server tried beside a try that goes on.
    pub fn notify(self) {
        self.silent.notify();
    }
}

/// Records that a server is silent for longer than expected, and begins to find out whether it is gone.
pub fn record_silence(call: &Call, server: &BackendEntry) {
    let shared = &call.shared;
    let now = shared.clock.now();
    shared
        .fleet
        .on_result(&server.id, AttemptResult::Silent, now);
    check_server(call, server);
    info!(shared.log, "attempt: silent, and goes on while another server is tried";
        "req" => &*call.head.id, "server" => &*server.id);
}
