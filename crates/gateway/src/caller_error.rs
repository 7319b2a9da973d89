//! Errors that callers receive, as HTTP status and JSON.

use hyper::Response;
use hyper::header::HeaderValue;
use node::json_response;
use policy::DRAIN_RETRY_AFTER;
use proto::{Execution, RefusalReason, RequestId};
use quick_error::quick_error;
use runtime::Body;
use serde::Serialize;
use std::time::Duration;

quick_error! {
    /// Why a request failed. The message goes to the caller and to the log.
    #[derive(Debug, Clone, PartialEq)]
    pub enum CallerError {
        /// The request has no API key.
        MissingKey {
            display("no key: send `Authorization: Bearer <key>`")
        }
        /// The API key belongs to no team.
        UnknownKey {
            display("the key belongs to no team")
        }
        /// No route or model path matches the path.
        UnknownPath(path: Box<str>) {
            display("nothing is served under {path}")
        }
        /// The path is not served for this HTTP method.
        MethodNotAllowed(method: Box<str>, path: Box<str>) {
            display("{path} is not served by {method}")
        }
        /// The configuration declares no such model.
        UnknownModel(model: Box<str>) {
            display("no model {model} is declared")
        }
        /// A header or the body is malformed.
        Malformed(reason: Box<str>) {
            display("{reason}")
        }
        /// The body is longer than `limit` bytes.
        BodyTooLong(limit: u64) {
            display("the body is over {limit} bytes")
        }
        /// The estimated prompt length exceeds the context length of the model.
        PromptTooLong(tokens: u64, limit: u64) {
            display("the prompt has about {tokens} tokens, the model takes {limit}")
        }
        /// The body did not arrive within the body timeout.
        BodyTimeout {
            display("the body did not arrive in time")
        }
        /// The gateway's memory for request bodies is exhausted.
        BodyMemoryExhausted {
            display("the gateway holds as many request bodies as it may")
        }
        /// The gateway or an agent refused the request; it did not run.
        Refused(reason: RefusalReason, retry_after: Duration) {
            display("{}", refusal_text(*reason))
        }
        /// The request or its response was interrupted.
        Failed(execution: Execution, reason: Box<str>, retry_after: Duration) {
            display("{reason}")
        }
        /// The deadline of the request has passed.
        DeadlineExceeded(execution: Execution, retry_after: Duration) {
            display("the time of the request is up")
        }
    }
}

const BODY_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The JSON form of an error.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    error: ErrorDetail,
    /// False if the request certainly did not run, null if it may have run.
    ran: Option<bool>,
}

