//! The requests that a gateway has in hand, for operators to see.

use crate::caller_request::CallerRequest;
use proto::{RequestId, ServerId, TeamId, Tokens};
use query::{Subject, Table, Value};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

const SHARDS: usize = 16;

#[derive(Debug)]
struct Entry {
    team: TeamId,
    target: Box<str>,
    tokens: Tokens,
    arrived: Instant,
    deadline: Instant,
    server: Option<ServerId>,
    attempt: u32,
    state: &'static str,
}

/// The requests in hand, in shards by number.
#[derive(Debug, Default)]
pub struct ActiveRequests {
    shards: [Mutex<HashMap<RequestId, Entry>>; SHARDS],
}

impl ActiveRequests {
    /// Adds a request that was read.
    pub fn add(&self, request: &CallerRequest) {
        let entry = Entry {
            team: request.team.clone(),
            target: request.target.pool().into(),
            tokens: request.prompt_tokens,
            arrived: request.arrived,
            deadline: request.deadline,
            server: None,
            attempt: 0,
            state: "received",
        };
        self.shard(request.id).insert(request.id, entry);
    }

    /// Notes that a request was offered.
    pub fn offered(&self, id: RequestId, server: &ServerId, attempt: u32) {
        if let Some(entry) = self.shard(id).get_mut(&id) {
            entry.server = Some(server.clone());
            entry.attempt = attempt;
            entry.state = "offered";
        }
    }

    /// Notes that the answer of a request began.
    pub fn responding(&self, id: RequestId) {
        if let Some(entry) = self.shard(id).get_mut(&id) {
            entry.state = "answering";
        }
    }

    /// Removes a request that ended.
    pub fn remove(&self, id: RequestId) {
        self.shard(id).remove(&id);
    }

    /// All of them as rows.
    pub fn table(&self, node: &str) -> Table {
        let mut table = Table::new(Subject::Requests);
        let now = Instant::now();
        for shard in &self.shards {
            for (id, entry) in &*lock(shard) {
                table.push(vec![
                    Value::Text(format!("{id:032x}").into()),
                    Value::Text(entry.team.clone()),
                    Value::Text(entry.target.clone()),
                    Value::name(entry.server.as_deref()),
                    Value::Text(entry.state.into()),
                    Value::Count(entry.tokens),
                    Value::seconds(now - entry.arrived),
                    Value::seconds(entry.deadline.saturating_duration_since(now)),
                    Value::Count(u64::from(entry.attempt)),
                    Value::Text(node.into()),
                ]);
            }
        }
        table
    }

    fn shard(&self, id: RequestId) -> MutexGuard<'_, HashMap<RequestId, Entry>> {
        lock(&self.shards[(id % SHARDS as u128) as usize])
    }
}

fn lock(shard: &Mutex<HashMap<RequestId, Entry>>) -> MutexGuard<'_, HashMap<RequestId, Entry>> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
