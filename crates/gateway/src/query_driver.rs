//! Runs operators' queries against the configuration, the table service and the other nodes.

use crate::gateway::Gateway;
use async_channel::Receiver;
use node::{QuerySource, host_row, refusals, reply_to_query, role_of};
use platform::TableService;
use policy::{HISTORY_PREFIX, HistoryRow, Member};
use proto::{Event, NodeId, QueryAnswer, QueryRequest, StreamOpening};
use query::{
    Comparison, Condition, Show, Subject, Table, Value, events_table, merge_events, select_events,
};
use runtime::{Role, timeout};
use std::sync::Arc;
use std::time::Duration;

const NODE_QUERY_TIMEOUT: Duration = Duration::from_millis(1500);
const MAX_CONCURRENT_NODE_QUERIES: usize = 64;
const HISTORY_PAGE_ROWS: usize = 1000;
const DEFAULT_TIMELINE_AGE: Duration = Duration::from_secs(300);

/// Result of a query.
#[derive(Debug)]
pub struct QueryResult {
    /// Selected rows.
    pub table: Table,
    /// Selected events of a timeline; empty for other subjects.
    pub events: Vec<Event>,
    /// Nodes that did not reply in time.
    pub unanswered: Vec<NodeId>,
}

impl Gateway {
    /// Runs a query. Fails if the history can't be read from the table service.
    pub async fn show(self: &Arc<Self>, show: &Show) -> Result<QueryResult, Box<str>> {
        let mut result = match show.subject {
            Subject::Teams => local_result(self.team_table()),
            Subject::Models => local_result(self.model_table()),
            Subject::Domains => local_result(self.domain_table()),
            Subject::History => local_result(self.history_table().await?),
            Subject::Timeline => return Ok(self.merged_timeline(show).await),
            Subject::Servers => self.query_rows(show, |role| role == Role::Agent).await,
            Subject::Requests => self.query_rows(show, |role| role == Role::Gateway).await,
            Subject::Hosts | Subject::Refusals => self.query_rows(show, |_| true).await,
        };
        self.add_unanswered(show.subject, &mut result);
        result.table.select(show);
        Ok(result)
    }

    /// Returns the events of one request, from the last 24 hours, of all nodes.
    pub async fn explain(self: &Arc<Self>, request: &str) -> QueryResult {
        let condition = Condition::Compare {
            column: "request".into(),
            comparison: Comparison::Equal,
            value: Value::Text(request.into()),
        };
        let show = Show {
            subject: Subject::Timeline,
            condition: Some(condition),
            since: Some(Duration::from_secs(86_400)),
            order: Vec::new(),
            limit: None,
        };
        self.merged_timeline(&show).await
    }

    async fn merged_timeline(self: &Arc<Self>, show: &Show) -> QueryResult {
        let since = show.since.unwrap_or(DEFAULT_TIMELINE_AGE);
        let (replies, unanswered) = self
            .query_nodes(QueryRequest::Timeline { since }, |_| true)
            .await;
        let now = self.timeline.stamp();
        let merged = merge_events(replies.into_iter().map(|reply| reply.events).collect());
        let events = select_events(merged, show, now);
        let mut table = events_table(&events, now);
        table.select(&Show {
            limit: None,
            ..show.clone()
        });
        QueryResult {
            table,
            events,
            unanswered,
        }
    }

    async fn query_rows(
        self: &Arc<Self>,
        show: &Show,
        includes: impl Fn(Role) -> bool,
    ) -> QueryResult {
        let query = serde_json::to_string(show).unwrap_or_default().into();
        let (replies, unanswered) = self
            .query_nodes(QueryRequest::Rows { query }, includes)
            .await;
        let mut table = Table::new(show.subject);
        for reply in replies {
            if let Ok(rows) = serde_json::from_str(&reply.rows) {
                table.merge(rows);
            }
        }
        QueryResult {
            table,
            events: Vec::new(),
            unanswered,
        }
    }

    /// Queries all members whose role `includes` selects, several at a time, and this node. Returns
    /// the replies, and the members that did not reply in time.
    async fn query_nodes(
        self: &Arc<Self>,
        request: QueryRequest,
        includes: impl Fn(Role) -> bool,
    ) -> (Vec<QueryAnswer>, Vec<NodeId>) {
        let own_node = self.control.node().clone();
        let members = self.view.get().members.clone();
        let queried = members
            .nodes
            .values()
            .filter(|member| member.node != own_node && includes(role_of(&member.node)));
        let (tx, rx) = async_channel::unbounded();
        for member in queried {
            let _ = tx.try_send(member.clone());
        }
        tx.close();
        let workers: Vec<_> = (0..MAX_CONCURRENT_NODE_QUERIES.min(rx.len()))
            .map(|_| {
                let work = self.clone().query_each(request.clone(), rx.clone());
                self.executor.spawn(work)
            })
            .collect();
        let mut replies = Vec::new();
        let mut unanswered = Vec::new();
        if includes(Role::Gateway) {
            replies.push(reply_to_query(&**self, &own_node, &self.timeline, &request));
        }
        for worker in workers {
            let (worker_replies, worker_unanswered) = worker.await;
            replies.extend(worker_replies);
            unanswered.extend(worker_unanswered);
        }
        unanswered.sort_unstable();
        (replies, unanswered)
    }

