//! HTTP client of the engine's control API: memory, segments of spans, and orders.

use bytes::Bytes;
use hyper::Request;
use policy::{CallOutcome, EngineState, Holding, Order, OrderResult, SpanEngineCall, format_grant};
use proto::{Epoch, GrantId};
use runtime::{Body, HttpClient, HttpError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_RESPONSE_BYTES: usize = 4 << 20;
const STATUS_OK: u16 = 200;
const STATUS_FORBIDDEN: u16 = 403;
const STATUS_PRECONDITION_FAILED: u16 = 412;

#[derive(Deserialize)]
struct HoldingsResponse {
    holdings: Vec<Holding>,
}

#[derive(Serialize)]
struct ReserveBody {
    grant: Box<str>,
    tokens: u64,
}

#[derive(Serialize)]
struct ReleaseBody {
    grant: Box<str>,
}

#[derive(Serialize)]
struct CancelBody<'a> {
    attempt: &'a str,
}

#[derive(Serialize)]
struct SegmentBody {
    grant: Box<str>,
    segment: u32,
    from: u64,
    to: u64,
    import_from: Option<SocketAddr>,
    import_grant: Option<Box<str>>,
}

#[derive(Serialize)]
struct OrderBody<'a> {
    fence: Epoch,
    by: &'a str,
    order: &'a Order,
}

/// HTTP client of the control API of one engine.
#[derive(Debug)]
pub struct EngineClient {
    address: SocketAddr,
    client: HttpClient,
}

impl EngineClient {
    /// Creates a client of the engine at `address`.
    pub fn new(address: SocketAddr, client: HttpClient) -> Self {
        Self { address, client }
    }

    /// Address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes a call on behalf of a span.
    pub async fn span_call(&self, call: &SpanEngineCall) -> CallOutcome {
        match call {
            SpanEngineCall::Reserve { grant, tokens } => {
                let grant = format_grant(*grant);
                let tokens = *tokens;
                let body = ReserveBody { grant, tokens };
                self.post_call("/engine/reserve", &body, CALL_TIMEOUT).await
            }
            SpanEngineCall::Release { grant } => self.release(*grant).await,
            SpanEngineCall::Prefill {
                grant,
                segment,
                from,
                to,
                import,
                remaining,
            } => {
                let body = SegmentBody {
                    grant: format_grant(*grant),
                    segment: *segment,
                    from: *from,
                    to: *to,
                    import_from: import.map(|import| import.engine),
                    import_grant: import.map(|import| format_grant(import.grant)),
                };
                self.post_call("/engine/segment", &body, *remaining).await
            }
        }
    }

    /// Frees the memory of a grant.
    pub async fn release(&self, grant: GrantId) -> CallOutcome {
        let grant = format_grant(grant);
        self.post_call("/engine/release", &ReleaseBody { grant }, CALL_TIMEOUT)
            .await
    }

    /// Cancels a running request; `attempt` is the id of its attempt, as text.
    pub async fn cancel(&self, attempt: &str) -> CallOutcome {
        self.post_call("/engine/cancel", &CancelBody { attempt }, CALL_TIMEOUT)
            .await
    }

    /// Lists what the engine holds memory for; `None` if the call failed.
    pub async fn holdings(&self) -> Option<Vec<Holding>> {
        let (status, body) = self.get("/engine/holdings").await.ok()?;
        let response: HoldingsResponse = serde_json::from_slice(&body).ok()?;
        (status == STATUS_OK).then_some(response.holdings)
    }

    /// Reads the part of the engine's state that orders can change; `None` if the call failed.
    pub async fn state(&self) -> Option<EngineState> {
        let (status, body) = self.get("/engine/orders").await.ok()?;
        let state = serde_json::from_slice(&body).ok()?;
        (status == STATUS_OK).then_some(state)
    }

    /// Sends an order with the fencing number `fence`, in the name of process `by`.
    pub async fn send_order(&self, fence: Epoch, by: &str, order: &Order) -> OrderResult {
        let body = OrderBody { fence, by, order };
        match self.post("/engine/order", &body, CALL_TIMEOUT).await {
            Ok(STATUS_OK) => OrderResult::Accepted,
            Ok(STATUS_PRECONDITION_FAILED) => OrderResult::Superseded,
            Ok(STATUS_FORBIDDEN) => OrderResult::Forbidden,
            Ok(_) => OrderResult::NotApplied,
            Err(err) if err.is_unsent() => OrderResult::NotApplied,
            Err(_) => OrderResult::Unknown,
        }
    }

    async fn post_call<T: Serialize>(
        &self,
        path: &str,
        body: &T,
        timeout: Duration,
    ) -> CallOutcome {
        match self.post(path, body, timeout).await {
            Ok(STATUS_OK) => CallOutcome::Done,
            Ok(_) => CallOutcome::Refused,
            Err(err) if err.is_unsent() => CallOutcome::Refused,
            Err(_) => CallOutcome::Unknown,
        }
    }

    async fn post<T: Serialize>(
        &self,
        path: &str,
        body: &T,
        timeout: Duration,
    ) -> Result<u16, HttpError> {
        let body = serde_json::to_vec(body).unwrap_or_default();
        let (status, _) = self.fetch("POST", path, body.into(), timeout).await?;
        Ok(status)
    }

    async fn get(&self, path: &str) -> Result<(u16, Bytes), HttpError> {
        self.fetch("GET", path, Bytes::new(), CALL_TIMEOUT).await
    }

    async fn fetch(
        &self,
        method: &str,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(u16, Bytes), HttpError> {
        let mut req = Request::new(Body::full(body));
        *req.method_mut() = method.parse().unwrap_or_default();
        *req.uri_mut() = path.parse().unwrap_or_default();
        let host = self.address.to_string().parse();
        req.headers_mut()
            .extend(host.ok().map(|host| (hyper::header::HOST, host)));
        let response = self
            .client
            .fetch(self.address, req, MAX_RESPONSE_BYTES, timeout);
        let (status, body) = response.await?;
        Ok((status.as_u16(), body))
    }
}
