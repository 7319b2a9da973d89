//! The platform over HTTP.

use crate::error::{PlatformError, PlatformOperation};
use crate::host_list::{HostEntry, HostList};
use crate::object_store::ObjectStore;
use crate::table::{CommitError, Row, RowVersion, TableService, Transaction};
use bytes::Bytes;
use runtime::{Body, HttpClient, HttpError};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const ANSWER_BYTES: usize = 64 << 20;
const OK: u16 = 200;
const NOT_FOUND: u16 = 404;
const CONFLICT: u16 = 409;
const TOO_MANY: u16 = 429;
const UNAVAILABLE: u16 = 503;

/// Where the platform is.
#[derive(Debug, Clone)]
pub struct PlatformConfig {
    /// Table service.
    pub table: SocketAddr,
    /// Object store.
    pub objects: SocketAddr,
    /// Host list.
    pub hosts: SocketAddr,
    /// Time that a call may take.
    pub call_timeout: Duration,
}

/// Counts calls to the platform.
#[derive(Debug, Default)]
pub struct PlatformCounters {
    /// Reads and scans.
    pub reads: AtomicU64,
    /// Commits and object writes.
    pub writes: AtomicU64,
    /// Calls that failed.
    pub errors: AtomicU64,
}

/// Client of the whole platform.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    cfg: PlatformConfig,
    client: HttpClient,
    counters: Arc<PlatformCounters>,
}

#[derive(Serialize)]
struct ReadBody<'a> {
    keys: &'a [&'a str],
}

#[derive(Serialize)]
struct ScanBody<'a> {
    prefix: &'a str,
    after: &'a str,
    limit: usize,
}

#[derive(Deserialize)]
struct Rows {
    rows: Vec<Row>,
}

#[derive(Deserialize)]
struct Versions {
    versions: Vec<RowVersion>,
}

#[derive(Deserialize)]
struct Conflict {
    conflict: Box<str>,
}

#[derive(Deserialize)]
struct Hosts {
    hosts: Vec<HostEntry>,
}

struct Answer {
    peer: SocketAddr,
    step: PlatformOperation,
    status: u16,
    body: Bytes,
}

impl HttpPlatform {
    /// A client that shares `client`'s connections.
    pub fn new(cfg: PlatformConfig, client: HttpClient) -> Self {
        Self {
            cfg,
            client,
            counters: Arc::default(),
        }
    }

    /// Calls so far.
    pub fn counters(&self) -> &PlatformCounters {
        &self.counters
    }

    async fn call(
        &self,
        step: PlatformOperation,
        peer: SocketAddr,
        method: &str,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Answer, PlatformError> {
        let counter = match step {
            PlatformOperation::Commit | PlatformOperation::PutObject => &self.counters.writes,
            _ => &self.counters.reads,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let result = self.exchange(step, peer, method, path, body.into()).await;
        if result.is_err() {
            self.counters.errors.fetch_add(1, Ordering::Relaxed);
        }
        result
    }

    async fn exchange(
        &self,
        step: PlatformOperation,
        peer: SocketAddr,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, PlatformError> {
        let req = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header("host", peer.to_string())
            .header("content-type", "application/json")
            .body(Body::full(body))
            .map_err(|err| PlatformError::Unavailable(step, peer, err.to_string().into()))?;
        let answer = self
            .client
            .fetch(peer, req, ANSWER_BYTES, self.cfg.call_timeout)
            .await;
        match answer {
            Ok((status, body)) => Answer {
                peer,
                step,
                status: status.as_u16(),
                body,
            }
            .accepted(),
            Err(err @ HttpError::Connect(..)) => Err(PlatformError::Unavailable(
                step,
                peer,
                err.to_string().into(),
            )),
            Err(err) => Err(PlatformError::OutcomeUnknown(
                step,
                peer,
                err.to_string().into(),
            )),
        }
    }
}

impl Answer {
    fn accepted(self) -> Result<Self, PlatformError> {
        match self.status {
            OK | NOT_FOUND | CONFLICT => Ok(self),
            TOO_MANY | UNAVAILABLE => {
                let reason = format!("status {}", self.status);
                Err(PlatformError::Unavailable(
                    self.step,
                    self.peer,
                    reason.into(),
                ))
            }
            status => {
                let reason = format!("status {status}");
                Err(PlatformError::OutcomeUnknown(
                    self.step,
                    self.peer,
                    reason.into(),
                ))
            }
        }
    }

    fn json<T: DeserializeOwned>(&self) -> Result<T, PlatformError> {
        serde_json::from_slice(&self.body)
            .map_err(|err| PlatformError::Malformed(self.step, self.peer, err.to_string().into()))
    }
}

fn to_json<T: Serialize>(
    step: PlatformOperation,
    peer: SocketAddr,
    body: &T,
) -> Result<Vec<u8>, PlatformError> {
    serde_json::to_vec(body)
        .map_err(|err| PlatformError::Unavailable(step, peer, err.to_string().into()))
}

impl TableService for HttpPlatform {
    async fn read(&self, keys: &[&str]) -> Result<Vec<Row>, PlatformError> {
        let peer = self.cfg.table;
        let body = to_json(PlatformOperation::Read, peer, &ReadBody { keys })?;
        let answer = self
            .call(PlatformOperation::Read, peer, "POST", "/v1/read", body)
            .await?;
        Ok(answer.json::<Rows>()?.rows)
    }

    async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        let peer = self.cfg.table;
        let body = to_json(
            PlatformOperation::Scan,
            peer,
            &ScanBody {
                prefix,
                after,
                limit,
            },
        )?;
        let answer = self
            .call(PlatformOperation::Scan, peer, "POST", "/v1/scan", body)
            .await?;
        Ok(answer.json::<Rows>()?.rows)
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Vec<RowVersion>, CommitError> {
        let peer = self.cfg.table;
        let body = to_json(PlatformOperation::Commit, peer, transaction)?;
        let answer = self
            .call(PlatformOperation::Commit, peer, "POST", "/v1/commit", body)
            .await?;
        if answer.status == CONFLICT {
            return Err(CommitError::Conflict(answer.json::<Conflict>()?.conflict));
        }
        Ok(answer.json::<Versions>()?.versions)
    }
}

impl ObjectStore for HttpPlatform {
    async fn get(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        let path = format!("/o/{name}");
        let answer = self
            .call(
                PlatformOperation::GetObject,
                self.cfg.objects,
                "GET",
                &path,
                Bytes::new(),
            )
            .await?;
        Ok((answer.status == OK).then_some(answer.body))
    }

    async fn put(&self, name: &str, data: Bytes) -> Result<(), PlatformError> {
        let path = format!("/o/{name}");
        self.call(
            PlatformOperation::PutObject,
            self.cfg.objects,
            "PUT",
            &path,
            data,
        )
        .await?;
        Ok(())
    }
}

impl HostList for HttpPlatform {
    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        let answer = self
            .call(
                PlatformOperation::Hosts,
                self.cfg.hosts,
                "GET",
                "/hosts",
                Bytes::new(),
            )
            .await?;
        Ok(answer.json::<Hosts>()?.hosts)
    }
}
