//! Engine memory as running jobs and grants take it, with a share kept from long prompts.

use crate::job::LengthClass;
use proto::Tokens;

/// One part in this many of the memory and batch room is kept from long prompts.
const SHORT_RESERVE_DIVISOR: Tokens = 8;
const LONG_JOBS_DIVISOR: u32 = 4;

/// Most tokens, prompt and answer, that one engine of that memory takes in one job.
pub fn max_tokens_per_job(memory_tokens: Tokens) -> Tokens {
    memory_tokens - memory_tokens / SHORT_RESERVE_DIVISOR
}

/// Most long prompts in a batch of `limit`.
pub fn max_long_jobs(limit: u32) -> u32 {
    (limit / LONG_JOBS_DIVISOR).max(1)
}

/// Memory taken, in tokens of KV cache.
#[derive(Debug, Default, Clone)]
pub struct EngineMemory {
    total: Option<Tokens>,
    granted: Tokens,
    long: Tokens,
    other: Tokens,
}

impl EngineMemory {
    /// Takes the engine's memory into force; none for a plain service.
    pub fn configure(&mut self, total: Option<Tokens>) {
        self.total = total;
    }

    /// Takes the tokens that grants to spans hold now.
    pub fn set_granted(&mut self, tokens: Tokens) {
        self.granted = tokens;
    }

    /// Whether a job of that size could ever run here.
    pub fn could_fit(&self, tokens: Tokens) -> bool {
        self.total
            .is_none_or(|total| tokens <= max_tokens_per_job(total))
    }

    /// Whether a job of that size fits now.
    pub fn fits(&self, class: LengthClass, tokens: Tokens) -> bool {
        let Some(total) = self.total else {
            return true;
        };
        let taken = self.taken() + tokens;
        let long = self.long + self.granted + tokens;
        taken <= total && (class < LengthClass::Long || long <= max_tokens_per_job(total))
    }

    /// Whether a shorter job of that size stays within what long prompts cannot take anyway.
    pub fn fits_short_reserve(&self, tokens: Tokens) -> bool {
        self.total
            .is_none_or(|total| self.other + tokens <= total / SHORT_RESERVE_DIVISOR)
    }

    /// Takes memory for a job.
    pub fn reserve(&mut self, class: LengthClass, tokens: Tokens) {
        *self.part(class) += tokens;
    }

    /// Gives memory of a job back.
    pub fn release(&mut self, class: LengthClass, tokens: Tokens) {
        let part = self.part(class);
        *part = part.saturating_sub(tokens);
    }

    /// Free memory; zero for a plain service.
    pub fn free(&self) -> Tokens {
        self.total
            .map_or(0, |total| total.saturating_sub(self.taken()))
    }

    fn taken(&self) -> Tokens {
        self.granted + self.long + self.other
    }

    fn part(&mut self, class: LengthClass) -> &mut Tokens {
        if class < LengthClass::Long {
            &mut self.other
        } else {
            &mut self.long
        }
    }
}
