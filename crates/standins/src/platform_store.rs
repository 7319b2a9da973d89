//! Stand-in for the store of the users' platform, with the platform's published HTTP API.

use crate::faults::FaultInjector;
use crate::stale_reads::{FormerRows, ReadFaults, Snapshot};
use crate::standin_server::{
    Call, Standin, StandinServer, aborted_response, text_response, typed_response,
};
use crate::watch_faults::{ListedCopy, QuietAnswer, WatchFaults};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hyper::{Response, StatusCode};
use runtime::{Body, Executor};
use serde_json::{Value, json};
use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

pub(crate) type RowKey = (Box<str>, Box<str>);

/// Limits on one response, unless a test sets others. A row that exceeds them is sent alone.
const PAGE_ROWS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

/// A stand-in for the store of the users' platform.
#[derive(Debug, Default)]
pub struct PlatformStore {
    state: Mutex<State>,
}

#[derive(Debug)]
pub(crate) struct State {
    page_rows: usize,
    page_bytes: usize,
    /// Changes that are made right after the next response that is cut.
    after_cut: Vec<(RowKey, Option<String>)>,
    pub(crate) rows: BTreeMap<RowKey, Row>,
    pub(crate) version: u64,
    /// Polls for changes after a version below this one are told that the history is gone.
    pub(crate) history_start: u64,
    pub(crate) calls: u64,
    /// Calls from this one on are refused.
    pub(crate) refused_from: Option<u64>,
    /// Table whose rows are not listed and whose changes are not told.
    pub(crate) refused_table: Option<Box<str>>,
    /// Dropping the senders wakes the long polls.
    pub(crate) pending_polls: Vec<Sender<()>>,
    /// Link addresses to state in gateways' rows, by key, in place of their own.
    peer_addresses: HashMap<Box<str>, SocketAddr>,
    pub(crate) watch_faults: WatchFaults,
    pub(crate) read_faults: ReadFaults,
    pub(crate) former_rows: FormerRows,
    pub(crate) listed_copy: Option<ListedCopy>,
    /// Number of times that open polls were cut.
    pub(crate) cuts: u64,
    start: Instant,
}

impl Default for State {
    fn default() -> Self {
        Self {
            page_rows: PAGE_ROWS,
            page_bytes: PAGE_BYTES,
            after_cut: Vec::new(),
            rows: BTreeMap::new(),
            version: 0,
            history_start: 0,
            calls: 0,
            refused_from: None,
            refused_table: None,
            pending_polls: Vec::new(),
            peer_addresses: HashMap::new(),
            watch_faults: WatchFaults::default(),
            read_faults: ReadFaults::default(),
            former_rows: FormerRows::default(),
            listed_copy: None,
            cuts: 0,
            start: Instant::now(),
        }
    }
}

/// A response with rows, as JSON texts.
#[derive(Debug)]
struct Page {
    rows: Vec<String>,
    truncated: bool,
    version: u64,
    now_ms: u64,
}

impl Page {
    fn into_response(self) -> Response<Body> {
        let (rows, truncated, version) = (self.rows.join(","), self.truncated, self.version);
        let now_ms = self.now_ms;
        let body = format!(
            r#"{{"Rows":[{rows}],"Truncated":{truncated},"Ver":{version},"NowMs":{now_ms}}}"#
        );
        typed_response(StatusCode::OK, "application/json", Body::full(body))
    }
}

#[derive(Debug, Clone)]
pub(crate) struct Row {
    /// Content in base64, encoded once, as large rows are sent often; absent once the row is removed.
    value: Option<Arc<str>>,
    version: u64,
}

impl PlatformStore {
    /// Listens on `address`, with no rows.
    pub fn bind(executor: &Executor, address: SocketAddr) -> io::Result<StandinServer<Self>> {
        let standin = Arc::new(Self::default());
        StandinServer::start(executor, address, standin, FaultInjector::default())
    }

