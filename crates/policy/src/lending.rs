//! Fleet-wide token rate limits of teams: a team's home gateway lends blocks of tokens to the
//! other gateways.
//!
//! The home gateway of a team is found by rendezvous hashing over the gateways, without asking the
//! table service. A block is deducted from the team's token bucket when it is lent, and expires
//! after a short time. Tokens that are lost with a message, a borrower or a home gateway are not
//! lent again, so losses make the limit stricter, never looser.

use crate::affinity::rendezvous_weight;
use crate::home_history::HOME_HANDOVER;
use proto::prelude::*;
use proto::{LendAnswer, LendRequest};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

const BLOCK_LIFETIME: Duration = Duration::from_secs(2);
const BURST_WINDOW: Duration = Duration::from_secs(2);
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);
const NO_ANSWER_BACKOFF: Duration = Duration::from_millis(100);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// A borrower also requests the tokens used since its last request, divided by this.
const PREFETCH_DIVISOR: u64 = 4;
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The gateway that keeps a team's limit; `None` if there are no gateways.
pub fn home_gateway<'a>(
    team: &str,
    gateways: impl Iterator<Item = &'a NodeId>,
) -> Option<&'a NodeId> {
    let key = xxh3_64(team.as_bytes());
    gateways.max_by_key(|node| rendezvous_weight(key, xxh3_64(node.as_bytes())))
}

#[derive(Debug, Default)]
struct Bucket {
    tokens: f64,
    refilled_at: Duration,
}

/// The lending side, which keeps one token bucket per team. Buckets of idle teams are dropped, so
/// that only teams with recent requests take memory.
#[derive(Debug, Default)]
pub struct QuotaLender {
    buckets: BTreeMap<TeamId, Bucket>,
}

impl QuotaLender {
    /// Answers a borrower. `rate` is the team's limit in tokens per second; `since` is the time at
    /// which this gateway became the team's home gateway.
    ///
    /// A new home gateway does not know what the previous one lent, so it lends nothing until those
    /// blocks have expired and all gateways know of the change ([`HOME_HANDOVER`]).
    pub fn lend(
        &mut self,
        now: Duration,
        rate: u64,
        since: Duration,
        req: &LendRequest,
    ) -> LendAnswer {
        self.evict_idle(now);
        let capacity = rate as f64 * BURST_WINDOW.as_secs_f64();
        let initial = Bucket {
            tokens: 0.0,
            refilled_at: since + HOME_HANDOVER,
        };
        let bucket = self.buckets.entry(req.team.clone()).or_default();
        if bucket.refilled_at < initial.refilled_at {
            *bucket = initial;
        }
        let refill = now.saturating_sub(bucket.refilled_at).as_secs_f64() * rate as f64;
        bucket.tokens = (bucket.tokens + refill + req.returned as f64).min(capacity);
        bucket.refilled_at = bucket.refilled_at.max(now);
        let tokens = (bucket.tokens.max(0.0) as u64).min(req.tokens);
        bucket.tokens -= tokens as f64;
        let missing_seconds = (req.tokens - tokens) as f64 / (rate.max(1)) as f64;
        let wait = bucket.refilled_at.saturating_sub(now)
            + Duration::from_secs_f64(missing_seconds.min(60.0));
        LendAnswer {
            tokens,
            valid: BLOCK_LIFETIME,
            retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }

    fn evict_idle(&mut self, now: Duration) {
        if self.buckets.len() > 64 {
            self.buckets
                .retain(|_, bucket| bucket.refilled_at + IDLE_TIMEOUT > now);
        }
    }
}

/// Decision on a request of a team that has a limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The tokens were taken; the request may proceed.
    Granted,
    /// The tokens must be borrowed first; the request waits for the answer of the home gateway.
    Borrow,
    /// The team is over its limit.
    Refused {
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
}

#[derive(Debug, Default)]
struct Account {
    tokens: u64,
    expires_at: Duration,
    requested: u64,
    requested_at: Option<Duration>,
    refused_until: Duration,
    used_since_request: u64,
    last_used: Duration,
}

/// The borrowing side, which every gateway has.
#[derive(Debug, Default)]
pub struct QuotaBorrower {
    accounts: BTreeMap<TeamId, Account>,
}

impl QuotaBorrower {
    /// Takes tokens for a request of a team, if there are enough. [`QuotaDecision::Borrow`] is to
    /// be followed by [`QuotaBorrower::borrow_request`].
    pub fn try_take(&mut self, now: Duration, team: &str, tokens: Tokens) -> QuotaDecision {
        let account = self.account(now, team);
        if account.tokens >= tokens {
            account.tokens -= tokens;
            account.used_since_request += tokens;
            return QuotaDecision::Granted;
        }
        if now < account.refused_until {
            let retry_after = account.refused_until - now;
            return QuotaDecision::Refused { retry_after };
        }
        QuotaDecision::Borrow
    }

    /// The request to the home gateway that is needed before `tokens` can be taken; `None` while an
    /// earlier request is pending. It also asks for a part of the tokens used since the last
    /// request, to save later requests.
    pub fn borrow_request(
        &mut self,
        now: Duration,
        borrower: &NodeId,
        team: &str,
        tokens: Tokens,
    ) -> Option<LendRequest> {
        let account = self.account(now, team);
        let is_pending = account
            .requested_at
            .is_some_and(|at| now < at + RESPONSE_TIMEOUT);
        if is_pending {
            return None;
        }
        account.requested_at = Some(now);
        let prefetch = account.used_since_request / PREFETCH_DIVISOR;
        account.used_since_request = 0;
        account.requested = tokens.saturating_sub(account.tokens) + prefetch;
        Some(LendRequest {
            borrower: borrower.clone(),
            team: team.into(),
            tokens: account.requested,
            returned: 0,
        })
    }

    /// Handles the home gateway's answer. An answer without a pending request is ignored.
    pub fn on_answer(&mut self, now: Duration, team: &str, answer: &LendAnswer) {
        let account = self.account(now, team);
        let Some(requested_at) = account.requested_at.take() else {
            return;
        };
        account.tokens += answer.tokens;
        account.expires_at = requested_at + answer.valid;
        if answer.tokens < account.requested {
            account.refused_until = now + answer.retry_after;
        }
    }

    /// Handles a request that the home gateway did not answer: nothing is borrowed, and requests
    /// that need more tokens are refused during a short backoff.
    pub fn on_no_answer(&mut self, now: Duration, team: &str) {
        let account = self.account(now, team);
        account.requested_at = None;
        account.refused_until = now + NO_ANSWER_BACKOFF;
    }

    /// Returns tokens that a request took but did not use. They are dropped if the team's borrowed
    /// tokens have expired in the meantime.
    pub fn refund(&mut self, now: Duration, team: &str, tokens: Tokens) {
        let account = self.account(now, team);
        if now < account.expires_at {
            account.tokens += tokens;
        }
    }

    /// Drops the state of teams without recent requests.
    pub fn evict_idle(&mut self, now: Duration) {
        self.accounts
            .retain(|_, account| account.last_used + IDLE_TIMEOUT > now);
    }

    fn account(&mut self, now: Duration, team: &str) -> &mut Account {
        if !self.accounts.contains_key(team) {
            self.accounts.insert(team.into(), Account::default());
        }
        let account = self.accounts.entry(team.into()).or_default();
        account.last_used = now;
        if now >= account.expires_at {
            account.tokens = 0;
        }
        account
    }
}
