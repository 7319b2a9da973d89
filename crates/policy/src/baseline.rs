//! Simple textbook policies against which trials compare the others. Only trials select them.

use crate::job::Job;
use crate::router::RoutingRequest;
use crate::scheduler_types::{AbortReason, SchedulerAction, SchedulerEvent, ServerSettings};
use proto::prelude::*;
use proto::{Refusal, RefusalReason};
use std::collections::{BTreeMap, VecDeque};

/// How [`BaselineRouter`] chooses a backend server. The agents then run a [`FifoScheduler`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Baseline {
    /// Each server in turn.
    RoundRobin,
    /// The server with the fewest requests of this gateway in flight.
    LeastOutstanding,
}

/// Chooses among servers without regard to load hints, placement rules or distance.
#[derive(Debug)]
pub struct BaselineRouter {
    kind: Baseline,
    servers: Vec<ServerId>,
    in_flight: Vec<u32>,
    next: usize,
}

impl BaselineRouter {
    /// Creates a router over `servers` that starts at the server with index `first`.
    pub fn new(kind: Baseline, servers: Vec<ServerId>, first: usize) -> Self {
        Self {
            kind,
            in_flight: vec![0; servers.len()],
            servers,
            next: first,
        }
    }

    /// Chooses a server that the request has not been tried at, or any server if all have been
    /// tried. Returns `None` only if there are no servers.
    pub fn choose(&mut self, request: &RoutingRequest<'_>) -> Option<ServerId> {
        let count = self.servers.len();
        let rotation = (0..count).map(|n| (self.next + n) % count);
        let untried = rotation.filter(|index| !request.tried.contains(&self.servers[*index]));
        let index = match self.kind {
            Baseline::RoundRobin => untried.min_by_key(|_| 0),
            Baseline::LeastOutstanding => untried.min_by_key(|index| self.in_flight[*index]),
        };
        let index = index.or((count > 0).then_some(self.next % count.max(1)))?;
        self.next = index + 1;
        self.in_flight[index] += 1;
        Some(self.servers[index].clone())
    }

    /// Removes an ended attempt from the requests in flight at its server.
    pub fn on_attempt_ended(&mut self, server: &str) {
        if let Some(index) = self.servers.iter().position(|name| &**name == server) {
            self.in_flight[index] = self.in_flight[index].saturating_sub(1);
        }
    }
}

/// Runs jobs in order of arrival, up to the limit of a warm server, and drops them at their
/// deadline.
#[derive(Debug, Default)]
pub struct FifoScheduler {
    settings: ServerSettings,
    waiting: VecDeque<(Job, bool)>,
    running: BTreeMap<AttemptId, Duration>,
}

impl FifoScheduler {
    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Duration, event: SchedulerEvent, out: &mut Vec<SchedulerAction>) {
        match event {
            SchedulerEvent::Offer(job) => {
                out.push(SchedulerAction::Accept(job.attempt));
                self.waiting.push_back((job, false));
            }
            SchedulerEvent::BodyComplete(attempt) => self.mark_ready(attempt),
            SchedulerEvent::Ended { attempt, .. } | SchedulerEvent::Cancel(attempt) => {
                self.remove(attempt);
            }
            SchedulerEvent::Rejected(attempt) => {
                self.remove(attempt);
                out.push(refuse(attempt, RefusalReason::ServerDown));
            }
            SchedulerEvent::SettingsChanged(settings) => self.settings = settings,
            _ => {}
        }
        self.drop_expired(now, out);
        self.dispatch_ready(out);
    }

    /// The next time at which [`SchedulerEvent::Tick`] is needed; `None` if there are no jobs.
    pub fn next_wakeup(&self) -> Option<Duration> {
        let waiting = self.waiting.iter().map(|(job, _)| job.deadline);
        waiting.chain(self.running.values().copied()).min()
    }

    fn mark_ready(&mut self, attempt: AttemptId) {
        let found = self.waiting.iter_mut().find(|(j, _)| j.attempt == attempt);
        if let Some((_, ready)) = found {
            *ready = true;
        }
    }

    fn remove(&mut self, attempt: AttemptId) {
        self.waiting.retain(|(job, _)| job.attempt != attempt);
        self.running.remove(&attempt);
    }

    fn drop_expired(&mut self, now: Duration, out: &mut Vec<SchedulerAction>) {
        self.waiting.retain(|(job, _)| {
            let is_late = job.deadline <= now;
            if is_late {
                out.push(refuse(job.attempt, RefusalReason::TooLate));
            }
            !is_late
        });
        self.running.retain(|attempt, deadline| {
            let is_late = *deadline <= now;
            if is_late {
                out.push(SchedulerAction::Abort {
                    attempt: *attempt,
                    reason: AbortReason::TimeUp,
                    retry_after: Duration::ZERO,
                });
            }
            !is_late
        });
    }

    fn dispatch_ready(&mut self, out: &mut Vec<SchedulerAction>) {
        while self.running.len() < self.settings.warm_limit as usize
            && self.waiting.front().is_some_and(|(_, ready)| *ready)
        {
            let Some((job, _)) = self.waiting.pop_front() else {
                return;
            };
            self.running.insert(job.attempt, job.deadline);
            out.push(SchedulerAction::Dispatch {
                attempt: job.attempt,
                priority: 0,
            });
        }
    }
}

fn refuse(attempt: AttemptId, reason: RefusalReason) -> SchedulerAction {
    let refusal = Refusal {
        reason,
        retry_after: Duration::ZERO,
        hints: None,
    };
    SchedulerAction::Refuse { attempt, refusal }
}
