//! One agent's part in spans: grants of its engine's memory, and the segments in them.

use crate::memory_lease::{GrantError, MemoryConfig, MemoryLeases};
use crate::memory_reconcile::{Holding, HoldingKind, parse_grant};
use proto::prelude::*;
use proto::{GrantId, SpanAnswer, SpanImport, SpanRequest, SpanTicket};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Names the question that an answer is for.
pub type ReplyId = u64;

/// A call to the engine for a span.
#[derive(Debug, Clone, PartialEq)]
pub enum SpanEngineCall {
    /// Holds memory.
    Reserve {
        /// The grant.
        grant: GrantId,
        /// Memory.
        tokens: Tokens,
    },
    /// Prefills a segment; ends with an error where the grant is not held.
    Prefill {
        /// The grant.
        grant: GrantId,
        /// Number of the segment.
        segment: u32,
        /// First token.
        from: Tokens,
        /// Token after the last.
        to: Tokens,
        /// Where the segment before is held.
        import: Option<SpanImport>,
        /// Time left.
        remaining: Duration,
    },
    /// Frees memory.
    Release {
        /// The grant.
        grant: GrantId,
    },
}

/// How a call to the engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// Done.
    Done,
    /// Not done.
    Refused,
    /// Nobody knows.
    Unknown,
}

/// What happened to a [`SpanMember`].
#[derive(Debug, Clone, PartialEq)]
pub enum MemberEvent {
    /// A leader asks.
    Request {
        /// Names the question.
        reply_id: ReplyId,
        /// What is asked.
        request: SpanRequest,
    },
    /// A call to reserve ended.
    Reserved(GrantId, CallOutcome),
    /// A call to prefill a segment ended.
    Prefilled(GrantId, CallOutcome),
    /// The engine told what it holds, in answer to a question sent at that time.
    Holdings(Duration, Vec<Holding>),
    /// Time passed.
    Tick,
}

/// What the driver must do for a [`SpanMember`].
#[derive(Debug, Clone, PartialEq)]
pub enum MemberAction {
    /// Answers a question.
    Reply {
        /// The question.
        reply_id: ReplyId,
        /// The answer.
        answer: SpanAnswer,
    },
    /// Calls the engine.
    Call(SpanEngineCall),
}

#[derive(Debug)]
struct Part {
    ticket: SpanTicket,
    held_since: Option<Duration>,
    prefill: Prefill,
    waiting: Vec<ReplyId>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Prefill {
    None,
    Running,
    Done,
}

/// Decides on questions of leaders; every grant ends with its lease.
#[derive(Debug)]
pub struct SpanMember {
    server: ServerId,
    engine: SocketAddr,
    leases: MemoryLeases,
    parts: BTreeMap<GrantId, Part>,
    closed_to_new: bool,
    compared: Option<Duration>,
}

impl SpanMember {
    /// A member beside one engine, with nothing granted.
    pub fn new(server: &str, engine: SocketAddr, cfg: MemoryConfig) -> Self {
        Self {
            server: server.into(),
            engine,
            leases: MemoryLeases::new(cfg),
            parts: BTreeMap::new(),
            closed_to_new: false,
            compared: None,
        }
    }

    /// The memory as granted.
    pub fn leases(&self) -> &MemoryLeases {
        &self.leases
    }

    /// Takes other settings of memory into use.
    pub fn configure(&mut self, cfg: MemoryConfig) {
        self.leases.configure(cfg);
    }

    /// Notes what running requests hold.
    pub fn set_request_tokens(&mut self, tokens: Tokens) {
        self.leases.set_request_tokens(tokens);
    }

    /// Refuses new grants, while the backend server drains, is in cold start, or its failure
    /// domain is out.
    pub fn set_refuse_grants(&mut self, closed: bool) {
        self.closed_to_new = closed;
    }

    /// Whether a holding of the engine is a grant with a live lease.
    pub fn owns(&self, now: Duration, holding: &Holding) -> bool {
        holding.kind == HoldingKind::Grant
            && parse_grant(&holding.id).is_some_and(|grant| self.leases.is_live(now, grant))
    }

    /// When [`MemberEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Option<Duration> {
        self.leases.next_wakeup()
    }

