//! The rate-limited weight store over HTTP.

use crate::faults::FaultInjector;
use crate::standin_server::{Call, Standin, StandinServer, json_answer, text_answer};
use async_io::Timer;
use hyper::{Method, Response, StatusCode};
use runtime::{Body, Executor};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const RETRY_AFTER_SECONDS: &str = "1";

/// What the weight store bears.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightStoreSpec {
    /// Bytes of each model's weights.
    pub bytes: u64,
    /// Bytes a second for each reader.
    pub bytes_per_second: u64,
    /// Most readers at once.
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

/// The weight store.
#[derive(Debug)]
pub struct WeightStoreStandin {
    spec: WeightStoreSpec,
    reading: AtomicU64,
    most_readers: AtomicU64,
    reads: AtomicU64,
    refused: AtomicU64,
}

struct Reader<'a>(&'a AtomicU64);

impl Drop for Reader<'_> {
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
            reading: AtomicU64::new(0),
            most_readers: AtomicU64::new(0),
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
        let readers = self.reading.fetch_add(1, Ordering::Relaxed) + 1;
        let _reader = Reader(&self.reading);
        if readers > self.spec.max_readers {
            self.refused.fetch_add(1, Ordering::Relaxed);
            let mut answer = text_answer(StatusCode::TOO_MANY_REQUESTS, "too many readers");
            if let Ok(value) = RETRY_AFTER_SECONDS.parse() {
                answer.headers_mut().insert("retry-after", value);
            }
            return answer;
        }
        self.most_readers.fetch_max(readers, Ordering::Relaxed);
        let time = self.spec.bytes as f64 / self.spec.bytes_per_second.max(1) as f64;
        Timer::after(Duration::from_secs_f64(time)).await;
        self.reads.fetch_add(1, Ordering::Relaxed);
        json_answer(
            StatusCode::OK,
            &serde_json::json!({ "bytes": self.spec.bytes }),
        )
    }
}

impl Standin for WeightStoreStandin {
    async fn call(&self, call: Call) -> Response<Body> {
        if call.method == Method::POST && call.uri.path().starts_with("/weights/") {
            return self.read().await;
        }
        text_answer(StatusCode::NOT_FOUND, "no such call")
    }

    fn counts(&self) -> serde_json::Value {
        serde_json::json!({
            "reads": self.reads.load(Ordering::Relaxed),
            "refused": self.refused.load(Ordering::Relaxed),
            "most_readers": self.most_readers.load(Ordering::Relaxed),
        })
    }
}
