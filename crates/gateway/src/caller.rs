//! The callers' side: paths, health, metrics, and requests.

use crate::answer;
use crate::call::Call;
use crate::caller_error::CallerError;
use crate::delivery::{Begun, Delivery};
use crate::gateway::{Gateway, InFlight};
use crate::operator_api::{self, OPERATOR_PATH};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use node::{json_response, metrics_response, text_response};
use proto::{EventKind, Execution, RefusalReason, RequestId};
use runtime::{Body, Responder};
use serde::Serialize;
use slog::info;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time for which a request waits where the gateway may have an old configuration.
const CATCH_UP_TIME: Duration = Duration::from_secs(1);

/// Answers callers.
#[derive(Debug)]
pub struct Callers {
    /// The gateway.
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

impl Responder for Callers {
    async fn respond(&self, _peer: SocketAddr, req: Request<Incoming>) -> Response<Body> {
        let mut response = match req.uri().path() {
            "/healthz" => self.health(),
            "/metrics" => metrics_response(&self.gateway.metrics.registry),
            "/v1/models" => self.models(),
            path if path.starts_with(OPERATOR_PATH) => {
                operator_api::respond(&self.gateway, req).await
            }
            _ => self.request(req).await,
        };
        if self.gateway.shutdown.is_started() {
            response
                .headers_mut()
                .insert("connection", HeaderValue::from_static("close"));
        }
        response
    }
}

impl Callers {
    fn health(&self) -> Response<Body> {
        if self.gateway.shutdown.is_started() {
            return text_response(503, "draining\n");
        }
        if self.gateway.view.get().version == 0 {
            return text_response(503, "no configuration yet\n");
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

    async fn request(&self, req: Request<Incoming>) -> Response<Body> {
        let id: RequestId = rand::random();
        let in_flight = InFlight::new(self.gateway.clone(), id);
        let mut response = match self.answer(id, req, in_flight).await {
            Ok(response) => response,
            Err(error) => {
                let outcome = error.outcome();
                info!(self.gateway.log, "request: no answer";
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

    async fn answer(
        &self,
        id: RequestId,
        req: Request<Incoming>,
        in_flight: InFlight,
    ) -> Result<Response<Body>, CallerError> {
        if !self
            .gateway
            .control
            .wait_until_admitting(CATCH_UP_TIME)
            .await
        {
            return Err(CallerError::Refused(RefusalReason::NoConfig, CATCH_UP_TIME));
        }
        let call = Call::read(&self.gateway, id, req).await?;
        self.gateway.in_hand.add(&call);
        self.gateway
            .record(EventKind::Received, &call, None, &*call.path);
        let begun = self.deliver(&call).await;
        let begun = begun.inspect_err(|error| self.record_end(&call, error))?;
        self.gateway.on_first_byte(&call, begun.attempt.id());
        if answer::is_streamed(&begun.head) {
            return Ok(answer::streamed(
                self.gateway.clone(),
                call,
                begun,
                in_flight,
            ));
        }
        let attempt = begun.attempt.id();
        let whole = answer::whole(begun).await;
        let response = whole.inspect_err(|error| self.record_end(&call, error))?;
        self.gateway.finished();
        self.gateway
            .record(EventKind::Finished(attempt), &call, None, "");
        Ok(response)
    }

    /// Tries to get an answer within the team's limit, of which a request that did not run
    /// takes nothing.
    async fn deliver(&self, call: &Call) -> Result<Begun, CallerError> {
        let tokens = call.prompt_tokens + call.output_tokens;
        self.gateway.limits.admit(&call.team, tokens).await?;
        let begun = Delivery::new(&self.gateway, call).run().await;
        if let Err(error) = &begun
            && error.execution() == Execution::NotRun
        {
            self.gateway.limits.give_back(&call.team, tokens);
        }
        begun
    }

    fn record_end(&self, call: &Call, error: &CallerError) {
        let kind = match error {
            CallerError::Refused(..) => EventKind::Refused,
            _ => EventKind::Failed,
        };
        self.gateway.record(kind, call, None, error.to_string());
    }
}
