//! Responses that the gateway generates itself.

use adapter::{LocalReplyHeaders, write_local_reply_headers};
use hyper::{Response, StatusCode};
use runtime::Body;
use std::time::Duration;

/// A response that the gateway generates without one of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalReply {
    /// The request head is invalid.
    BadRequest,
    /// No route matches host and path.
    NoRoute,
    /// No team has the API key of the request.
    UnknownKey,
    /// The request body exceeds the size limit.
    TooLarge,
    /// The request has not run and will not; the caller may retry after this delay.
    NotRun(Duration),
    /// A server failed; the request may have run.
    Failed,
    /// The deadline has passed; the request may have run.
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

    /// Outcome for logs and metrics, also sent as the response body.
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

    /// Builds the HTTP response to the request with this id, or to one whose id could not be read.
    pub fn response(self, id: Option<&str>) -> Response<Body> {
        let retry_after = match self {
            Self::NotRun(wait) => Some(wait),
            _ => None,
        };
        let mut response = Response::new(Body::full(self.outcome()));
        *response.status_mut() = self.status();
        let head = LocalReplyHeaders {
            request_id: id.map(Into::into),
            retry_after,
        };
        write_local_reply_headers(&head, response.headers_mut());
        response
    }
}
