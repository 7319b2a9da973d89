//! Drives [`Scheduler`]: passes events to it and carries out its actions.

use crate::backend::Backend;
use crate::metrics::Metrics;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use policy::{AbortReason, Scheduler, SchedulerAction, SchedulerEvent};
use proto::{AttemptId, Hints, Refusal};
use runtime::{Clock, Executor};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Command to one attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// The attempt is queued here.
    Accept,
    /// The attempt is refused and has not run.
    Refuse(Refusal),
    /// The attempt is to be sent to the backend server.
    Dispatch {
        /// Priority for the engine; lower is more urgent.
        priority: u8,
    },
    /// The attempt is cancelled and fails.
    Abort {
        /// Why it is aborted.
        reason: AbortReason,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct State {
    scheduler: Scheduler,
    attempts: HashMap<AttemptId, Sender<Command>>,
    actions: Vec<SchedulerAction>,
}

/// Connects the scheduler to the clock, the registered attempts and the backend server.
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
    /// Creates a driver of `scheduler`, whose time starts now.
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

    /// Current time on the scheduler's clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Clock of the scheduler, for other parts of the process that compare times with it.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Whether an attempt is registered, and thus owned by this process.
    pub fn is_registered(&self, attempt: AttemptId) -> bool {
        self.lock().attempts.contains_key(&attempt)
    }

    /// Sends a command to an attempt without involving the scheduler. Does nothing if the attempt
    /// is not registered.
    pub fn send_command(&self, attempt: AttemptId, command: Command) {
        if let Some(tx) = self.lock().attempts.get(&attempt) {
            let _ = tx.try_send(command);
        }
    }

    /// Registers an attempt and returns the receiver of its commands.
    pub fn register(&self, attempt: AttemptId) -> Receiver<Command> {
        let (tx, rx) = async_channel::unbounded();
        self.lock().attempts.insert(attempt, tx);
        rx
    }

    /// Removes an attempt, which gets no more commands.
    pub fn deregister(&self, attempt: AttemptId) {
        self.lock().attempts.remove(&attempt);
    }

    /// Passes an event to the scheduler and carries out its actions.
    pub fn handle(&self, event: SchedulerEvent) {
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

    /// Current state of the backend server, as reported to gateways.
    pub fn hints(&self) -> Hints {
        let now = self.clock.now();
        self.lock().scheduler.hints(now)
    }

    /// Number of attempts that wait or run.
    pub fn outstanding(&self) -> usize {
        self.lock().scheduler.outstanding()
    }

    /// Passes [`SchedulerEvent::Tick`] whenever a wakeup of the scheduler is due. Never returns.
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
                self.handle(SchedulerEvent::Tick);
                let _ = self.wake_rx.try_recv();
            }
        }
    }

    fn carry_out(&self, attempts: &HashMap<AttemptId, Sender<Command>>, action: SchedulerAction) {
        let (attempt, command) = match action {
            SchedulerAction::Accept(attempt) => (attempt, Command::Accept),
            SchedulerAction::Refuse { attempt, refusal } => (attempt, Command::Refuse(refusal)),
            SchedulerAction::Dispatch { attempt, priority } => {
                (attempt, Command::Dispatch { priority })
            }
            SchedulerAction::Abort {
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
            SchedulerAction::Suspend(attempt) => return self.call_engine(attempt, "suspend"),
            SchedulerAction::Resume(attempt) => return self.call_engine(attempt, "resume"),
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