    /// Takes an event and appends actions to `out`.
    pub fn handle(&mut self, now: Duration, event: MemberEvent, out: &mut Vec<MemberAction>) {
        for grant in self.leases.expire(now) {
            self.free(grant, out);
        }
        match event {
            MemberEvent::Request { reply_id, request } => self.ask(now, reply_id, request, out),
            MemberEvent::Reserved(grant, end) => self.reserved(now, grant, end, out),
            MemberEvent::Prefilled(grant, end) => self.prefilled(grant, end, out),
            MemberEvent::Holdings(asked, holdings) => self.compare(now, asked, &holdings, out),
            MemberEvent::Tick => {}
        }
    }

    fn ask(
        &mut self,
        now: Duration,
        reply: ReplyId,
        request: SpanRequest,
        out: &mut Vec<MemberAction>,
    ) {
        match request {
            SpanRequest::Reserve {
                ticket,
                grant,
                tokens,
                lease,
                ..
            } => self.reserve(now, reply, (grant, ticket, tokens, lease), out),
            SpanRequest::Renew { grant, lease } => {
                let renewed = self.leases.renew(now, grant, lease);
                out.push(self.answer(reply, renewed));
            }
            SpanRequest::Prefill {
                grant,
                segment,
                from,
                to,
                import,
                remaining,
            } => {
                let call = SpanEngineCall::Prefill {
                    grant,
                    segment,
                    from,
                    to,
                    import,
                    remaining,
                };
                self.prefill(now, reply, grant, call, out);
            }
            SpanRequest::Release {
                grant,
                ticket,
                keep_place,
            } => {
                self.leases.close(now, grant, ticket, keep_place);
                self.free(grant, out);
                out.push(self.answer(reply, true));
            }
        }
    }

    fn reserve(
        &mut self,
        now: Duration,
        reply: ReplyId,
        (grant, ticket, tokens, lease): (GrantId, SpanTicket, Tokens, Duration),
        out: &mut Vec<MemberAction>,
    ) {
        let known = self.leases.is_live(now, grant);
        if self.closed_to_new && !known {
            out.push(refused(reply, "draining", None));
            return;
        }
        if !known && !self.knows_engine(now) {
            let retry_after = self.leases.config().retry_after;
            out.push(refused(reply, "engine not asked lately", Some(retry_after)));
            return;
        }
        match self.leases.grant(now, grant, ticket, tokens, lease) {
            Ok(()) if known => self.reserve_again(reply, grant, out),
            Ok(()) => {
                let part = Part {
                    ticket,
                    held_since: None,
                    prefill: Prefill::None,
                    waiting: vec![reply],
                };
                self.parts.insert(grant, part);
                out.push(MemberAction::Call(SpanEngineCall::Reserve {
                    grant,
                    tokens,
                }));
            }
            Err(GrantError::Busy) => {
                let retry_after = self.leases.config().retry_after;
                out.push(refused(reply, "memory in use", Some(retry_after)));
            }
            Err(GrantError::TooLarge) => out.push(refused(reply, "too large", None)),
            Err(GrantError::Closed) => out.push(MemberAction::Reply {
                reply_id: reply,
                answer: SpanAnswer::UnknownGrant,
            }),
        }
    }

    /// Whether the engine has told lately what it holds: not so after a start or a pause of this
    /// process, when another may have granted memory meanwhile.
    fn knows_engine(&self, now: Duration) -> bool {
        self.compared
            .is_some_and(|asked| now < asked + MAX_UNCOMPARED)
    }

    fn reserve_again(&mut self, reply: ReplyId, grant: GrantId, out: &mut Vec<MemberAction>) {
        let held = match self.parts.get_mut(&grant) {
            Some(part) if part.held_since.is_none() => {
                part.waiting.push(reply);
                return;
            }
            part => part.is_some(),
        };
        out.push(self.answer(reply, held));
    }

    fn reserved(
        &mut self,
        now: Duration,
        grant: GrantId,
        end: CallOutcome,
        out: &mut Vec<MemberAction>,
    ) {
        let Some(part) = self.parts.get_mut(&grant) else {
            out.push(MemberAction::Call(SpanEngineCall::Release { grant }));
            return;
        };
        if end == CallOutcome::Done {
            part.held_since = Some(now);
            self.answer_waiting(grant, true, out);
            return;
        }
        let ticket = part.ticket;
        let retry_after = self.leases.config().retry_after;
        for reply in std::mem::take(&mut part.waiting) {
            out.push(refused(reply, "engine has no room", Some(retry_after)));
        }
        self.leases.close(now, grant, ticket, true);
        self.free(grant, out);
    }

