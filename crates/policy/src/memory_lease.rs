//! Leases on engine memory for spans, apart from what running requests and the prefix cache hold.

use proto::prelude::*;
use proto::{GrantId, SpanTicket};
use std::collections::BTreeMap;

/// Settings of [`MemoryLeases`].
#[derive(Debug, Clone, PartialEq)]
pub struct MemoryConfig {
    /// Engine memory, in tokens of KV cache.
    pub total_tokens: Tokens,
    /// Memory that spans never take, so that short prompts keep their room.
    pub short_prompt_tokens: Tokens,
    /// Most spans that hold memory at once.
    pub max_spans: usize,
    /// Longest lease that is given.
    pub max_lease: Duration,
    /// How long a refused span keeps its place unless it asks again.
    pub earmark_ttl: Duration,
    /// Time to come back for a refused span.
    pub retry_after: Duration,
}

impl MemoryConfig {
    /// Settings for an engine of that many tokens, of which spans may take three quarters.
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

const SPAN_SHARE: (Tokens, Tokens) = (3, 4);

/// Tokens that spans may hold in an engine of that size.
pub fn span_capacity(total_tokens: Tokens) -> Tokens {
    total_tokens / SPAN_SHARE.1 * SPAN_SHARE.0
}

/// Why memory was not granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantError {
    /// The engine could never hold it.
    TooLarge,
    /// Others hold it, or an older span goes first.
    Busy,
    /// The grant was released or has expired; its number is not used again.
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

/// Memory of one engine, as granted to spans.
///
/// A refused span leaves an earmark, and no younger span is granted memory that an older earmark
/// needs. An earmark holds nothing, so that a span never waits while it holds memory.
#[derive(Debug)]
pub struct MemoryLeases {
    cfg: MemoryConfig,
    request_tokens: Tokens,
    foreign_tokens: Tokens,
    leases: BTreeMap<GrantId, Lease>,
    earmarks: BTreeMap<SpanTicket, Earmark>,
    closed: BTreeMap<GrantId, Duration>,
}

impl MemoryLeases {
    /// Memory of which nothing is granted.
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

    /// The settings.
    pub fn config(&self) -> &MemoryConfig {
        &self.cfg
    }

    /// Takes other settings into use; what is granted stays.
    pub fn configure(&mut self, cfg: MemoryConfig) {
        self.cfg = cfg;
    }

    /// Notes what running requests hold.
    pub fn set_request_tokens(&mut self, tokens: Tokens) {
        self.request_tokens = tokens;
    }

    /// Notes what the engine holds for grants that are not leased here, until it is freed.
    pub fn set_foreign_tokens(&mut self, tokens: Tokens) {
        self.foreign_tokens = tokens;
    }

    /// Whether the engine may still list a grant that was closed here, because it was asked before.
    pub fn closed_since(&self, at: Duration, id: GrantId) -> bool {
        let remembered = self.closed.get(&id);
        remembered.is_some_and(|until| *until >= at + self.cfg.max_lease * 2)
    }

    /// Grants memory, or keeps a place in the order for it. Idempotent.
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

    /// Renews a lease that has not expired.
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

    /// Closes a grant for good; tells whether it was held. A span that will ask again keeps its
    /// place in the order.
    pub fn close(&mut self, now: Duration, id: GrantId, ticket: SpanTicket, keep: bool) -> bool {
        self.closed.insert(id, now + self.cfg.max_lease * 2);
        let held = self.leases.remove(&id);
        if !keep {
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

    /// Closes the leases that have expired, and gives their numbers.
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

    /// Whether a grant is held under a lease.
    pub fn is_live(&self, now: Duration, id: GrantId) -> bool {
        self.leases
            .get(&id)
            .is_some_and(|lease| lease.expires > now)
    }

    /// Tokens granted to spans.
    pub fn granted_tokens(&self) -> Tokens {
        self.leases.values().map(|lease| lease.tokens).sum()
    }

    /// Tokens that requests may not take: granted to spans, held by the engine for a span of
    /// another process, or earmarked for the oldest waiting span.
    pub fn reserved_tokens(&self, now: Duration) -> Tokens {
        self.cfg.total_tokens - self.request_capacity(now)
    }

    /// Tokens that requests may hold: all that is not granted, and not earmarked for the oldest
    /// waiting span. Never under the room kept for short prompts.
    pub fn request_capacity(&self, now: Duration) -> Tokens {
        let waiting = self
            .earmarks
            .values()
            .find(|earmark| earmark.until > now)
            .map_or(0, |earmark| earmark.tokens);
        let taken = self.granted_tokens() + self.foreign_tokens + waiting;
        let room = self.cfg.total_tokens.saturating_sub(taken);
        room.max(self.cfg.short_prompt_tokens)
    }

    /// Tokens that the prefix cache may use; it gives way to every grant and request.
    pub fn cache_capacity(&self) -> Tokens {
        let used = self.granted_tokens() + self.foreign_tokens + self.request_tokens;
        self.cfg.total_tokens.saturating_sub(used)
    }

    /// When [`Self::expire`] is due.
    pub fn next_wakeup(&self) -> Option<Duration> {
        self.leases.values().map(|lease| lease.expires).min()
    }
}
