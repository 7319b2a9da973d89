//! Accounts for the memory of one engine that running jobs and grants use. A share of it is
//! reserved for shorter prompts.

use crate::job::LengthClass;
use proto::Tokens;

/// One part in this many of the memory is not available to long prompts.
const SHORT_RESERVE_DIVISOR: Tokens = 8;
/// Long prompts take at most one part in this many of the slots of a batch.
const LONG_JOBS_DIVISOR: u32 = 4;

/// Maximum number of tokens, of prompt and output together, in one job of an engine with the given
/// memory.
pub fn max_tokens_per_job(memory_tokens: Tokens) -> Tokens {
    memory_tokens - memory_tokens / SHORT_RESERVE_DIVISOR
}

/// Maximum number of long prompts in a batch of `limit` jobs; at least one.
pub fn max_long_jobs(limit: u32) -> u32 {
    (limit / LONG_JOBS_DIVISOR).max(1)
}

/// Memory of one engine and its use, in tokens of KV cache.
#[derive(Debug, Default, Clone)]
pub struct EngineMemory {
    total: Option<Tokens>,
    granted_tokens: Tokens,
    long_job_tokens: Tokens,
    shorter_job_tokens: Tokens,
}

impl EngineMemory {
    /// Sets the total memory; `None` for a plain service, which has no limit.
    pub fn configure(&mut self, total: Option<Tokens>) {
        self.total = total;
    }

    /// Sets the number of tokens that grants to spans hold now.
    pub fn set_granted(&mut self, tokens: Tokens) {
        self.granted_tokens = tokens;
    }

    /// Whether a job of that size fits when the engine is idle.
    pub fn could_fit(&self, tokens: Tokens) -> bool {
        self.total
            .is_none_or(|total| tokens <= max_tokens_per_job(total))
    }

    /// Whether a job of that size fits now.
    pub fn fits(&self, class: LengthClass, tokens: Tokens) -> bool {
        let Some(total) = self.total else {
            return true;
        };
        let used = self.used() + tokens;
        let long = self.long_job_tokens + self.granted_tokens + tokens;
        used <= total && (class < LengthClass::Long || long <= max_tokens_per_job(total))
    }

    /// Whether a shorter job of that size fits in the share that long prompts cannot use.
    pub fn fits_short_reserve(&self, tokens: Tokens) -> bool {
        self.total
            .is_none_or(|total| self.shorter_job_tokens + tokens <= total / SHORT_RESERVE_DIVISOR)
    }

    /// Reserves memory for a job.
    pub fn reserve(&mut self, class: LengthClass, tokens: Tokens) {
        *self.usage_mut(class) += tokens;
    }

    /// Releases the memory of a job.
    pub fn release(&mut self, class: LengthClass, tokens: Tokens) {
        let usage = self.usage_mut(class);
        *usage = usage.saturating_sub(tokens);
    }

    /// Unused memory; zero for a plain service.
    pub fn free(&self) -> Tokens {
        self.total
            .map_or(0, |total| total.saturating_sub(self.used()))
    }

    fn used(&self) -> Tokens {
        self.granted_tokens + self.long_job_tokens + self.shorter_job_tokens
    }

    fn usage_mut(&mut self, class: LengthClass) -> &mut Tokens {
        if class < LengthClass::Long {
            &mut self.shorter_job_tokens
        } else {
            &mut self.long_job_tokens
        }
    }
}
