//! Short HTTP responses: health, metrics and errors.

use hyper::Response;
use prometheus::{Registry, TextEncoder};
use runtime::Body;
use serde::Serialize;

/// A plain text response.
pub fn text_response(status: u16, text: impl Into<String>) -> Response<Body> {
    response(status, "text/plain; charset=utf-8", text.into())
}

/// A response with `value` as JSON; status 500 if it cannot be serialized.
pub fn json_response<T: Serialize>(status: u16, value: &T) -> Response<Body> {
    match serde_json::to_string(value) {
        Ok(text) => response(status, "application/json", text),
        Err(err) => text_response(500, err.to_string()),
    }
}

/// All metrics of the process in the Prometheus text format; status 500 if they cannot be encoded.
pub fn metrics_response(registry: &Registry) -> Response<Body> {
    match TextEncoder::new().encode_to_string(&registry.gather()) {
        Ok(text) => response(200, "text/plain; version=0.0.4", text),
        Err(err) => text_response(500, err.to_string()),
    }
}

fn response(status: u16, content_type: &str, text: String) -> Response<Body> {
    let builder = Response::builder()
        .status(status)
        .header("content-type", content_type);
    builder
        .body(Body::full(text))
        .unwrap_or_else(|_| Response::new(Body::empty()))
}
