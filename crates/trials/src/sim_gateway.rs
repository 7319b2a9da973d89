//! One simulated gateway: its choices and retries, with the policy of the run or a baseline's.

use crate::sim_trace::SimRequest;
use declarations::{Declarations, Domain, Server, ServerKind};
use policy::{
    Baseline, BaselineRouter, FailedAttempt, Member, Members, RetryBudget, RetryBudgetConfig,
    Router, RouterConfig, RoutingRequest, is_worth_retrying, may_retry, predicted_response_time,
};
use proto::{Execution, Hints, ServerId};
use std::sync::Arc;
use std::time::Duration;

/// Policy of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SimPolicy {
    /// The product's decisions.
    Product,
    /// Round robin, and service in order of arrival.
    RoundRobinFifo,
    /// Least outstanding, and service in order of arrival.
    LeastOutstandingFifo,
    /// Least outstanding, and up to three attempts for each request, each given up after a third
    /// of its time without cancelling it.
    ThreeRetries,
}

impl SimPolicy {
    /// All of them.
    pub const ALL: [Self; 4] = [
        Self::Product,
        Self::RoundRobinFifo,
        Self::LeastOutstandingFifo,
        Self::ThreeRetries,
    ];

    /// Name in figures.
    pub fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::RoundRobinFifo => "round-robin-fifo",
            Self::LeastOutstandingFifo => "least-outstanding-fifo",
            Self::ThreeRetries => "three-retries",
        }
    }
}

const MOST_ATTEMPTS: u32 = 3;

/// Chooses for one gateway.
#[derive(Debug)]
enum Choice {
    Policy(Box<Router>),
    Baseline(BaselineRouter),
}

/// A gateway.
#[derive(Debug)]
pub struct SimGateway {
    policy: SimPolicy,
    choice: Choice,
    budget: RetryBudget,
}

impl SimGateway {
    /// The gateway of that number before `servers` servers.
    pub fn new(policy: SimPolicy, number: usize, servers: usize) -> Self {
        let names = (0..servers).map(server_name).collect();
        let choice = match policy {
            SimPolicy::Product => Choice::Policy(Box::new(product_router(number, servers))),
            SimPolicy::RoundRobinFifo => {
                Choice::Baseline(BaselineRouter::new(Baseline::RoundRobin, names, number))
            }
            SimPolicy::LeastOutstandingFifo | SimPolicy::ThreeRetries => Choice::Baseline(
                BaselineRouter::new(Baseline::LeastOutstanding, names, number),
            ),
        };
        Self {
            policy,
            choice,
            budget: RetryBudget::new(RetryBudgetConfig::default()),
        }
    }

    /// Notes a request that came.
    pub fn on_request(&mut self) {
        self.budget.on_first_attempt();
    }

    /// Chooses a server.
    pub fn choose(
        &mut self,
        now: Duration,
        request: &SimRequest,
        tried: &[ServerId],
    ) -> Option<usize> {
        let ask = RoutingRequest {
            team: "team",
            model: Some("m"),
            service: None,
            prompt_tokens: request.prompt,
            output_tokens: request.output,
            remaining: request.at + request.time - now,
            prefixes: &[],
            tried,
        };
        let server = match &mut self.choice {
            Choice::Policy(router) => {
                let server = router.choose(now, &ask).ok()?;
                router.on_offered(&server);
                server
            }
            Choice::Baseline(router) => router.choose(&ask)?,
        };
        server[1..].parse().ok()
    }

    /// Notes the end of an attempt, with the hints that it brought.
    pub fn on_ended(&mut self, now: Duration, server: usize, hints: Option<&Hints>) {
        let name = server_name(server);
        match &mut self.choice {
            Choice::Policy(router) => {
                router.on_ended(&name);
                if let Some(hints) = hints {
                    router.observe(now, hints);
                }
            }
            Choice::Baseline(router) => router.on_attempt_ended(&name),
        }
    }

    /// Takes hints of an agent.
    pub fn observe(&mut self, now: Duration, hints: &Hints) {
        if let Choice::Policy(router) = &mut self.choice {
            router.observe(now, hints);
        }
    }

    /// Notes a whole answer.
    pub fn on_answer(&mut self) {
        self.budget.on_answer();
    }

    /// Whether to make another attempt after one that brought nothing.
    pub fn may_retry(
        &mut self,
        now: Duration,
        request: &SimRequest,
        attempts: u32,
        end: FailedAttempt,
        hints: Option<&Hints>,
    ) -> bool {
        let remaining = (request.at + request.time).saturating_sub(now);
        let more = attempts < MOST_ATTEMPTS && may_retry(end) && !remaining.is_zero();
        match self.policy {
            SimPolicy::RoundRobinFifo | SimPolicy::LeastOutstandingFifo => false,
            SimPolicy::ThreeRetries => more,
            SimPolicy::Product => {
                let service = hints.map_or(Duration::ZERO, |hints| {
                    predicted_response_time(hints, request.prompt, request.output)
                        .saturating_sub(hints.queue_delay)
                });
                let allowed =
                    more && is_worth_retrying(remaining, service) && self.budget.try_spend(now);
                if end.execution == Execution::MayHaveRun || !allowed {
                    self.budget.on_overload(now);
                }
                allowed
            }
        }
    }

    /// Time after which the caller gives an attempt up without cancelling it; none where it does
    /// not.
    pub fn attempt_time(&self, request: &SimRequest) -> Option<Duration> {
        (self.policy == SimPolicy::ThreeRetries).then(|| request.time / MOST_ATTEMPTS)
    }
}

/// Name of a simulated server.
pub fn server_name(index: usize) -> ServerId {
    format!("s{index}").into()
}

fn product_router(number: usize, servers: usize) -> Router {
    let domain = |n: usize| format!("d{}", n % 3);
    let domains = (0..3).map(|n| Domain {
        name: domain(n).into(),
        region: "r".into(),
        out: false,
    });
    let server = |n: usize| Server {
        name: server_name(n),
        kind: ServerKind::Engine,
        host: format!("h{n}").into(),
        domain: domain(n).into(),
        models: Vec::new(),
        service: None,
        memory_bytes: 0,
        warm_limit: 64,
        cold_limit: 2,
        checks_fencing: false,
        checks_identity: false,
        prefill_rate: None,
        decode_interval_ms: None,
        can_suspend: true,
        drained: false,
    };
    let member = |n: usize| Member {
        node: format!("a{n}").into(),
        host: format!("h{n}").into(),
        domain: domain(n).into(),
        address: ([127, 0, 0, 1], 1).into(),
        server: Some(server_name(n)),
        epoch: 1,
        leaving: false,
        down: false,
    };
    let declared = Declarations {
        domains: domains.collect(),
        servers: (0..servers).map(server).collect(),
        ..Declarations::default()
    };
    let members = Members {
        nodes: (0..servers)
            .map(|n| (member(n).node.clone(), member(n)))
            .collect(),
    };
    let mut router = Router::new(RouterConfig {
        domain: domain(number).into(),
        retry_after: Duration::from_secs(1),
        seed: number as u64,
    });
    router.configure(Arc::new(declared), Arc::new(members));
    router
}
