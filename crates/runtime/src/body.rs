//! HTTP message bodies: fully buffered, or streamed through a bounded channel.

use crate::buffered_body::{BufferReader, BufferWriter, WRITER_GONE, buffered_body};
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_lite::Stream as _;
use http_body::{Frame, SizeHint};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

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
    items: Pin<Box<Receiver<StreamItem>>>,
    is_ended: bool,
    _reader_alive: Sender<()>,
}

#[derive(Debug)]
enum StreamItem {
    Chunk(Bytes),
    End,
    Abort(Box<str>),
}

/// Writes the chunks of a streamed [`Body`]. Dropping the last clone ends the body with an error, unless one
/// of them has finished it.
#[derive(Debug, Clone)]
pub struct BodySender {
    tx: Sender<StreamItem>,
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
            items: Box::pin(rx),
            is_ended: false,
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
        let item = StreamItem::Chunk(data);
        self.tx.send(item).await.map_err(|_| ReaderGone)
    }

    /// Ends the body; it is complete.
    pub async fn finish(self) {
        let _ = self.tx.send(StreamItem::End).await;
    }

    /// Ends the body with an error, so that the reader cannot mistake it for complete.
    pub async fn abort(self, reason: &str) {
        let _ = self.tx.send(StreamItem::Abort(reason.into())).await;
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

impl Stream {
    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.is_ended {
            return Poll::Ready(None);
        }
        let item = ready!(self.items.as_mut().poll_next(cx));
        let reason = match item {
            Some(StreamItem::Chunk(data)) => return Poll::Ready(Some(Ok(Frame::data(data)))),
            Some(StreamItem::End) => None,
            Some(StreamItem::Abort(reason)) => Some(reason),
            None => Some(WRITER_GONE.into()),
        };
        self.is_ended = true;
        Poll::Ready(reason.map(|reason| Err(io::Error::other(reason.into_string()))))
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
            Kind::Stream(stream) => stream.poll_frame(cx),
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
