//! A streamed body whose chunks wait in memory for a slow reader, so that the writer need not wait.

use crate::body::ReaderGone;
use crate::byte_budget::ByteReservation;
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use http_body::Frame;
use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// Error of a body that its writer has neither finished nor aborted.
pub(crate) const WRITER_GONE: &str = "the writer of the body has gone";

#[derive(Debug)]
struct Chunk {
    data: Bytes,
    _reservation: Option<ByteReservation>,
}

#[derive(Debug)]
struct State {
    chunks: VecDeque<Chunk>,
    held: u64,
    /// How the body ends after these chunks; `None` while the writer goes on.
    end: Option<Result<(), Box<str>>>,
    is_discarded: bool,
    /// When the reader last took a chunk, or the first one began to wait for it.
    last_progress: Instant,
    reader: Option<Waker>,
}

#[derive(Debug)]
struct Buffer {
    state: Mutex<State>,
    /// Holds a message after the reader took a chunk.
    taken: (Sender<()>, Receiver<()>),
    /// Closed once no further chunk can be delivered.
    open: (Sender<()>, Receiver<()>),
}

impl Buffer {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets how the body ends, unless that is known.
    fn end(&self, end: Result<(), Box<str>>) {
        let mut state = self.lock();
        state.end.get_or_insert(end);
        let reader = state.reader.take();
        drop(state);
        if let Some(reader) = reader {
            reader.wake();
        }
    }

    /// Drops the chunks that wait, and ends the body with an error.
    fn discard(&self, reason: &str) {
        let mut state = self.lock();
        state.chunks.clear();
        state.held = 0;
        state.is_discarded = true;
        state.end = Some(Err(reason.into()));
        let reader = state.reader.take();
        drop(state);
        self.open.1.close();
        if let Some(reader) = reader {
            reader.wake();
        }
    }
}

/// Writes the chunks of a buffered body. Dropping it ends the body with an error, unless it was finished.
#[derive(Debug)]
pub struct BufferWriter(Arc<Buffer>);

/// Shows what a buffered body holds, and can discard it.
#[derive(Debug, Clone)]
pub struct BufferMonitor(Weak<Buffer>);

/// What a buffered body holds for its reader.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BufferUse {
    /// Bytes that wait for the reader.
    pub held: u64,
    /// Time since the reader last took a chunk while there were any; zero if none wait.
    pub idle: Duration,
}

/// Reading end of a buffered body.
#[derive(Debug)]
pub(crate) struct BufferReader(Arc<Buffer>);

/// Creates both ends of a buffered body.
pub(crate) fn buffered_body() -> (BufferWriter, BufferReader) {
    let buffer = Arc::new(Buffer {
        state: Mutex::new(State {
            chunks: VecDeque::new(),
            held: 0,
            end: None,
            is_discarded: false,
            last_progress: Instant::now(),
            reader: None,
        }),
        taken: async_channel::bounded(1),
        open: async_channel::bounded(1),
    });
    (BufferWriter(buffer.clone()), BufferReader(buffer))
}

impl BufferWriter {
    /// Adds a chunk, without a limit. `reservation` is kept until the reader takes the chunk. Fails if
    /// the reader has gone, or the body was discarded.
    pub fn push(
        &self,
        data: Bytes,
        reservation: Option<ByteReservation>,
    ) -> Result<(), ReaderGone> {
        if self.is_closed() {
            return Err(ReaderGone);
        }
        let mut state = self.0.lock();
        if state.chunks.is_empty() {
            state.last_progress = Instant::now();
        }
        state.held += data.len() as u64;
        state.chunks.push_back(Chunk {
            data,
            _reservation: reservation,
        });
        let reader = state.reader.take();
        drop(state);
        if let Some(reader) = reader {
            reader.wake();
        }
        Ok(())
    }

    /// Bytes that wait for the reader.
    pub fn held(&self) -> u64 {
        self.0.lock().held
    }

    /// Waits until the reader has taken a chunk since this was last waited for.
    pub async fn taken(&self) {
        let _ = self.0.taken.1.recv().await;
    }

    /// Waits until the reader has gone, or the body was discarded.
    pub async fn closed(&self) {
        let _ = self.0.open.1.recv().await;
    }

    /// Whether the reader has gone, or the body was discarded.
    pub fn is_closed(&self) -> bool {
        self.0.open.1.is_closed()
    }

    /// Whether the body was discarded by its [`BufferMonitor`].
    pub fn is_discarded(&self) -> bool {
        self.0.lock().is_discarded
    }

    /// Ends the body after the chunks that wait; it is complete.
    pub fn finish(self) {
        self.0.end(Ok(()));
    }

    /// Ends the body with an error after the chunks that wait, so that the reader cannot mistake it for
    /// complete.
    pub fn abort(self, reason: &str) {
        self.0.end(Err(reason.into()));
    }

    /// Returns a monitor of this body.
    pub fn monitor(&self) -> BufferMonitor {
        BufferMonitor(Arc::downgrade(&self.0))
    }
}

impl Drop for BufferWriter {
    fn drop(&mut self) {
        self.0.end(Err(WRITER_GONE.into()));
    }
}

impl BufferMonitor {
    /// What the body holds; `None` once both of its ends are gone.
    pub fn usage(&self) -> Option<BufferUse> {
        let buffer = self.0.upgrade()?;
        let state = buffer.lock();
        let idle = if state.chunks.is_empty() {
            Duration::ZERO
        } else {
            state.last_progress.elapsed()
        };
        Some(BufferUse {
            held: state.held,
            idle,
        })
    }

    /// Whether one of the body's ends is still there.
    pub fn is_alive(&self) -> bool {
        self.0.strong_count() > 0
    }

    /// Drops what the body holds, and ends it with an error.
    pub fn discard(&self, reason: &str) {
        if let Some(buffer) = self.0.upgrade() {
            buffer.discard(reason);
        }
    }
}

impl BufferReader {
    pub(crate) fn poll_frame(
        &self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let mut state = self.0.lock();
        if let Some(chunk) = state.chunks.pop_front() {
            state.held -= chunk.data.len() as u64;
            state.last_progress = Instant::now();
            drop(state);
            // A full channel already holds a message.
            let _ = self.0.taken.0.try_send(());
            return Poll::Ready(Some(Ok(Frame::data(chunk.data))));
        }
        match &mut state.end {
            None => {
                state.reader = Some(cx.waker().clone());
                Poll::Pending
            }
            Some(end) => {
                let end = std::mem::replace(end, Ok(()));
                Poll::Ready(
                    end.err()
                        .map(|reason| Err(io::Error::other(reason.into_string()))),
                )
            }
        }
    }
}

impl Drop for BufferReader {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.chunks.clear();
        state.held = 0;
        drop(state);
        self.0.open.1.close();
    }
}