    /// Writes a row with a JSON value, as operators and servers do.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().into_bytes());
    }

    /// Writes a row with arbitrary content, which need not be valid JSON.
    pub fn put_bytes(&self, table: &str, key: &str, value: Vec<u8>) {
        let value = STANDARD.encode(value);
        self.lock().write(table, key, Some(value));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.lock().write(table, key, None);
    }

    /// Writes rows in one transaction, so that they have the same version.
    pub fn put_together(&self, table: &str, rows: &[(&str, Value)]) {
        let mut state = self.lock();
        let version = state.version + 1;
        for (key, value) in rows {
            state.version = version - 1;
            state.write(table, key, Some(STANDARD.encode(value.to_string())));
        }
    }

    /// Cuts responses after this many rows or bytes of content, whichever comes first.
    pub fn cut_pages(&self, rows: usize, bytes: usize) {
        let mut state = self.lock();
        (state.page_rows, state.page_bytes) = (rows, bytes);
    }

    /// Writes (`Some`) or removes (`None`) a row right after the next response that is cut.
    pub fn change_after_cut(&self, table: &str, key: &str, value: Option<&Value>) {
        let value = value.map(|value| STANDARD.encode(value.to_string()));
        let change = ((table.into(), key.into()), value);
        self.lock().after_cut.push(change);
    }

    /// States `address` as the link address in the row with this key, whatever its gateway writes.
    pub fn set_peer_address(&self, key: &str, address: SocketAddr) {
        let mut state = self.lock();
        state.peer_addresses.insert(key.into(), address);
        let rows = state.rows.iter();
        let written = rows.filter(|((_, found), row)| **found == *key && row.value.is_some());
        let written: Vec<_> = written
            .map(|((table, _), row)| (table.clone(), row.value.as_deref().map(str::to_owned)))
            .collect();
        for (table, value) in written {
            state.write(&table, key, value);
        }
    }

    /// Content of a row; `None` without one, or if it is not JSON.
    pub fn value(&self, table: &str, key: &str) -> Option<Value> {
        let state = self.lock();
        let row = state.rows.get(&(table.into(), key.into()))?;
        let value = STANDARD.decode(&**row.value.as_ref()?).ok()?;
        serde_json::from_slice(&value).ok()
    }

    /// Keys of the rows of a table, without removed ones.
    pub fn keys(&self, table: &str) -> Vec<Box<str>> {
        let state = self.lock();
        let rows = state.rows.iter();
        let rows = rows.filter(|((found, _), row)| **found == *table && row.value.is_some());
        rows.map(|((_, key), _)| key.clone()).collect()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn list(&self, call: &Call) -> Response<Body> {
        let query = query_parameters(call);
        let table = query.get("Table").cloned().unwrap_or_default();
        let from = query.get("From").cloned().unwrap_or_default();
        let limit = query.get("Limit").and_then(|text| text.parse().ok());
        let mut state = self.lock();
        let listed = match &state.listed_copy {
            Some(copy) => Snapshot {
                rows: Cow::Borrowed(&copy.rows),
                version: copy.version.unwrap_or(state.version),
            },
            None => state.readable(),
        };
        let rows = listed.rows.iter().filter(|((found, key), row)| {
            **found == *table && **key >= *from && row.value.is_some()
        });
        let mut page = state.page(rows.collect(), limit.unwrap_or(usize::MAX));
        page.version = listed.version;
        state.apply_after_cut(&page);
        page.into_response()
    }

    async fn changes(&self, call: &Call) -> Response<Body> {
        let query = query_parameters(call);
        let table = query.get("Table").cloned().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|text| text.parse().ok());
        let after_version: u64 = number("AfterRevision").unwrap_or_default();
        let wait = Duration::from_millis(number("WaitMs").unwrap_or_default());
        let cuts = self.lock().cuts;
        while let Some((rx, is_held)) = self.subscribe(&table, after_version) {
            let change = async {
                let _ = rx.recv().await;
            };
            let timer = async {
                Timer::after(wait).await;
            };
            if is_held {
                change.await;
            } else {
                futures_lite::future::or(change, timer).await;
                break;
            }
            if self.lock().cuts != cuts {
                break;
            }
        }
        if self.lock().cuts != cuts {
            return aborted_response().await;
        }
        let mut state = self.lock();
        if after_version < state.history_start {
            return text_response(StatusCode::GONE, "history gone");
        }
        let mut rows: Vec<_> = state.changed_rows(&table, after_version).collect();
        rows.sort_by_key(|(_, row)| row.version);
        let mut page = state.page(rows, usize::MAX);
        let quiet = state.watch_faults.quiet.filter(|_| page.rows.is_empty());
        page.version = match quiet {
            Some((QuietAnswer::PolledVersion, _)) => after_version,
            Some((QuietAnswer::OldestVersion, _)) => 0,
            _ => page.version,
        };
        state.apply_after_cut(&page);
        page.into_response()
    }

    /// Counts a call, and returns whether it is not refused.
    fn is_served(&self, call: &Call) -> bool {
        let table = query_parameters(call).remove("Table");
        let mut state = self.lock();
        let is_served = state.refused_from.is_none_or(|from| state.calls < from)
            && (table.is_none() || table.as_deref() != state.refused_table.as_deref());
        state.calls += 1;
        is_served
    }

    /// Receiver that wakes a long poll, and whether the poll is held beyond its time; none if there is
    /// something to report at once.
    fn subscribe(&self, table: &str, after_version: u64) -> Option<(Receiver<()>, bool)> {
        let mut state = self.lock();
        if after_version < state.history_start
            || state.changed_rows(table, after_version).next().is_some()
        {
            return None;
        }
        let (tx, rx) = async_channel::bounded(1);
        state.pending_polls.push(tx);
        let quiet = state.watch_faults.quiet;
        let is_held = quiet.is_some_and(|(answer, _)| answer == QuietAnswer::Never);
        Some((rx, is_held))
    }
}

