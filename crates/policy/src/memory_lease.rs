//! Leases on engine memory for spans: prompts that several engines prefill together. Memory of
//! running requests and of the prefix cache is accounted for, but not leased.

use proto::prelude::*;
use proto::{GrantId, SpanTicket};
use std::collections::BTreeMap;

/// Settings of [`MemoryLeases`].
#[derive(Debug, Clone, PartialEq)]
pub struct MemoryConfig {
    /// Size of the engine's memory, in tokens of KV cache.
    pub total_tokens: Tokens,
    /// Memory that is never granted to spans, so that short prompts always find some.
    pub short_prompt_tokens: Tokens,
    /// Limit on spans that hold memory at the same time.
    pub max_spans: usize,
    /// Limit on the duration of a lease.
    pub max_lease: Duration,
    /// How long a refused span keeps its place in the order without asking again.
    pub earmark_ttl: Duration,
    /// Time after which a refused span should ask again.
    pub retry_after: Duration,
}

impl MemoryConfig {
    /// Settings for an engine with memory for `total_tokens`, of which spans may hold three
    /// quarters.
    pub fn for_engine(total_tokens: Tokens) -> Self {
        Self {
            total_tokens,
            short_prompt_tokens: total_tokens - span_capacity(total_tokens),
            max_spans: 2,
            max_lease: Duration::from_secs(10),
            earmark_ttl: Duration::from_secs(3),
            retry_after: Duration::from_millis(200),
        }
    }
}

/// Part of the memory that spans may hold, as numerator and denominator.
const SPAN_FRACTION: (Tokens, Tokens) = (3, 4);

/// Tokens that spans may hold in an engine with memory for `total_tokens`.
pub fn span_capacity(total_tokens: Tokens) -> Tokens {
    total_tokens / SPAN_FRACTION.1 * SPAN_FRACTION.0
}

/// Why memory was not granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantError {
    /// The span needs more than all spans together may ever hold.
    TooLarge,
    /// The memory is in use, or an older span has priority.
    Busy,
    /// The grant was released or has expired. Its id is never used again.
    Closed,
}

#[derive(Debug)]
struct Lease {
    ticket: SpanTicket,
    tokens: Tokens,
    expires: Duration,
}

#[derive(Debug)]
struct Earmark {
    tokens: Tokens,
    until: Duration,
}

/// Grants memory of one engine to spans, in the order of their tickets.
///
/// A refused span leaves an earmark, and no younger span is granted memory that an older earmark
/// needs. An earmark is a place in the order and holds no memory, so that a span never holds
/// memory while it waits.
#[derive(Debug)]
pub struct MemoryLeases {
    cfg: MemoryConfig,
    request_tokens: Tokens,
    foreign_tokens: Tokens,
    leases: BTreeMap<GrantId, Lease>,
    earmarks: BTreeMap<SpanTicket, Earmark>,
    /// Closed grants, and when each of them is forgotten.
    closed: BTreeMap<GrantId, Duration>,
}

impl MemoryLeases {
    /// Creates the state without any grants.
    pub fn new(cfg: MemoryConfig) -> Self {
        Self {
            cfg,
            request_tokens: 0,
            foreign_tokens: 0,
            leases: BTreeMap::new(),
            earmarks: BTreeMap::new(),
            closed: BTreeMap::new(),
        }
    }

    /// Settings that new grants and renewals follow.
    pub fn config(&self) -> &MemoryConfig {
        &self.cfg
    }

    /// Replaces the settings. Existing grants are kept.
    pub fn configure(&mut self, cfg: MemoryConfig) {
        self.cfg = cfg;
    }

    /// Sets the memory that running requests hold, in tokens.
    pub fn set_request_tokens(&mut self, tokens: Tokens) {
        self.request_tokens = tokens;
    }

    /// Sets the memory that the engine holds for grants without a lease here, in tokens. It counts
    /// as granted until the engine has freed it.
    pub fn set_foreign_tokens(&mut self, tokens: Tokens) {
        self.foreign_tokens = tokens;
    }

    /// Whether a grant was closed at `at` or later, so that a list of holdings which the engine was
    /// asked for at `at` may still contain it.
    pub fn closed_since(&self, at: Duration, id: GrantId) -> bool {
        let forgotten_at = self.closed.get(&id);
        forgotten_at.is_some_and(|until| *until >= at + self.cfg.max_lease * 2)
    }

