//! Drives [`Claims`], which keeps claims of requests that may not be repeated in the table service.

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

/// Decision on a request that waits for its claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The claim is granted: the request is to be sent to the backend server now.
    Run,
    /// The request gets the stored response to the first request with the same key.
    ReplayAnswer(CompleteAnswer),
    /// The request is refused: it did not run and will not.
    Refuse {
        /// Reason for the caller.
        reason: RefusalReason,
        /// How long the caller should wait before a retry.
        retry_after: Duration,
    },
    /// The request fails because one with the same key may have run.
    MayHaveRun {
        /// Explanation for the caller.
        reason: Box<str>,
        /// How long the caller should wait before it repeats the request.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct State {
    claims: Claims,
    waiters: HashMap<AttemptId, Sender<ClaimVerdict>>,
}

/// Connects the claims of one agent to the clock and the table service.
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
    /// Creates a driver of the claims of agent `node`, which are stored in `table`. `seed` is for
    /// backoff jitter and nonces.
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

    /// Sets the number of agents of plain services that share the rate limit of the table service.
    pub fn set_agents(&self, agents: u32) {
        self.lock().claims.set_agents(agents);
    }

    /// Checks whether a request that needs a claim may be queued; if not, fails with the time after
    /// which to retry.
    pub fn admit(&self) -> Result<(), Duration> {
        self.lock().claims.admit(self.clock.now())
    }

    /// Requests a claim for a request that must finish within `remaining`, which replaces its
    /// deadline. The receiver gets the verdicts.
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

    /// Removes the receiver of an attempt's verdicts.
    pub fn remove_waiter(&self, attempt: AttemptId) {
        self.lock().waiters.remove(&attempt);
    }

    /// Number of claimed requests that are running, plus changes not yet written to the table
    /// service.
    pub fn unsettled(&self) -> usize {
        self.lock().claims.unsettled()
    }

    /// Counters since the start of the process.
    pub fn counts(&self) -> ClaimCounts {
        self.lock().claims.counts()
    }

    /// Passes an event to the claims and carries out their actions.
    pub fn handle(self: &Arc<Self>, event: ClaimEvent) {
        let mut state = self.lock();
        let mut actions = Vec::new();
        state.claims.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.carry_out(&state, action);
        }
        let _ = self.wake_tx.try_send(());
    }

    /// Passes [`ClaimEvent::Tick`] whenever a wakeup of the claims is due. Never returns.
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
            action => return self.start_table_call(action),
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

    /// Makes the call of the table service that an action asks for, and returns its result.
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
