//! The HTTP interface for callers: health, metrics, the list of models, and requests. Operators'
//! calls arrive on the same port.

use crate::caller_error::CallerError;
use crate::caller_request::CallerRequest;
use crate::delivery::{Delivery, StartedResponse};
use crate::gateway::{Gateway, InFlightGuard};
use crate::operator_api::{self, OPERATOR_PATH};
use crate::response;
use crate::run_record::RunRecord;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use node::{json_response, metrics_response, text_response};
use proto::{EventKind, Execution, RefusalReason, RequestId};
use runtime::{Body, RequestBody, Responder};
use serde::Serialize;
use slog::info;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest time that a request waits while the gateway's configuration may be out of date.
const MAX_CONFIG_WAIT: Duration = Duration::from_secs(1);

/// Reply to an operator whose call had not ended when the process did.
const CUT_COMMAND_TEXT: &str = "the process shuts down, the command may have been carried out\n";

/// Serves callers' HTTP requests.
#[derive(Debug)]
pub struct CallerApi {
    /// Gateway whose state the requests share.
    pub gateway: Arc<Gateway>,
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Serialize)]
struct ModelEntry {
    id: Box<str>,
    object: &'static str,
}

impl Responder for CallerApi {
    async fn respond(&self, _peer: SocketAddr, req: Request<RequestBody>) -> Response<Body> {
        let mut response = match req.uri().path() {
            "/healthz" => self.health(),
            "/metrics" => metrics_response(&self.gateway.metrics.registry),
            "/v1/models" => self.models(),
            path if path.starts_with(OPERATOR_PATH) => {
                let responded = operator_api::respond(&self.gateway, req);
                let response = self.gateway.before_last_reply(responded).await;
                response.unwrap_or_else(|| text_response(502, CUT_COMMAND_TEXT))
            }
            _ => self.serve_request(req).await,
        };
        if self.gateway.draining.is_started() {
            response
                .headers_mut()
                .insert("connection", HeaderValue::from_static("close"));
        }
        response
    }
}

impl CallerApi {
    fn health(&self) -> Response<Body> {
        if self.gateway.draining.is_started() {
            return text_response(503, "draining\n");
        }
        let view = self.gateway.pools.view();
        if view.version == 0 {
            return text_response(503, "no configuration yet\n");
        }
        if view.members.nodes.is_empty() {
            return text_response(503, "no host list yet\n");
        }
        text_response(200, "ok\n")
    }

    fn models(&self) -> Response<Body> {
        let view = self.gateway.view.get();
        let entry = |name: &str| ModelEntry {
            id: name.into(),
            object: "model",
        };
        let data = view
            .declared
            .models
            .iter()
            .map(|model| entry(&model.name))
            .collect();
        json_response(
            200,
            &ModelList {
                object: "list",
                data,
            },
        )
    }

    async fn serve_request(&self, req: Request<RequestBody>) -> Response<Body> {
        let id: RequestId = rand::random();
        let in_flight = InFlightGuard::new(self.gateway.clone(), id);
        let run = RunRecord::default();
        let handled = self.handle_request(id, req, in_flight, run.clone());
        let handled = self.gateway.before_last_reply(handled).await;
        let result = handled.unwrap_or_else(|| Err(CallerError::cut_by_shutdown(run.get())));
        let mut response = match result {
            Ok(response) => response,
            Err(error) => {
                let outcome = error.outcome();
                info!(self.gateway.log, "request: ended without a response";
                    "request" => format!("{id:032x}"), "outcome" => outcome, "err" => %error);
                self.gateway
                    .metrics
                    .requests
                    .with_label_values(&[outcome])
                    .inc();
                error.response(id)
            }
        };
        if let Ok(value) = HeaderValue::from_str(&format!("{id:032x}")) {
            response.headers_mut().insert("x-request-id", value);
        }
        response
    }

    async fn handle_request(
        &self,
        id: RequestId,
        req: Request<RequestBody>,
        in_flight: InFlightGuard,
        run: RunRecord,
    ) -> Result<Response<Body>, CallerError> {
        if !self
            .gateway
            .control
            .wait_until_admitting(MAX_CONFIG_WAIT)
            .await
        {
            return Err(CallerError::Refused(
                RefusalReason::NoConfig,
                MAX_CONFIG_WAIT,
            ));
        }
        let request = CallerRequest::read(&self.gateway, id, req, run).await?;
        self.gateway.active_requests.add(&request);
        self.gateway
            .record(EventKind::Received, &request, None, &*request.path);
        let started = self.deliver(&request).await;
        let started = started.inspect_err(|error| self.record_error(&request, error))?;
        self.gateway.on_first_byte(&request, started.attempt.id());
        if response::is_event_stream(&started.head) {
            return Ok(response::streaming_response(
                self.gateway.clone(),
                request,
                started,
                in_flight,
            ));
        }
        let attempt = started.attempt.id();
        let buffered = response::buffered_response(started).await;
        let response = buffered.inspect_err(|error| self.record_error(&request, error))?;
        self.gateway.count_finished();
        self.gateway
            .record(EventKind::Finished(attempt), &request, None, "");
        Ok(response)
    }

    /// Charges the request's tokens to the team's limit and makes attempts until a response starts.
    /// Refunds the tokens if the request did not run.
    async fn deliver(&self, request: &CallerRequest) -> Result<StartedResponse, CallerError> {
        let tokens = request.prompt_tokens + request.output_tokens;
        self.gateway.limits.admit(&request.team, tokens).await?;
        let started = Delivery::new(&self.gateway, request).run().await;
        if let Err(error) = &started
            && error.execution() == Execution::NotRun
        {
            self.gateway.limits.refund(&request.team, tokens);
        }
        started
    }

    fn record_error(&self, request: &CallerRequest, error: &CallerError) {
        let kind = match error {
            CallerError::Refused(..) => EventKind::Refused,
            _ => EventKind::Failed,
        };
        self.gateway.record(kind, request, None, error.to_string());
    }
}
