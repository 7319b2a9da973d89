//! Tells whether a part of a request has been read from a connection.
//!
//! `hyper` takes a connection with a part of a request head for an idle one, and does not close one on
//! which no request has begun.

use crate::shutdown::ShutdownSignal;
use futures_lite::io::{AsyncRead, AsyncWrite};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

/// What has been read from a connection.
#[derive(Debug, Default)]
pub struct RequestMonitor {
    first_bytes: ShutdownSignal,
    is_unanswered: AtomicBool,
    has_requests: AtomicBool,
    has_unread_body: AtomicBool,
    has_last_response: AtomicBool,
    connection_ends_response: AtomicBool,
    has_cut_response: AtomicBool,
}

impl RequestMonitor {
    /// Records that the head of a request has been read, and whether the end of the connection is that of a
    /// response without a length.
    pub fn on_request(&self, connection_ends_response: bool) {
        self.connection_ends_response
            .store(connection_ends_response, Ordering::Relaxed);
        self.has_requests.store(true, Ordering::Relaxed);
        self.has_unread_body.store(true, Ordering::Relaxed);
    }

    /// Records that the body of the request has been read to its end.
    pub fn on_body_end(&self) {
        self.has_unread_body.store(false, Ordering::Relaxed);
    }

    /// Records that the head of the response is there.
    pub fn on_response(&self) {
        self.is_unanswered.store(false, Ordering::Relaxed);
    }

    /// Records that the connection ends behind a response.
    pub fn on_last_response(&self) {
        self.has_last_response.store(true, Ordering::Relaxed);
    }

    /// Records that the body of the response failed.
    pub fn on_cut_response(&self) {
        let is_cut = self.connection_ends_response.load(Ordering::Relaxed);
        self.has_cut_response.store(is_cut, Ordering::Relaxed);
    }

    /// Whether an orderly end of the connection would make a response look whole that is not.
    pub fn has_cut_response(&self) -> bool {
        self.has_cut_response.load(Ordering::Relaxed)
    }

    fn on_bytes(&self) {
        self.is_unanswered.store(true, Ordering::Relaxed);
        self.first_bytes.start();
    }

    /// Whether the head of a request has been read.
    pub fn has_requests(&self) -> bool {
        self.has_requests.load(Ordering::Relaxed)
    }

    /// Whether bytes were read since the last response.
    pub fn is_unanswered(&self) -> bool {
        self.is_unanswered.load(Ordering::Relaxed)
    }

    /// Whether the peer may still be sending: a request that it has begun, or one that it sends before it
    /// has read that the last response ends the connection.
    pub fn peer_may_send(&self) -> bool {
        self.has_last_response.load(Ordering::Relaxed)
            || self.has_unread_body.load(Ordering::Relaxed)
            || self.is_unanswered()
    }

    /// Whether nothing has been read.
    pub fn awaits_first_bytes(&self) -> bool {
        !self.first_bytes.is_started()
    }

    /// Waits until something has been read.
    pub async fn first_bytes(&self) {
        self.first_bytes.started().await;
    }
}

/// A stream whose reads are reported to a monitor.
#[derive(Debug)]
pub struct MonitoredStream<S> {
    stream: S,
    monitor: Arc<RequestMonitor>,
}

impl<S> MonitoredStream<S> {
    pub fn new(stream: S, monitor: Arc<RequestMonitor>) -> Self {
        Self { stream, monitor }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MonitoredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if matches!(read, Poll::Ready(Ok(length)) if length > 0) {
            self.monitor.on_bytes();
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MonitoredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
