//! The backend server over HTTP.

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response};
use policy::{EngineReport, format_grant};
use proto::{AttemptId, GrantId, Offer};
use quick_error::quick_error;
use runtime::{Body, HttpClient, HttpError};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RESPONSE_BYTES: usize = 4 << 20;

quick_error! {
    /// A call to the backend server that failed.
    #[derive(Debug)]
    pub enum BackendError {
        /// The request could not be written down.
        Request(peer: SocketAddr, err: hyper::http::Error) {
            display("request to backend server {peer}: {err}")
        }
        /// The exchange failed.
        Http(err: HttpError) {
            display("backend server: {err}")
            from()
        }
        /// The backend server answered with another status than expected.
        Status(peer: SocketAddr, call: Box<str>, status: u16) {
            display("backend server {peer} answered {call} with status {status}")
        }
        /// The answer makes no sense.
        Malformed(peer: SocketAddr, call: Box<str>, err: serde_json::Error) {
            display("backend server {peer} answered {call} with what is no JSON of ours: {err}")
        }
    }
}

impl BackendError {
    /// Whether the backend server certainly never saw the request.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::Request(..) => true,
            Self::Http(err) => err.is_unsent(),
            _ => false,
        }
    }
}

#[derive(Deserialize)]
struct LoadResponse {
    running: u32,
    waiting: u32,
    free_tokens: u64,
    cold: Option<bool>,
}

/// The backend server that the agent stands beside.
#[derive(Debug)]
pub struct Backend {
    address: SocketAddr,
    client: HttpClient,
}

impl Backend {
    /// The backend server at an address.
    pub fn new(address: SocketAddr, client: HttpClient) -> Self {
        Self { address, client }
    }

    /// Starts a request, in memory granted before where there is a grant, and gives the head of the
    /// answer.
    pub async fn start(
        &self,
        offer: &Offer,
        priority: u8,
        grant: Option<GrantId>,
        body: Bytes,
    ) -> Result<Response<Incoming>, BackendError> {
        let mut req = Request::builder()
            .method(&*offer.method)
            .uri(&*offer.path)
            .header("host", self.address.to_string())
            .header("x-attempt-id", offer.attempt.to_string())
            .header("x-priority", u64::from(priority))
            .header("x-prompt-tokens", offer.prompt_tokens)
            .header("x-max-tokens", offer.output_tokens);
        if let Some(content_type) = &offer.content_type {
            req = req.header("content-type", &**content_type);
        }
        if let Some(key) = &offer.idempotency_key {
            req = req.header("idempotency-key", &**key);
        }
        if let Some(grant) = grant {
            req = req.header("x-grant-id", &*format_grant(grant));
        }
        let req = req.body(Body::full(body));
        let req = req.map_err(|err| BackendError::Request(self.address, err))?;
        Ok(self.client.send(self.address, req).await?)
    }

    /// Tells the engine to cancel, suspend or resume an attempt.
    pub async fn control_attempt(
        &self,
        action: &str,
        attempt: AttemptId,
    ) -> Result<(), BackendError> {
        let body = format!("{{\"attempt\":\"{attempt}\"}}");
        self.call("POST", &format!("/engine/{action}"), body)
            .await
            .map(|_| ())
    }

    /// The engine's report of its load.
    pub async fn load(&self) -> Result<EngineReport, BackendError> {
        let answer: LoadResponse = self.get("/engine/load").await?;
        Ok(EngineReport {
            running: answer.running,
            waiting: answer.waiting,
            free_tokens: answer.free_tokens,
            cold: answer.cold,
        })
    }

    /// Reads a JSON answer of the engine.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, BackendError> {
        let body = self.call("GET", path, Bytes::new()).await?;
        let malformed = |err| BackendError::Malformed(self.address, path.into(), err);
        serde_json::from_slice(&body).map_err(malformed)
    }

    /// Makes one short call; any status but 200 is an error.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Bytes, BackendError> {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .header("content-type", "application/json")
            .body(Body::full(body));
        let req = req.map_err(|err| BackendError::Request(self.address, err))?;
        let (status, body) = self
            .client
            .fetch(self.address, req, MAX_RESPONSE_BYTES, CALL_TIMEOUT)
            .await?;
        if status.as_u16() != 200 {
            return Err(BackendError::Status(
                self.address,
                path.into(),
                status.as_u16(),
            ));
        }
        Ok(body)
    }
}
