//! Transactions of the stand-in for the platform's store.

use crate::platform_store::{PlatformStore, Row, State, json_response, row_key};
use crate::stale_reads::{Comparisons, Snapshot};
use crate::standin_server::{Call, text_response, typed_response};
use hyper::{Response, StatusCode};
use runtime::Body;
use serde_json::{Value, json};

/// Tables that gateways may not write.
const FOREIGN_TABLES: [&str; 2] = ["op", "servers"];

/// Entries of a transaction.
struct Transaction {
    conditions: Vec<Value>,
    puts: Vec<Value>,
    removals: Vec<Value>,
}

impl Transaction {
    fn from_body(body: &Value) -> Self {
        let entries = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        Self {
            conditions: entries("ExpectedRevision"),
            puts: entries("Puts"),
            removals: entries("Remove"),
        }
    }

    fn writes(&self) -> bool {
        !self.puts.is_empty() || !self.removals.is_empty()
    }

    fn is_refused(&self, comparisons: Comparisons) -> bool {
        let is_foreign = |row: &Value| FOREIGN_TABLES.iter().any(|table| row["Table"] == *table);
        self.puts.iter().chain(&self.removals).any(is_foreign)
            || comparisons == Comparisons::Refused && self.conditions.iter().any(is_foreign)
    }
}

impl PlatformStore {
    pub(crate) fn transact(&self, call: &Call) -> Response<Body> {
        let Ok(body) = call.json::<Value>() else {
            return text_response(StatusCode::BAD_REQUEST, "malformed body");
        };
        let transaction = Transaction::from_body(&body);
        let mut state = self.lock();
        let comparisons = state.read_faults.comparisons;
        if transaction.is_refused(comparisons) {
            return text_response(StatusCode::FORBIDDEN, "not a table of the system");
        }
        if !transaction.writes() {
            return state.compare(&transaction.conditions);
        }
        if !state.present().agrees(&transaction.conditions) {
            return state.conflict(&state.present(), &transaction.conditions);
        }
        for row in &transaction.puts {
            let (table, key) = row_key(row);
            let value = row["Value"].as_str().unwrap_or_default();
            state.write(&table, &key, Some(value.to_owned()));
        }
        for row in &transaction.removals {
            let (table, key) = row_key(row);
            state.write(&table, &key, None);
        }
        state.success(state.version)
    }
}

impl State {
    /// Response to a transaction without writes.
    fn compare(&self, conditions: &[Value]) -> Response<Body> {
        let snapshot = match self.read_faults.comparisons {
            Comparisons::Blind => return self.success(self.version),
            Comparisons::Behind => self.readable(),
            Comparisons::Exact | Comparisons::Refused => self.present(),
        };
        if snapshot.agrees(conditions) {
            self.success(snapshot.version)
        } else {
            self.conflict(&snapshot, conditions)
        }
    }

    fn success(&self, version: u64) -> Response<Body> {
        json_response(
            StatusCode::OK,
            &json!({ "Ver": version, "NowMs": self.now_ms() }),
        )
    }

    /// Response with the rows of conditions, some of which do not hold.
    fn conflict(&self, snapshot: &Snapshot<'_>, conditions: &[Value]) -> Response<Body> {
        let omits_equal = self.read_faults.omits_equal_rows;
        let rows = conditions.iter().filter_map(|condition| {
            if omits_equal && snapshot.agrees(std::slice::from_ref(condition)) {
                return None;
            }
            let key = row_key(condition);
            let row = snapshot.rows.get(&key).filter(|row| row.is_live());
            row.map(|row| row.to_json(&key))
        });
        let rows = rows.collect::<Vec<_>>().join(",");
        let (version, now_ms) = (snapshot.version, self.now_ms());
        let body = format!(r#"{{"Rows":[{rows}],"Ver":{version},"NowMs":{now_ms}}}"#);
        let body = Body::full(body);
        typed_response(StatusCode::PRECONDITION_FAILED, "application/json", body)
    }
}

impl Snapshot<'_> {
    /// Whether conditions hold.
    fn agrees(&self, conditions: &[Value]) -> bool {
        conditions.iter().all(|condition| {
            let row = self.rows.get(&row_key(condition));
            let version = row.map_or(0, Row::live_version);
            condition["Ver"].as_u64() == Some(version)
        })
    }
}
