//! Bodies of HTTP messages: whole, or streamed through a bounded channel.

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_lite::Stream as _;
use http_body::{Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

const CHANNEL_CHUNKS: usize = 16;

/// A body of a request or an answer.
#[derive(Debug)]
pub struct Body {
    kind: Kind,
}

#[derive(Debug)]
enum Kind {
    Full(Option<Bytes>),
    Stream(Stream),
}

/// The drop of `_alive` tells the sender that the reader has gone.
#[derive(Debug)]
struct Stream {
    chunks: Pin<Box<Receiver<io::Result<Bytes>>>>,
    _alive: Sender<()>,
}

/// Feeds a streamed [`Body`]. Dropping it ends the body.
#[derive(Debug, Clone)]
pub struct BodySender {
    tx: Sender<io::Result<Bytes>>,
    alive: Receiver<()>,
}

/// The reader of a [`Body`] has gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderGone;

impl Body {
    /// A body that is known whole.
    pub fn full(data: impl Into<Bytes>) -> Self {
        Self {
            kind: Kind::Full(Some(data.into())),
        }
    }

    /// A body without content.
    pub fn empty() -> Self {
        Self {
            kind: Kind::Full(None),
        }
    }

    /// A streamed body and its feed.
    pub fn stream() -> (BodySender, Self) {
        let (tx, rx) = async_channel::bounded(CHANNEL_CHUNKS);
        let (alive_tx, alive) = async_channel::bounded(1);
        let stream = Stream {
            chunks: Box::pin(rx),
            _alive: alive_tx,
        };
        (
            BodySender { tx, alive },
            Self {
                kind: Kind::Stream(stream),
            },
        )
    }
}

impl BodySender {
    /// Sends a piece; an error means that the reader has gone.
    pub async fn send(&self, data: Bytes) -> Result<(), ReaderGone> {
        self.tx.send(Ok(data)).await.map_err(|_| ReaderGone)
    }

    /// Breaks the body off, so that the reader cannot take it for whole.
    pub async fn abort(self, reason: &str) {
        let _ = self.tx.send(Err(io::Error::other(reason.to_owned()))).await;
    }

    /// Whether the reader has gone.
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }

    /// Waits until the reader has gone.
    pub async fn closed(&self) {
        let _ = self.alive.recv().await;
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
            Kind::Stream(stream) => {
                let item = stream.chunks.as_mut().poll_next(cx);
                item.map(|item| item.map(|data| data.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.kind, Kind::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            Kind::Full(data) => SizeHint::with_exact(data.as_ref().map_or(0, |d| d.len() as u64)),
            Kind::Stream(_) => SizeHint::default(),
        }
    }
}
