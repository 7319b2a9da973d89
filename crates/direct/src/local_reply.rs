//! Answers that the gateway gives by itself.

use adapter::{RefusalHead, refusal_head};
use hyper::{Response, StatusCode};
use runtime::Body;
use std::time::Duration;

/// Why the gateway answers by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalReply {
    /// The request's head cannot be served.
    BadRequest,
    /// No route leads there.
    NoRoute,
    /// No team holds the key.
    UnknownKey,
    /// The body is larger than callers may send.
    TooLarge,
    /// It has not run and will not; the caller may come back after that time.
    NotRun(Duration),
    /// A server failed; it may have run.
    Failed,
    /// The time is up; it may have run.
    TimedOut,
}

impl LocalReply {
    fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Failed => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Short name for logs and metrics.
    pub fn outcome(self) -> &'static str {
        match self {
            Self::BadRequest => "bad request",
            Self::NoRoute => "no route",
            Self::UnknownKey => "unknown key",
            Self::TooLarge => "too large",
            Self::NotRun(_) => "refused",
            Self::Failed => "failed",
            Self::TimedOut => "timed out",
        }
    }

    /// The answer to the request with this id.
    pub fn response(self, id: Option<&str>) -> Response<Body> {
        let retry_after = match self {
            Self::NotRun(wait) => Some(wait),
            _ => None,
        };
        let mut answer = Response::new(Body::whole(self.outcome()));
        *answer.status_mut() = self.status();
        let head = RefusalHead {
            id: id.map(Into::into),
            retry_after,
        };
        refusal_head(&head, answer.headers_mut());
        answer
    }
}
