//! An attempt's place at the scheduler, which is given back on every way out.

use crate::backend::Backend;
use crate::scheduler_driver::{Command, SchedulerDriver};
use async_channel::Receiver;
use policy::Event;
use proto::{AttemptId, Refusal};
use runtime::Executor;
use std::sync::Arc;

/// An attempt that the scheduler knows.
#[derive(Debug)]
pub struct Registration {
    /// What the scheduler tells the attempt.
    pub commands: Receiver<Command>,
    attempt: AttemptId,
    scheduler: Arc<SchedulerDriver>,
    backend: Arc<Backend>,
    executor: Executor,
    ended: bool,
    at_engine: bool,
}

impl Registration {
    /// Registers an attempt.
    pub fn new(
        executor: Executor,
        scheduler: Arc<SchedulerDriver>,
        backend: Arc<Backend>,
        attempt: AttemptId,
    ) -> Self {
        let commands = scheduler.register(attempt);
        Self {
            commands,
            attempt,
            scheduler,
            backend,
            executor,
            ended: false,
            at_engine: false,
        }
    }

    /// Notes that an engine has the attempt, so that it must be cancelled there if given up.
    pub fn mark_at_engine(&mut self) {
        self.at_engine = true;
    }

    /// Notes that the backend server has ended the attempt.
    pub fn report_ended(&mut self, ok: bool) {
        if !self.ended {
            self.ended = true;
            self.at_engine = false;
            self.scheduler.handle(Event::Ended {
                attempt: self.attempt,
                ok,
            });
        }
    }

    /// Notes that the backend server turned the attempt away, and gives the scheduler's refusal.
    pub fn report_rejected(&mut self) -> Option<Refusal> {
        self.ended = true;
        self.at_engine = false;
        self.scheduler.handle(Event::Rejected(self.attempt));
        while let Ok(command) = self.commands.try_recv() {
            if let Command::Refuse(refusal) = command {
                return Some(refusal);
            }
        }
        None
    }

    /// Notes that the scheduler itself has refused the attempt.
    pub fn mark_refused(&mut self) {
        self.ended = true;
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.scheduler.deregister(self.attempt);
        if !self.ended {
            self.scheduler.handle(Event::Cancel(self.attempt));
        }
        if self.at_engine {
            let (backend, scheduler) = (self.backend.clone(), self.scheduler.clone());
            let attempt = self.attempt;
            self.executor.detach(async move {
                let _ = backend.control_attempt("cancel", attempt).await;
                scheduler.handle(Event::Ended { attempt, ok: false });
            });
        }
    }
}
