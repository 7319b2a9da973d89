//! Leads a span, which is a request whose prompt is split into segments over several engines.
//!
//! The agent of the engine that decodes leads. It reserves memory on all engines or on none, lets
//! them prefill their segments one after another, decodes, and releases the memory.

use crate::span_plan::SpanPlan;
use crate::span_types::{LeaderAction, LeaderEvent, SpanConfig, SpanJob, SpanRequestId, SpanStep};
use proto::prelude::*;
use proto::{Execution, GrantId, RefusalReason, SpanAnswer, SpanImport, SpanRequest};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_128_with_seed;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    Reserving { until: Duration },
    BackingOff { until: Duration },
    Prefilling { segment: usize, retry_at: Duration },
    Decoding,
    Ended,
}

#[derive(Debug, Clone, Default)]
struct Reservation {
    /// Address of the engine, once it has granted the memory.
    engine: Option<SocketAddr>,
    /// Whether the request to reserve has ended, with or without a reply.
    completed: bool,
    /// Whether the member replied.
    replied: bool,
    /// When the last request was sent that proved the grant valid.
    confirmed_at: Duration,
}

/// State machine that leads one span.
#[derive(Debug)]
pub struct SpanLeader {
    cfg: SpanConfig,
    job: SpanJob,
    plan: SpanPlan,
    phase: Phase,
    round: u32,
    reservations: Vec<Reservation>,
    last_renewal: Duration,
    retry_after: Duration,
    unanswered_rounds: u32,
}

