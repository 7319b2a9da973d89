//! The requests that a gateway is serving, for the operators' query `show requests`.

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

/// The requests that the gateway is serving, sharded by id.
#[derive(Debug, Default)]
pub struct ActiveRequests {
    shards: [Mutex<HashMap<RequestId, Entry>>; SHARDS],
}

impl ActiveRequests {
    /// Adds a request once it is read and checked.
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

    /// Records that an attempt at a request was offered to `server`.
    pub fn set_offered(&self, id: RequestId, server: &ServerId, attempt: u32) {
        if let Some(entry) = self.shard(id).get_mut(&id) {
            entry.server = Some(server.clone());
            entry.attempt = attempt;
            entry.state = "offered";
        }
    }

    /// Records that the response to a request has started.
    pub fn set_responding(&self, id: RequestId) {
        if let Some(entry) = self.shard(id).get_mut(&id) {
            entry.state = "answering";
        }
    }

    /// Removes a request that has ended; an unknown id has no effect.
    pub fn remove(&self, id: RequestId) {
        self.shard(id).remove(&id);
    }

    /// Returns one row per request. `node` is this gateway's name.
    pub fn table(&self, node: &str) -> Table {
        let mut table = Table::new(Subject::Requests);
        let now = Instant::now();
        for shard in &self.shards {
            for (id, entry) in &*lock(shard) {
                table.push(vec![
                    Value::Text(format!("{id:032x}").into()),
                    Value::Text(entry.team.clone()),
                    Value::Text(entry.target.clone()),
                    Value::optional_text(entry.server.as_deref()),
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
