//! Carries out what the scheduler decides.

use crate::backend::Backend;
use crate::metrics::Metrics;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use policy::{AbortReason, Action, Event, Scheduler};
use proto::{AttemptId, Hints, Refusal};
use runtime::{Clock, Executor};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const MAX_SLEEP: Duration = Duration::from_secs(1);

/// What one attempt is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// It waits here.
    Accept,
    /// It is refused and has not run.
    Refuse(Refusal),
    /// It goes to the backend server.
    Dispatch {
        /// Priority for the engine; lower is more urgent.
        priority: u8,
    },
    /// It is cancelled and failed.
    Abort {
        /// Why.
        reason: AbortReason,
        /// When to come back.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct State {
    scheduler: Scheduler,
    attempts: HashMap<AttemptId, Sender<Command>>,
    actions: Vec<Action>,
}

/// The scheduler with its clock and the attempts that it decides on.
#[derive(Debug)]
pub struct SchedulerDriver {
    clock: Clock,
    executor: Executor,
    backend: Arc<Backend>,
    metrics: Arc<Metrics>,
    state: Mutex<State>,
    wake_tx: Sender<()>,
    wake_rx: Receiver<()>,
}

impl SchedulerDriver {
    /// A driver for one scheduler.
    pub fn new(
        executor: Executor,
        scheduler: Scheduler,
        backend: Arc<Backend>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let (wake_tx, wake_rx) = async_channel::bounded(1);
        let state = State {
            scheduler,
            attempts: HashMap::new(),
            actions: Vec::new(),
        };
        Self {
            clock: Clock::default(),
            executor,
            backend,
            metrics,
            state: Mutex::new(state),
            wake_tx,
            wake_rx,
        }
    }

    /// Time as the scheduler knows it.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// The clock of the process.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Whether an attempt is in this process's hands.
    pub fn is_registered(&self, attempt: AttemptId) -> bool {
        self.lock().attempts.contains_key(&attempt)
    }

    /// Tells an attempt that is in this process's hands but not in the scheduler's.
    pub fn send_command(&self, attempt: AttemptId, command: Command) {
        if let Some(tx) = self.lock().attempts.get(&attempt) {
            let _ = tx.try_send(command);
        }
    }

    /// Registers an attempt, whose commands come through the receiver.
    pub fn register(&self, attempt: AttemptId) -> Receiver<Command> {
        let (tx, rx) = async_channel::unbounded();
        self.lock().attempts.insert(attempt, tx);
        rx
    }

    /// Forgets an attempt.
    pub fn deregister(&self, attempt: AttemptId) {
        self.lock().attempts.remove(&attempt);
    }

    /// Gives the scheduler an event and carries out its actions.
    pub fn handle(&self, event: Event) {
        let mut state = self.lock();
        let now = self.clock.now();
        let State {
            scheduler,
            attempts,
            actions,
        } = &mut *state;
        scheduler.handle(now, event, actions);
        for action in actions.drain(..) {
            self.carry_out(attempts, action);
        }
        self.metrics.outstanding.set(scheduler.outstanding() as i64);
        let _ = self.wake_tx.try_send(());
    }

    /// State of the backend server for gateways.
    pub fn hints(&self) -> Hints {
        let now = self.clock.now();
        self.lock().scheduler.hints(now)
    }

    /// Attempts that wait or run.
    pub fn outstanding(&self) -> usize {
        self.lock().scheduler.outstanding()
    }

    /// Gives the scheduler a tick whenever it asked for one.
    pub async fn run_timer(&self) {
        loop {
            let due = self.lock().scheduler.next_wakeup();
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
            if futures_lite::future::or(timer, woken).await {
                self.handle(Event::Tick);
                let _ = self.wake_rx.try_recv();
            }
        }
    }

    fn carry_out(&self, attempts: &HashMap<AttemptId, Sender<Command>>, action: Action) {
        let (attempt, command) = match action {
            Action::Accept(attempt) => (attempt, Command::Accept),
            Action::Refuse { attempt, refusal } => (attempt, Command::Refuse(refusal)),
            Action::Dispatch { attempt, priority } => (attempt, Command::Dispatch { priority }),
            Action::Abort {
                attempt,
                reason,
                retry_after,
            } => (
                attempt,
                Command::Abort {
                    reason,
                    retry_after,
                },
            ),
            Action::Suspend(attempt) => return self.call_engine(attempt, "suspend"),
            Action::Resume(attempt) => return self.call_engine(attempt, "resume"),
        };
        if let Some(tx) = attempts.get(&attempt) {
            let _ = tx.try_send(command);
        }
    }

    fn call_engine(&self, attempt: AttemptId, action: &'static str) {
        let backend = self.backend.clone();
        self.executor.detach(async move {
            let _ = backend.control_attempt(action, attempt).await;
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
