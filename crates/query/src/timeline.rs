//! Merges the timelines of several processes and filters their events.

use crate::statement::Show;
use crate::subject::Subject;
use crate::table::Table;
use crate::value::Value;
use proto::{Event, EventKind, Stamp};

const MICROS_PER_SECOND: u64 = 1_000_000;
const SECONDS_PER_DAY: u64 = 86_400;

/// Merges the timelines of several processes into one in causal order, without duplicates.
///
/// Timestamps of a hybrid logical clock increase along every message, so an effect sorts after its
/// cause. Events of different nodes with the same timestamp are unrelated and are ordered by node.
pub fn merge_events(timelines: Vec<Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = timelines.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.stamp, &a.node).cmp(&(b.stamp, &b.node)));
    events.dedup_by(|a, b| a.stamp == b.stamp && a.node == b.node);
    events
}

/// Returns the events that match a query, in causal order. If there are more than its limit, the
/// newest are kept. `now` is the clock of the node that runs the query.
pub fn select_events(events: Vec<Event>, show: &Show, now: Stamp) -> Vec<Event> {
    let oldest = show.since.map_or(0, |since| {
        now.micros.saturating_sub(since.as_micros() as u64)
    });
    let recent = events
        .into_iter()
        .filter(|event| event.stamp.micros >= oldest);
    let filter = Show {
        limit: None,
        order: Vec::new(),
        ..show.clone()
    };
    let mut kept: Vec<Event> = recent
        .filter(|event| {
            let mut table = Table::new(Subject::Timeline);
            table.push(row(event, now));
            table.select(&filter);
            !table.rows.is_empty()
        })
        .collect();
    if let Some(limit) = show.limit {
        let excess = kept.len().saturating_sub(limit);
        kept.drain(..excess);
    }
    kept
}

/// Converts events to a table. `now` is the time from which their age is computed.
pub fn events_table(events: &[Event], now: Stamp) -> Table {
    let mut table = Table::new(Subject::Timeline);
    for event in events {
        table.push(row(event, now));
    }
    table
}

fn row(event: &Event, now: Stamp) -> Vec<Value> {
    let age = now.micros.saturating_sub(event.stamp.micros);
    let request = event.request.map(|request| format!("{request:032x}"));
    vec![
        Value::Text(time_of_day(event.stamp).into()),
        Value::Text(event.node.clone()),
        Value::Text(kind_text(&event.kind).into()),
        Value::optional_text(request.as_deref()),
        Value::optional_text(event.team.as_deref()),
        Value::optional_text(event.server.as_deref()),
        Value::Text(event.detail.clone()),
        Value::Number(age as f64 / MICROS_PER_SECOND as f64),
    ]
}

/// Formats the time of day of a timestamp, in UTC with microseconds.
pub(crate) fn time_of_day(stamp: Stamp) -> String {
    let seconds = stamp.micros / MICROS_PER_SECOND % SECONDS_PER_DAY;
    let micros = stamp.micros % MICROS_PER_SECOND;
    let (hours, minutes) = (seconds / 3600, seconds / 60 % 60);
    format!("{hours:02}:{minutes:02}:{:02}.{micros:06}", seconds % 60)
}

/// Describes a kind of event.
pub(crate) fn kind_text(kind: &EventKind) -> String {
    match kind {
        EventKind::Received => "received".into(),
        EventKind::Offered(attempt) => format!("offered, attempt {}", attempt.number),
        EventKind::Queued(attempt) => format!("queued, attempt {}", attempt.number),
        EventKind::Dispatched(attempt) => format!("dispatched, attempt {}", attempt.number),
        EventKind::FirstByte(attempt) => format!("first byte, attempt {}", attempt.number),
        EventKind::Finished(attempt) => format!("finished, attempt {}", attempt.number),
        EventKind::Refused => "refused".into(),
        EventKind::Failed => "failed".into(),
        EventKind::Cancelled => "cancelled".into(),
        EventKind::ConfigInForce(version) => format!("configuration {version} in force"),
        EventKind::DomainOut(domain) => format!("domain {domain} out"),
        EventKind::DomainIn(domain) => format!("domain {domain} back"),
        EventKind::NodeUp(node) => format!("{node} is up"),
        EventKind::NodeDown(node) => format!("{node} given up"),
        EventKind::LeaseAcquired(epoch) => format!("lease acquired, epoch {epoch}"),
        EventKind::LeaseLost(epoch) => format!("lease lost, epoch {epoch}"),
        EventKind::ColdStart => "cold start".into(),
        EventKind::Warm => "warm".into(),
        EventKind::Order => "order".into(),
        EventKind::Reclaimed => "memory freed".into(),
        EventKind::Draining => "draining".into(),
    }
}
