//! Responses that the gateway generates itself.

use crate::shared::Shared;
use adapter::{LocalReplyHeaders, write_local_reply_headers};
use hyper::{Response, StatusCode};
use runtime::Body;
use std::time::Duration;

/// `Retry-After` while the newest declarations are not known, or name no service for the route.
pub const DECLARATIONS_RETRY_AFTER: Duration = Duration::from_millis(400);

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

    /// Whether declarations are the reason, so that others may allow what is turned away.
    fn is_by_declarations(self) -> bool {
        match self {
            Self::NoRoute | Self::UnknownKey | Self::TooLarge => true,
            Self::BadRequest | Self::NotRun(_) | Self::Failed | Self::TimedOut => false,
        }
    }

    /// The reply to give, where this one is by declarations of the version `own`. Newer ones that are in
    /// force, known to exist, or of which this gateway would not have heard, may allow what these do not.
    pub fn unless_newer(self, shared: &Shared, own: u64) -> Self {
        if !self.is_by_declarations() {
            return self;
        }
        let cache = &shared.store_cache;
        let in_force = cache.route_table().map_or(0, |table| table.version);
        let is_outdated = in_force > own || cache.knows_newer_declarations(own);
        if is_outdated || !shared.may_refuse_by_declarations() {
            Self::NotRun(DECLARATIONS_RETRY_AFTER)
        } else {
            self
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
