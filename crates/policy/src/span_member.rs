//! One agent's part in spans that other agents, or itself, lead: it grants memory of its engine
//! and prefills segments there.

use crate::memory_lease::{GrantError, MemoryConfig, MemoryLeases};
use crate::memory_reconcile::{Holding, HoldingKind, parse_grant};
use proto::prelude::*;
use proto::{GrantId, SpanAnswer, SpanImport, SpanRequest, SpanTicket};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Identifies a request of a leader, so that the driver can match the reply to it.
pub type ReplyId = u64;

/// A call to the engine on behalf of a span.
#[derive(Debug, Clone, PartialEq)]
pub enum SpanEngineCall {
    /// Reserves memory.
    Reserve {
        /// Grant that the memory belongs to.
        grant: GrantId,
        /// Memory in tokens of KV cache.
        tokens: Tokens,
    },
    /// Prefills a segment; fails if the engine has no memory reserved for the grant.
    Prefill {
        /// Grant in whose memory the segment goes.
        grant: GrantId,
        /// Index of the segment in the plan.
        segment: u32,
        /// First token of the segment.
        from: Tokens,
        /// Token after the last of the segment.
        to: Tokens,
        /// Where to import the KV cache of the previous segment from; `None` for the first.
        import: Option<SpanImport>,
        /// Time until the span's deadline.
        remaining: Duration,
    },
    /// Frees memory.
    Release {
        /// Grant whose memory is freed.
        grant: GrantId,
    },
}

/// How a call to the engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The engine did what was asked.
    Done,
    /// The engine did not do it, or was not reached.
    Refused,
    /// The connection failed or timed out, so the engine may have done it.
    Unknown,
}

/// Event that a [`SpanMember`] handles.
#[derive(Debug, Clone, PartialEq)]
pub enum MemberEvent {
    /// A leader sent a request.
    Request {
        /// To be returned with the reply.
        reply_id: ReplyId,
        /// The request.
        request: SpanRequest,
    },
    /// [`SpanEngineCall::Reserve`] ended.
    Reserved(GrantId, CallOutcome),
    /// [`SpanEngineCall::Prefill`] ended.
    Prefilled(GrantId, CallOutcome),
    /// The engine listed the memory that it holds, in reply to a request sent at this time.
    Holdings(Duration, Vec<Holding>),
    /// The time given by [`SpanMember::next_wakeup`] has come.
    Tick,
}

/// What the driver must do for a [`SpanMember`].
#[derive(Debug, Clone, PartialEq)]
pub enum MemberAction {
    /// Replies to a leader.
    Reply {
        /// Request that the reply is for.
        reply_id: ReplyId,
        /// The reply.
        answer: SpanAnswer,
    },
    /// Calls the engine.
    Call(SpanEngineCall),
}

#[derive(Debug)]
struct GrantState {
    ticket: SpanTicket,
    reserved_at: Option<Duration>,
    prefill: Prefill,
    pending_replies: Vec<ReplyId>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Prefill {
    NotStarted,
    Running,
    Done,
}

/// State machine that handles the requests of leaders. Every grant ends with its lease.
#[derive(Debug)]
pub struct SpanMember {
    server: ServerId,
    engine: SocketAddr,
    leases: MemoryLeases,
    grants: BTreeMap<GrantId, GrantState>,
    refuses_new_grants: bool,
    holdings_asked_at: Option<Duration>,
}

impl SpanMember {
    /// Creates a member for the engine at address `engine`, which belongs to backend server
    /// `server`. Nothing is granted yet.
    pub fn new(server: &str, engine: SocketAddr, cfg: MemoryConfig) -> Self {
        Self {
            server: server.into(),
            engine,
            leases: MemoryLeases::new(cfg),
            grants: BTreeMap::new(),
            refuses_new_grants: false,
            holdings_asked_at: None,
        }
    }

    /// Leases on the memory of the engine.
    pub fn leases(&self) -> &MemoryLeases {
        &self.leases
    }

    /// Changes the settings of memory; grants stay.
    pub fn configure(&mut self, cfg: MemoryConfig) {
        self.leases.configure(cfg);
    }

    /// Sets the memory that running requests hold, in tokens.
    pub fn set_request_tokens(&mut self, tokens: Tokens) {
        self.leases.set_request_tokens(tokens);
    }

    /// Sets whether new grants are refused, which is so while the backend server drains or is in
    /// cold start, or its failure domain is out.
    pub fn set_refuse_grants(&mut self, refuse: bool) {
        self.refuses_new_grants = refuse;
    }

