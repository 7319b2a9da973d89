//! Simulated model engine: its memory, and its state as set by orders.

use super::Step;
use policy::{CallOutcome, EngineState, Holding, HoldingKind, Order, OrderResult, format_grant};
use proto::GrantId;
use proto::prelude::*;
use std::collections::BTreeMap;

const TOKENS_PER_MS: u64 = 1;
const DECODE_TIME: Duration = Duration::from_secs(3);
const REQUEST_TOKENS: Tokens = 10;

#[derive(Debug, Clone)]
pub enum Call {
    Reserve {
        grant: GrantId,
        tokens: Tokens,
    },
    Prefill {
        grant: GrantId,
        tokens: Tokens,
        import: Option<usize>,
    },
    Release {
        grant: GrantId,
    },
    Decode {
        node: usize,
        leader: usize,
        grant: GrantId,
        id: Box<str>,
    },
    Cancel {
        id: Box<str>,
    },
    Holdings {
        asked: Duration,
    },
    State,
    Order {
        fence: Epoch,
        order: Order,
    },
}

impl Call {
    pub fn order_step(&self) -> Option<Step> {
        match self {
            Self::Order {
                order: Order::Load(_),
                ..
            } => Some(Step::Load),
            Self::Order {
                order: Order::Role(_),
                ..
            } => Some(Step::Role),
            _ => None,
        }
    }
}

#[derive(Debug)]
pub enum Reply {
    Reserved(GrantId, CallOutcome),
    Prefilled(GrantId, CallOutcome),
    Decoded(usize, bool),
    Holdings(Duration, Option<Vec<Holding>>),
    State(Option<EngineState>),
    Ordered(OrderResult),
    Nothing,
}

impl Reply {
    pub fn lost(self) -> Self {
        match self {
            Self::Reserved(grant, _) => Self::Reserved(grant, CallOutcome::Unknown),
            Self::Prefilled(grant, _) => Self::Prefilled(grant, CallOutcome::Unknown),
            Self::Decoded(leader, _) => Self::Decoded(leader, false),
            Self::Holdings(asked, _) => Self::Holdings(asked, None),
            Self::State(_) => Self::State(None),
            Self::Ordered(_) => Self::Ordered(OrderResult::Unknown),
            Self::Nothing => Self::Nothing,
        }
    }
}

#[derive(Debug)]
pub struct Engine {
    pub checks_fencing: bool,
    pub state: EngineState,
    /// Executed orders whose fencing number was lower than the highest seen.
    pub stale_orders: u32,
    pub refused_orders: u32,
    pub refused_reserves: u32,
    highest: Epoch,
    total: Tokens,
    grants: BTreeMap<GrantId, Tokens>,
    requests: BTreeMap<Box<str>, (usize, Duration)>,
}

impl Engine {
    pub fn new(total: Tokens, checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            state: EngineState::default(),
            stale_orders: 0,
            refused_orders: 0,
            refused_reserves: 0,
            highest: 0,
            total,
            grants: BTreeMap::new(),
            requests: BTreeMap::new(),
        }
    }

    pub fn held_tokens_where(&self, filter: impl Fn(&str) -> bool) -> Tokens {
        let grants = self
            .grants
            .iter()
            .filter(|(id, _)| filter(&format_grant(**id)));
        let requests = self.requests.keys().filter(|id| filter(id)).count() as Tokens;
        grants.map(|(_, tokens)| tokens).sum::<Tokens>() + requests * REQUEST_TOKENS
    }

    /// Cancels the requests that ran over the connections of a process that died.
    pub fn connection_closed(&mut self, node: usize) {
        self.requests.retain(|_, (owner, _)| *owner != node);
    }

    pub fn call(&mut self, now: Duration, call: Call) -> (Duration, Reply) {
        self.requests.retain(|_, (_, until)| *until > now);
        let mut work = Duration::ZERO;
        let reply = match call {
            Call::Reserve { grant, tokens } => {
                let fits = self.held_tokens_where(|_| true) + tokens <= self.total;
                let end = if fits || self.grants.contains_key(&grant) {
                    self.grants.insert(grant, tokens);
                    CallOutcome::Done
                } else {
                    self.refused_reserves += 1;
                    CallOutcome::Refused
                };
                Reply::Reserved(grant, end)
            }
            Call::Prefill { grant, tokens, .. } => {
                work = Duration::from_millis(tokens / TOKENS_PER_MS);
                let held = self.grants.contains_key(&grant);
                let end = if held {
                    CallOutcome::Done
                } else {
                    CallOutcome::Refused
                };
                Reply::Prefilled(grant, end)
            }
            Call::Release { grant } => {
                self.grants.remove(&grant);
                Reply::Nothing
            }
            Call::Decode {
                node,
                leader,
                grant,
                id,
            } => {
                work = DECODE_TIME;
                self.requests.insert(id, (node, now + DECODE_TIME));
                Reply::Decoded(leader, self.grants.contains_key(&grant))
            }
            Call::Cancel { id } => {
                self.requests.remove(&id);
                Reply::Nothing
            }
            Call::Holdings { asked } => Reply::Holdings(asked, Some(self.holdings())),
            Call::State => Reply::State(Some(self.state.clone())),
            Call::Order { fence, order } => Reply::Ordered(self.order(fence, order)),
        };
        (work, reply)
    }

    fn holdings(&self) -> Vec<Holding> {
        let grants = self.grants.iter().map(|(id, tokens)| Holding {
            id: format_grant(*id),
            kind: HoldingKind::Grant,
            tokens: *tokens,
        });
        let requests = self.requests.keys().map(|id| Holding {
            id: id.clone(),
            kind: HoldingKind::Request,
            tokens: REQUEST_TOKENS,
        });
        grants.chain(requests).collect()
    }

    fn order(&mut self, fence: Epoch, order: Order) -> OrderResult {
        let stale = fence < self.highest;
        if stale && self.checks_fencing {
            self.refused_orders += 1;
            return OrderResult::Superseded;
        }
        self.stale_orders += u32::from(stale);
        self.highest = self.highest.max(fence);
        if self.checks_fencing {
            self.state.fence = self.highest;
        }
        match order {
            Order::Load(model) => drop(self.state.models.insert(model)),
            Order::Unload(model) => drop(self.state.models.remove(&model)),
            Order::Role(role) => self.state.role = role,
            Order::Adapter(_) => {}
        }
        OrderResult::Accepted
    }
}
