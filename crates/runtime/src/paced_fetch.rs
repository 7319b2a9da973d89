//! Reading of responses of any size, with time limits on their progress.

use crate::body::Body;
use crate::http_client::{HttpClient, HttpError};
use http_body_util::BodyExt as _;
use hyper::Request;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time limits on an exchange whose response may be large.
#[derive(Debug, Clone, Copy)]
pub struct PaceLimits {
    /// Longest time from the request to the head of the response.
    pub head: Duration,
    /// Longest time without a byte of the body.
    pub pause: Duration,
    /// Rate in bytes per second that the body must reach on average, once it has lasted for
    /// `pause`.
    pub min_rate: u64,
}

impl HttpClient {
    /// Sends a request and passes the body of the response to `on_piece`, piece by piece; returns its
    /// head. Fails where the response falls behind `limits`, or with the error of `on_piece`.
    pub async fn fetch_paced(
        &self,
        peer: SocketAddr,
        req: Request<Body>,
        limits: PaceLimits,
        mut on_piece: impl FnMut(&[u8]) -> Result<(), Box<str>>,
    ) -> Result<Parts, HttpError> {
        let response = crate::timeout(limits.head, self.send(peer, req)).await;
        let response = response.map_err(|_| HttpError::Timeout(peer))??;
        let (head, mut body) = response.into_parts();
        let body_error = |reason| HttpError::Body(peer, reason);
        let started = Instant::now();
        let mut received = 0;
        loop {
            let longest = limits.longest_body(received);
            let left = longest.saturating_sub(started.elapsed());
            let piece = crate::timeout(left.min(limits.pause), next_piece(&mut body)).await;
            let Some(piece) = piece.map_err(|_| HttpError::Timeout(peer))? else {
                return Ok(head);
            };
            let piece = piece.map_err(|err| body_error(err.to_string().into()))?;
            received += piece.len() as u64;
            on_piece(&piece).map_err(body_error)?;
        }
    }
}

impl PaceLimits {
    /// Longest time in which a body may bring no more than this many bytes.
    fn longest_body(&self, received: u64) -> Duration {
        let at_min_rate = received as f64 / self.min_rate.max(1) as f64;
        self.pause + Duration::from_secs_f64(at_min_rate)
    }
}

/// Next piece of a body; `None` at its end.
async fn next_piece(body: &mut Incoming) -> Option<Result<bytes::Bytes, hyper::Error>> {
    loop {
        match body.frame().await? {
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    return Some(Ok(data));
                }
            }
            Err(err) => return Some(Err(err)),
        }
    }
}