    /// Grants memory, or leaves an earmark if there is too little of it. Idempotent: a grant that
    /// is already held is renewed.
    pub fn grant(
        &mut self,
        now: Duration,
        id: GrantId,
        ticket: SpanTicket,
        tokens: Tokens,
        lease: Duration,
    ) -> Result<(), GrantError> {
        if self.closed.contains_key(&id) {
            return Err(GrantError::Closed);
        }
        if self.renew(now, id, lease) {
            return Ok(());
        }
        if tokens > self.cfg.total_tokens - self.cfg.short_prompt_tokens {
            return Err(GrantError::TooLarge);
        }
        if !self.has_capacity(now, ticket, tokens) {
            let until = now + self.cfg.earmark_ttl;
            self.earmarks.insert(ticket, Earmark { tokens, until });
            return Err(GrantError::Busy);
        }
        let expires = now + lease.min(self.cfg.max_lease);
        let lease = Lease {
            ticket,
            tokens,
            expires,
        };
        self.leases.insert(id, lease);
        self.earmarks.remove(&ticket);
        Ok(())
    }

    fn has_capacity(&self, now: Duration, ticket: SpanTicket, tokens: Tokens) -> bool {
        let older = self.older_earmarks(now, ticket);
        let span_tokens = self.granted_tokens() + self.foreign_tokens + older.1 + tokens;
        let spans = self.leases.len() + older.0;
        spans < self.cfg.max_spans
            && span_tokens <= self.cfg.total_tokens - self.cfg.short_prompt_tokens
            && span_tokens + self.request_tokens <= self.cfg.total_tokens
    }

    fn older_earmarks(&self, now: Duration, ticket: SpanTicket) -> (usize, Tokens) {
        let older = self.earmarks.range(..ticket);
        older
            .filter(|(_, earmark)| earmark.until > now)
            .fold((0, 0), |(count, tokens), (_, earmark)| {
                (count + 1, tokens + earmark.tokens)
            })
    }

    /// Renews a lease; `false` if it does not exist or has expired. A lease is never shortened.
    pub fn renew(&mut self, now: Duration, id: GrantId, lease: Duration) -> bool {
        let until = now + lease.min(self.cfg.max_lease);
        match self.leases.get_mut(&id) {
            Some(held) if held.expires > now => {
                held.expires = held.expires.max(until);
                true
            }
            _ => false,
        }
    }

    /// Closes a grant for good and returns whether it was held. With `keep_place`, the span leaves
    /// an earmark, because it will ask again.
    pub fn close(
        &mut self,
        now: Duration,
        id: GrantId,
        ticket: SpanTicket,
        keep_place: bool,
    ) -> bool {
        self.closed.insert(id, now + self.cfg.max_lease * 2);
        let held = self.leases.remove(&id);
        if !keep_place {
            self.earmarks.remove(&ticket);
        } else if let Some(lease) = &held {
            let earmark = Earmark {
                tokens: lease.tokens,
                until: now + self.cfg.earmark_ttl,
            };
            self.earmarks.insert(ticket, earmark);
        }
        held.is_some()
    }

    /// Closes the leases that have expired and returns the ids of their grants.
    pub fn expire(&mut self, now: Duration) -> Vec<GrantId> {
        self.earmarks.retain(|_, earmark| earmark.until > now);
        self.closed.retain(|_, until| *until > now);
        let expired: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(id, lease)| (*id, lease.ticket))
            .collect();
        for (id, ticket) in &expired {
            self.close(now, *id, *ticket, false);
        }
        expired.into_iter().map(|(id, _)| id).collect()
    }

    /// Whether a grant is held under a lease that has not expired.
    pub fn is_live(&self, now: Duration, id: GrantId) -> bool {
        self.leases
            .get(&id)
            .is_some_and(|lease| lease.expires > now)
    }

    /// Memory granted to spans, in tokens.
    pub fn granted_tokens(&self) -> Tokens {
        self.leases.values().map(|lease| lease.tokens).sum()
    }

    /// Memory that requests may not use, in tokens: granted to spans, held by the engine for grants
    /// without a lease here, or earmarked for the oldest waiting span.
    pub fn reserved_tokens(&self, now: Duration) -> Tokens {
        self.cfg.total_tokens - self.request_capacity(now)
    }

    /// Memory that requests may use, in tokens: all that is neither granted nor earmarked for the
    /// oldest waiting span, and never less than the part kept for short prompts.
    pub fn request_capacity(&self, now: Duration) -> Tokens {
        let waiting = self
            .earmarks
            .values()
            .find(|earmark| earmark.until > now)
            .map_or(0, |earmark| earmark.tokens);
        let taken = self.granted_tokens() + self.foreign_tokens + waiting;
        let available = self.cfg.total_tokens.saturating_sub(taken);
        available.max(self.cfg.short_prompt_tokens)
    }

    /// Memory that the prefix cache may use, in tokens: what neither grants nor requests hold, as
    /// both have priority over the cache.
    pub fn cache_capacity(&self) -> Tokens {
        let used = self.granted_tokens() + self.foreign_tokens + self.request_tokens;
        self.cfg.total_tokens.saturating_sub(used)
    }

    /// Time at which [`Self::expire`] is due; `None` without leases.
    pub fn next_wakeup(&self) -> Option<Duration> {
        self.leases.values().map(|lease| lease.expires).min()
    }
}
