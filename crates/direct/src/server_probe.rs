//! Connections to servers that show whether they run, and checks of servers that failed during a call.

use crate::broadcast::Broadcast;
use crate::call::Call;
use crate::crash_guard::record_crash;
use crate::server_failure;
use crate::shared::Shared;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::future::or;
use policy::{BackendId, CallChecks, CheckReply, CheckStep, ServerCheck, ServerFate};
use proto::BackendEntry;
use runtime::{HttpError, SingleExchange, Task, timeout};
use slog::info;
use std::io::ErrorKind;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A running server accepts a connection within this time, unless a packet is lost.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);

/// What came of a connection to a server that was made to see whether it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// It accepted the connection, as a running server does at once.
    Accepted,
    /// Its host refused the connection.
    Refused,
    /// Nothing came back in time, or its host cannot be reached. A lost packet has the same effect.
    Unreachable,
}

/// Makes a connection to a server to see whether it runs.
pub async fn probe_server(shared: &Shared, server: &BackendEntry) -> ProbeResult {
    let probe = SingleExchange::connect(&shared.executor, server.address, PROBE_TIMEOUT);
    let Err(err) = probe.await else {
        server_failure::record_accepted(shared, server);
        return ProbeResult::Accepted;
    };
    info!(shared.log, "attempt: server does not accept connections";
        "server" => &*server.id, "err" => %err);
    server_failure::record_failure(shared, server, &err);
    if server_failure::is_refusal(&err) {
        ProbeResult::Refused
    } else {
        ProbeResult::Unreachable
    }
}

/// Finds out why a server broke the connection of a call. One whose process has ended, unlike one whose
/// host is lost, refuses new connections at once; it has crashed unless it was leaving.
pub async fn detect_crashed_server(call: &Call, server: &BackendEntry) {
    let shared = &call.shared;
    let broke_at = shared.clock.now();
    let result = probe_server(shared, server).await;
    let is_refused = result == ProbeResult::Refused;
    if is_refused && shared.store_cache.is_usable(&server.id, shared.clock.now()) {
        record_crash(call, server, broke_at);
    }
    if !call.admitted.route.kind.is_idempotent() {
        return;
    }
    match result {
        ProbeResult::Accepted => {}
        ProbeResult::Refused => {
            let state = &call.checks.state;
            state.on_fate(shared, &call.head.id, server, ServerFate::Ended);
        }
        ProbeResult::Unreachable => check_server(call, server),
    }
}

/// Begins to find out whether a server that may have run a call is gone, so that another one may run
/// it instead. Nothing may run again on routes that are not idempotent.
pub fn check_server(call: &Call, server: &BackendEntry) {
    let now = call.shared.clock.now();
    if !call.admitted.route.kind.is_idempotent() || !call.checks.lock().start(&server.id, now) {
        return;
    }
    let waiter = CheckWaiter {
        req: call.head.id.clone(),
        state: call.checks.state.clone(),
    };
    let (shared, server) = (call.shared.clone(), server.clone());
    if !shared.lock_server_checks().join(&server.id, waiter) {
        return;
    }
    call.shared.executor.detach(async move {
        let fate = run_check(&shared, &server).await;
        let waiters = shared.lock_server_checks().end(&server.id);
        for CheckWaiter { req, state } in waiters {
            state.on_fate(&shared, &req, &server, fate);
        }
    });
}

/// A call that waits for the check of a server.
#[derive(Debug)]
pub struct CheckWaiter {
    req: Box<str>,
    state: Arc<CheckState>,
}

/// Whether one more server may run a call. Where its attempts are used up, this waits for the checks of
/// its servers, as long as that leaves time to run it.
pub async fn may_run_again(call: &Call) -> bool {
    let checks = &call.checks;
    let is_settled = || call.may_run_again() || !checks.lock().is_worth_waiting(call.deadline);
    let _ = timeout(call.remaining(), checks.until(is_settled)).await;
    call.may_run_again()
}

