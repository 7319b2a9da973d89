//! Weight store stand-in: serves reads of model weights with limited rate and concurrency.

use crate::faults::FaultInjector;
use crate::standin_server::{Call, Standin, StandinServer, json_response, text_response};
use async_io::Timer;
use hyper::{Method, Response, StatusCode};
use runtime::{Body, Executor};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const RETRY_AFTER_SECONDS: &str = "1";

/// Size of the weights and limits of the weight store.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightStoreSpec {
    /// Size of the weights of each model, in bytes.
    pub bytes: u64,
    /// Read rate of each reader, in bytes per second.
    pub bytes_per_second: u64,
    /// Most concurrent readers; more are refused.
    pub max_readers: u64,
}

impl Default for WeightStoreSpec {
    fn default() -> Self {
        Self {
            bytes: 14_000_000_000,
            bytes_per_second: 7_000_000_000,
            max_readers: 4,
        }
    }
}

/// A stand-in for the weight store.
#[derive(Debug)]
pub struct WeightStoreStandin {
    spec: WeightStoreSpec,
    active_readers: AtomicU64,
    max_active_readers: AtomicU64,
    reads: AtomicU64,
    refused: AtomicU64,
}

/// Counts an active reader down on drop.
struct ReaderGuard<'a>(&'a AtomicU64);

impl Drop for ReaderGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl WeightStoreStandin {
    /// Listens on `address`.
    pub fn bind(
        executor: &Executor,
        address: SocketAddr,
        spec: WeightStoreSpec,
    ) -> io::Result<StandinServer<Self>> {
        let standin = Self {
            spec,
            active_readers: AtomicU64::new(0),
            max_active_readers: AtomicU64::new(0),
            reads: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        };
        StandinServer::start(
            executor,
            address,
            Arc::new(standin),
            FaultInjector::default(),
        )
    }

    async fn read(&self) -> Response<Body> {
        let readers = self.active_readers.fetch_add(1, Ordering::Relaxed) + 1;
        let _guard = ReaderGuard(&self.active_readers);
        if readers > self.spec.max_readers {
            self.refused.fetch_add(1, Ordering::Relaxed);
            let mut response = text_response(StatusCode::TOO_MANY_REQUESTS, "too many readers");
            if let Ok(value) = RETRY_AFTER_SECONDS.parse() {
                response.headers_mut().insert("retry-after", value);
            }
            return response;
        }
        self.max_active_readers
            .fetch_max(readers, Ordering::Relaxed);
        let time = self.spec.bytes as f64 / self.spec.bytes_per_second.max(1) as f64;
        Timer::after(Duration::from_secs_f64(time)).await;
        self.reads.fetch_add(1, Ordering::Relaxed);
        json_response(
            StatusCode::OK,
            &serde_json::json!({ "bytes": self.spec.bytes }),
        )
    }
}

impl Standin for WeightStoreStandin {
    async fn handle(&self, call: Call) -> Response<Body> {
        if call.method == Method::POST && call.uri.path().starts_with("/weights/") {
            return self.read().await;
        }
        text_response(StatusCode::NOT_FOUND, "no such call")
    }

    fn counts(&self) -> serde_json::Value {
        serde_json::json!({
            "reads": self.reads.load(Ordering::Relaxed),
            "refused": self.refused.load(Ordering::Relaxed),
            "most_readers": self.max_active_readers.load(Ordering::Relaxed),
        })
    }
}
