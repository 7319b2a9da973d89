//! The table service over HTTP.

use crate::faults::FaultInjector;
use crate::standin_server::{Call, CallError, Standin, StandinServer, json_answer, text_answer};
use crate::table_sim::{TableCondition, TableRefusal, TableRow, TableSim, TableSpec, TableWrite};
use hyper::{Method, Response, StatusCode};
use runtime::{Body, Clock, Executor};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

const SCAN_LIMIT: usize = 1000;

/// The table service.
#[derive(Debug)]
pub struct TableStandin {
    model: Mutex<TableSim>,
    clock: Clock,
}

#[derive(Deserialize)]
struct ReadBody {
    keys: Vec<Box<str>>,
}

#[derive(Deserialize)]
struct ScanBody {
    prefix: Box<str>,
    #[serde(default)]
    after: Box<str>,
    limit: usize,
}

#[derive(Deserialize)]
struct CommitBody {
    #[serde(default)]
    conditions: Vec<TableCondition>,
    writes: Vec<TableWrite>,
}

#[derive(Serialize)]
struct Rows {
    rows: Vec<TableRow>,
}

#[derive(Serialize)]
struct Versions {
    versions: Vec<u64>,
}

#[derive(Serialize)]
struct Conflict {
    conflict: Box<str>,
}

impl TableStandin {
    /// Listens on `address` with the default rates.
    pub fn bind(executor: &Executor, address: SocketAddr) -> io::Result<StandinServer<Self>> {
        Self::bind_with(executor, address, TableSpec::default())
    }

    /// Listens on `address` with the given rates.
    pub fn bind_with(
        executor: &Executor,
        address: SocketAddr,
        spec: TableSpec,
    ) -> io::Result<StandinServer<Self>> {
        let standin = Self {
            model: Mutex::new(TableSim::new(spec)),
            clock: Clock::default(),
        };
        StandinServer::start(
            executor,
            address,
            Arc::new(standin),
            FaultInjector::default(),
        )
    }

    /// The rows and counts, outside the rates.
    pub fn model(&self) -> MutexGuard<'_, TableSim> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read(&self, call: &Call) -> Result<Response<Body>, CallError> {
        let body: ReadBody = call.json()?;
        let keys: Vec<&str> = body.keys.iter().map(|key| &**key).collect();
        let rows = self.model().read(self.clock.now(), &keys);
        Ok(rows_answer(rows))
    }

    fn scan(&self, call: &Call) -> Result<Response<Body>, CallError> {
        let body: ScanBody = call.json()?;
        let limit = body.limit.min(SCAN_LIMIT);
        let rows = self
            .model()
            .scan(self.clock.now(), &body.prefix, &body.after, limit);
        Ok(rows_answer(rows))
    }

    fn commit(&self, call: &Call) -> Result<Response<Body>, CallError> {
        let body: CommitBody = call.json()?;
        let committed = self
            .model()
            .commit(self.clock.now(), &body.conditions, &body.writes);
        Ok(match committed {
            Ok(versions) => json_answer(StatusCode::OK, &Versions { versions }),
            Err(refusal) => refusal_answer(refusal),
        })
    }
}

impl Standin for TableStandin {
    async fn call(&self, call: Call) -> Response<Body> {
        let answer = match (&call.method, call.uri.path()) {
            (&Method::POST, "/v1/read") => self.read(&call),
            (&Method::POST, "/v1/scan") => self.scan(&call),
            (&Method::POST, "/v1/commit") => self.commit(&call),
            _ => Err(CallError::Unknown),
        };
        answer.unwrap_or_else(Response::from)
    }

    fn counts(&self) -> serde_json::Value {
        serde_json::to_value(self.model().counts()).unwrap_or_default()
    }
}

fn rows_answer(rows: Result<Vec<TableRow>, TableRefusal>) -> Response<Body> {
    match rows {
        Ok(rows) => json_answer(StatusCode::OK, &Rows { rows }),
        Err(refusal) => refusal_answer(refusal),
    }
}

fn refusal_answer(refusal: TableRefusal) -> Response<Body> {
    match refusal {
        TableRefusal::Conflict(conflict) => {
            json_answer(StatusCode::CONFLICT, &Conflict { conflict })
        }
        TableRefusal::RateLimited => text_answer(StatusCode::TOO_MANY_REQUESTS, "over the rate"),
        TableRefusal::TooManyRows => text_answer(StatusCode::BAD_REQUEST, "too many rows"),
    }
}