impl State {
    pub(crate) fn write(&mut self, table: &str, key: &str, value: Option<String>) {
        let former_version = self.version;
        self.version += 1;
        let version = self.version;
        let value = value.map(|value| match self.peer_addresses.get(key) {
            Some(address) => with_address(value, *address),
            None => value,
        });
        let value = value.map(Arc::from);
        let key: RowKey = (table.into(), key.into());
        let former = self.rows.insert(key.clone(), Row { value, version });
        self.former_rows.record(former_version, key, former);
        // Dropping the senders wakes all long polls.
        self.pending_polls.clear();
    }

    /// Response with the first rows, up to the limits.
    fn page(&self, rows: Vec<(&RowKey, &Row)>, limit: usize) -> Page {
        let mut bytes = 0;
        let total = rows.len();
        let fitting = rows
            .into_iter()
            .enumerate()
            .take_while(|(index, (_, row))| {
                bytes += row.value.as_ref().map_or(0, |value| value.len() / 4 * 3);
                *index == 0 || bytes <= self.page_bytes
            });
        let fitting = fitting.take(limit.min(self.page_rows));
        let rows: Vec<_> = fitting.map(|(_, (key, row))| row.to_json(key)).collect();
        Page {
            truncated: rows.len() < total,
            rows,
            version: self.version,
            now_ms: self.now_ms(),
        }
    }

    /// Time on the store's clock, which never goes back.
    pub(crate) fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn apply_after_cut(&mut self, page: &Page) {
        if page.truncated {
            for ((table, key), value) in std::mem::take(&mut self.after_cut) {
                self.write(&table, &key, value);
            }
        }
    }

    fn changed_rows<'a>(
        &'a self,
        table: &'a str,
        after_version: u64,
    ) -> impl Iterator<Item = (&'a RowKey, &'a Row)> {
        let rows = self.rows.iter();
        rows.filter(move |(key, row)| {
            *key.0 == *table
                && row.version > after_version
                && self.watch_faults.tells(key, row.version)
        })
    }
}

impl Row {
    pub(crate) fn to_json(&self, (table, key): &RowKey) -> String {
        let version = self.version;
        let row = json!({ "Table": table, "part": "", "Key": key, "Ver": version }).to_string();
        let fields = row.trim_end_matches('}');
        match &self.value {
            // Base64 needs no escapes.
            Some(value) => format!("{fields},\"Value\":\"{value}\"}}"),
            None => format!("{fields},\"Removed\":true}}"),
        }
    }

    /// Whether the row is not removed.
    pub(crate) fn is_live(&self) -> bool {
        self.value.is_some()
    }

    /// Version for conditions; zero if the row is removed.
    pub(crate) fn live_version(&self) -> u64 {
        if self.is_live() { self.version } else { 0 }
    }
}

impl Standin for PlatformStore {
    async fn handle(&self, call: Call) -> Response<Body> {
        if !self.is_served(&call) {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "unavailable");
        }
        match call.uri.path() {
            "/v1/rows-tx" => self.transact(&call),
            "/v1/rows-get" => self.list(&call),
            "/v1/rows-feed" => self.changes(&call).await,
            _ => text_response(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    fn counts(&self) -> Value {
        json!({ "calls": self.lock().calls })
    }
}

/// A gateway's row with another link address.
fn with_address(encoded: String, address: SocketAddr) -> String {
    let decoded = STANDARD.decode(&encoded).unwrap_or_default();
    let Ok(mut row) = serde_json::from_slice::<Value>(&decoded) else {
        return encoded;
    };
    row["address"] = address.to_string().into();
    STANDARD.encode(row.to_string())
}

pub(crate) fn row_key(row: &Value) -> RowKey {
    let text = |name: &str| Box::from(row[name].as_str().unwrap_or_default());
    (text("Table"), text("Key"))
}

fn query_parameters(call: &Call) -> HashMap<String, String> {
    let pairs = call.uri.query().unwrap_or_default().split('&');
    let pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), percent_decode(value)))
        .collect()
}

fn percent_decode(text: &str) -> String {
    let mut pieces = text.split('%');
    let mut decoded = pieces.next().unwrap_or_default().as_bytes().to_vec();
    for piece in pieces {
        let (code, rest) = piece.split_at_checked(2).unwrap_or(("", piece));
        decoded.extend(u8::from_str_radix(code, 16).ok());
        decoded.extend(rest.as_bytes());
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

pub(crate) fn json_response(status: StatusCode, body: &Value) -> Response<Body> {
    typed_response(status, "application/json", Body::full(body.to_string()))
}