/// Checks of the servers that may have run a call.
#[derive(Debug, Default)]
pub struct ServerChecks {
    state: Arc<CheckState>,
}

/// State that is shared with the tasks of the checks.
#[derive(Debug, Default)]
struct CheckState {
    checks: Mutex<CallChecks>,
    ended: Broadcast,
}

impl ServerChecks {
    /// Whether a server is known to be gone.
    pub fn is_gone(&self, server: &BackendId) -> bool {
        self.lock().is_gone(server)
    }

    /// Number of servers that are gone.
    pub fn gone(&self) -> u32 {
        self.lock().gone()
    }

    /// Waits until a condition holds that only the end of a check can bring about.
    pub async fn until(&self, holds: impl Fn() -> bool) {
        self.state.ended.until(holds).await;
    }

    /// Waits until a server is known to be cut off. One that only accepts no connections may still respond on those
    /// that it has, as a server that leaves.
    pub async fn until_cut_off(&self, server: &BackendId) {
        self.until(|| self.lock().is_cut_off(server)).await;
    }

    fn lock(&self) -> MutexGuard<'_, CallChecks> {
        self.state.lock()
    }
}

impl CheckState {
    fn on_fate(&self, shared: &Shared, req: &str, server: &BackendEntry, fate: ServerFate) {
        if fate != ServerFate::Lives {
            info!(shared.log, "attempt: the server that failed is gone"; "req" => req,
                "server" => &*server.id);
        }
        self.lock().on_fate(&server.id, fate);
        self.ended.notify();
    }

    fn lock(&self) -> MutexGuard<'_, CallChecks> {
        self.checks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn run_check(shared: &Arc<Shared>, server: &BackendEntry) -> ServerFate {
    let (tx, replies) = async_channel::unbounded();
    let mut check = ServerCheck::new(shared.clock.now());
    let mut connections = vec![connect(shared, server, tx.clone())];
    loop {
        while let Ok(reply) = replies.try_recv() {
            check.on_reply(reply);
        }
        match check.next_step(shared.clock.now()) {
            CheckStep::Connect => {
                if connections.len() == 1 {
                    info!(shared.log, "attempt: server does not accept connections";
                        "server" => &*server.id, "err" => "no reply yet");
                    server_failure::record_no_reply(shared, server);
                }
                connections.push(connect(shared, server, tx.clone()));
            }
            CheckStep::Wait(pause) => {
                let reply = async { replies.recv().await.ok() };
                let pause = async {
                    Timer::after(pause).await;
                    None
                };
                if let Some(reply) = or(reply, pause).await {
                    check.on_reply(reply);
                }
            }
            CheckStep::Ended(fate) => return fate,
        }
    }
}

/// Connects to a server in the background, and sends the reply if there is one.
fn connect(shared: &Arc<Shared>, server: &BackendEntry, tx: Sender<CheckReply>) -> Task<()> {
    let (shared, server) = (shared.clone(), server.clone());
    let executor = shared.executor.clone();
    executor.spawn(async move {
        let timeout = ServerCheck::MAX_TIME;
        let result = SingleExchange::connect(&shared.executor, server.address, timeout).await;
        let reply = match result {
            Ok(_) => {
                server_failure::record_accepted(&shared, &server);
                CheckReply::Accepted
            }
            Err(err) if server_failure::is_refusal(&err) => {
                server_failure::record_failure(&shared, &server, &err);
                CheckReply::Refused
            }
            Err(err) if is_without_reply(&err) => return,
            Err(_) => CheckReply::Failed,
        };
        // The check may have ended.
        let _ = tx.try_send(reply);
    })
}

fn is_without_reply(err: &HttpError) -> bool {
    let kinds = [
        ErrorKind::TimedOut,
        ErrorKind::HostUnreachable,
        ErrorKind::NetworkUnreachable,
    ];
    matches!(err, HttpError::Connect(_, err) if kinds.contains(&err.kind()))
}
