//! Reads and checks callers' requests.

use crate::caller_error::CallerError;
use crate::completion_body::CompletionBody;
use crate::gateway::Gateway;
use crate::run_record::RunRecord;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request};
use node::ClusterView;
use policy::{estimate_tokens, prefix_hashes};
use proto::{ModelId, RequestId, RouteId, TeamId, Tokens};
use runtime::{ByteReservation, RequestBody, timeout};
use std::sync::Arc;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

const COMPLETIONS_PATH: &str = "/v1/completions";
const CHAT_PATH: &str = "/v1/chat/completions";
const DEFAULT_OUTPUT_TOKENS: Tokens = 256;
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// What a request is for.
#[derive(Debug, Clone, PartialEq)]
pub enum Target {
    /// A declared model.
    Model(ModelId),
    /// A service other than a model, reached through a declared route.
    Route {
        /// Path of the route.
        path: RouteId,
        /// Name of the service.
        service: Box<str>,
    },
}

impl Target {
    /// Name of the pool of backend servers that may serve the request.
    pub fn pool(&self) -> &str {
        match self {
            Self::Model(name) => name,
            Self::Route { service, .. } => service,
        }
    }
}

/// A request that has been read and checked. It reserves memory for its body until dropped.
#[derive(Debug)]
pub struct CallerRequest {
    /// Random id, which the caller gets in the `x-request-id` header.
    pub id: RequestId,
    /// Team that the caller's API key belongs to.
    pub team: TeamId,
    /// Model or service that the request is for.
    pub target: Target,
    /// Path with query string.
    pub path: Box<str>,
    /// HTTP method.
    pub method: Box<str>,
    /// Content type of the body, if the caller sent one.
    pub content_type: Option<Box<str>>,
    /// The complete body.
    pub body: Bytes,
    /// Estimated prompt length; for a service, estimated from the length of the body.
    pub prompt_tokens: Tokens,
    /// Limit on output tokens: the caller's, or a default; zero for a service.
    pub output_tokens: Tokens,
    /// Whether the caller wants the tokens of a model's response as a stream.
    pub streamed: bool,
    /// Hashes of the prompt's leading blocks, for prefix cache affinity; empty for a service.
    pub prefixes: Vec<u64>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Idempotency key: the caller's, or one made from the id if the request must not run twice.
    pub idempotency_key: Option<Box<str>>,
    /// Hash of the body, the path and the query string.
    pub content_hash: u64,
    /// When the gateway started to read the request. Its time limit counts from here.
    pub arrived: Instant,
    /// When the response must be complete.
    pub deadline: Instant,
    /// Whether it may have run.
    pub run: RunRecord,
    _reservation: ByteReservation,
}

struct Payload {
    body: Bytes,
    reservation: ByteReservation,
}

impl CallerRequest {
    /// Reads and checks a request. If it is rejected, the rest of its body is read and discarded,
    /// because a caller that is still sending would miss the response.
    pub async fn read(
        gateway: &Gateway,
        id: RequestId,
        req: Request<RequestBody>,
        run: RunRecord,
    ) -> Result<Self, CallerError> {
        let (head, mut body) = req.into_parts();
        let read = Self::read_parts(gateway, id, &head, &mut body, run).await;
        if read
            .as_ref()
            .is_err_and(|err| *err != CallerError::BodyTimeout)
        {
            let limit = gateway.settings.max_body_bytes;
            let _ = timeout(gateway.settings.body_timeout, discard(&mut body, limit)).await;
        }
        read
    }

    async fn read_parts(
        gateway: &Gateway,
        id: RequestId,
        req: &Parts,
        body: &mut RequestBody,
        run: RunRecord,
    ) -> Result<Self, CallerError> {
        let arrived = Instant::now();
        let view = gateway.view.get();
        let team = team_of(&view, &req.headers)?;
        let limit = time_limit(gateway, &req.headers)?;
        let path = req.uri.path().to_owned();
        let target = route_target(&view, &path, &req.method)?;
        let key = idempotency_key(&req.headers)?;
        let content_type = header(&req.headers, "content-type").map(Into::into);
        let path_and_query = req
            .uri
            .path_and_query()
            .map_or(path.as_str(), |all| all.as_str());
        let path_and_query: Box<str> = path_and_query.into();
        let method: Box<str> = req.method.as_str().into();
        let payload = read_body(gateway, body).await?;
        let content_hash = xxh3_64(&payload.body) ^ xxh3_64(path_and_query.as_bytes());
        let mut request = Self {
            id,
            team,
            target: Target::Model("".into()),
            path: path_and_query,
            method,
            content_type,
            prompt_tokens: estimate_tokens(payload.body.len() as u64),
            output_tokens: 0,
            streamed: false,
            prefixes: Vec::new(),
            repeatable: true,
            idempotency_key: key,
            content_hash,
            arrived,
            deadline: arrived + limit,
            run,
            body: payload.body,
            _reservation: payload.reservation,
        };
        match target {
            Some(route) => request.set_route(route),
            None => request.set_model(&view, path == CHAT_PATH)?,
        }
        request.end_before_shutdown(gateway);
        Ok(request)
    }

    /// Limits its time to that of a drain that has started, so that agents refuse at once what cannot end
    /// before the process does.
    fn end_before_shutdown(&mut self, gateway: &Gateway) {
        if let Some(drain) = gateway.draining.times() {
            let left = drain.last_reply.saturating_sub(gateway.clock.now());
            self.deadline = self.deadline.min(Instant::now() + left);
        }
    }

    /// Time until the deadline; zero once it has passed.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Name of the model, if the request is for one.
    pub fn model(&self) -> Option<&str> {
        match &self.target {
            Target::Model(name) => Some(name),
            Target::Route { .. } => None,
        }
    }

