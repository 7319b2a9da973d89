//! A socket with bounds on what is read from it.

use crate::http_client::MAX_HEAD_BYTES;
use futures_lite::io::{AsyncRead, AsyncWrite};
use std::io::{self, Error, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

/// Bytes and reads after which a reader yields. A parser may read on within one poll for as long as
/// there are bytes, as it does for interim heads and within the size of a chunk.
const TURN_BYTES: usize = 64 << 10;
const TURN_READS: usize = 64;
/// Limit on the bytes that are read before the head of a response is taken, interim heads included.
/// Behind a head of the largest size, two buffers of the body may have been read by then.
pub(crate) const MAX_BYTES_BEFORE_HEAD: usize = 3 * MAX_HEAD_BYTES;
/// Limit on one read where memory is to be saved. The HTTP library doubles its buffer after each read that
/// fills it, from this size up.
const SMALL_READ_BYTES: usize = (8 << 10) - 1;
const UNLIMITED: usize = usize::MAX;

/// Limits what is read from a socket until the head of a response is there; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct HeadLimit {
    left: Arc<AtomicUsize>,
}

impl HeadLimit {
    /// No limit is in force until [`HeadLimit::start`].
    pub(crate) fn new() -> Self {
        let left = Arc::new(AtomicUsize::new(UNLIMITED));
        Self { left }
    }

    /// Starts to count, as a request is about to be sent.
    pub(crate) fn start(&self) {
        self.left.store(MAX_BYTES_BEFORE_HEAD, Ordering::Relaxed);
    }

    /// Ends the count, as the head of the response has arrived.
    pub(crate) fn end(&self) {
        self.left.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Whether the limit was reached.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.left.load(Ordering::Relaxed) == 0
    }

    fn record(&self, bytes: usize) -> io::Result<()> {
        let subtract = |left| (left != UNLIMITED).then(|| usize::saturating_sub(left, bytes));
        let _ = self
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract);
        if self.is_exceeded() {
            return Err(Error::other("too many bytes before the head of a response"));
        }
        Ok(())
    }
}

/// A socket that lets other tasks run after each [`TURN_BYTES`] that were read from it, and fails
/// once a [`HeadLimit`] is reached.
#[derive(Debug)]
pub(crate) struct BoundedIo<T> {
    io: T,
    head_limit: HeadLimit,
    max_read: usize,
    turn_bytes: usize,
    turn_reads: usize,
}

impl<T> BoundedIo<T> {
    pub(crate) fn new(io: T, head_limit: HeadLimit) -> Self {
        Self {
            io,
            head_limit,
            max_read: usize::MAX,
            turn_bytes: 0,
            turn_reads: 0,
        }
    }

    /// As [`BoundedIo::new`], with reads that keep the buffer of the HTTP library small.
    pub(crate) fn with_small_reads(io: T, head_limit: HeadLimit) -> Self {
        Self {
            max_read: SMALL_READ_BYTES,
            ..Self::new(io, head_limit)
        }
    }

    fn start_turn(&mut self) {
        self.turn_bytes = 0;
        self.turn_reads = 0;
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for BoundedIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.turn_bytes >= TURN_BYTES || self.turn_reads >= TURN_READS {
            self.start_turn();
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let length = buf.len().min(self.max_read);
        let read = Pin::new(&mut self.io).poll_read(cx, &mut buf[..length]);
        if read.is_pending() {
            self.start_turn();
        }
        let bytes = ready!(read)?;
        self.turn_bytes += bytes;
        self.turn_reads += 1;
        self.head_limit.record(bytes)?;
        Poll::Ready(Ok(bytes))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for BoundedIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_close(cx)
    }
}
