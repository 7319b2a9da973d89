//! HTTP client of the platform.

use crate::error::{PlatformError, PlatformOperation};
use crate::host_list::{HostEntry, HostList, HostListing};
use crate::object_store::ObjectStore;
use crate::table::{CommitError, Row, RowVersion, TableService, Transaction};
use bytes::Bytes;
use runtime::{Body, HttpClient, HttpError};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const MAX_RESPONSE_BYTES: usize = 64 << 20;
const OK: u16 = 200;
const NOT_FOUND: u16 = 404;
const CONFLICT: u16 = 409;
const TOO_MANY_REQUESTS: u16 = 429;
const SERVICE_UNAVAILABLE: u16 = 503;

/// Addresses and timeout of an [`HttpPlatform`].
#[derive(Debug, Clone)]
pub struct PlatformConfig {
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Address of the host list.
    pub hosts: SocketAddr,
    /// Maximum duration of one call.
    pub call_timeout: Duration,
}

/// Counters of the calls to the platform.
#[derive(Debug, Default)]
pub struct PlatformCounters {
    /// Reads of rows, objects and the host list, including failed ones.
    pub reads: AtomicU64,
    /// Commits and object writes, including failed ones.
    pub writes: AtomicU64,
    /// Calls that got no complete response, or a status other than 200, 404 and 409.
    pub errors: AtomicU64,
}

/// Client of the table service, the object store and the host list. Clones share the counters.
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
    /// Entries, each decoded by itself, so that an odd one does not hide the others.
    hosts: Vec<Box<RawValue>>,
}

struct Response {
    peer: SocketAddr,
    operation: PlatformOperation,
    status: u16,
    body: Bytes,
}

impl HttpPlatform {
    /// Creates a client that uses the connections of `client`.
    pub fn new(cfg: PlatformConfig, client: HttpClient) -> Self {
        Self {
            cfg,
            client,
            counters: Arc::default(),
        }
    }

    /// Counters of this client and its clones.
    pub fn counters(&self) -> &PlatformCounters {
        &self.counters
    }

    async fn call(
        &self,
        operation: PlatformOperation,
        peer: SocketAddr,
        method: &str,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Response, PlatformError> {
        let counter = match operation {
            PlatformOperation::Commit | PlatformOperation::PutObject => &self.counters.writes,
            _ => &self.counters.reads,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let result = self
            .send_request(operation, peer, method, path, body.into())
            .await;
        if result.is_err() {
            self.counters.errors.fetch_add(1, Ordering::Relaxed);
        }
        result
    }

    async fn send_request(
        &self,
        operation: PlatformOperation,
        peer: SocketAddr,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Result<Response, PlatformError> {
        let req = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header("host", peer.to_string())
            .header("content-type", "application/json")
            .body(Body::full(body))
            .map_err(|err| PlatformError::Unavailable(operation, peer, err.to_string().into()))?;
        let response = self
            .client
            .fetch(peer, req, MAX_RESPONSE_BYTES, self.cfg.call_timeout)
            .await;
        match response {
            Ok((status, body)) => Response {
                peer,
                operation,
                status: status.as_u16(),
                body,
            }
            .check_status(),
            Err(err @ HttpError::Connect(..)) => Err(PlatformError::Unavailable(
                operation,
                peer,
                err.to_string().into(),
            )),
            Err(err) => Err(PlatformError::OutcomeUnknown(
                operation,
                peer,
                err.to_string().into(),
            )),
        }
    }
}

impl Response {
    fn check_status(self) -> Result<Self, PlatformError> {
        match self.status {
            OK | NOT_FOUND | CONFLICT => Ok(self),
            TOO_MANY_REQUESTS | SERVICE_UNAVAILABLE => {
                let reason = format!("status {}", self.status);
                Err(PlatformError::Unavailable(
                    self.operation,
                    self.peer,
                    reason.into(),
                ))
            }
            status => {
                let reason = format!("status {status}");
                Err(PlatformError::OutcomeUnknown(
                    self.operation,
                    self.peer,
                    reason.into(),
                ))
            }
        }
    }

    fn json<T: DeserializeOwned>(&self) -> Result<T, PlatformError> {
        serde_json::from_slice(&self.body).map_err(|err| {
            PlatformError::Malformed(self.operation, self.peer, err.to_string().into())
        })
    }
}

fn to_json<T: Serialize>(
    operation: PlatformOperation,
    peer: SocketAddr,
    body: &T,
) -> Result<Vec<u8>, PlatformError> {
    serde_json::to_vec(body)
        .map_err(|err| PlatformError::Unavailable(operation, peer, err.to_string().into()))
}

impl TableService for HttpPlatform {
    async fn read(&self, keys: &[&str]) -> Result<Vec<Row>, PlatformError> {
        let peer = self.cfg.table;
        let body = to_json(PlatformOperation::Read, peer, &ReadBody { keys })?;
        let response = self
            .call(PlatformOperation::Read, peer, "POST", "/v1/read", body)
            .await?;
        Ok(response.json::<Rows>()?.rows)
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
        let response = self
            .call(PlatformOperation::Scan, peer, "POST", "/v1/scan", body)
            .await?;
        Ok(response.json::<Rows>()?.rows)
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Vec<RowVersion>, CommitError> {
        let peer = self.cfg.table;
        let body = to_json(PlatformOperation::Commit, peer, transaction)?;
        let response = self
            .call(PlatformOperation::Commit, peer, "POST", "/v1/commit", body)
            .await?;
        if response.status == CONFLICT {
            return Err(CommitError::Conflict(response.json::<Conflict>()?.conflict));
        }
        Ok(response.json::<Versions>()?.versions)
    }
}

impl ObjectStore for HttpPlatform {
    async fn get(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        let path = format!("/o/{name}");
        let response = self
            .call(
                PlatformOperation::GetObject,
                self.cfg.objects,
                "GET",
                &path,
                Bytes::new(),
            )
            .await?;
        Ok((response.status == OK).then_some(response.body))
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
    async fn hosts(&self) -> Result<HostListing, PlatformError> {
        let response = self
            .call(
                PlatformOperation::Hosts,
                self.cfg.hosts,
                "GET",
                "/hosts",
                Bytes::new(),
            )
            .await?;
        let entries = response.json::<Hosts>()?.hosts;
        let decoded = entries
            .iter()
            .filter_map(|entry| serde_json::from_str(entry.get()).ok());
        let hosts: Vec<HostEntry> = decoded.collect();
        let skipped = entries.len() - hosts.len();
        Ok(HostListing { hosts, skipped })
    }
}
