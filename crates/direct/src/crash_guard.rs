//! Keeps requests that crash servers away from them.

use crate::blocked_rows::{apply, suspect_name};
use crate::call::Call;
use crate::news_stream::PeerNews;
use crate::shared::Shared;
use policy::{CrashGuard, GuardChange, GuardVerdict, RowChange, RunId, Spread};
use proto::{BackendEntry, CrashFrame, StreamOpening, Suspect};
use slog::{info, warn};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// `Retry-After` of requests that are refused because they crash servers.
pub const BLOCKED_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Reason of these refusals, for logs and metrics.
pub const BLOCKED_REASON: &str = "the request crashes servers";

/// The requests at servers, and the suspects that crash them.
#[derive(Debug, Default)]
pub struct SharedCrashGuard {
    state: Mutex<CrashGuard>,
    /// Revision up to which the tasks that send to peers were woken.
    announced: AtomicU64,
}

impl SharedCrashGuard {
    pub(crate) fn lock(&self) -> MutexGuard<'_, CrashGuard> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Updates the guard, logs the changes of blocked suspects that follow, and wakes the tasks that send to
/// peers if there is news for them. `peer` is the one that has told of it.
pub fn update<T>(
    shared: &Shared,
    peer: Option<&str>,
    f: impl FnOnce(&mut CrashGuard) -> (T, Vec<GuardChange>),
) -> T {
    let guard = &shared.crash_guard;
    let (result, changes, blocked, revision) = {
        let mut state = guard.lock();
        let (result, changes) = f(&mut state);
        (result, changes, state.blocked_counts(), state.revision())
    };
    for change in &changes {
        let message = if change.is_blocked {
            "crashes: suspect blocked"
        } else {
            "crashes: suspect released"
        };
        warn!(shared.log, "{}", message; "suspect" => suspect_name(change.suspect),
            "reason" => ?change.reason, "crashes" => change.crashes, "peer" => peer);
    }
    if !changes.is_empty() {
        shared.metrics.set_blocked(blocked);
    }
    if guard.announced.swap(revision, Ordering::Relaxed) != revision {
        shared.fleet.urgent().notify();
    }
    result
}

/// Whether a request has a blocked suspect.
pub fn is_blocked(shared: &Shared, suspects: &[Suspect]) -> bool {
    let guard = shared.crash_guard.lock();
    guard.blocked_suspect(suspects).is_some()
}

/// Checks a request before servers are looked for; returns whether it may go on. If it is a trial of
/// blocked suspects, that is recorded in the store first.
pub async fn admit(call: &Call) -> bool {
    let shared = &call.shared;
    let now = shared.clock.now();
    let verdict = shared.crash_guard.lock().check(&call.suspects, now);
    let claims = match verdict {
        GuardVerdict::Allowed => return true,
        GuardVerdict::Blocked(suspect) => {
            info!(shared.log, "call: blocked, it crashes servers"; "req" => &*call.head.id,
                "suspect" => suspect_name(suspect));
            return false;
        }
        GuardVerdict::Trial(claims) => claims,
    };
    for claim in claims {
        let RowChange::Put { suspect, .. } = claim else {
            continue;
        };
        if let Err(err) = apply(shared, claim).await {
            info!(shared.log, "crashes: no trial of a suspect"; "req" => &*call.head.id,
                "suspect" => suspect_name(suspect), "err" => %err);
            return false;
        }
        info!(shared.log, "crashes: trial of a suspect"; "req" => &*call.head.id,
            "suspect" => suspect_name(suspect));
        let now = shared.clock.now();
        shared.crash_guard.lock().on_trial_claimed(suspect, now);
    }
    call.allow_trial();
    true
}

/// A run of a request at a server, until it is dropped.
#[derive(Debug)]
pub struct GuardedRun {
    shared: Arc<Shared>,
    id: RunId,
}

impl GuardedRun {
    /// Records that a call is sent to a server.
    pub fn start(call: &Call, server: &BackendEntry) -> Self {
        let shared = call.shared.clone();
        let mut guard = shared.crash_guard.lock();
        let id = guard.start_run(&server.id, &call.suspects);
        drop(guard);
        Self { shared, id }
    }

    /// Records that events of the answer have arrived.
    pub fn on_events(&self) {
        let now = self.shared.clock.now();
        update(&self.shared, None, |guard| {
            ((), guard.on_event(self.id, now))
        });
    }

    /// Records that the answer was complete.
    pub fn on_complete(&self) {
        let now = self.shared.clock.now();
        self.shared.crash_guard.lock().on_complete(self.id, now);
    }
}

impl Drop for GuardedRun {
    fn drop(&mut self) {
        self.shared.crash_guard.lock().end_run(self.id);
    }
}

/// Records that a server crashed at `at` while it ran a call.
pub fn record_crash(call: &Call, server: &BackendEntry, at: Duration) {
    let shared = &call.shared;
    let suspects = update(shared, None, |guard| {
        (guard.on_crash(&server.id, at), Vec::new())
    });
    shared.metrics.server_crash();
    info!(shared.log, "servers: server crashed"; "req" => &*call.head.id,
        "key" => format!("{:016x}", call.key), "server" => &*server.id,
        "domain" => &*server.domain, "suspects" => suspect_names(&suspects));
}

/// Names of suspects, for logs.
fn suspect_names(suspects: &[Suspect]) -> String {
    let names = suspects.iter().map(|suspect| suspect_name(*suspect));
    names.collect::<Vec<_>>().join(" ")
}

/// Exchanges crashes of servers and blocked suspects with peers.
#[derive(Debug)]
pub struct CrashNews;

impl PeerNews for CrashNews {
    type Frame = CrashFrame;
    const OPENING: StreamOpening = StreamOpening::Crashes;
    const NAME: &str = "crashes of servers";

    fn revision(shared: &Shared) -> u64 {
        shared.crash_guard.lock().revision()
    }

    fn changed_since(shared: &Shared, revision: Option<u64>) -> (Option<CrashFrame>, u64) {
        let now = shared.clock.now();
        let (frame, revision) = shared.crash_guard.lock().changed_since(revision, now);
        (Some(frame).filter(|frame| !frame.is_empty()), revision)
    }

    fn on_frame(shared: &Shared, peer: &str, frame: CrashFrame) {
        let now = shared.clock.now();
        let shares = shared.fleet.send_shares();
        let spread = Spread {
            shares: &shares,
            jitter: rand::random(),
        };
        update(shared, Some(peer), |guard| {
            let changes = guard.on_peer_frame(&frame, now, spread);
            ((), changes)
        });
    }
}
