//! Shares of servers in the memory for responses that are being read.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

/// Limit on the bytes of one response body.
pub const MAX_ANSWER_BYTES: u64 = 16 << 20;
/// Bytes of a body that need no share of the memory, so that short responses do not depend on what long
/// ones leave.
pub const FREE_ANSWER_BYTES: u64 = 4 << 10;
/// Largest piece of memory that is added to a body at a time.
const MAX_GROWTH_BYTES: u64 = 64 << 10;
/// Part of the host's memory that buffered bodies may use, and the most that they use of any host.
const BUFFER_FRACTION: u64 = 5;
const MAX_BUFFER_BYTES: u64 = 32 << 20;

/// A response body that is being read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenAnswer<S> {
    /// Server that sends it.
    pub server: S,
    /// Bytes of memory that it uses.
    pub held: u64,
}

/// Bytes that buffered bodies of requests and responses may use together on a host with this memory.
pub fn buffer_bytes(host_bytes: u64) -> u64 {
    (host_bytes / BUFFER_FRACTION).min(MAX_BUFFER_BYTES)
}

/// Part of `buffers` for responses that are being read. The rest is left for requests and slow readers.
pub fn answer_bytes(buffers: u64) -> u64 {
    buffers / 4 * 3
}

/// Bytes by which the memory of a body grows that uses `held` bytes. Its pieces are not copied when it
/// grows, so that nothing is used beside them.
pub fn answer_growth(held: u64) -> u64 {
    held.clamp(FREE_ANSWER_BYTES, MAX_GROWTH_BYTES)
}

/// Number of a body; later ones have larger numbers.
pub type AnswerNumber = u64;

/// The bodies that are being read and use the common memory, by the servers that send them.
#[derive(Debug)]
pub struct AnswerShares<S> {
    servers: HashMap<S, ServerAnswers>,
}

#[derive(Debug, Default)]
struct ServerAnswers {
    held: u64,
    by_size: BTreeSet<(u64, AnswerNumber)>,
}

impl<S> Default for AnswerShares<S> {
    fn default() -> Self {
        Self {
            servers: HashMap::new(),
        }
    }
}

impl<S: Copy + Eq + Hash> AnswerShares<S> {
    /// Records that a body which used `answer.held` bytes uses `held` now.
    pub fn on_growth(&mut self, number: AnswerNumber, answer: OpenAnswer<S>, held: u64) {
        self.on_end(number, answer);
        let server = self.servers.entry(answer.server).or_default();
        server.held += held;
        server.by_size.insert((held, number));
    }

    /// Records that a body has ended, and uses no memory for bodies that are being read.
    pub fn on_end(&mut self, number: AnswerNumber, answer: OpenAnswer<S>) {
        let Some(server) = self.servers.get_mut(&answer.server) else {
            return;
        };
        if server.by_size.remove(&(answer.held, number)) {
            server.held -= answer.held;
        }
        if server.by_size.is_empty() {
            self.servers.remove(&answer.server);
        }
    }

    /// Number of the body to give up so that there is memory for `more` bytes of the body `asking`.
    ///
    /// It is the largest one of the server whose bodies use most, the newest of those that are as large.
    ///
    /// Load pattern: a server that sends without end, or some of many. Its own responses use up what it
    /// takes, and those of other servers are read to their ends.
    pub fn to_give_up(
        &self,
        number: AnswerNumber,
        asking: OpenAnswer<S>,
        more: u64,
    ) -> AnswerNumber {
        let own = self.servers.get(&asking.server);
        let own_held = own.map_or(0, |server| server.held) + more;
        let others = self.servers.iter();
        let others = others.filter(|(server, _)| **server != asking.server);
        let greediest = others
            .map(|(_, server)| server)
            .max_by_key(|server| (server.held, server.by_size.last()));
        // Of servers that use as much, the one that asks.
        if let Some(greediest) = greediest.filter(|server| server.held > own_held) {
            return greediest.by_size.last().map_or(number, |(_, last)| *last);
        }
        let own_last = own.and_then(|server| server.by_size.last());
        let asking = (asking.held + more, number);
        own_last.map_or(number, |last| asking.max(*last).1)
    }
}
