//! HTTP message bodies: fully buffered, or streamed through a bounded channel.

use crate::buffered_body::{BufferReader, BufferWriter, buffered_body};
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_lite::Stream as _;
use http_body::{Frame, SizeHint};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

const MAX_BUFFERED_CHUNKS: usize = 16;

/// The body of a request or response.
#[derive(Debug)]
pub struct Body {
    kind: Kind,
}

#[derive(Debug)]
enum Kind {
    Full(Option<Bytes>),
    Pieces(Pieces),
    Stream(Stream),
    Buffered(BufferReader),
}

#[derive(Debug)]
struct Pieces {
    left: VecDeque<Bytes>,
    bytes: u64,
}

/// Dropping `_reader_alive` tells the sender that the reader has gone.
#[derive(Debug)]
struct Stream {
    chunks: Pin<Box<Receiver<io::Result<Bytes>>>>,
    _reader_alive: Sender<()>,
}

/// Writes the chunks of a streamed [`Body`]. Dropping the last clone ends the body normally.
#[derive(Debug, Clone)]
pub struct BodySender {
    tx: Sender<io::Result<Bytes>>,
    reader_alive: Receiver<()>,
}

/// The reader dropped its streamed [`Body`], so no further chunk can be delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderGone;

impl Body {
    /// A body whose content is fully known; its length is sent as an exact size.
    pub fn full(data: impl Into<Bytes>) -> Self {
        Self {
            kind: Kind::Full(Some(data.into())),
        }
    }

    /// As [`Body::full`], of content in pieces.
    pub fn pieces(pieces: impl IntoIterator<Item = Bytes>) -> Self {
        let left: VecDeque<_> = pieces.into_iter().collect();
        if left.is_empty() {
            return Self::full(Bytes::new());
        }
        let bytes = left.iter().map(|piece| piece.len() as u64).sum();
        Self {
            kind: Kind::Pieces(Pieces { left, bytes }),
        }
    }

    /// A body without content, which is at its end from the start.
    pub fn empty() -> Self {
        Self {
            kind: Kind::Full(None),
        }
    }

    /// A streamed body and the sender that fills it. At most 16 chunks are buffered.
    pub fn stream() -> (BodySender, Self) {
        let (tx, rx) = async_channel::bounded(MAX_BUFFERED_CHUNKS);
        let (alive_tx, reader_alive) = async_channel::bounded(1);
        let stream = Stream {
            chunks: Box::pin(rx),
            _reader_alive: alive_tx,
        };
        (
            BodySender { tx, reader_alive },
            Self {
                kind: Kind::Stream(stream),
            },
        )
    }

    /// A streamed body without a limit on the chunks that wait for its reader, and the writer that
    /// fills it. The writer sees how much waits, and has to keep within limits.
    pub fn buffered_stream() -> (BufferWriter, Self) {
        let (writer, reader) = buffered_body();
        let kind = Kind::Buffered(reader);
        (writer, Self { kind })
    }
}

impl BodySender {
    /// Sends a chunk, waiting while the channel is full. Fails if the reader has gone.
    pub async fn send(&self, data: Bytes) -> Result<(), ReaderGone> {
        self.tx.send(Ok(data)).await.map_err(|_| ReaderGone)
    }

    /// Ends the body with an error, so that the reader cannot mistake it for complete.
    pub async fn abort(self, reason: &str) {
        let _ = self.tx.send(Err(io::Error::other(reason.to_owned()))).await;
    }

    /// Whether the reader has dropped the body.
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }

    /// Waits until the reader has dropped the body.
    pub async fn closed(&self) {
        let _ = self.reader_alive.recv().await;
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut self.kind {
            Kind::Full(data) => Poll::Ready(data.take().map(|data| Ok(Frame::data(data)))),
            Kind::Pieces(pieces) => {
                let piece = pieces.left.pop_front();
                pieces.bytes -= piece.as_ref().map_or(0, |piece| piece.len() as u64);
                Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
            }
            Kind::Stream(stream) => {
                let item = stream.chunks.as_mut().poll_next(cx);
                item.map(|item| item.map(|data| data.map(Frame::data)))
            }
            Kind::Buffered(reader) => reader.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            Kind::Full(data) => data.is_none(),
            Kind::Pieces(pieces) => pieces.left.is_empty(),
            Kind::Stream(_) | Kind::Buffered(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            Kind::Full(data) => SizeHint::with_exact(data.as_ref().map_or(0, |d| d.len() as u64)),
            Kind::Pieces(pieces) => SizeHint::with_exact(pieces.bytes),
            Kind::Stream(_) | Kind::Buffered(_) => SizeHint::default(),
        }
    }
}
