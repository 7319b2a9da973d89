//! Registration of an attempt at the scheduler, which ends on drop.

use crate::backend::Backend;
use crate::scheduler_driver::{Command, SchedulerDriver};
use async_channel::Receiver;
use policy::SchedulerEvent;
use proto::{AttemptId, Refusal};
use runtime::Executor;
use std::sync::Arc;

/// Registration of an attempt. Dropping it cancels the attempt unless it has ended.
#[derive(Debug)]
pub struct Registration {
    /// Commands of the scheduler to the attempt.
    pub commands: Receiver<Command>,
    attempt: AttemptId,
    scheduler: Arc<SchedulerDriver>,
    backend: Arc<Backend>,
    executor: Executor,
    ended: bool,
    at_engine: bool,
}

impl Registration {
    /// Registers an attempt, which must be offered to the scheduler separately.
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

    /// Records that the attempt is sent to an engine, so that a drop cancels it there.
    pub fn mark_at_engine(&mut self) {
        self.at_engine = true;
    }

    /// Reports to the scheduler that the backend server has ended the attempt; `ok` tells whether
    /// the response was complete. Only the first report counts.
    pub fn report_ended(&mut self, ok: bool) {
        if !self.ended {
            self.ended = true;
            self.at_engine = false;
            self.scheduler.handle(SchedulerEvent::Ended {
                attempt: self.attempt,
                ok,
            });
        }
    }

    /// Reports to the scheduler that the backend server rejected the attempt without running it.
    /// Returns the scheduler's refusal; `None` if it sent none.
    pub fn report_rejected(&mut self) -> Option<Refusal> {
        self.ended = true;
        self.at_engine = false;
        self.scheduler
            .handle(SchedulerEvent::Rejected(self.attempt));
        while let Ok(command) = self.commands.try_recv() {
            if let Command::Refuse(refusal) = command {
                return Some(refusal);
            }
        }
        None
    }

    /// Records that the scheduler has refused or aborted the attempt, so that a drop does not
    /// cancel it there.
    pub fn mark_ended_by_scheduler(&mut self) {
        self.ended = true;
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.scheduler.deregister(self.attempt);
        if !self.ended {
            self.scheduler.handle(SchedulerEvent::Cancel(self.attempt));
        }
        if self.at_engine {
            let (backend, scheduler) = (self.backend.clone(), self.scheduler.clone());
            let attempt = self.attempt;
            self.executor.detach(async move {
                let _ = backend.control_attempt("cancel", attempt).await;
                scheduler.handle(SchedulerEvent::Ended { attempt, ok: false });
            });
        }
    }
}