    fn prefill(
        &mut self,
        now: Duration,
        reply: ReplyId,
        grant: GrantId,
        call: SpanEngineCall,
        out: &mut Vec<MemberAction>,
    ) {
        let live = self.leases.is_live(now, grant);
        let done = match self.parts.get_mut(&grant) {
            Some(part) if live && part.held_since.is_some() => match part.prefill {
                Prefill::Done => true,
                Prefill::Running => {
                    part.waiting.push(reply);
                    return;
                }
                Prefill::None => {
                    part.prefill = Prefill::Running;
                    part.waiting.push(reply);
                    out.push(MemberAction::Call(call));
                    return;
                }
            },
            _ => false,
        };
        out.push(self.answer(reply, done));
    }

    fn prefilled(&mut self, grant: GrantId, end: CallOutcome, out: &mut Vec<MemberAction>) {
        let Some(part) = self.parts.get_mut(&grant) else {
            return;
        };
        if end == CallOutcome::Done {
            part.prefill = Prefill::Done;
            self.answer_waiting(grant, true, out);
            return;
        }
        part.prefill = Prefill::None;
        for reply in std::mem::take(&mut part.waiting) {
            out.push(refused(reply, "prefill failed", None));
        }
    }

    /// Drops grants that the engine has lost, for it held them before it was asked, and counts those
    /// that it holds for nobody here.
    fn compare(
        &mut self,
        now: Duration,
        asked: Duration,
        holdings: &[Holding],
        out: &mut Vec<MemberAction>,
    ) {
        self.compared = Some(asked);
        let foreign = holdings
            .iter()
            .filter(|held| held.kind == HoldingKind::Grant)
            .filter(|held| {
                let grant = parse_grant(&held.id).unwrap_or_default();
                !self.parts.contains_key(&grant) && !self.leases.closed_since(asked, grant)
            });
        self.leases
            .set_foreign_tokens(foreign.map(|held| held.tokens).sum());
        let gone: Vec<_> = self
            .parts
            .iter()
            .filter(|(_, part)| part.held_since.is_some_and(|since| since < asked))
            .filter(|(grant, _)| {
                let listed = |held: &Holding| parse_grant(&held.id) == Some(**grant);
                !holdings.iter().any(listed)
            })
            .map(|(grant, part)| (*grant, part.ticket))
            .collect();
        for (grant, ticket) in gone {
            self.leases.close(now, grant, ticket, false);
            self.free(grant, out);
        }
    }

    /// Frees at the engine what a closed grant held; where the call fails, the next round of
    /// reconciliation frees it.
    fn free(&mut self, grant: GrantId, out: &mut Vec<MemberAction>) {
        self.answer_waiting(grant, false, out);
        if self.parts.remove(&grant).is_some() {
            out.push(MemberAction::Call(SpanEngineCall::Release { grant }));
        }
    }

    fn answer_waiting(&mut self, grant: GrantId, ok: bool, out: &mut Vec<MemberAction>) {
        let waiting = self
            .parts
            .get_mut(&grant)
            .map(|part| std::mem::take(&mut part.waiting));
        for reply in waiting.unwrap_or_default() {
            out.push(self.answer(reply, ok));
        }
    }

    fn answer(&self, reply: ReplyId, ok: bool) -> MemberAction {
        let answer = if ok {
            SpanAnswer::Done {
                server: self.server.clone(),
                engine: self.engine,
            }
        } else {
            SpanAnswer::UnknownGrant
        };
        MemberAction::Reply {
            reply_id: reply,
            answer,
        }
    }
}

const MAX_UNCOMPARED: Duration = Duration::from_secs(6);

fn refused(reply: ReplyId, reason: &str, retry_after: Option<Duration>) -> MemberAction {
    let answer = SpanAnswer::Refused {
        reason: reason.into(),
        retry_after,
    };
    MemberAction::Reply {
        reply_id: reply,
        answer,
    }
}