    /// Whether a holding of the engine belongs to a grant whose lease has not expired.
    pub fn owns(&self, now: Duration, holding: &Holding) -> bool {
        holding.kind == HoldingKind::Grant
            && parse_grant(&holding.id).is_some_and(|grant| self.leases.is_live(now, grant))
    }

    /// When [`MemberEvent::Tick`] is needed next.
    pub fn next_wakeup(&self) -> Option<Duration> {
        self.leases.next_wakeup()
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Duration, event: MemberEvent, out: &mut Vec<MemberAction>) {
        for grant in self.leases.expire(now) {
            self.free(grant, out);
        }
        match event {
            MemberEvent::Request { reply_id, request } => {
                self.on_request(now, reply_id, request, out);
            }
            MemberEvent::Reserved(grant, outcome) => self.on_reserved(now, grant, outcome, out),
            MemberEvent::Prefilled(grant, outcome) => self.on_prefilled(grant, outcome, out),
            MemberEvent::Holdings(asked, holdings) => {
                self.compare_holdings(now, asked, &holdings, out);
            }
            MemberEvent::Tick => {}
        }
    }

    fn on_request(
        &mut self,
        now: Duration,
        reply_id: ReplyId,
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
            } => self.reserve(now, reply_id, (grant, ticket, tokens, lease), out),
            SpanRequest::Renew { grant, lease } => {
                let renewed = self.leases.renew(now, grant, lease);
                out.push(self.reply(reply_id, renewed));
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
                self.prefill(now, reply_id, grant, call, out);
            }
            SpanRequest::Release {
                grant,
                ticket,
                keep_place,
            } => {
                self.leases.close(now, grant, ticket, keep_place);
                self.free(grant, out);
                out.push(self.reply(reply_id, true));
            }
        }
    }

    fn reserve(
        &mut self,
        now: Duration,
        reply_id: ReplyId,
        (grant, ticket, tokens, lease): (GrantId, SpanTicket, Tokens, Duration),
        out: &mut Vec<MemberAction>,
    ) {
        let known = self.leases.is_live(now, grant);
        if self.refuses_new_grants && !known {
            out.push(refused(reply_id, "draining", None));
            return;
        }
        if !known && !self.knows_holdings(now) {
            let retry_after = self.leases.config().retry_after;
            out.push(refused(
                reply_id,
                "engine not asked lately",
                Some(retry_after),
            ));
            return;
        }
        match self.leases.grant(now, grant, ticket, tokens, lease) {
            Ok(()) if known => self.reserve_again(reply_id, grant, out),
            Ok(()) => {
                let state = GrantState {
                    ticket,
                    reserved_at: None,
                    prefill: Prefill::NotStarted,
                    pending_replies: vec![reply_id],
                };
                self.grants.insert(grant, state);
                out.push(MemberAction::Call(SpanEngineCall::Reserve {
                    grant,
                    tokens,
                }));
            }
            Err(GrantError::Busy) => {
                let retry_after = self.leases.config().retry_after;
                out.push(refused(reply_id, "memory in use", Some(retry_after)));
            }
            Err(GrantError::TooLarge) => out.push(refused(reply_id, "too large", None)),
            Err(GrantError::Closed) => out.push(MemberAction::Reply {
                reply_id,
                answer: SpanAnswer::UnknownGrant,
            }),
        }
    }

    /// Whether the engine listed its holdings recently. After a start or a pause of this process it
    /// has not, and another process may have granted memory in the meantime.
    fn knows_holdings(&self, now: Duration) -> bool {
        self.holdings_asked_at
            .is_some_and(|asked| now < asked + MAX_HOLDINGS_AGE)
    }

    fn reserve_again(&mut self, reply_id: ReplyId, grant: GrantId, out: &mut Vec<MemberAction>) {
        let held = match self.grants.get_mut(&grant) {
            Some(state) if state.reserved_at.is_none() => {
                state.pending_replies.push(reply_id);
                return;
            }
            state => state.is_some(),
        };
        out.push(self.reply(reply_id, held));
    }

    fn on_reserved(
        &mut self,
        now: Duration,
        grant: GrantId,
        outcome: CallOutcome,
        out: &mut Vec<MemberAction>,
    ) {
        let Some(state) = self.grants.get_mut(&grant) else {
            out.push(MemberAction::Call(SpanEngineCall::Release { grant }));
            return;
        };
        if outcome == CallOutcome::Done {
            state.reserved_at = Some(now);
            self.reply_to_pending(grant, true, out);
            return;
        }
        let ticket = state.ticket;
        let retry_after = self.leases.config().retry_after;
        for reply_id in std::mem::take(&mut state.pending_replies) {
            out.push(refused(reply_id, "engine has no room", Some(retry_after)));
        }
        self.leases.close(now, grant, ticket, true);
        self.free(grant, out);
    }

    fn prefill(
        &mut self,
        now: Duration,
        reply_id: ReplyId,
        grant: GrantId,
        call: SpanEngineCall,
        out: &mut Vec<MemberAction>,
    ) {
        let live = self.leases.is_live(now, grant);
        let done = match self.grants.get_mut(&grant) {
            Some(state) if live && state.reserved_at.is_some() => match state.prefill {
                Prefill::Done => true,
                Prefill::Running => {
                    state.pending_replies.push(reply_id);
                    return;
                }
                Prefill::NotStarted => {
                    state.prefill = Prefill::Running;
                    state.pending_replies.push(reply_id);
                    out.push(MemberAction::Call(call));
                    return;
                }
            },
            _ => false,
        };
        out.push(self.reply(reply_id, done));
    }

    fn on_prefilled(&mut self, grant: GrantId, outcome: CallOutcome, out: &mut Vec<MemberAction>) {
        let Some(state) = self.grants.get_mut(&grant) else {
            return;
        };
        if outcome == CallOutcome::Done {
            state.prefill = Prefill::Done;
            self.reply_to_pending(grant, true, out);
            return;
        }
        state.prefill = Prefill::NotStarted;
        for reply_id in std::mem::take(&mut state.pending_replies) {
            out.push(refused(reply_id, "prefill failed", None));
        }
    }

    /// Drops grants that the engine has lost, which are those reserved before the list was
    /// requested and not in it, and counts the memory of listed grants that are not leased here.
    fn compare_holdings(
        &mut self,
        now: Duration,
        asked: Duration,
        holdings: &[Holding],
        out: &mut Vec<MemberAction>,
    ) {
        self.holdings_asked_at = Some(asked);
        let foreign = holdings
            .iter()
            .filter(|held| held.kind == HoldingKind::Grant)
            .filter(|held| {
                let grant = parse_grant(&held.id).unwrap_or_default();
                !self.grants.contains_key(&grant) && !self.leases.closed_since(asked, grant)
            });
        self.leases
            .set_foreign_tokens(foreign.map(|held| held.tokens).sum());
        let lost: Vec<_> = self
            .grants
            .iter()
            .filter(|(_, state)| state.reserved_at.is_some_and(|since| since < asked))
            .filter(|(grant, _)| {
                let listed = |held: &Holding| parse_grant(&held.id) == Some(**grant);
                !holdings.iter().any(listed)
            })
            .map(|(grant, state)| (*grant, state.ticket))
            .collect();
        for (grant, ticket) in lost {
            self.leases.close(now, grant, ticket, false);
            self.free(grant, out);
        }
    }

    /// Frees the memory of a closed grant at the engine. If the call fails, the next round of
    /// reconciliation frees it.
    fn free(&mut self, grant: GrantId, out: &mut Vec<MemberAction>) {
        self.reply_to_pending(grant, false, out);
        if self.grants.remove(&grant).is_some() {
            out.push(MemberAction::Call(SpanEngineCall::Release { grant }));
        }
    }

    fn reply_to_pending(&mut self, grant: GrantId, ok: bool, out: &mut Vec<MemberAction>) {
        let pending_replies = self
            .grants
            .get_mut(&grant)
            .map(|state| std::mem::take(&mut state.pending_replies));
        for reply_id in pending_replies.unwrap_or_default() {
            out.push(self.reply(reply_id, ok));
        }
    }

    fn reply(&self, reply_id: ReplyId, ok: bool) -> MemberAction {
        let answer = if ok {
            SpanAnswer::Done {
                server: self.server.clone(),
                engine: self.engine,
            }
        } else {
            SpanAnswer::UnknownGrant
        };
        MemberAction::Reply { reply_id, answer }
    }
}

/// New grants are refused once the list of holdings is this old.
const MAX_HOLDINGS_AGE: Duration = Duration::from_secs(6);

fn refused(reply_id: ReplyId, reason: &str, retry_after: Option<Duration>) -> MemberAction {
    let answer = SpanAnswer::Refused {
        reason: reason.into(),
        retry_after,
    };
    MemberAction::Reply { reply_id, answer }
}
