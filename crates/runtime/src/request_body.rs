//! The body of a request that a server receives.

use crate::request_monitor::RequestMonitor;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// The body of a request, as it arrives. One that is dropped before its end leaves bytes unread on its
/// connection, which is closed behind the response then.
#[derive(Debug)]
pub struct RequestBody {
    body: Incoming,
    monitor: Arc<RequestMonitor>,
}

impl RequestBody {
    pub(crate) fn new(body: Incoming, monitor: Arc<RequestMonitor>) -> Self {
        let body = Self { body, monitor };
        body.record_end();
        body
    }

    fn record_end(&self) {
        if self.body.is_end_stream() {
            self.monitor.on_body_end();
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(frame, Poll::Ready(None)) {
            self.monitor.on_body_end();
        } else {
            self.record_end();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
