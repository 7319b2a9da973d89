//! Answers operators' queries from the view, the store, and the other nodes.

use crate::gateway::Gateway;
use async_channel::Receiver;
use node::{QuerySource, answer_query, host_row, refusals, role_of};
use platform::TableService;
use policy::{HISTORY_PREFIX, HistoryRow, Member};
use proto::{Event, NodeId, QueryAnswer, QueryRequest, StreamOpening};
use query::{
    Comparison, Condition, Show, Subject, Table, Value, events_table, merge_events, select_events,
};
use runtime::{Role, timeout};
use std::sync::Arc;
use std::time::Duration;

const ASK_TIME: Duration = Duration::from_millis(1500);
const ASKED_AT_ONCE: usize = 64;
const HISTORY_PAGE: usize = 1000;
const TIMELINE_AGE: Duration = Duration::from_secs(300);

/// Rows, and the nodes that did not tell theirs.
#[derive(Debug)]
pub struct Shown {
    /// The rows.
    pub table: Table,
    /// The events, for a time line.
    pub events: Vec<Event>,
    /// Nodes that did not answer.
    pub unanswered: Vec<NodeId>,
}

impl Gateway {
    /// Answers a query.
    pub async fn show(self: &Arc<Self>, show: &Show) -> Result<Shown, Box<str>> {
        let mut shown = match show.subject {
            Subject::Teams => whole(self.teams()),
            Subject::Models => whole(self.models()),
            Subject::Domains => whole(self.domains()),
            Subject::History => whole(self.history().await?),
            Subject::Timeline => return Ok(self.timeline_of_all(show).await),
            Subject::Servers => self.ask_rows(show, |role| role == Role::Agent).await,
            Subject::Requests => self.ask_rows(show, |role| role == Role::Gateway).await,
            Subject::Hosts | Subject::Refusals => self.ask_rows(show, |_| true).await,
        };
        self.add_silent(show.subject, &mut shown);
        shown.table.select(show);
        Ok(shown)
    }

    /// All events of one request.
    pub async fn explain(self: &Arc<Self>, request: &str) -> Shown {
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
        self.timeline_of_all(&show).await
    }

    async fn timeline_of_all(self: &Arc<Self>, show: &Show) -> Shown {
        let since = show.since.unwrap_or(TIMELINE_AGE);
        let (answers, unanswered) = self.ask(QueryRequest::Timeline { since }, |_| true).await;
        let now = self.timeline.stamp();
        let merged = merge_events(answers.into_iter().map(|answer| answer.events).collect());
        let events = select_events(merged, show, now);
        let mut table = events_table(&events, now);
        table.select(&Show {
            limit: None,
            ..show.clone()
        });
        Shown {
            table,
            events,
            unanswered,
        }
    }

    async fn ask_rows(self: &Arc<Self>, show: &Show, of: impl Fn(Role) -> bool) -> Shown {
        let query = serde_json::to_string(show).unwrap_or_default().into();
        let (answers, unanswered) = self.ask(QueryRequest::Rows { query }, of).await;
        let mut table = Table::new(show.subject);
        for answer in answers {
            if let Ok(rows) = serde_json::from_str(&answer.rows) {
                table.merge(rows);
            }
        }
        Shown {
            table,
            events: Vec::new(),
            unanswered,
        }
    }

    /// Asks all members of some roles, many at once, and this node itself.
    async fn ask(
        self: &Arc<Self>,
        request: QueryRequest,
        of: impl Fn(Role) -> bool,
    ) -> (Vec<QueryAnswer>, Vec<NodeId>) {
        let own = self.control.node().clone();
        let members = self.view.get().members.clone();
        let asked = members
            .nodes
            .values()
            .filter(|member| member.node != own && of(role_of(&member.node)));
        let (tx, rx) = async_channel::unbounded();
        for member in asked {
            let _ = tx.try_send(member.clone());
        }
        tx.close();
        let workers: Vec<_> = (0..ASKED_AT_ONCE.min(rx.len()))
            .map(|_| {
                let work = self.clone().ask_each(request.clone(), rx.clone());
                self.executor.spawn(work)
            })
            .collect();
        let mut answers = Vec::new();
        let mut unanswered = Vec::new();
        if of(Role::Gateway) {
            answers.push(answer_query(&**self, &own, &self.timeline, &request));
        }
        for worker in workers {
            let (told, silent) = worker.await;
            answers.extend(told);
            unanswered.extend(silent);
        }
        unanswered.sort_unstable();
        (answers, unanswered)
    }

