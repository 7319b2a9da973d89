//! Carries out what the claims of requests that may not be repeated decide.

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future::or;
use platform::{CommitError, Row, RowCondition, RowWrite, TableService, Transaction};
use policy::{
    CLAIM_PREFIX, ClaimAction, ClaimConfig, ClaimCounts, ClaimEvent, ClaimRequest, ClaimWrite,
    Claims, CommitFailure, CompleteAnswer, VersionedRow,
};
use proto::{AttemptId, RefusalReason};
use runtime::{Clock, Executor};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const MAX_SLEEP: Duration = Duration::from_secs(1);

/// What a request that waits for its claim is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// It goes to the backend server, now.
    Run,
    /// It gets the whole answer that the first request of its key got.
    ReplayAnswer(CompleteAnswer),
    /// It is refused and will not run.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
    },
    /// A request of the same key may have run.
    MayHaveRun {
        /// What is known.
        reason: Box<str>,
        /// When to ask again.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct State {
    claims: Claims,
    waiters: HashMap<AttemptId, Sender<ClaimVerdict>>,
}

/// The claims of one agent with their clock and the table service.
#[derive(Debug)]
pub struct ClaimDriver<T> {
    clock: Clock,
    executor: Executor,
    table: T,
    state: Mutex<State>,
    wake_tx: Sender<()>,
    wake_rx: Receiver<()>,
}

impl<T: TableService> ClaimDriver<T> {
    /// Claims that are kept in `table`.
    pub fn new(executor: Executor, table: T, node: &str, seed: u64) -> Self {
        let (wake_tx, wake_rx) = async_channel::bounded(1);
        let cfg = ClaimConfig::for_agents(node, 1, Clock::unix_time(), seed);
        let state = State {
            claims: Claims::new(cfg),
            waiters: HashMap::new(),
        };
        Self {
            clock: Clock::default(),
            executor,
            table,
            state: Mutex::new(state),
            wake_tx,
            wake_rx,
        }
    }

    /// Shares the rate of the table service with so many agents of plain services.
    pub fn set_agents(&self, agents: u32) {
        self.lock().claims.set_agents(agents);
    }

    /// Whether a request that needs a claim may wait for its turn; if not, when to come back.
    pub fn admit(&self) -> Result<(), Duration> {
        self.lock().claims.admit(self.clock.now())
    }

    /// Claims a request's key within `remaining`; verdicts come through the receiver.
    pub fn begin(
        self: &Arc<Self>,
        request: ClaimRequest,
        remaining: Duration,
    ) -> Receiver<ClaimVerdict> {
        let (tx, rx) = async_channel::unbounded();
        self.lock().waiters.insert(request.attempt, tx);
        let deadline = self.clock.now() + remaining;
        self.handle(ClaimEvent::Begin(ClaimRequest {
            deadline,
            ..request
        }));
        rx
    }

    /// Forgets who waits for a verdict.
    pub fn remove_waiter(&self, attempt: AttemptId) {
        self.lock().waiters.remove(&attempt);
    }

    /// Claims that run, and changes that are not yet in the table service.
    pub fn unsettled(&self) -> usize {
        self.lock().claims.unsettled()
    }

    /// Counts since the start.
    pub fn counts(&self) -> ClaimCounts {
        self.lock().claims.counts()
    }

    /// Gives the claims an event and carries out their actions.
    pub fn handle(self: &Arc<Self>, event: ClaimEvent) {
        let mut state = self.lock();
        let mut actions = Vec::new();
        state.claims.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.carry_out(&state, action);
        }
        let _ = self.wake_tx.try_send(());
    }

    /// Gives the claims a tick whenever they asked for one.
    pub async fn run_timer(self: Arc<Self>) {
        loop {
            let due = self.lock().claims.next_wakeup();
            let now = self.clock.now();
            let sleep = due.map_or(MAX_SLEEP, |due| due.saturating_sub(now));
            let timer = async {
                Timer::after(sleep.min(MAX_SLEEP)).await;
                true
            };
            let woken = async {
                let _ = self.wake_rx.recv().await;
                false
            };
            if or(timer, woken).await {
                self.handle(ClaimEvent::Tick);
                let _ = self.wake_rx.try_recv();
            }
        }
    }

    fn carry_out(self: &Arc<Self>, state: &State, action: ClaimAction) {
        let (attempt, verdict) = match action {
            ClaimAction::Run(attempt) => (attempt, ClaimVerdict::Run),
            ClaimAction::ReplayAnswer { attempt, answer } => {
                (attempt, ClaimVerdict::ReplayAnswer(answer))
            }
            ClaimAction::Refuse {
                attempt,
                reason,
                retry_after,
            } => (
                attempt,
                ClaimVerdict::Refuse {
                    reason,
                    retry_after,
                },
            ),
            ClaimAction::MayHaveRun {
                attempt,
                reason,
                retry_after,
            } => (
                attempt,
                ClaimVerdict::MayHaveRun {
                    reason,
                    retry_after,
                },
            ),
            call => return self.start_table_call(call),
        };
        if let Some(tx) = state.waiters.get(&attempt) {
            let _ = tx.try_send(verdict);
        }
    }

    fn start_table_call(self: &Arc<Self>, action: ClaimAction) {
        let driver = self.clone();
        self.executor.detach(async move {
            let event = driver.call_table(action).await;
            driver.handle(event);
        });
    }

    /// Makes a call to the table service and gives its outcome.
    async fn call_table(&self, action: ClaimAction) -> ClaimEvent {
        match action {
            ClaimAction::Read { call, keys } => {
                let keys: Vec<&str> = keys.iter().map(|key| &**key).collect();
                let rows = self.table.read(&keys).await.ok().map(versioned_rows);
                ClaimEvent::Read { call, rows }
            }
            ClaimAction::Scan { call, after, limit } => {
                let rows = self.table.scan(CLAIM_PREFIX, &after, limit).await;
                let rows = rows.ok().map(versioned_rows);
                ClaimEvent::Scanned { call, rows }
            }
            ClaimAction::Commit { call, writes } => {
                let committed = self.table.commit(&transaction(writes)).await;
                let result = committed.map_err(|err| commit_failure(&err));
                ClaimEvent::Committed { call, result }
            }
            _ => ClaimEvent::Tick,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn versioned_rows(rows: Vec<Row>) -> Vec<VersionedRow> {
    let rows = rows.into_iter().map(|row| VersionedRow {
        key: row.key,
        value: row.value,
        version: row.version,
    });
    rows.collect()
}

fn transaction(writes: Vec<ClaimWrite>) -> Transaction {
    let conditions = writes
        .iter()
        .map(|write| RowCondition {
            key: write.key.clone(),
            version: write.version,
        })
        .collect();
    let writes = writes
        .into_iter()
        .map(|write| RowWrite {
            key: write.key,
            value: write.value,
        })
        .collect();
    Transaction { conditions, writes }
}

fn commit_failure(err: &CommitError) -> CommitFailure {
    match err {
        CommitError::Conflict(_) => CommitFailure::Conflict,
        err if err.is_outcome_unknown() => CommitFailure::Unknown,
        CommitError::Platform(_) => CommitFailure::Unavailable,
    }
}
