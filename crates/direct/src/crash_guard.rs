//! Keeps requests that crash servers away from them.

use crate::blocked_rows::{apply, suspect_name};
use crate::call::Call;
use crate::news_stream::PeerNews;
use crate::shared::Shared;
use async_io::Timer;
use policy::{
    CrashGuard, GuardChange, GuardVerdict, RetryTurn, RowChange, RunId, Spread, server_key,
};
use proto::{BackendEntry, CrashFrame, StreamOpening, Suspect};
use slog::{info, warn};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Reason of refusals of requests that crash servers, for logs and metrics.
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
        let blocked = (!changes.is_empty()).then(|| state.blocked_counts());
        (result, changes, blocked, state.revision())
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
    if let Some(blocked) = blocked {
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

/// `Retry-After` of a blocked request.
pub fn blocked_retry_after(shared: &Shared, suspects: &[Suspect]) -> Duration {
    let guard = shared.crash_guard.lock();
    guard.retry_after(suspects, shared.clock.now())
}

/// Interval at which requests that are held are checked.
const HOLD_INTERVAL: Duration = Duration::from_millis(20);
/// A request is held for at most this fraction of the time that it has.
const MAX_HOLD_FRACTION: u32 = 3;

/// Delays a call whose server has crashed, and a new call while the same request is a suspect, until its
/// turn to be sent, which is returned.
pub async fn await_turn(call: &Call) -> Option<RetryTurn> {
    let shared = &call.shared;
    let turn = if call.take_crash() {
        let now = shared.clock.now();
        let wait = shared.crash_guard.lock().retry_wait(call.key, now);
        Timer::after(wait.min(call.remaining())).await;
        review(shared);
        let guard = shared.crash_guard.lock();
        guard.retry_turn(call.key, shared.clock.now())
    } else if call.sends() == 0 {
        hold(call).await;
        let guard = shared.crash_guard.lock();
        guard.turn_after_hold(call.key, shared.clock.now())?
    } else {
        return None;
    };
    let delay = turn.delay(working_servers(call));
    if !delay.is_zero() {
        Timer::after(delay.min(call.remaining())).await;
        review(shared);
    }
    Some(turn)
}

/// Holds a call that has just come while the same request is under suspicion.
async fn hold(call: &Call) {
    let shared = &call.shared;
    let end = shared.clock.now() + call.remaining() / MAX_HOLD_FRACTION;
    loop {
        let now = shared.clock.now();
        let left = shared.crash_guard.lock().hold_time(call.key, now);
        let left = left.min(end.saturating_sub(now));
        if left.is_zero() {
            return;
        }
        Timer::after(left.min(HOLD_INTERVAL)).await;
        review(shared);
    }
}

/// Number of servers that a call was not sent to and that have not crashed a moment ago.
fn working_servers(call: &Call) -> usize {
    let shared = &call.shared;
    let tried = call.tried.list();
    let now = shared.clock.now();
    let servers = shared
        .store_cache
        .usable_servers(&call.admitted.service.name, now);
    let guard = shared.crash_guard.lock();
    let working = servers.iter().filter(|server| {
        !tried.contains(&server.id) && !guard.has_crashed_lately(server_key(&server.id), now)
    });
    working.count()
}

/// Index of the server to which a call is sent again in its turn, of those that work.
pub fn server_in_turn(
    shared: &Shared,
    turn: RetryTurn,
    servers: &[BackendEntry],
    is_suspect: impl Fn(usize) -> bool,
) -> Option<usize> {
    let now = shared.clock.now();
    let guard = shared.crash_guard.lock();
    let keys = servers.iter().map(|server| server_key(&server.id));
    let working = keys
        .enumerate()
        .filter(|(index, key)| !is_suspect(*index) && !guard.has_crashed_lately(*key, now));
    let (indices, keys): (Vec<_>, Vec<_>) = working.unzip();
    turn.server(&keys).map(|place| indices[place])
}

/// Applies what time has changed, and blocks what the evidence names.
fn review(shared: &Shared) {
    let now = shared.clock.now();
    let shares = shared.fleet.send_shares();
    let spread = Spread {
        shares: &shares,
        jitter: rand::random(),
    };
    update(shared, None, |guard| ((), guard.review_all(now, spread)));
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

    /// Records that the request was answered as a whole.
    pub fn on_answer(&self) {
        let now = self.shared.clock.now();
        update(&self.shared, None, |guard| {
            ((), guard.on_answer(self.id, now))
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
    call.record_crash();
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
