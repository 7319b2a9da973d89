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

    /// The reply to give, where this one is by declarations of the version `own`, and the reason if it is not
    /// this one: others than those may allow what they do not.
    pub fn unless_in_doubt(self, shared: &Shared, own: u64) -> (Self, Option<&'static str>) {
        let doubt = match self.is_by_declarations() {
            true => declarations_doubt(shared, own),
            false => None,
        };
        let reply = match doubt {
            Some(_) => Self::NotRun(DECLARATIONS_RETRY_AFTER),
            None => self,
        };
        (reply, doubt)
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

/// Why declarations of the version `own` must not be the reason to turn a request away; `None` if they may.
fn declarations_doubt(shared: &Shared, own: u64) -> Option<&'static str> {
    let cache = &shared.store_cache;
    if !shared.may_refuse_by_declarations() {
        return Some("nobody confirms the declarations");
    }
    let in_force = cache.route_table().map_or(0, |table| table.version);
    if in_force > own || cache.knows_newer_declarations(own) {
        return Some("newer declarations are known");
    }
    let misses_entries = cache.misses_declared_entries();
    misses_entries.then_some("not all that is declared is in force")
}
