//! The agent that leads a span: reserves on all engines or none, prefills, decodes, releases.

use crate::span_plan::SpanPlan;
use crate::span_types::{LeaderAction, LeaderEvent, SpanConfig, SpanJob, SpanRequestId, SpanStep};
use proto::prelude::*;
use proto::{Execution, GrantId, RefusalReason, SpanAnswer, SpanImport, SpanRequest};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_128_with_seed;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    Reserving { until: Duration },
    Waiting { until: Duration },
    Prefilling { segment: usize, repeat: Duration },
    Decoding,
    Ended,
}

#[derive(Debug, Clone, Default)]
struct Hold {
    engine: Option<SocketAddr>,
    answered: bool,
    heard: bool,
    proven: Duration,
}

/// Leads one span.
#[derive(Debug)]
pub struct SpanLeader {
    cfg: SpanConfig,
    job: SpanJob,
    plan: SpanPlan,
    phase: Phase,
    round: u32,
    holds: Vec<Hold>,
    renewed: Duration,
    retry_after: Duration,
    silent_rounds: u32,
}

impl SpanLeader {
    /// Begins a span.
    pub fn start(
        cfg: SpanConfig,
        job: SpanJob,
        plan: SpanPlan,
        now: Duration,
        out: &mut Vec<LeaderAction>,
    ) -> Self {
        let mut leader = Self {
            cfg,
            job,
            plan,
            phase: Phase::Ended,
            round: 0,
            holds: Vec::new(),
            renewed: now,
            retry_after: Duration::ZERO,
            silent_rounds: 0,
        };
        leader.reserve(now, out);
        leader
    }

    /// Whether the span has ended.
    pub fn has_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// The grant of a segment in the present round. Numbers are not used again: a late release of
    /// an earlier round frees nothing of this one.
    pub fn grant(&self, segment: usize) -> GrantId {
        let attempt = self.job.ticket.attempt;
        let text = format!("{attempt}/{}/{segment}", self.round);
        xxh3_128_with_seed(text.as_bytes(), self.job.ticket.stamp.micros)
    }

    /// Takes an event and appends actions to `out`.
    pub fn handle(&mut self, now: Duration, event: LeaderEvent, out: &mut Vec<LeaderAction>) {
        if self.has_ended() {
            return;
        }
        if !self.check_time(now, out) {
            return;
        }
        match event {
            LeaderEvent::Reply(ask, answer) if ask.round == self.round => {
                self.on_answer(now, ask, answer, out);
            }
            LeaderEvent::Reply(..) => {}
            LeaderEvent::DecodeEnded(ok) => self.on_decoded(now, ok, out),
            LeaderEvent::Cancel => self.end(now, None, out),
            LeaderEvent::Tick => self.on_tick(now, out),
        }
    }

    /// Ends the span where its time is up, or where a lease may have expired unnoticed, as after a
    /// pause of this process.
    fn check_time(&mut self, now: Duration, out: &mut Vec<LeaderAction>) -> bool {
        if now >= self.job.deadline {
            let end = self.broken("time is up", RefusalReason::TooLate);
            self.end(now, Some(end), out);
        } else if self.holds_all() && self.holds.iter().any(|hold| self.is_stale(now, hold)) {
            let end = LeaderAction::Failed(Execution::MayHaveRun, "a grant expired");
            self.end(now, Some(end), out);
        }
        !self.has_ended()
    }

    fn is_stale(&self, now: Duration, hold: &Hold) -> bool {
        now >= hold.proven + self.cfg.lease
    }

    fn holds_all(&self) -> bool {
        matches!(self.phase, Phase::Prefilling { .. } | Phase::Decoding)
    }

    fn broken(&self, reason: &'static str, refusal: RefusalReason) -> LeaderAction {
        if self.holds_all() {
            LeaderAction::Failed(Execution::MayHaveRun, reason)
        } else {
            LeaderAction::Refused(refusal)
        }
    }

