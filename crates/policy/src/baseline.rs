//! Plain policies to measure the others against; selected in trials only.

use crate::job::Job;
use crate::router::RoutingRequest;
use crate::scheduler_types::{AbortReason, Action, Event, ServerSettings};
use proto::prelude::*;
use proto::{Refusal, RefusalReason};
use std::collections::{BTreeMap, VecDeque};

/// How a baseline chooses a backend server. Its agents serve in order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Baseline {
    /// One after another.
    RoundRobin,
    /// The one with the fewest requests of this gateway in flight.
    LeastOutstanding,
}

/// Chooses among servers without hints, rules or distance.
#[derive(Debug)]
pub struct BaselineRouter {
    kind: Baseline,
    servers: Vec<ServerId>,
    in_flight: Vec<u32>,
    next: usize,
}

impl BaselineRouter {
    /// A router over servers, starting at one of them.
    pub fn new(kind: Baseline, servers: Vec<ServerId>, first: usize) -> Self {
        Self {
            kind,
            in_flight: vec![0; servers.len()],
            servers,
            next: first,
        }
    }

    /// Chooses a server that was not tried; any where all were.
    pub fn choose(&mut self, ask: &RoutingRequest<'_>) -> Option<ServerId> {
        let count = self.servers.len();
        let turns = (0..count).map(|n| (self.next + n) % count);
        let untried = turns.filter(|index| !ask.tried.contains(&self.servers[*index]));
        let index = match self.kind {
            Baseline::RoundRobin => untried.min_by_key(|_| 0),
            Baseline::LeastOutstanding => untried.min_by_key(|index| self.in_flight[*index]),
        };
        let index = index.or((count > 0).then_some(self.next % count.max(1)))?;
        self.next = index + 1;
        self.in_flight[index] += 1;
        Some(self.servers[index].clone())
    }

    /// Notes that an attempt ended.
    pub fn on_attempt_ended(&mut self, server: &str) {
        if let Some(index) = self.servers.iter().position(|name| &**name == server) {
            self.in_flight[index] = self.in_flight[index].saturating_sub(1);
        }
    }
}

/// Serves jobs in order of arrival up to the limit of the warm server, and drops them at their
/// deadline.
#[derive(Debug, Default)]
pub struct FifoScheduler {
    facts: ServerSettings,
    waiting: VecDeque<(Job, bool)>,
    running: BTreeMap<AttemptId, Duration>,
}

impl FifoScheduler {
    /// Takes an event and appends actions to `out`.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Offer(job) => {
                out.push(Action::Accept(job.attempt));
                self.waiting.push_back((job, false));
            }
            Event::BodyComplete(attempt) => self.set_ready(attempt),
            Event::Ended { attempt, .. } | Event::Cancel(attempt) => self.forget(attempt),
            Event::Rejected(attempt) => {
                self.forget(attempt);
                out.push(refuse(attempt, RefusalReason::ServerDown));
            }
            Event::SettingsChanged(facts) => self.facts = facts,
            _ => {}
        }
        self.expire(now, out);
        self.dispatch(out);
    }

    /// When [`Event::Tick`] is due at the latest.
    pub fn next_wakeup(&self) -> Option<Duration> {
        let waiting = self.waiting.iter().map(|(job, _)| job.deadline);
        waiting.chain(self.running.values().copied()).min()
    }

    fn set_ready(&mut self, attempt: AttemptId) {
        let found = self.waiting.iter_mut().find(|(j, _)| j.attempt == attempt);
        if let Some((_, ready)) = found {
            *ready = true;
        }
    }

    fn forget(&mut self, attempt: AttemptId) {
        self.waiting.retain(|(job, _)| job.attempt != attempt);
        self.running.remove(&attempt);
    }

    fn expire(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.waiting.retain(|(job, _)| {
            let late = job.deadline <= now;
            if late {
                out.push(refuse(job.attempt, RefusalReason::TooLate));
            }
            !late
        });
        self.running.retain(|attempt, deadline| {
            let late = *deadline <= now;
            if late {
                out.push(Action::Abort {
                    attempt: *attempt,
                    reason: AbortReason::TimeUp,
                    retry_after: Duration::ZERO,
                });
            }
            !late
        });
    }

    fn dispatch(&mut self, out: &mut Vec<Action>) {
        while self.running.len() < self.facts.warm_limit as usize
            && self.waiting.front().is_some_and(|(_, ready)| *ready)
        {
            let Some((job, _)) = self.waiting.pop_front() else {
                return;
            };
            self.running.insert(job.attempt, job.deadline);
            out.push(Action::Dispatch {
                attempt: job.attempt,
                priority: 0,
            });
        }
    }
}

fn refuse(attempt: AttemptId, reason: RefusalReason) -> Action {
    let refusal = Refusal {
        reason,
        retry_after: Duration::ZERO,
        hints: None,
    };
    Action::Refuse { attempt, refusal }
}
