//! Enforces teams' rate limits across all gateways. Each team has a home gateway, which lends
//! blocks of the team's tokens to the other gateways.

use crate::caller_error::CallerError;
use async_io::Timer;
use node::SharedClusterView;
use policy::{HomeHistory, QuotaBorrower, QuotaDecision, QuotaLender};
use proto::{LendAnswer, LendRequest, NodeId, RefusalReason, StreamOpening, Tokens};
use runtime::{Clock, LinkEndpoint, LinkError, Role, Timeline, timeout};
use slog::{Logger, debug};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

const SHARDS: usize = 16;
const BURST_SECONDS: u64 = 2;
const LEND_TIMEOUT: Duration = Duration::from_millis(200);
const ADMISSION_TIMEOUT: Duration = Duration::from_secs(1);
const BORROW_POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Debug)]
struct Shard {
    borrower: QuotaBorrower,
    lender: QuotaLender,
}

/// The home gateway of a team, as this gateway sees it.
enum HomeGateway {
    Here,
    At(SocketAddr),
    /// There is no home gateway, or its address is unknown.
    Unknown,
}

/// Borrows tokens for this gateway's requests, and lends tokens of the teams whose home is this
/// gateway.
#[derive(Debug)]
pub struct TeamLimits {
    node: NodeId,
    view: Arc<SharedClusterView>,
    link: Arc<LinkEndpoint>,
    timeline: Arc<Timeline>,
    clock: Clock,
    shards: Vec<Mutex<Shard>>,
    homes: RwLock<HomeHistory>,
    log: Logger,
}

impl TeamLimits {
    /// Creates the limits without any borrowed tokens. `node` is this gateway's name in the
    /// membership.
    pub fn new(
        node: NodeId,
        view: Arc<SharedClusterView>,
        link: Arc<LinkEndpoint>,
        timeline: Arc<Timeline>,
        log: Logger,
    ) -> Self {
        let clock = Clock::default();
        let shard = || Shard {
            borrower: QuotaBorrower::default(),
            lender: QuotaLender::default(),
        };
        Self {
            homes: RwLock::new(HomeHistory::new(node.clone())),
            node,
            view,
            link,
            timeline,
            clock,
            shards: (0..SHARDS).map(|_| Mutex::new(shard())).collect(),
            log,
        }
    }

    /// Takes tokens from a team's quota, and borrows more if there are too few. Fails if the team
    /// is over its limit, or if no tokens could be borrowed within a second. A request never takes
    /// more than two seconds of the team's rate.
    pub async fn admit(&self, team: &str, tokens: Tokens) -> Result<(), CallerError> {
        let Some(rate) = self.rate(team) else {
            return Ok(());
        };
        let tokens = tokens.min(rate.saturating_mul(BURST_SECONDS));
        let over_limit = |after| CallerError::Refused(RefusalReason::TeamLimit, after);
        let admitted = timeout(ADMISSION_TIMEOUT, self.take_tokens(team, tokens)).await;
        match admitted {
            Ok(Ok(())) => Ok(()),
            Ok(Err(retry_after)) => Err(over_limit(retry_after)),
            Err(_) => Err(over_limit(ADMISSION_TIMEOUT)),
        }
    }

    /// Refunds the tokens that [`TeamLimits::admit`] took for a request that did not run.
    pub fn refund(&self, team: &str, tokens: Tokens) {
        let Some(rate) = self.rate(team) else {
            return;
        };
        let tokens = tokens.min(rate.saturating_mul(BURST_SECONDS));
        let now = self.clock.now();
        self.shard(team).borrower.refund(now, team, tokens);
    }

    /// Handles a lend request of another gateway, or of this one. Lends nothing for a team that has
    /// no limit, is unknown, or has another home gateway as far as this gateway knows.
    pub fn lend(&self, request: &LendRequest) -> LendAnswer {
        let since = self.homes().home_since(&request.team);
        let rate = since.and(self.rate(&request.team)).unwrap_or(0);
        let now = self.clock.now();
        let since = since.unwrap_or(now);
        self.shard(&request.team)
            .lender
            .lend(now, rate, since, request)
    }

