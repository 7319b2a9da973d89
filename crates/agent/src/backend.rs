//! HTTP client of the backend server.

use bytes::Bytes;
use hyper::Request;
use policy::{EngineReport, format_grant};
use proto::{AttemptId, GrantId, Offer};
use quick_error::quick_error;
use runtime::{Body, Executor, HttpClient, HttpError, SingleExchange, SingleResponse};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RESPONSE_BYTES: usize = 4 << 20;

quick_error! {
    /// A call to the backend server that failed.
    #[derive(Debug)]
    pub enum BackendError {
        /// The request could not be built because a part of it is not valid HTTP.
        Request(peer: SocketAddr, err: hyper::http::Error) {
            display("request to backend server {peer}: {err}")
        }
        /// The HTTP exchange failed.
        Http(err: HttpError) {
            display("backend server: {err}")
            from()
        }
        /// The backend server responded with a status other than 200.
        Status(peer: SocketAddr, call: Box<str>, status: u16) {
            display("backend server {peer} answered {call} with status {status}")
        }
        /// The body of the response is not JSON of the expected form.
        Malformed(peer: SocketAddr, call: Box<str>, err: serde_json::Error) {
            display("backend server {peer} sent a malformed response to {call}: {err}")
        }
    }
}

impl BackendError {
    /// Whether the request was certainly not sent to the backend server.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::Request(..) => true,
            Self::Http(err) => err.is_unsent(),
            _ => false,
        }
    }

    /// Whether the backend server sent a head that is no valid answer.
    pub fn is_invalid_answer(&self) -> bool {
        matches!(self, Self::Http(err) if err.is_invalid_head())
    }
}

#[derive(Deserialize)]
struct LoadResponse {
    running: u32,
    waiting: u32,
    free_tokens: u64,
    cold: Option<bool>,
}

/// HTTP client of the agent's backend server.
#[derive(Debug)]
pub struct Backend {
    address: SocketAddr,
    executor: Executor,
    /// Client for calls other than requests of callers.
    client: HttpClient,
}

impl Backend {
    /// Creates a client of the backend server at `address`.
    pub fn new(address: SocketAddr, executor: Executor) -> Self {
        Self {
            address,
            client: HttpClient::new(executor.clone()),
            executor,
        }
    }

    /// Sends a request and returns the response once its head has arrived. `grant` names memory that
    /// the engine has reserved for the request.
    ///
    /// The connection carries no other request: what a server writes late, such as an earlier refusal
    /// once more, would be taken for the response to this one.
    pub async fn send_request(
        &self,
        offer: &Offer,
        priority: u8,
        grant: Option<GrantId>,
        body: Bytes,
    ) -> Result<SingleResponse, BackendError> {
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
        let exchange = SingleExchange::connect(&self.executor, self.address, CONNECT_TIMEOUT);
        Ok(exchange.await?.send(req).await?)
    }

    /// Has the engine apply an action to an attempt: `cancel`, `suspend` or `resume`.
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

    /// Reads the engine's load report.
    pub async fn load(&self) -> Result<EngineReport, BackendError> {
        let response: LoadResponse = self.get("/engine/load").await?;
        Ok(EngineReport {
            running: response.running,
            waiting: response.waiting,
            free_tokens: response.free_tokens,
            cold: response.cold,
        })
    }

    /// Reads a path of the engine whose content is JSON.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, BackendError> {
        let body = self.call("GET", path, Bytes::new()).await?;
        let malformed = |err| BackendError::Malformed(self.address, path.into(), err);
        serde_json::from_slice(&body).map_err(malformed)
    }

    /// Makes a call that is answered within [`CALL_TIMEOUT`] and returns the body of the response.
    /// Fails unless the status is 200.
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