    fn reserve(&mut self, now: Duration, out: &mut Vec<LeaderAction>) {
        self.round += 1;
        self.retry_after = Duration::ZERO;
        self.holds = vec![Hold::default(); self.plan.segments.len()];
        self.phase = Phase::Reserving {
            until: now + self.cfg.reserve_timeout,
        };
        let mut order: Vec<_> = (0..self.plan.segments.len()).collect();
        order.sort_by_key(|segment| &self.plan.segments[*segment].server);
        for segment in order {
            let request = SpanRequest::Reserve {
                ticket: self.job.ticket,
                grant: self.grant(segment),
                team: self.job.team.clone(),
                model: self.job.model.clone(),
                tokens: self.plan.segments[segment].tokens,
                lease: self.cfg.lease,
            };
            self.send(now, segment, SpanStep::Reserve, request, out);
        }
    }

    fn send(
        &self,
        now: Duration,
        segment: usize,
        step: SpanStep,
        request: SpanRequest,
        out: &mut Vec<LeaderAction>,
    ) {
        let id = SpanRequestId {
            segment,
            round: self.round,
            step,
            sent: now,
        };
        out.push(LeaderAction::Send {
            server: self.plan.segments[segment].server.clone(),
            id,
            request,
        });
    }

    fn on_answer(
        &mut self,
        now: Duration,
        ask: SpanRequestId,
        answer: Option<SpanAnswer>,
        out: &mut Vec<LeaderAction>,
    ) {
        match (ask.step, self.phase) {
            (SpanStep::Reserve, Phase::Reserving { .. }) => self.on_reserved(now, ask, answer, out),
            (SpanStep::Renew, _) if self.holds_all() => match answer {
                Some(SpanAnswer::Done { .. }) => {
                    let hold = &mut self.holds[ask.segment];
                    hold.proven = hold.proven.max(ask.sent);
                }
                Some(_) => self.fail(now, "a grant was lost", out),
                None => {}
            },
            (SpanStep::Prefill, Phase::Prefilling { segment, .. }) if segment == ask.segment => {
                match answer {
                    Some(SpanAnswer::Done { .. }) => self.prefill(now, segment + 1, out),
                    Some(_) => self.fail(now, "a segment failed", out),
                    None => {}
                }
            }
            _ => {}
        }
    }

    fn on_reserved(
        &mut self,
        now: Duration,
        ask: SpanRequestId,
        answer: Option<SpanAnswer>,
        out: &mut Vec<LeaderAction>,
    ) {
        let hold = &mut self.holds[ask.segment];
        hold.answered = true;
        hold.heard = answer.is_some();
        match answer {
            Some(SpanAnswer::Done { engine, .. }) => {
                hold.engine = Some(engine);
                hold.proven = ask.sent;
            }
            Some(SpanAnswer::Refused {
                retry_after: None, ..
            }) => {
                let refused = LeaderAction::Refused(RefusalReason::NoMemory);
                self.end(now, Some(refused), out);
                return;
            }
            Some(SpanAnswer::Refused {
                retry_after: Some(retry_after),
                ..
            }) => self.retry_after = self.retry_after.max(retry_after),
            Some(SpanAnswer::UnknownGrant) | None => {}
        }
        if self.holds.iter().all(|hold| hold.engine.is_some()) {
            self.renewed = now;
            self.prefill(now, 0, out);
        } else if self.holds.iter().all(|hold| hold.answered) {
            self.back_off(now, out);
        }
    }

    /// Gives back what was granted, so that no span waits while it holds memory, and keeps its
    /// place in the order.
    fn back_off(&mut self, now: Duration, out: &mut Vec<LeaderAction>) {
        let silent = self.holds.iter().any(|hold| !hold.heard);
        self.silent_rounds = if silent { self.silent_rounds + 1 } else { 0 };
        if self.silent_rounds == MAX_SILENT_ROUNDS {
            let refused = LeaderAction::Refused(RefusalReason::ServerDown);
            self.end(now, Some(refused), out);
            return;
        }
        self.release(now, true, out);
        let pause = self.retry_after.max(MIN_RETRY);
        self.phase = Phase::Waiting { until: now + pause };
    }