    async fn query_each(
        self: Arc<Self>,
        request: QueryRequest,
        members: Receiver<Member>,
    ) -> (Vec<QueryAnswer>, Vec<NodeId>) {
        let mut replies = Vec::new();
        let mut unanswered = Vec::new();
        while let Ok(member) = members.recv().await {
            match timeout(NODE_QUERY_TIMEOUT, self.query_node(&member, &request)).await {
                Ok(Some(reply)) => replies.push(reply),
                _ => unanswered.push(member.node),
            }
        }
        (replies, unanswered)
    }

    async fn query_node(&self, member: &Member, request: &QueryRequest) -> Option<QueryAnswer> {
        let opening = StreamOpening::Query {
            stamp: self.timeline.stamp(),
            request: request.clone(),
        };
        let role = role_of(&member.node);
        let opened = self.link.open(member.address, role, &opening).await;
        let (mut tx, mut rx) = opened.ok()?;
        tx.finish();
        let reply: QueryAnswer = rx.receive().await.ok()??;
        self.timeline.receive(reply.stamp);
        Some(reply)
    }

    /// Adds rows for hosts and backend servers whose process did not reply.
    fn add_unanswered(&self, subject: Subject, result: &mut QueryResult) {
        let view = self.view.get();
        for node in &result.unanswered {
            let Some(member) = view.members.nodes.get(node) else {
                continue;
            };
            let state = if member.leaving {
                "leaving"
            } else {
                "no answer"
            };
            match (subject, &member.server) {
                (Subject::Hosts, _) => {
                    let address = member.address.to_string();
                    let mut row = host_row(node, &member.domain, &address, state, 0);
                    for cells in &mut row.rows {
                        cells[HOST_VERSION_COLUMN] = Value::Missing;
                    }
                    result.table.merge(row);
                }
                (Subject::Servers, Some(server)) => result.table.push(vec![
                    Value::Text(server.clone()),
                    Value::Text(member.domain.clone()),
                    Value::Missing,
                    Value::Text(state.into()),
                ]),
                _ => {}
            }
        }
    }

    fn team_table(&self) -> Table {
        let mut table = Table::new(Subject::Teams);
        for team in &self.view.get().declared.teams {
            table.push(vec![
                Value::Text(team.name.clone()),
                Value::Count(u64::from(team.weight)),
                team.tokens_per_second.map_or(Value::Missing, Value::Count),
            ]);
        }
        table
    }

    fn model_table(&self) -> Table {
        let view = self.view.get();
        let mut table = Table::new(Subject::Models);
        for model in &view.declared.models {
            let serves = |server: &&declarations::Server| {
                server.models.is_empty() || server.models.contains(&model.name)
            };
            let servers = view.declared.servers.iter().filter(serves).count();
            table.push(vec![
                Value::Text(model.name.clone()),
                Value::Text(model.version.clone()),
                Value::Count(u64::from(model.replicas)),
                Value::Count(servers as u64),
                Value::Count(model.context_tokens),
            ]);
        }
        table
    }

    fn domain_table(&self) -> Table {
        let view = self.view.get();
        let mut table = Table::new(Subject::Domains);
        for domain in &view.declared.domains {
            let servers = view.declared.servers.iter();
            let in_domain: Vec<_> = servers
                .filter(|server| server.domain == domain.name)
                .collect();
            let drained = in_domain.iter().filter(|server| server.drained).count();
            table.push(vec![
                Value::Text(domain.name.clone()),
                Value::Text(domain.region.clone()),
                Value::Flag(domain.out),
                Value::Count(in_domain.len() as u64),
                Value::Count(drained as u64),
            ]);
        }
        table
    }

    async fn history_table(&self) -> Result<Table, Box<str>> {
        let mut table = Table::new(Subject::History);
        let mut after = Box::<str>::default();
        loop {
            let page = self
                .control
                .platform()
                .scan(HISTORY_PREFIX, &after, HISTORY_PAGE_ROWS)
                .await;
            let rows = page.map_err(|err| Box::<str>::from(err.to_string()))?;
            let Some(last) = rows.last() else {
                return Ok(table);
            };
            after = last.key.clone();
            for row in rows {
                if let Ok(entry) = serde_json::from_str::<HistoryRow>(&row.value) {
                    table.push(vec![
                        Value::Count(entry.version),
                        Value::Text(entry.author),
                        Value::Text(entry.text),
                        Value::Text(entry.summary.trim_end().replace('\n', "; ").into()),
                    ]);
                }
            }
        }
    }
}

const HOST_VERSION_COLUMN: usize = 5;

impl QuerySource for Gateway {
    fn table(&self, subject: Subject) -> Table {
        let node = self.control.node();
        match subject {
            Subject::Requests => self.active_requests.table(node),
            Subject::Refusals => refusals(&self.timeline),
            Subject::Hosts => {
                let state = if self.draining.is_started() {
                    "leaving"
                } else {
                    "up"
                };
                let address = self.link.local_addr().to_string();
                let version = self.view.get().version;
                host_row(node, &self.settings.node.domain, &address, state, version)
            }
            _ => Table::new(subject),
        }
    }
}

fn local_result(table: Table) -> QueryResult {
    QueryResult {
        table,
        events: Vec::new(),
        unanswered: Vec::new(),
    }
}
