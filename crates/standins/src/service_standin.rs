//! A plain service over HTTP: a label registry or a booking service.

use crate::faults::FaultInjector;
use crate::standin_server::{Call, Standin, StandinServer, json_answer};
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

/// How a plain service works.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name, which each answer carries.
    pub name: Box<str>,
    /// Time that a call takes.
    pub work_time: Duration,
}

/// What a plain service answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceResponse {
    /// The service.
    pub service: Box<str>,
    /// The number that it issued: one for each call, repeats included.
    pub number: u64,
    /// Hash of the call's body.
    pub body_hash: u64,
}

/// True counts of a plain service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// Calls that ran.
    pub calls: u64,
    /// Calls that ran, by idempotency key.
    pub runs: BTreeMap<Box<str>, u64>,
    /// Runs beyond the first of their key.
    #[serde(rename = "doubles")]
    pub duplicate_runs: u64,
}

/// A plain service that does not tell repeats apart.
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

    /// True counts so far.
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
    async fn call(&self, call: Call) -> Response<Body> {
        let number = self.run(call.header("idempotency-key"));
        Timer::after(self.spec.work_time).await;
        let answer = ServiceResponse {
            service: self.spec.name.clone(),
            number,
            body_hash: xxh3_64(&call.body),
        };
        json_answer(StatusCode::OK, &answer)
    }

    fn counts(&self) -> serde_json::Value {
        serde_json::to_value(self.service_counts()).unwrap_or_default()
    }
}
