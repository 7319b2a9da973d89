//! Health and metrics over HTTP.

use crate::agent::Agent;
use hyper::{Request, Response};
use node::{metrics_response, text_response};
use runtime::{Body, RequestBody, Responder};
use std::net::SocketAddr;
use std::sync::Arc;

/// Responds to `/healthz` and `/metrics`.
#[derive(Debug)]
pub struct StatusResponder {
    /// Agent whose state is reported.
    pub agent: Arc<Agent>,
}

impl Responder for StatusResponder {
    async fn respond(&self, _peer: SocketAddr, req: Request<RequestBody>) -> Response<Body> {
        match req.uri().path() {
            "/healthz" if self.agent.draining.is_started() => text_response(503, "draining\n"),
            "/healthz" if self.agent.view.get().version == 0 => {
                text_response(503, "no configuration yet\n")
            }
            "/healthz" => text_response(200, "ok\n"),
            "/metrics" => {
                let metrics = &self.agent.metrics;
                metrics.set_claim_counts(&self.agent.claims.counts());
                metrics_response(&metrics.registry)
            }
            _ => text_response(404, "only /healthz and /metrics are here\n"),
        }
    }
}
