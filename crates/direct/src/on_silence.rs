//! What a try does where its server is silent for too long.

use crate::call::Call;
use crate::server_probe::check_server;
use crate::signal::Signal;
use policy::AttemptResult;
use proto::BackendEntry;
use slog::info;

/// What a try does where its server is silent for too long.
#[derive(Debug, Clone, Copy)]
pub enum OnSilence<'a> {
    /// It ends, so that another one can follow.
    GiveUp,
    /// It goes on, and notifies so that another server can be tried beside it.
    Notify(&'a Signal),
}

impl OnSilence<'_> {
    /// Whether the try ends here, where another one may run. One that holds memory of helpers leaves it to the
    /// next one, unless none can follow.
    pub fn ends_try(self, call: &Call, holds_memory: bool) -> bool {
        match self {
            Self::Notify(_) if !holds_memory => false,
            Self::Notify(_) | Self::GiveUp => {
                call.has_repeats_left() && !call.shared.draining.is_started()
            }
        }
    }

    /// Has another server tried beside a try that goes on.
    pub fn notify(self) {
        if let Self::Notify(signal) = self {
            signal.notify();
        }
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