    /// Name of the service, if the request is for one.
    pub fn service(&self) -> Option<&str> {
        match &self.target {
            Target::Model(_) => None,
            Target::Route { service, .. } => Some(service),
        }
    }

    fn set_route(&mut self, route: RouteTarget) {
        self.repeatable = route.repeatable;
        self.deadline = self.deadline.min(self.arrived + route.limit);
        // With a key, attempts at one request through several agents compete for the same claim, so
        // that only one of them runs.
        if !self.repeatable && self.idempotency_key.is_none() {
            self.idempotency_key = Some(format!("request-{:032x}", self.id).into());
        }
        self.target = Target::Route {
            path: route.path,
            service: route.service,
        };
    }

    fn set_model(&mut self, view: &Arc<ClusterView>, chat: bool) -> Result<(), CallerError> {
        let parsed = CompletionBody::parse(&self.body, chat)?;
        let Some(model) = view.declared.model(&parsed.model) else {
            return Err(CallerError::UnknownModel(parsed.model.into()));
        };
        let text = parsed.text(chat)?;
        self.prompt_tokens = estimate_tokens(text.len() as u64);
        if self.prompt_tokens > model.context_tokens {
            return Err(CallerError::PromptTooLong(
                self.prompt_tokens,
                model.context_tokens,
            ));
        }
        self.output_tokens = parsed.output_tokens().unwrap_or(DEFAULT_OUTPUT_TOKENS);
        self.streamed = parsed.stream;
        self.prefixes = prefix_hashes(text.as_bytes());
        self.target = Target::Model(model.name.clone());
        Ok(())
    }
}

struct RouteTarget {
    path: RouteId,
    service: Box<str>,
    repeatable: bool,
    limit: Duration,
}

/// Finds the route that matches a path; `None` for the paths of model requests.
fn route_target(
    view: &ClusterView,
    path: &str,
    method: &Method,
) -> Result<Option<RouteTarget>, CallerError> {
    if path == COMPLETIONS_PATH || path == CHAT_PATH {
        if method == Method::POST {
            return Ok(None);
        }
        return Err(CallerError::MethodNotAllowed(
            method.as_str().into(),
            path.into(),
        ));
    }
    let route = view.declared.route(path);
    let route = route.ok_or_else(|| CallerError::UnknownPath(path.into()))?;
    Ok(Some(RouteTarget {
        path: route.path.clone(),
        service: route.service.clone(),
        repeatable: route.repeatable || method == Method::GET,
        limit: Duration::from_millis(route.time_limit_ms),
    }))
}

/// Returns the key of an `Authorization: Bearer <key>` header.
pub fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    header(headers, "authorization")?
        .strip_prefix("Bearer ")
        .map(str::trim)
}

fn team_of(view: &ClusterView, headers: &HeaderMap) -> Result<TeamId, CallerError> {
    let key = bearer_key(headers).ok_or(CallerError::MissingKey)?;
    let team = view.team_of_key(key).ok_or(CallerError::UnknownKey)?;
    Ok(team.name.clone())
}

fn time_limit(gateway: &Gateway, headers: &HeaderMap) -> Result<Duration, CallerError> {
    let Some(text) = header(headers, "x-time-limit-ms") else {
        return Ok(gateway.settings.default_time_limit);
    };
    let millis = text.parse::<u64>().ok().filter(|millis| *millis > 0);
    let millis = millis.ok_or_else(|| {
        CallerError::Malformed("x-time-limit-ms is no positive number of milliseconds".into())
    })?;
    Ok(Duration::from_millis(millis).min(gateway.settings.max_time_limit))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Box<str>>, CallerError> {
    match header(headers, "idempotency-key") {
        Some(key) if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES => {
            let reason =
                format!("idempotency-key has not from 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes");
            Err(CallerError::Malformed(reason.into()))
        }
        key => Ok(key.map(Into::into)),
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Reads the body within the body timeout, after memory for it has been reserved: its content
/// length, or the longest body allowed if the length is unknown.
async fn read_body(gateway: &Gateway, body: &mut RequestBody) -> Result<Payload, CallerError> {
    let limit = gateway.settings.max_body_bytes;
    let content_length = body.size_hint().exact();
    if content_length.is_some_and(|bytes| bytes > limit) {
        return Err(CallerError::BodyTooLong(limit));
    }
    let bytes = content_length.unwrap_or(limit);
    let reservation = gateway
        .body_budget
        .try_reserve(bytes)
        .ok_or(CallerError::BodyMemoryExhausted)?;
    let read = collect(body, limit, content_length.unwrap_or(0) as usize);
    match timeout(gateway.settings.body_timeout, read).await {
        Ok(body) => Ok(Payload {
            body: body?,
            reservation,
        }),
        Err(_) => Err(CallerError::BodyTimeout),
    }
}

async fn collect(
    body: &mut RequestBody,
    limit: u64,
    capacity: usize,
) -> Result<Bytes, CallerError> {
    let mut buf = BytesMut::with_capacity(capacity);
    while let Some(frame) = body.frame().await {
        let frame = frame
            .map_err(|err| CallerError::Malformed(format!("the body broke off: {err}").into()))?;
        if let Ok(data) = frame.into_data() {
            buf.extend_from_slice(&data);
        }
        if buf.len() as u64 > limit {
            return Err(CallerError::BodyTooLong(limit));
        }
    }
    Ok(buf.freeze())
}

/// Reads and discards the body, up to about `limit` bytes.
async fn discard(body: &mut RequestBody, limit: u64) {
    let mut read = 0;
    while let Some(Ok(frame)) = body.frame().await {
        read += frame.data_ref().map_or(0, |data| data.len() as u64);
        if read > limit {
            return;
        }
    }
}