    async fn ask_each(
        self: Arc<Self>,
        request: QueryRequest,
        members: Receiver<Member>,
    ) -> (Vec<QueryAnswer>, Vec<NodeId>) {
        let mut answers = Vec::new();
        let mut unanswered = Vec::new();
        while let Ok(member) = members.recv().await {
            match timeout(ASK_TIME, self.ask_one(&member, &request)).await {
                Ok(Some(answer)) => answers.push(answer),
                _ => unanswered.push(member.node),
            }
        }
        (answers, unanswered)
    }

    async fn ask_one(&self, member: &Member, request: &QueryRequest) -> Option<QueryAnswer> {
        let opening = StreamOpening::Query {
            stamp: self.timeline.stamp(),
            request: request.clone(),
        };
        let role = role_of(&member.node);
        let opened = self.link.open(member.address, role, &opening).await;
        let (mut tx, mut rx) = opened.ok()?;
        tx.finish();
        let answer: QueryAnswer = rx.receive().await.ok()??;
        self.timeline.receive(answer.stamp);
        Some(answer)
    }

    /// Adds rows for hosts and backend servers whose process did not answer.
    fn add_silent(&self, subject: Subject, shown: &mut Shown) {
        let view = self.view.get();
        for node in &shown.unanswered {
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
                        cells[VERSION_COLUMN] = Value::Missing;
                    }
                    shown.table.merge(row);
                }
                (Subject::Servers, Some(server)) => shown.table.push(vec![
                    Value::Text(server.clone()),
                    Value::Text(member.domain.clone()),
                    Value::Missing,
                    Value::Text(state.into()),
                ]),
                _ => {}
            }
        }
    }

    fn teams(&self) -> Table {
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

    fn models(&self) -> Table {
        let view = self.view.get();
        let mut table = Table::new(Subject::Models);
        for model in &view.declared.models {
            let carries = |server: &&declarations::Server| {
                server.models.is_empty() || server.models.contains(&model.name)
            };
            let servers = view.declared.servers.iter().filter(carries).count();
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

    fn domains(&self) -> Table {
        let view = self.view.get();
        let mut table = Table::new(Subject::Domains);
        for domain in &view.declared.domains {
            let servers = view.declared.servers.iter();
            let inside: Vec<_> = servers
                .filter(|server| server.domain == domain.name)
                .collect();
            let drained = inside.iter().filter(|server| server.drained).count();
            table.push(vec![
                Value::Text(domain.name.clone()),
                Value::Text(domain.region.clone()),
                Value::Flag(domain.out),
                Value::Count(inside.len() as u64),
                Value::Count(drained as u64),
            ]);
        }
        table
    }

    async fn history(&self) -> Result<Table, Box<str>> {
        let mut table = Table::new(Subject::History);
        let mut after = Box::<str>::default();
        loop {
            let page = self
                .control
                .platform()
                .scan(HISTORY_PREFIX, &after, HISTORY_PAGE)
                .await;
            let rows = page.map_err(|err| Box::<str>::from(err.to_string()))?;
            let Some(last) = rows.last() else {
                return Ok(table);
            };
            after = last.key.clone();
            for row in rows {
                if let Ok(step) = serde_json::from_str::<HistoryRow>(&row.value) {
                    table.push(vec![
                        Value::Count(step.version),
                        Value::Text(step.author),
                        Value::Text(step.text),
                        Value::Text(step.summary.trim_end().replace('\n', "; ").into()),
                    ]);
                }
            }
        }
    }
}

const VERSION_COLUMN: usize = 5;

impl QuerySource for Gateway {
    fn table(&self, subject: Subject) -> Table {
        let node = self.control.node();
        match subject {
            Subject::Requests => self.in_hand.table(node),
            Subject::Refusals => refusals(&self.timeline),
            Subject::Hosts => {
                let state = if self.shutdown.is_started() {
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

fn whole(table: Table) -> Shown {
    Shown {
        table,
        events: Vec::new(),
        unanswered: Vec::new(),
    }
}
