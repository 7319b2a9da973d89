//! A simulated gateway: server selection and retries, with the product's policy or a baseline.

use crate::sim_trace::SimRequest;
use declarations::{Declarations, Domain, Server, ServerKind};
use policy::{
    Baseline, BaselineRouter, FailedAttempt, Member, Members, RetryBudget, RetryBudgetConfig,
    Router, RouterConfig, RoutingRequest, is_worth_retrying, may_retry, predicted_response_time,
};
use proto::{Execution, Hints, ServerId};
use std::sync::Arc;
use std::time::Duration;

/// The policy that all gateways and agents of a run use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SimPolicy {
    /// The product's router, scheduler and retry budget.
    Product,
    /// Round-robin routing and FIFO scheduling, without retries.
    RoundRobinFifo,
    /// Least-outstanding routing and FIFO scheduling, without retries.
    LeastOutstandingFifo,
    /// Least-outstanding routing and FIFO scheduling, with up to three attempts per request. Each
    /// attempt times out after a third of the request's time limit and is not cancelled.
    ThreeRetries,
}

impl SimPolicy {
    /// All policies, in the order of the report.
    pub const ALL: [Self; 4] = [
        Self::Product,
        Self::RoundRobinFifo,
        Self::LeastOutstandingFifo,
        Self::ThreeRetries,
    ];

    /// Name of the policy in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::RoundRobinFifo => "round-robin-fifo",
            Self::LeastOutstandingFifo => "least-outstanding-fifo",
            Self::ThreeRetries => "three-retries",
        }
    }
}

const MAX_ATTEMPTS: u32 = 3;

/// The gateway's router: the product's or a baseline.
#[derive(Debug)]
enum GatewayRouter {
    Product(Box<Router>),
    Baseline(BaselineRouter),
}

/// A simulated gateway.
#[derive(Debug)]
pub struct SimGateway {
    policy: SimPolicy,
    router: GatewayRouter,
    retry_budget: RetryBudget,
}

impl SimGateway {
    /// Creates the gateway with index `number` for a fleet of `servers` backend servers.
    pub fn new(policy: SimPolicy, number: usize, servers: usize) -> Self {
        let names = (0..servers).map(server_name).collect();
        let router = match policy {
            SimPolicy::Product => GatewayRouter::Product(Box::new(product_router(number, servers))),
            SimPolicy::RoundRobinFifo => {
                GatewayRouter::Baseline(BaselineRouter::new(Baseline::RoundRobin, names, number))
            }
            SimPolicy::LeastOutstandingFifo | SimPolicy::ThreeRetries => GatewayRouter::Baseline(
                BaselineRouter::new(Baseline::LeastOutstanding, names, number),
            ),
        };
        Self {
            policy,
            router,
            retry_budget: RetryBudget::new(RetryBudgetConfig::default()),
        }
    }

    /// Counts a new request towards the retry budget.
    pub fn on_request(&mut self) {
        self.retry_budget.on_first_attempt();
    }

    /// Chooses the server for the next attempt and returns its index; `None` refuses the request.
    pub fn choose(
        &mut self,
        now: Duration,
        request: &SimRequest,
        tried: &[ServerId],
    ) -> Option<usize> {
        let routing_request = RoutingRequest {
            team: "team",
            model: Some("m"),
            service: None,
            prompt_tokens: request.prompt_tokens,
            output_tokens: request.output_tokens,
            remaining: request.arrives_at + request.time_limit - now,
            prefixes: &[],
            tried,
        };
        let server = match &mut self.router {
            GatewayRouter::Product(router) => {
                let server = router.choose(now, &routing_request).ok()?;
                router.on_offered(&server);
                server
            }
            GatewayRouter::Baseline(router) => router.choose(&routing_request)?,
        };
        server[1..].parse().ok()
    }

    /// Handles the end of an attempt, with the hints that came with it.
    pub fn on_attempt_ended(&mut self, now: Duration, server: usize, hints: Option<&Hints>) {
        let name = server_name(server);
        match &mut self.router {
            GatewayRouter::Product(router) => {
                router.on_ended(&name);
                if let Some(hints) = hints {
                    router.observe(now, hints);
                }
            }
            GatewayRouter::Baseline(router) => router.on_attempt_ended(&name),
        }
    }

    /// Passes an agent's load hints to the router; a baseline ignores them.
    pub fn on_hints(&mut self, now: Duration, hints: &Hints) {
        if let GatewayRouter::Product(router) = &mut self.router {
            router.observe(now, hints);
        }
    }

    /// Tells the retry budget that a response was complete.
    pub fn on_complete_response(&mut self) {
        self.retry_budget.on_answer();
    }

    /// Whether to start another attempt after a failed one; spends from the retry budget.
    pub fn may_retry(
        &mut self,
        now: Duration,
        request: &SimRequest,
        attempts: u32,
        failed: FailedAttempt,
        hints: Option<&Hints>,
    ) -> bool {
        let remaining = (request.arrives_at + request.time_limit).saturating_sub(now);
        let is_retryable = attempts < MAX_ATTEMPTS && may_retry(failed) && !remaining.is_zero();
        match self.policy {
            SimPolicy::RoundRobinFifo | SimPolicy::LeastOutstandingFifo => false,
            SimPolicy::ThreeRetries => is_retryable,
            SimPolicy::Product => {
                let service = hints.map_or(Duration::ZERO, |hints| {
                    predicted_response_time(hints, request.prompt_tokens, request.output_tokens)
                        .saturating_sub(hints.queue_delay)
                });
                let allowed = is_retryable
                    && is_worth_retrying(remaining, service)
                    && self.retry_budget.try_spend(now);
                if failed.execution == Execution::MayHaveRun || !allowed {
                    self.retry_budget.on_overload(now);
                }
                allowed
            }
        }
    }

    /// Time after which the caller starts another attempt without cancelling this one; `None` for
    /// policies without such a timeout.
    pub fn attempt_timeout(&self, request: &SimRequest) -> Option<Duration> {
        (self.policy == SimPolicy::ThreeRetries).then(|| request.time_limit / MAX_ATTEMPTS)
    }
}

/// Name of the simulated server with this index.
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
