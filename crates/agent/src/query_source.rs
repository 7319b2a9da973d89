//! The rows that an agent contributes to operators' queries.

use crate::agent::Agent;
use declarations::ServerKind;
use node::{QuerySource, host_row, refusals};
use proto::Warmth;
use query::{Subject, Table, Value};

impl QuerySource for Agent {
    fn table(&self, subject: Subject) -> Table {
        match subject {
            Subject::Servers => self.server_row(),
            Subject::Refusals => refusals(&self.timeline),
            Subject::Hosts => {
                let state = if self.draining.is_started() {
                    "leaving"
                } else {
                    "up"
                };
                let node = &self.settings.node;
                let address = node.listen.to_string();
                let version = self.view.get().version;
                host_row(self.control.node(), &node.domain, &address, state, version)
            }
            _ => Table::new(subject),
        }
    }
}

impl Agent {
    fn server_row(&self) -> Table {
        let view = self.view.get();
        let declared = view.declared.server(&self.settings.server);
        let hints = self.scheduler.hints();
        let domain = view.declared.domain(&self.settings.node.domain);
        let state = match declared {
            None => "undeclared",
            Some(_) if domain.is_none_or(|domain| domain.out) => "domain out",
            Some(server) if server.drained => "drained",
            Some(_) if hints.draining => "leaving",
            Some(_) => "in service",
        };
        let kind = declared.map(|server| match server.kind {
            ServerKind::Engine => "engine",
            ServerKind::Service => "service",
        });
        let warmth = match hints.warmth {
            Warmth::Cold => "cold",
            Warmth::Warming => "warming",
            Warmth::Warm => "warm",
        };
        let mut table = Table::new(Subject::Servers);
        table.push(vec![
            Value::Text(self.settings.server.clone()),
            Value::Text(self.settings.node.domain.clone()),
            Value::optional_text(kind),
            Value::Text(state.into()),
            Value::Text(warmth.into()),
            Value::Count(u64::from(hints.outstanding)),
            Value::Count(u64::from(hints.limit)),
            Value::seconds(hints.queue_delay),
            Value::Count(hints.free_tokens),
            Value::Count(view.version),
            Value::Text(self.control.node().clone()),
        ]);
        table
    }
}