    /// Recomputes the home gateways from the current membership.
    pub fn update_gateways(&self) {
        let gateways = self.live_gateways();
        let mut homes = self.homes.write().unwrap_or_else(PoisonError::into_inner);
        homes.set_gateways(self.clock.now(), gateways);
    }

    async fn take_tokens(&self, team: &str, tokens: Tokens) -> Result<(), Duration> {
        loop {
            let now = self.clock.now();
            let decision = self.shard(team).borrower.try_take(now, team, tokens);
            match decision {
                QuotaDecision::Granted => return Ok(()),
                QuotaDecision::Refused { retry_after } => return Err(retry_after),
                QuotaDecision::Borrow => self.borrow(team, tokens).await,
            }
        }
    }

    async fn borrow(&self, team: &str, tokens: Tokens) {
        let now = self.clock.now();
        let request = self
            .shard(team)
            .borrower
            .borrow_request(now, &self.node, team, tokens);
        let Some(request) = request else {
            // Another request of the team is already waiting for the reply.
            Timer::after(BORROW_POLL_INTERVAL).await;
            return;
        };
        let reply = match self.home_of(team) {
            HomeGateway::Here => Some(self.lend(&request)),
            HomeGateway::At(address) => self.request_loan(address, request).await,
            HomeGateway::Unknown => None,
        };
        let now = self.clock.now();
        let mut shard = self.shard(team);
        match reply {
            Some(reply) => shard.borrower.on_answer(now, team, &reply),
            None => shard.borrower.on_no_answer(now, team),
        }
    }

    async fn request_loan(&self, home: SocketAddr, request: LendRequest) -> Option<LendAnswer> {
        match timeout(LEND_TIMEOUT, self.send_lend_request(home, request)).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(err)) => {
                debug!(self.log, "limits: lend request to the home gateway failed"; "err" => %err);
                None
            }
            Err(_) => {
                debug!(self.log, "limits: home gateway did not reply in time"; "peer" => %home);
                None
            }
        }
    }

    async fn send_lend_request(
        &self,
        home: SocketAddr,
        request: LendRequest,
    ) -> Result<Option<LendAnswer>, LinkError> {
        let stamp = self.timeline.stamp();
        let opening = StreamOpening::Lend { stamp, request };
        let (mut tx, mut rx) = self.link.open(home, Role::Gateway, &opening).await?;
        tx.finish();
        rx.receive().await
    }

    fn home_of(&self, team: &str) -> HomeGateway {
        match self.homes().home(team) {
            Some(home) if *home == self.node => HomeGateway::Here,
            Some(home) => self
                .address_of(home)
                .map_or(HomeGateway::Unknown, HomeGateway::At),
            None => HomeGateway::Unknown,
        }
    }

    fn homes(&self) -> RwLockReadGuard<'_, HomeHistory> {
        self.homes.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn address_of(&self, node: &NodeId) -> Option<SocketAddr> {
        let view = self.view.get();
        view.members.nodes.get(node).map(|member| member.address)
    }

    fn live_gateways(&self) -> BTreeSet<NodeId> {
        let view = self.view.get();
        let live = view
            .members
            .gateways()
            .filter(|member| !member.down && !member.leaving);
        let mut names: BTreeSet<NodeId> = live.map(|member| member.node.clone()).collect();
        names.insert(self.node.clone());
        names
    }

    fn rate(&self, team: &str) -> Option<u64> {
        self.view.get().declared.team(team)?.tokens_per_second
    }

    fn shard(&self, team: &str) -> MutexGuard<'_, Shard> {
        lock(&self.shards[xxh3_64(team.as_bytes()) as usize % SHARDS])
    }
}

fn lock(shard: &Mutex<Shard>) -> MutexGuard<'_, Shard> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