    fn release(&self, now: Duration, keep_place: bool, out: &mut Vec<LeaderAction>) {
        for segment in 0..self.plan.segments.len() {
            let request = SpanRequest::Release {
                grant: self.grant(segment),
                ticket: self.job.ticket,
                keep_place,
            };
            self.send(now, segment, SpanStep::Release, request, out);
        }
    }

    fn prefill(&mut self, now: Duration, segment: usize, out: &mut Vec<LeaderAction>) {
        if segment == self.plan.segments.len() {
            self.phase = Phase::Decoding;
            out.push(LeaderAction::Decode(self.grant(segment - 1)));
            return;
        }
        self.phase = Phase::Prefilling {
            segment,
            repeat: now + self.cfg.prefill_retry_interval,
        };
        let part = &self.plan.segments[segment];
        if part.from == part.to {
            return self.prefill(now, segment + 1, out);
        }
        let before = segment.checked_sub(1);
        let import = before.and_then(|before| {
            self.holds[before].engine.map(|engine| SpanImport {
                engine,
                grant: self.grant(before),
            })
        });
        let request = SpanRequest::Prefill {
            grant: self.grant(segment),
            segment: segment as u32,
            from: part.from,
            to: part.to,
            import,
            remaining: self.job.deadline.saturating_sub(now),
        };
        self.send(now, segment, SpanStep::Prefill, request, out);
    }

    fn on_tick(&mut self, now: Duration, out: &mut Vec<LeaderAction>) {
        match self.phase {
            Phase::Reserving { until } if until <= now => self.back_off(now, out),
            Phase::Waiting { until } if until <= now => self.reserve(now, out),
            Phase::Prefilling { segment, repeat } if repeat <= now => {
                self.prefill(now, segment, out);
            }
            _ => {}
        }
        if self.holds_all() && now >= self.renewed + self.cfg.renew_interval {
            self.renewed = now;
            for segment in 0..self.plan.segments.len() {
                let request = SpanRequest::Renew {
                    grant: self.grant(segment),
                    lease: self.cfg.lease,
                };
                self.send(now, segment, SpanStep::Renew, request, out);
            }
        }
    }

    fn on_decoded(&mut self, now: Duration, ok: bool, out: &mut Vec<LeaderAction>) {
        if self.phase != Phase::Decoding {
            return;
        }
        self.phase = Phase::Ended;
        self.release(now, false, out);
        out.push(if ok {
            LeaderAction::Finished
        } else {
            LeaderAction::Failed(Execution::MayHaveRun, "the engine broke off")
        });
    }

    fn fail(&mut self, now: Duration, reason: &'static str, out: &mut Vec<LeaderAction>) {
        let end = LeaderAction::Failed(Execution::MayHaveRun, reason);
        self.end(now, Some(end), out);
    }

    fn end(&mut self, now: Duration, end: Option<LeaderAction>, out: &mut Vec<LeaderAction>) {
        if self.phase == Phase::Decoding {
            out.push(LeaderAction::CancelDecode);
        }
        self.phase = Phase::Ended;
        self.release(now, false, out);
        out.extend(end);
    }

    /// When [`LeaderEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Option<Duration> {
        let step = match self.phase {
            Phase::Reserving { until } | Phase::Waiting { until } => until,
            Phase::Prefilling { repeat, .. } => repeat.min(self.renewed + self.cfg.renew_interval),
            Phase::Decoding => self.renewed + self.cfg.renew_interval,
            Phase::Ended => return None,
        };
        Some(step.min(self.job.deadline))
    }
}

const MAX_SILENT_ROUNDS: u32 = 3;
const MIN_RETRY: Duration = Duration::from_millis(50);
