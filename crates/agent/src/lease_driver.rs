//! Drives [`ServerLease`]: the lease on the backend server, stored as a row of the table service.

use async_channel::{Receiver, Sender};
use async_io::Timer;
use platform::{CommitError, RowCondition, RowWrite, TableService, Transaction};
use policy::{
    LeaseAction, LeaseCommitResult, LeaseEvent, LeaseRow, ServerLease, ServerLeaseConfig,
};
use proto::{Epoch, EventKind};
use runtime::{Clock, Timeline, timeout};
use slog::{Logger, info, warn};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const VERIFY_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_SLEEP: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct State {
    lease: ServerLease,
    new_waiters: Vec<Waiter>,
    commit_waiters: Vec<Waiter>,
}

type Waiter = Sender<Option<Duration>>;

/// Connects the lease to the clock and the table service.
#[derive(Debug)]
pub struct LeaseDriver<T> {
    clock: Clock,
    table: T,
    key: Box<str>,
    state: Mutex<State>,
    wake_tx: Sender<()>,
    wake_rx: Receiver<()>,
    timeline: Arc<Timeline>,
    log: Logger,
}

impl<T: TableService> LeaseDriver<T> {
    /// Creates a driver of the lease on `server`, which is not held yet.
    pub fn new(
        clock: Clock,
        table: T,
        server: &str,
        cfg: ServerLeaseConfig,
        timeline: Arc<Timeline>,
        log: Logger,
    ) -> Self {
        let (wake_tx, wake_rx) = async_channel::bounded(1);
        let state = State {
            lease: ServerLease::new(cfg),
            new_waiters: Vec::new(),
            commit_waiters: Vec::new(),
        };
        Self {
            clock,
            table,
            key: format!("lease/{server}").into(),
            state: Mutex::new(state),
            wake_tx,
            wake_rx,
            timeline,
            log,
        }
    }

    /// Fencing number; `None` unless the lease is certainly held.
    pub fn epoch(&self) -> Option<Epoch> {
        let now = self.clock.now();
        self.lock().lease.epoch(now)
    }

    /// Proves by a commit sent after this call that the lease is held. Returns when the commit was
    /// sent; `None` if the lease was not proven within [`VERIFY_TIMEOUT`].
    pub async fn verify(&self) -> Option<Duration> {
        let (tx, rx) = async_channel::bounded(1);
        self.lock().new_waiters.push(tx);
        let _ = self.wake_tx.try_send(());
        let reply = timeout(VERIFY_TIMEOUT, rx.recv()).await;
        reply.ok()?.ok().flatten()
    }

    /// Gives up the lease, because an engine has seen a higher fencing number.
    pub async fn report_superseded(&self) {
        self.process(LeaseEvent::Superseded).await;
    }

    /// Acquires and renews the lease. Never returns.
    pub async fn run(&self) {
        loop {
            let event = self.next_event();
            self.process(event).await;
            let due = self.lock().lease.next_wakeup();
            let sleep = due.saturating_sub(self.clock.now()).min(MAX_SLEEP);
            let timer = async {
                Timer::after(sleep).await;
            };
            let woken = async {
                let _ = self.wake_rx.recv().await;
            };
            futures_lite::future::or(woken, timer).await;
        }
    }

    /// Verifications that are requested during a commit wait for the next commit.
    fn next_event(&self) -> LeaseEvent {
        let mut state = self.lock();
        let new_waiters = std::mem::take(&mut state.new_waiters);
        if new_waiters.is_empty() {
            return LeaseEvent::Tick;
        }
        state.commit_waiters.extend(new_waiters);
        LeaseEvent::Verify
    }

    async fn process(&self, event: LeaseEvent) {
        let mut actions = VecDeque::from(self.handle(event));
        let mut commit_sent = None;
        while let Some(action) = actions.pop_front() {
            let event = match action {
                LeaseAction::Read => LeaseEvent::Row(self.read().await),
                LeaseAction::Commit { sent, version, row } => {
                    commit_sent = Some(sent);
                    let result = self.commit(version, &row).await;
                    LeaseEvent::Committed { sent, result }
                }
                LeaseAction::Verified(proven) => {
                    self.reply_to_waiters(commit_sent.filter(|_| proven));
                    continue;
                }
                LeaseAction::Acquired(epoch) => {
                    info!(self.log, "lease: acquired"; "epoch" => epoch);
                    self.record(EventKind::LeaseAcquired(epoch));
                    continue;
                }
                LeaseAction::Lost(epoch) => {
                    warn!(self.log, "lease: lost"; "epoch" => epoch);
                    self.record(EventKind::LeaseLost(epoch));
                    continue;
                }
            };
            actions.extend(self.handle(event));
        }
    }

    fn handle(&self, event: LeaseEvent) -> Vec<LeaseAction> {
        let mut out = Vec::new();
        let now = self.clock.now();
        self.lock().lease.handle(now, event, &mut out);
        out
    }

    fn reply_to_waiters(&self, proven_at: Option<Duration>) {
        for tx in self.lock().commit_waiters.drain(..) {
            let _ = tx.try_send(proven_at);
        }
    }

    async fn read(&self) -> Option<(u64, Option<LeaseRow>)> {
        let rows = self.table.read(&[&self.key]).await.ok()?;
        let Some(row) = rows.into_iter().next() else {
            return Some((0, None));
        };
        match serde_json::from_str(&row.value) {
            Ok(value) => Some((row.version, Some(value))),
            Err(err) => {
                warn!(self.log, "lease: row does not parse"; "err" => %err);
                None
            }
        }
    }

    async fn commit(&self, version: u64, row: &LeaseRow) -> LeaseCommitResult {
        let value = serde_json::to_string(row).unwrap_or_default();
        let transaction = Transaction {
            conditions: vec![RowCondition {
                key: self.key.clone(),
                version,
            }],
            writes: vec![RowWrite {
                key: self.key.clone(),
                value: Some(value.into()),
            }],
        };
        match self.table.commit(&transaction).await {
            Ok(versions) => versions
                .first()
                .map_or(LeaseCommitResult::Unknown, |version| {
                    LeaseCommitResult::Committed(*version)
                }),
            Err(err) if err.is_outcome_unknown() => LeaseCommitResult::Unknown,
            Err(CommitError::Conflict(_) | CommitError::Platform(_)) => {
                LeaseCommitResult::NotCommitted
            }
        }
    }

    fn record(&self, kind: EventKind) {
        self.timeline.record(kind, None, None, None, "");
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
