//! Stand-in for a plain service, such as a label registry or a booking service.

use crate::faults::FaultInjector;
use crate::standin_server::{Call, Standin, StandinServer, json_response};
use async_io::Timer;
use hyper::{Response, StatusCode};
use runtime::{Body, Executor};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Name and speed of a plain service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name, which each response carries.
    pub name: Box<str>,
    /// Duration of a call.
    pub work_time: Duration,
}

/// Response of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceResponse {
    /// Name of the service.
    pub service: Box<str>,
    /// Number of the call, counted from one; a repeated call gets a new one.
    pub number: u64,
    /// xxh3 hash of the request body.
    pub body_hash: u64,
}

/// Counters of a plain service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// Calls executed.
    pub calls: u64,
    /// Calls executed, by idempotency key.
    pub runs: BTreeMap<Box<str>, u64>,
    /// Calls executed beyond the first one of their idempotency key.
    #[serde(rename = "doubles")]
    pub duplicate_runs: u64,
}

/// A stand-in for a plain service that executes repeated calls again.
#[derive(Debug)]
pub struct ServiceStandin {
    spec: ServiceSpec,
    counts: Mutex<ServiceCounts>,
}

impl ServiceStandin {
    /// Listens on `address`.
    pub fn bind(
        executor: &Executor,
        address: SocketAddr,
        spec: ServiceSpec,
    ) -> io::Result<StandinServer<Self>> {
        let standin = Self {
            spec,
            counts: Mutex::default(),
        };
        StandinServer::start(
            executor,
            address,
            Arc::new(standin),
            FaultInjector::default(),
        )
    }

    /// Counters so far.
    pub fn service_counts(&self) -> ServiceCounts {
        self.lock().clone()
    }

    fn run(&self, key: Option<&str>) -> u64 {
        let mut counts = self.lock();
        counts.calls += 1;
        if let Some(key) = key {
            let runs = counts.runs.entry(key.into()).or_default();
            *runs += 1;
            if *runs > 1 {
                counts.duplicate_runs += 1;
            }
        }
        counts.calls
    }

    fn lock(&self) -> MutexGuard<'_, ServiceCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Standin for ServiceStandin {
    async fn handle(&self, call: Call) -> Response<Body> {
        let number = self.run(call.header("idempotency-key"));
        Timer::after(self.spec.work_time).await;
        let response = ServiceResponse {
            service: self.spec.name.clone(),
            number,
            body_hash: xxh3_64(&call.body),
        };
        json_response(StatusCode::OK, &response)
    }

    fn counts(&self) -> serde_json::Value {
        serde_json::to_value(self.service_counts()).unwrap_or_default()
    }
}