impl SpanLeader {
    /// Starts a span with its first round of reservations.
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
            reservations: Vec::new(),
            last_renewal: now,
            retry_after: Duration::ZERO,
            unanswered_rounds: 0,
        };
        leader.reserve(now, out);
        leader
    }

    /// Whether the span has ended.
    pub fn has_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Id of the grant for a segment in the current round. Each round has its own ids, so that a
    /// release of an earlier round that arrives late frees nothing of this one.
    pub fn grant(&self, segment: usize) -> GrantId {
        let attempt = self.job.ticket.attempt;
        let text = format!("{attempt}/{}/{segment}", self.round);
        xxh3_128_with_seed(text.as_bytes(), self.job.ticket.stamp.micros)
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Duration, event: LeaderEvent, out: &mut Vec<LeaderAction>) {
        if self.has_ended() {
            return;
        }
        if !self.check_deadlines(now, out) {
            return;
        }
        match event {
            LeaderEvent::Reply(id, answer) if id.round == self.round => {
                self.on_answer(now, id, answer, out);
            }
            LeaderEvent::Reply(..) => {}
            LeaderEvent::DecodeEnded(ok) => self.on_decoded(now, ok, out),
            LeaderEvent::Cancel => self.end(now, None, out),
            LeaderEvent::Tick => self.on_tick(now, out),
        }
    }

    /// Ends the span if its deadline has passed, or if a lease may have expired unnoticed, for
    /// example while this process was paused. Returns whether the span goes on.
    fn check_deadlines(&mut self, now: Duration, out: &mut Vec<LeaderAction>) -> bool {
        if now >= self.job.deadline {
            let end = self.failure("time is up", RefusalReason::TooLate);
            self.end(now, Some(end), out);
        } else if self.has_all_grants()
            && self
                .reservations
                .iter()
                .any(|reservation| self.may_have_expired(now, reservation))
        {
            let end = LeaderAction::Failed(Execution::MayHaveRun, "a grant expired");
            self.end(now, Some(end), out);
        }
        !self.has_ended()
    }

    fn may_have_expired(&self, now: Duration, reservation: &Reservation) -> bool {
        now >= reservation.confirmed_at + self.cfg.lease
    }

    fn has_all_grants(&self) -> bool {
        matches!(self.phase, Phase::Prefilling { .. } | Phase::Decoding)
    }

    fn failure(&self, reason: &'static str, refusal: RefusalReason) -> LeaderAction {
        if self.has_all_grants() {
            LeaderAction::Failed(Execution::MayHaveRun, reason)
        } else {
            LeaderAction::Refused(refusal)
        }
    }

    fn reserve(&mut self, now: Duration, out: &mut Vec<LeaderAction>) {
        self.round += 1;
        self.retry_after = Duration::ZERO;
        self.reservations = vec![Reservation::default(); self.plan.segments.len()];
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
        id: SpanRequestId,
        answer: Option<SpanAnswer>,
        out: &mut Vec<LeaderAction>,
    ) {
        match (id.step, self.phase) {
            (SpanStep::Reserve, Phase::Reserving { .. }) => self.on_reserved(now, id, answer, out),
            (SpanStep::Renew, _) if self.has_all_grants() => match answer {
                Some(SpanAnswer::Done { .. }) => {
                    let reservation = &mut self.reservations[id.segment];
                    reservation.confirmed_at = reservation.confirmed_at.max(id.sent);
                }
                Some(_) => self.fail(now, "a grant was lost", out),
                None => {}
            },
            (SpanStep::Prefill, Phase::Prefilling { segment, .. }) if segment == id.segment => {
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
        id: SpanRequestId,
        answer: Option<SpanAnswer>,
        out: &mut Vec<LeaderAction>,
    ) {
        let reservation = &mut self.reservations[id.segment];
        reservation.completed = true;
        reservation.replied = answer.is_some();
        match answer {
            Some(SpanAnswer::Done { engine, .. }) => {
                reservation.engine = Some(engine);
                reservation.confirmed_at = id.sent;
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
        if self
            .reservations
            .iter()
            .all(|reservation| reservation.engine.is_some())
        {
            self.last_renewal = now;
            self.prefill(now, 0, out);
        } else if self
            .reservations
            .iter()
            .all(|reservation| reservation.completed)
        {
            self.back_off(now, out);
        }
    }

    /// Releases what was granted and waits before the next round, so that no span holds memory
    /// while it waits for more. The span keeps its position in the order.
    fn back_off(&mut self, now: Duration, out: &mut Vec<LeaderAction>) {
        let any_unanswered = self
            .reservations
            .iter()
            .any(|reservation| !reservation.replied);
        self.unanswered_rounds = if any_unanswered {
            self.unanswered_rounds + 1
        } else {
            0
        };
        if self.unanswered_rounds == MAX_UNANSWERED_ROUNDS {
            let refused = LeaderAction::Refused(RefusalReason::ServerDown);
            self.end(now, Some(refused), out);
            return;
        }
        self.release(now, true, out);
        let pause = self.retry_after.max(MIN_RESERVE_BACKOFF);
        self.phase = Phase::BackingOff { until: now + pause };
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
            retry_at: now + self.cfg.prefill_retry_interval,
        };
        let current = &self.plan.segments[segment];
        if current.from == current.to {
            return self.prefill(now, segment + 1, out);
        }
        let previous = segment.checked_sub(1);
        let import = previous.and_then(|previous| {
            self.reservations[previous].engine.map(|engine| SpanImport {
                engine,
                grant: self.grant(previous),
            })
        });
        let request = SpanRequest::Prefill {
            grant: self.grant(segment),
            segment: segment as u32,
            from: current.from,
            to: current.to,
            import,
            remaining: self.job.deadline.saturating_sub(now),
        };
        self.send(now, segment, SpanStep::Prefill, request, out);
    }

    fn on_tick(&mut self, now: Duration, out: &mut Vec<LeaderAction>) {
        match self.phase {
            Phase::Reserving { until } if until <= now => self.back_off(now, out),
            Phase::BackingOff { until } if until <= now => self.reserve(now, out),
            Phase::Prefilling { segment, retry_at } if retry_at <= now => {
                self.prefill(now, segment, out);
            }
            _ => {}
        }
        if self.has_all_grants() && now >= self.last_renewal + self.cfg.renew_interval {
            self.last_renewal = now;
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

    /// When [`LeaderEvent::Tick`] is needed next; `None` once the span has ended.
    pub fn next_wakeup(&self) -> Option<Duration> {
        let step = match self.phase {
            Phase::Reserving { until } | Phase::BackingOff { until } => until,
            Phase::Prefilling { retry_at, .. } => {
                retry_at.min(self.last_renewal + self.cfg.renew_interval)
            }
            Phase::Decoding => self.last_renewal + self.cfg.renew_interval,
            Phase::Ended => return None,
        };
        Some(step.min(self.job.deadline))
    }
}

/// The span is refused after this many rounds in a row in which some member did not reply.
const MAX_UNANSWERED_ROUNDS: u32 = 3;
const MIN_RESERVE_BACKOFF: Duration = Duration::from_millis(50);
