//! Keeps prompts with parts that crash engines away from engines.

use crate::blocked_part_rows::apply;
use crate::call::Call;
use crate::news_stream::PeerNews;
use crate::shared::Shared;
use policy::{GuardChange, PartGuard, PromptCheck, RowChange, RunId, Spread};
use proto::{BackendEntry, PartKey, PromptCrashFrame, StreamOpening};
use slog::{info, warn};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// `Retry-After` of prompts that are refused because of a part that crashes engines.
pub const BLOCKED_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Reason of these refusals, for logs and metrics.
pub const BLOCKED_REASON: &str = "a part of the prompt crashes engines";

/// The prompts at engines, and the parts of prompts that crash them.
#[derive(Debug, Default)]
pub struct PromptGuard {
    state: Mutex<PartGuard>,
    /// Revision up to which the tasks that send to peers were woken.
    announced: AtomicU64,
}

impl PromptGuard {
    pub(crate) fn lock(&self) -> MutexGuard<'_, PartGuard> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Updates the guard, logs the changes of blocked parts that follow, and wakes the tasks that send to
/// peers if there is news for them. `peer` is the one that has told of it.
pub fn update<T>(
    shared: &Shared,
    peer: Option<&str>,
    f: impl FnOnce(&mut PartGuard) -> (T, Vec<GuardChange>),
) -> T {
    let guard = &shared.prompt_guard;
    let (result, changes, blocked, revision) = {
        let mut state = guard.lock();
        let (result, changes) = f(&mut state);
        (result, changes, state.blocked_parts(), state.revision())
    };
    for change in &changes {
        let message = if change.is_blocked {
            "prompts: part blocked"
        } else {
            "prompts: part released"
        };
        warn!(shared.log, "{}", message; "part" => format_parts(&[change.part]),
            "reason" => ?change.reason, "crashes" => change.crashes, "peer" => peer);
    }
    if !changes.is_empty() {
        shared.metrics.set_blocked_parts(blocked);
    }
    if guard.announced.swap(revision, Ordering::Relaxed) != revision {
        shared.fleet.urgent().notify();
    }
    result
}

/// Parts by which a call may be refused: those of a prompt for engines.
pub fn checked_parts(call: &Call) -> &[PartKey] {
    match call.admitted.service.engine {
        Some(_) => &call.head.shared_parts,
        None => &[],
    }
}

/// Whether a prompt has a blocked part.
pub fn is_blocked(shared: &Shared, parts: &[PartKey]) -> bool {
    !parts.is_empty() && shared.prompt_guard.lock().blocked_part(parts).is_some()
}

/// Checks a prompt before engines are looked for; returns whether it may go on. If it is a trial of
/// blocked parts, that is recorded in the store first.
pub async fn admit(call: &Call) -> bool {
    let shared = &call.shared;
    let parts = checked_parts(call);
    if parts.is_empty() {
        return true;
    }
    let check = shared.prompt_guard.lock().check(parts, shared.clock.now());
    let claims = match check {
        PromptCheck::Allowed => return true,
        PromptCheck::Blocked(part) => {
            info!(shared.log, "call: prompt with a blocked part"; "req" => &*call.head.id,
                "part" => format_parts(&[part]));
            return false;
        }
        PromptCheck::Trial(claims) => claims,
    };
    for claim in claims {
        let RowChange::Put { part, .. } = claim else {
            continue;
        };
        if let Err(err) = apply(shared, claim).await {
            info!(shared.log, "prompts: no trial of a blocked part"; "req" => &*call.head.id,
                "part" => format_parts(&[part]), "err" => %err);
            return false;
        }
        info!(shared.log, "prompts: trial of a blocked part"; "req" => &*call.head.id,
            "part" => format_parts(&[part]));
        let now = shared.clock.now();
        shared.prompt_guard.lock().on_trial_claimed(part, now);
    }
    call.allow_trial();
    true
}

/// A run of a prompt at an engine, until it is dropped.
#[derive(Debug)]
pub struct PromptRun {
    shared: Arc<Shared>,
    id: RunId,
}

impl PromptRun {
    /// Records that the prompt of a call is sent to an engine.
    pub fn start(call: &Call, server: &BackendEntry) -> Self {
        let shared = call.shared.clone();
        let parts = checked_parts(call);
        let id = shared.prompt_guard.lock().start_run(&server.id, parts);
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
        self.shared.prompt_guard.lock().on_complete(self.id, now);
    }
}

impl Drop for PromptRun {
    fn drop(&mut self) {
        self.shared.prompt_guard.lock().end_run(self.id);
    }
}

/// Records that an engine crashed at `at` while it ran a call.
pub fn record_crash(call: &Call, server: &BackendEntry, at: Duration) {
    let shared = &call.shared;
    let suspects = update(shared, None, |guard| {
        (guard.on_crash(&server.id, at), Vec::new())
    });
    shared.metrics.engine_crash();
    info!(shared.log, "servers: engine crashed"; "req" => &*call.head.id,
        "key" => format!("{:016x}", call.key), "server" => &*server.id,
        "domain" => &*server.domain, "parts" => format_parts(&suspects));
}

/// Ids of parts of prompts, for logs.
pub fn format_parts(parts: &[PartKey]) -> String {
    let ids = parts.iter().map(|part| format!("{part:08x}"));
    ids.collect::<Vec<_>>().join(" ")
}

/// Exchanges crashes of engines and blocked parts with peers.
#[derive(Debug)]
pub struct CrashNews;

impl PeerNews for CrashNews {
    type Frame = PromptCrashFrame;
    const OPENING: StreamOpening = StreamOpening::PromptCrashes;
    const NAME: &str = "crashes of engines";

    fn revision(shared: &Shared) -> u64 {
        shared.prompt_guard.lock().revision()
    }

    fn changed_since(shared: &Shared, revision: Option<u64>) -> (Option<PromptCrashFrame>, u64) {
        let now = shared.clock.now();
        let (frame, revision) = shared.prompt_guard.lock().changed_since(revision, now);
        (Some(frame).filter(|frame| !frame.is_empty()), revision)
    }

    fn on_frame(shared: &Shared, peer: &str, frame: PromptCrashFrame) {
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
