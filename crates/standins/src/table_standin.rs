//! Table service stand-in: runs the simulated table in real time behind an HTTP API.

use crate::faults::FaultInjector;
use crate::standin_server::{
    Call, CallError, Standin, StandinServer, json_response, text_response,
};
use crate::table_sim::{TableCondition, TableRefusal, TableRow, TableSim, TableSpec, TableWrite};
use hyper::{Method, Response, StatusCode};
use runtime::{Body, Clock, Executor};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

const MAX_SCAN_ROWS: usize = 1000;

/// A stand-in for the table service.
#[derive(Debug)]
pub struct TableStandin {
    table: Mutex<TableSim>,
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
    /// Listens on `address` with the default rate limits.
    pub fn bind(executor: &Executor, address: SocketAddr) -> io::Result<StandinServer<Self>> {
        Self::bind_with(executor, address, TableSpec::default())
    }

    /// Listens on `address` with the given limits.
    pub fn bind_with(
        executor: &Executor,
        address: SocketAddr,
        spec: TableSpec,
    ) -> io::Result<StandinServer<Self>> {
        let standin = Self {
            table: Mutex::new(TableSim::new(spec)),
            clock: Clock::default(),
        };
        StandinServer::start(
            executor,
            address,
            Arc::new(standin),
            FaultInjector::default(),
        )
    }

    /// Locks the simulated table, for direct access to its rows and counters.
    pub fn table(&self) -> MutexGuard<'_, TableSim> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read(&self, call: &Call) -> Result<Response<Body>, CallError> {
        let body: ReadBody = call.json()?;
        let keys: Vec<&str> = body.keys.iter().map(|key| &**key).collect();
        let rows = self.table().read(self.clock.now(), &keys);
        Ok(rows_response(rows))
    }

    fn scan(&self, call: &Call) -> Result<Response<Body>, CallError> {
        let body: ScanBody = call.json()?;
        let limit = body.limit.min(MAX_SCAN_ROWS);
        let rows = self
            .table()
            .scan(self.clock.now(), &body.prefix, &body.after, limit);
        Ok(rows_response(rows))
    }

    fn commit(&self, call: &Call) -> Result<Response<Body>, CallError> {
        let body: CommitBody = call.json()?;
        let result = self
            .table()
            .commit(self.clock.now(), &body.conditions, &body.writes);
        Ok(match result {
            Ok(versions) => json_response(StatusCode::OK, &Versions { versions }),
            Err(refusal) => refusal_response(refusal),
        })
    }
}

impl Standin for TableStandin {
    async fn handle(&self, call: Call) -> Response<Body> {
        let response = match (&call.method, call.uri.path()) {
            (&Method::POST, "/v1/read") => self.read(&call),
            (&Method::POST, "/v1/scan") => self.scan(&call),
            (&Method::POST, "/v1/commit") => self.commit(&call),
            _ => Err(CallError::Unknown),
        };
        response.unwrap_or_else(Response::from)
    }

    fn counts(&self) -> serde_json::Value {
        serde_json::to_value(self.table().counts()).unwrap_or_default()
    }
}

fn rows_response(rows: Result<Vec<TableRow>, TableRefusal>) -> Response<Body> {
    match rows {
        Ok(rows) => json_response(StatusCode::OK, &Rows { rows }),
        Err(refusal) => refusal_response(refusal),
    }
}

fn refusal_response(refusal: TableRefusal) -> Response<Body> {
    match refusal {
        TableRefusal::Conflict(conflict) => {
            json_response(StatusCode::CONFLICT, &Conflict { conflict })
        }
        TableRefusal::RateLimited => text_response(StatusCode::TOO_MANY_REQUESTS, "over the rate"),
        TableRefusal::TooManyRows => text_response(StatusCode::BAD_REQUEST, "too many rows"),
    }
}
