//! Replies to operator queries about this node.

use crate::control_plane::role_of;
use proto::{Event, EventKind, NodeId, QueryAnswer, QueryRequest, encode};
use query::{Show, Subject, Table, Value};
use runtime::Timeline;
use std::time::Duration;

const MAX_REPLY_BYTES: usize = 900 << 10;
const MAX_REFUSAL_AGE: Duration = Duration::from_secs(3600);
const MICROS_PER_SECOND: f64 = 1e6;

/// Provides the rows of a node for operator queries.
pub trait QuerySource: Send + Sync + 'static {
    /// The rows of this node for one subject; empty if it has none.
    fn table(&self, subject: Subject) -> Table;
}

/// Returns this node's reply to a query. A reply that would not fit in a frame is shortened by
/// dropping the oldest events, or rows from the end of the table.
pub fn reply_to_query<S: QuerySource>(
    source: &S,
    node: &NodeId,
    timeline: &Timeline,
    request: &QueryRequest,
) -> QueryAnswer {
    let mut reply = QueryAnswer {
        node: node.clone(),
        stamp: timeline.stamp(),
        rows: Box::default(),
        events: Vec::new(),
        error: None,
    };
    match request {
        QueryRequest::Timeline { since } => {
            reply.events = newest_that_fit(timeline.recent(*since));
        }
        QueryRequest::Rows { query } => match serde_json::from_str::<Show>(query) {
            Ok(show) => {
                let mut table = source.table(show.subject);
                table.select(&show);
                reply.rows = rows_json(&mut table);
            }
            Err(err) => reply.error = Some(err.to_string().into()),
        },
    }
    reply
}

/// The refused requests of a node within the last hour, from its timeline.
pub fn refusals(timeline: &Timeline) -> Table {
    let now = timeline.stamp();
    let mut table = Table::new(Subject::Refusals);
    for event in timeline.recent(MAX_REFUSAL_AGE) {
        if event.kind != EventKind::Refused {
            continue;
        }
        let request = event.request.map(|request| format!("{request:032x}"));
        let age = now.micros.saturating_sub(event.stamp.micros) as f64 / MICROS_PER_SECOND;
        table.push(vec![
            Value::optional_text(request.as_deref()),
            Value::optional_text(event.team.as_deref()),
            Value::Text(event.detail),
            Value::optional_text(event.server.as_deref()),
            Value::Number(age),
            Value::Text(event.node),
        ]);
    }
    table
}

/// A table of hosts that holds one row, for the given node.
pub fn host_row(node: &NodeId, domain: &str, address: &str, state: &str, version: u64) -> Table {
    let mut table = Table::new(Subject::Hosts);
    let host = node.rsplit_once('/').map_or(&**node, |(host, _)| host);
    table.push(vec![
        Value::Text(host.into()),
        Value::Text(domain.into()),
        Value::Text(role_of(node).to_string().into()),
        Value::Text(address.into()),
        Value::Text(state.into()),
        Value::Count(version),
        Value::Text(node.clone()),
    ]);
    table
}

fn newest_that_fit(mut events: Vec<Event>) -> Vec<Event> {
    let mut bytes = 0;
    let fits = events.iter().rev().take_while(|event| {
        bytes += encode(event).map_or(0, |frame| frame.len());
        bytes <= MAX_REPLY_BYTES
    });
    let surplus = events.len() - fits.count();
    events.drain(..surplus);
    events
}

fn rows_json(table: &mut Table) -> Box<str> {
    loop {
        let text = serde_json::to_string(table).unwrap_or_default();
        if text.len() <= MAX_REPLY_BYTES || table.rows.is_empty() {
            return text.into();
        }
        let half = table.rows.len() / 2;
        table.rows.truncate(half);
    }
}
