//! Limits of teams over all gateways, by blocks of tokens that a home gateway lends.

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

/// Where a team's limit is kept.
enum HomeGateway {
    Here,
    At(SocketAddr),
    Unknown,
}

/// Borrows for this gateway's requests, and lends where this gateway is a team's home.
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
    /// Limits as this gateway keeps them; `node` is its name among the members.
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

    /// Takes tokens of a team's limit, and borrows where there are too few; an error where the
    /// team is over its limit or its home does not answer.
    pub async fn admit(&self, team: &str, tokens: Tokens) -> Result<(), CallerError> {
        let Some(rate) = self.rate(team) else {
            return Ok(());
        };
        let tokens = tokens.min(rate.saturating_mul(BURST_SECONDS));
        let over = |after| CallerError::Refused(RefusalReason::TeamLimit, after);
        let admitted = timeout(ADMISSION_TIMEOUT, self.take_tokens(team, tokens)).await;
        match admitted {
            Ok(Ok(())) => Ok(()),
            Ok(Err(retry_after)) => Err(over(retry_after)),
            Err(_) => Err(over(ADMISSION_TIMEOUT)),
        }
    }

    /// Gives back what a request took that did not run.
    pub fn refund(&self, team: &str, tokens: Tokens) {
        let Some(rate) = self.rate(team) else {
            return;
        };
        let tokens = tokens.min(rate.saturating_mul(BURST_SECONDS));
        let now = self.clock.now();
        self.shard(team).borrower.refund(now, team, tokens);
    }

    /// Answers another gateway. A team without a limit, unknown here, or with another home as far
    /// as this gateway knows, is lent nothing.
    pub fn lend(&self, request: &LendRequest) -> LendAnswer {
        let since = self.homes().home_since(&request.team);
        let rate = since.and(self.rate(&request.team)).unwrap_or(0);
        let now = self.clock.now();
        let since = since.unwrap_or(now);
        self.shard(&request.team)
            .lender
            .lend(now, rate, since, request)
    }

    /// Takes a changed membership into account.
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
            // Another request of the team awaits the answer.
            Timer::after(BORROW_POLL_INTERVAL).await;
            return;
        };
        let answer = match self.home_of(team) {
            HomeGateway::Here => Some(self.lend(&request)),
            HomeGateway::At(address) => self.request_loan(address, request).await,
            HomeGateway::Unknown => None,
        };
        let now = self.clock.now();
        let mut shard = self.shard(team);
        match answer {
            Some(answer) => shard.borrower.on_answer(now, team, &answer),
            None => shard.borrower.on_no_answer(now, team),
        }
    }

    async fn request_loan(&self, home: SocketAddr, request: LendRequest) -> Option<LendAnswer> {
        match timeout(LEND_TIMEOUT, self.send_lend_request(home, request)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(err)) => {
                debug!(self.log, "limits: home not asked"; "err" => %err);
                None
            }
            Err(_) => {
                debug!(self.log, "limits: home does not answer"; "peer" => %home);
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