#[derive(Debug, Serialize)]
struct ErrorDetail {
    message: Box<str>,
    r#type: &'static str,
    code: Box<str>,
    request_id: Box<str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl CallerError {
    /// Whether the request may have run.
    pub fn execution(&self) -> Execution {
        match self {
            Self::Failed(execution, ..) | Self::DeadlineExceeded(execution, _) => *execution,
            _ => Execution::NotRun,
        }
    }

    /// The error of a request that has no response when the process ends.
    pub fn cut_by_shutdown(execution: Execution) -> Self {
        let refused = Self::Refused(RefusalReason::ShuttingDown, DRAIN_RETRY_AFTER);
        match execution {
            Execution::NotRun => refused,
            Execution::MayHaveRun => {
                let reason = refused.to_string().into();
                Self::Failed(execution, reason, DRAIN_RETRY_AFTER)
            }
        }
    }

    /// Marks the request as possibly run, for the case that an earlier attempt may have run
    /// although the last one did not.
    pub fn after_possible_execution(self) -> Self {
        let execution = Execution::MayHaveRun;
        match self {
            Self::DeadlineExceeded(_, retry_after) => {
                Self::DeadlineExceeded(execution, retry_after)
            }
            Self::Failed(_, reason, retry_after) => Self::Failed(execution, reason, retry_after),
            Self::Refused(_, retry_after) => {
                let reason = format!("an earlier attempt broke off; the last one: {self}");
                Self::Failed(execution, reason.into(), retry_after)
            }
            other => other,
        }
    }

    /// HTTP status of the response.
    pub fn status(&self) -> u16 {
        match self {
            Self::MissingKey | Self::UnknownKey => 401,
            Self::UnknownPath(_) | Self::UnknownModel(_) => 404,
            Self::MethodNotAllowed(..) => 405,
            Self::Malformed(_) => 400,
            Self::BodyTooLong(_) | Self::PromptTooLong(..) => 413,
            Self::BodyTimeout => 408,
            Self::BodyMemoryExhausted => 503,
            Self::Refused(reason, _) => refusal_status(*reason),
            Self::Failed(..) => 502,
            Self::DeadlineExceeded(..) => 504,
        }
    }

    /// Time after which the caller may retry; `None` if a retry can't succeed.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused(RefusalReason::KeyConflict | RefusalReason::NotAllowed, _) => None,
            Self::Refused(_, after)
            | Self::DeadlineExceeded(_, after)
            | Self::Failed(_, _, after) => Some(*after),
            Self::BodyMemoryExhausted => Some(BODY_MEMORY_RETRY_AFTER),
            _ => None,
        }
    }

    /// Value of the label `outcome` in metrics and logs.
    pub fn outcome(&self) -> &'static str {
        match self {
            Self::Refused(..) | Self::BodyMemoryExhausted => "refused",
            Self::Failed(..) => "failed",
            Self::DeadlineExceeded(..) => "time_up",
            _ => "bad_request",
        }
    }

    /// The error as the JSON body of a response, with the request's id.
    pub fn body(&self, request: RequestId) -> ErrorBody {
        let ran = match self.execution() {
            Execution::NotRun => Some(false),
            Execution::MayHaveRun => None,
        };
        ErrorBody {
            error: ErrorDetail {
                message: self.to_string().into(),
                r#type: self.kind(),
                code: self.code(),
                request_id: format!("{request:032x}").into(),
                retry_after_ms: self.retry_after().map(|after| after.as_millis() as u64),
            },
            ran,
        }
    }

    /// The error as an HTTP response, with a `retry-after` header in whole seconds, rounded up, if
    /// a retry may succeed.
    pub fn response(&self, request: RequestId) -> Response<Body> {
        let mut response = json_response(self.status(), &self.body(request));
        if let Some(after) = self.retry_after() {
            let seconds = after.as_secs_f64().ceil().max(1.0) as u64;
            response
                .headers_mut()
                .insert("retry-after", HeaderValue::from(seconds));
        }
        response
    }

    fn kind(&self) -> &'static str {
        match self.status() {
            401 => "authentication_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        }
    }

    fn code(&self) -> Box<str> {
        match self {
            Self::MissingKey => "no_key".into(),
            Self::UnknownKey => "wrong_key".into(),
            Self::UnknownPath(_) => "unknown_path".into(),
            Self::MethodNotAllowed(..) => "wrong_method".into(),
            Self::UnknownModel(_) => "model_not_found".into(),
            Self::Malformed(_) => "malformed".into(),
            Self::BodyTooLong(_) => "body_too_long".into(),
            Self::PromptTooLong(..) => "prompt_too_long".into(),
            Self::BodyTimeout => "slow_body".into(),
            Self::BodyMemoryExhausted => "body_memory".into(),
            Self::Refused(reason, _) => refusal_code(*reason).into(),
            Self::Failed(..) => "failed".into(),
            Self::DeadlineExceeded(..) => "time_up".into(),
        }
    }
}

fn refusal_status(reason: RefusalReason) -> u16 {
    match reason {
        RefusalReason::TeamLimit => 429,
        RefusalReason::NotAllowed => 403,
        RefusalReason::KeyConflict | RefusalReason::KeyInUse => 409,
        _ => 503,
    }
}

fn refusal_code(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::TooLate => "too_late",
        RefusalReason::QueueFull => "queue_full",
        RefusalReason::ColdStart => "cold_start",
        RefusalReason::NoMemory => "no_memory",
        RefusalReason::TeamLimit => "team_limit",
        RefusalReason::DomainOut => "domain_out",
        RefusalReason::Draining => "draining",
        RefusalReason::ShuttingDown => "shutting_down",
        RefusalReason::NoServer => "no_server",
        RefusalReason::NotAllowed => "not_allowed",
        RefusalReason::ModelNotLoaded => "model_not_loaded",
        RefusalReason::StoreUnavailable => "store_unavailable",
        RefusalReason::KeyConflict => "key_conflict",
        RefusalReason::KeyInUse => "key_in_use",
        RefusalReason::NoConfig => "no_config",
        RefusalReason::ServerDown => "server_down",
    }
}

/// Message for a refusal, which is also the `reason` that operators filter refusals by.
fn refusal_text(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::TooLate => "the request could not finish in its time",
        RefusalReason::QueueFull => "the queues are full",
        RefusalReason::ColdStart => "the backend servers are in cold start",
        RefusalReason::NoMemory => "the prompt needs more engine memory than can be had",
        RefusalReason::TeamLimit => "the team is over its limit",
        RefusalReason::DomainOut => "the failure domain is taken out",
        RefusalReason::Draining => "the backend server drains",
        RefusalReason::ShuttingDown => "the process shuts down",
        RefusalReason::NoServer => "no backend server can carry the request now",
        RefusalReason::NotAllowed => "no rule allows the request to run there",
        RefusalReason::ModelNotLoaded => "the model is not loaded",
        RefusalReason::StoreUnavailable => {
            "the table service does not answer, and the request may not be repeated"
        }
        RefusalReason::KeyConflict => "the idempotency key came before with other content",
        RefusalReason::KeyInUse => "a request with this idempotency key runs or may have run",
        RefusalReason::NoConfig => "there is no configuration yet",
        RefusalReason::ServerDown => "the backend server does not answer",
    }
}
