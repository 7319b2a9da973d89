//! Time that stand-ins of engines take to read prompts.

use crate::standin_server::Call;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Reading speed of the engines of a service, which read prompts one after another.
#[derive(Debug)]
pub struct EnginePace {
    /// Tokens that an engine reads in a second.
    pub read_per_s: f64,
    /// Milliseconds for a million pairs of a token and an earlier one.
    pub pairs_per_m: f64,
    free_at: Mutex<HashMap<SocketAddr, Instant>>,
}

impl EnginePace {
    /// Engines with nothing to read yet.
    pub fn new(read_per_s: f64, pairs_per_m: f64) -> Self {
        Self {
            read_per_s,
            pairs_per_m,
            free_at: Mutex::default(),
        }
    }

    /// Adds the prompt of a call to the work of the engine at `address` and of those that the call
    /// names as helpers, and returns when that engine begins to read it and when it has been read.
    pub(crate) fn read(&self, address: SocketAddr, call: &Call) -> (Instant, Instant) {
        let usage = call.header("x-token-usage").unwrap_or_default();
        let tokens = usage
            .split(',')
            .next()
            .and_then(|text| text.parse::<f64>().ok());
        let helpers = call.header("x-helpers").unwrap_or_default().split(',');
        let helpers =
            helpers.filter_map(|entry| entry.split('/').next()?.trim().parse::<SocketAddr>().ok());
        let mut engines = vec![address];
        engines.extend(helpers.filter(|helper| *helper != address));
        let part = self.read_time(tokens.unwrap_or_default()) / engines.len() as u32;
        let now = Instant::now();
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let begins = free_at.get(&address).map_or(now, |at| now.max(*at));
        let ends = engines.into_iter().map(|engine| {
            let at = free_at.entry(engine).or_insert(now);
            *at = (*at).max(now) + part;
            *at
        });
        (begins, ends.max().unwrap_or(now))
    }

    fn read_time(&self, tokens: f64) -> Duration {
        const PAIRS: f64 = 1e6;
        let pairs = tokens * tokens / 2.0 / PAIRS;
        let seconds = tokens / self.read_per_s + pairs * self.pairs_per_m / 1_000.0;
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }
}
