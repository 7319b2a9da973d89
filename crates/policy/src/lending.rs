//! Limits of teams over all gateways: a home gateway lends blocks of tokens to the others.
//!
//! The home of a team is found by rendezvous hashing over the gateways, so no store is asked. A
//! block is charged when it is lent and lapses after a short time. What is lost on the way, or
//! with its borrower or home, is never lent again: the limit errs on the tight side.

use crate::affinity::rendezvous_weight;
use crate::home_history::HOME_HANDOVER;
use proto::prelude::*;
use proto::{LendAnswer, LendRequest};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

const BLOCK_VALID: Duration = Duration::from_secs(2);
const BURST: Duration = Duration::from_secs(2);
const ANSWER_TIME: Duration = Duration::from_millis(200);
const LOST_PAUSE: Duration = Duration::from_millis(100);
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(50);
const MOST_RETRY_AFTER: Duration = Duration::from_secs(5);
const REFILL_PART: u64 = 4;
const IDLE: Duration = Duration::from_secs(60);

/// The gateway at which a team's limit is kept.
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
    at: Duration,
}

/// The part that lends. Only teams that asked lately take memory.
#[derive(Debug, Default)]
pub struct QuotaLender {
    buckets: BTreeMap<TeamId, Bucket>,
}

impl QuotaLender {
    /// Answers a borrower. `rate` is the team's limit in tokens a second; `since` tells since when
    /// this gateway is the team's home. A new home knows nothing of what an earlier one lent, and
    /// so lends nothing until that has lapsed and all gateways know of the change.
    pub fn lend(
        &mut self,
        now: Duration,
        rate: u64,
        since: Duration,
        req: &LendRequest,
    ) -> LendAnswer {
        self.evict_idle(now);
        let full = rate as f64 * BURST.as_secs_f64();
        let first = Bucket {
            tokens: 0.0,
            at: since + HOME_HANDOVER,
        };
        let bucket = self.buckets.entry(req.team.clone()).or_default();
        if bucket.at < first.at {
            *bucket = first;
        }
        let earned = now.saturating_sub(bucket.at).as_secs_f64() * rate as f64;
        bucket.tokens = (bucket.tokens + earned + req.returned as f64).min(full);
        bucket.at = bucket.at.max(now);
        let tokens = (bucket.tokens.max(0.0) as u64).min(req.tokens);
        bucket.tokens -= tokens as f64;
        let lacking = (req.tokens - tokens) as f64 / (rate.max(1)) as f64;
        let wait = bucket.at.saturating_sub(now) + Duration::from_secs_f64(lacking.min(60.0));
        LendAnswer {
            tokens,
            valid: BLOCK_VALID,
            retry_after: wait.clamp(LEAST_RETRY_AFTER, MOST_RETRY_AFTER),
        }
    }

    fn evict_idle(&mut self, now: Duration) {
        if self.buckets.len() > 64 {
            self.buckets.retain(|_, bucket| bucket.at + IDLE > now);
        }
    }
}

/// What a gateway may do with a request of a team that has a limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The request may go.
    Granted,
    /// The tokens must be borrowed first: the request waits for the answer.
    Borrow,
    /// The team is over its limit.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
}

#[derive(Debug, Default)]
struct Account {
    tokens: u64,
    expires: Duration,
    asked: u64,
    asked_at: Option<Duration>,
    refused_until: Duration,
    used_lately: u64,
    seen: Duration,
}

/// The part that borrows, at each gateway.
#[derive(Debug, Default)]
pub struct QuotaBorrower {
    accounts: BTreeMap<TeamId, Account>,
}

impl QuotaBorrower {
    /// Takes tokens for a request of a team. On [`QuotaDecision::Borrow`], `request` tells what to ask
    /// for, unless an answer is already under way.
    pub fn try_take(&mut self, now: Duration, team: &str, tokens: Tokens) -> QuotaDecision {
        let account = self.account(now, team);
        if account.tokens >= tokens {
            account.tokens -= tokens;
            account.used_lately += tokens;
            return QuotaDecision::Granted;
        }
        if now < account.refused_until {
            let retry_after = account.refused_until - now;
            return QuotaDecision::Refused { retry_after };
        }
        QuotaDecision::Borrow
    }

    /// What to ask the home for so that `tokens` can be taken; none while an answer is awaited.
    pub fn borrow_request(
        &mut self,
        now: Duration,
        borrower: &NodeId,
        team: &str,
        tokens: Tokens,
    ) -> Option<LendRequest> {
        let account = self.account(now, team);
        let awaited = account.asked_at.is_some_and(|at| now < at + ANSWER_TIME);
        if awaited {
            return None;
        }
        account.asked_at = Some(now);
        let ahead = account.used_lately / REFILL_PART;
        account.used_lately = 0;
        account.asked = tokens.saturating_sub(account.tokens) + ahead;
        Some(LendRequest {
            borrower: borrower.clone(),
            team: team.into(),
            tokens: account.asked,
            returned: 0,
        })
    }

    /// Takes the home's answer.
    pub fn on_answer(&mut self, now: Duration, team: &str, answer: &LendAnswer) {
        let account = self.account(now, team);
        let Some(asked_at) = account.asked_at.take() else {
            return;
        };
        account.tokens += answer.tokens;
        account.expires = asked_at + answer.valid;
        if answer.tokens < account.asked {
            account.refused_until = now + answer.retry_after;
        }
    }

    /// Notes that the home did not answer: nothing was lent.
    pub fn on_no_answer(&mut self, now: Duration, team: &str) {
        let account = self.account(now, team);
        account.asked_at = None;
        account.refused_until = now + LOST_PAUSE;
    }

    /// Gives back tokens that a request took and did not use.
    pub fn refund(&mut self, now: Duration, team: &str, tokens: Tokens) {
        let account = self.account(now, team);
        if now < account.expires {
            account.tokens += tokens;
        }
    }

    /// Forgets teams without requests for a while.
    pub fn evict_idle(&mut self, now: Duration) {
        self.accounts.retain(|_, account| account.seen + IDLE > now);
    }

    fn account(&mut self, now: Duration, team: &str) -> &mut Account {
        if !self.accounts.contains_key(team) {
            self.accounts.insert(team.into(), Account::default());
        }
        let account = self.accounts.entry(team.into()).or_default();
        account.seen = now;
        if now >= account.expires {
            account.tokens = 0;
        }
        account
    }
}
