//! Sending and receiving typed frames on one QUIC stream.

use crate::link::LinkError;
use futures_lite::future::yield_now;
use proto::{FrameReader, encode};
use quinn::{ConnectionError, ReadError, RecvStream, SendStream, VarInt, WriteError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::future::Future;
use std::net::SocketAddr;

/// QUIC close code of an endpoint that shuts down in an orderly way.
pub(crate) const SHUT_DOWN_CODE: VarInt = VarInt::from_u32(0);
const CANCELLED_CODE: VarInt = VarInt::from_u32(1);
const FORBIDDEN_CODE: VarInt = VarInt::from_u32(4);
const FORBIDDEN_REASON: &str = "the peer forbids such a stream to this role";
const MAX_CHUNK_BYTES: usize = 64 << 10;
/// Frames and bytes after which a receiver yields. What has arrived is received without a wait, and a
/// peer may send faster than frames are handled.
const TURN_FRAMES: usize = 32;
const TURN_BYTES: usize = 64 << 10;

/// The sending direction of a stream.
#[derive(Debug)]
pub struct FrameSender {
    pub(crate) peer: SocketAddr,
    pub(crate) tx: SendStream,
    /// Whether a frame may have been sent in part, as its send was dropped or failed.
    pub(crate) has_partial: bool,
}

impl FrameSender {
    /// Encodes and sends one frame, waiting for flow control.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), LinkError> {
        let frame = encode(message).map_err(|err| LinkError::Codec(self.peer, err))?;
        self.send_encoded(frame).await
    }

    /// Sends bytes that are already encoded as a frame. Fails behind a send that was dropped, as the peer
    /// would take the frame for the rest of the earlier one.
    pub async fn send_encoded(&mut self, frame: Vec<u8>) -> Result<(), LinkError> {
        if self.has_partial {
            let reason = "an earlier frame was cut short".into();
            return Err(LinkError::Broken(self.peer, "send", reason));
        }
        self.has_partial = true;
        let sent = self.tx.write_chunk(frame.into()).await;
        sent.map_err(|err| write_error(self.peer, &err))?;
        self.has_partial = false;
        Ok(())
    }

    /// Ends this direction normally; frames already sent are still delivered.
    pub fn finish(&mut self) {
        let _ = self.tx.finish();
    }

    /// Resets this direction, dropping unsent data. The peer sees an error at once.
    pub fn cancel(&mut self) {
        let _ = self.tx.reset(CANCELLED_CODE);
    }

    /// Resets this direction because the peer's role does not permit a stream of this kind.
    pub(crate) fn forbid(&mut self) {
        let _ = self.tx.reset(FORBIDDEN_CODE);
    }

    /// Waits until the peer stops reading, or has received all of a finished stream.
    pub fn stopped(&self) -> impl Future<Output = ()> + Send + 'static {
        let stopped = self.tx.stopped();
        async move {
            let _ = stopped.await;
        }
    }
}

/// The receiving direction of a stream.
#[derive(Debug)]
pub struct FrameReceiver {
    pub(crate) peer: SocketAddr,
    pub(crate) rx: RecvStream,
    pub(crate) reader: FrameReader,
    pub(crate) turn: ReceiveTurn,
}

/// What was received since other tasks last had a turn.
#[derive(Debug, Default)]
pub(crate) struct ReceiveTurn {
    frames: usize,
    bytes: usize,
}

impl ReceiveTurn {
    /// Lets other tasks run if enough was received.
    async fn yield_if_over(&mut self) {
        if self.frames >= TURN_FRAMES || self.bytes >= TURN_BYTES {
            yield_now().await;
            *self = Self::default();
        }
    }
}

impl FrameReceiver {
    /// Receives and decodes the next frame; `None` at the end of the stream. Fails if the stream
    /// ends within a frame.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<Option<T>, LinkError> {
        loop {
            self.turn.yield_if_over().await;
            let frame = self.reader.next_frame();
            if let Some(message) = frame.map_err(|err| LinkError::Codec(self.peer, err))? {
                self.turn.frames += 1;
                return Ok(Some(message));
            }
            let chunk = self.rx.read_chunk(MAX_CHUNK_BYTES, true).await;
            let chunk = chunk.map_err(|err| read_error(self.peer, &err))?;
            match chunk {
                Some(chunk) => {
                    self.turn.bytes += chunk.bytes.len();
                    self.reader.push(&chunk.bytes);
                }
                None if self.reader.has_partial() => {
                    return Err(LinkError::Broken(
                        self.peer,
                        "receive",
                        "frame cut short".into(),
                    ));
                }
                None => return Ok(None),
            }
        }
    }

    /// Tells the peer that this process reads no more from the stream.
    pub fn cancel(&mut self) {
        let _ = self.rx.stop(CANCELLED_CODE);
    }
}

fn write_error(peer: SocketAddr, err: &WriteError) -> LinkError {
    let reason: Box<str> = match err {
        WriteError::ConnectionLost(err) => return connection_error(peer, "send", err),
        WriteError::Stopped(FORBIDDEN_CODE) => FORBIDDEN_REASON.into(),
        _ => err.to_string().into(),
    };
    LinkError::Broken(peer, "send", reason)
}

fn read_error(peer: SocketAddr, err: &ReadError) -> LinkError {
    let reason: Box<str> = match err {
        ReadError::ConnectionLost(err) => return connection_error(peer, "receive", err),
        ReadError::Reset(FORBIDDEN_CODE) => FORBIDDEN_REASON.into(),
        _ => err.to_string().into(),
    };
    LinkError::Broken(peer, "receive", reason)
}

fn connection_error(peer: SocketAddr, step: &'static str, err: &ConnectionError) -> LinkError {
    match err {
        ConnectionError::ApplicationClosed(close) if close.error_code == SHUT_DOWN_CODE => {
            LinkError::ShutDown(peer, step)
        }
        _ => LinkError::Broken(peer, step, err.to_string().into()),
    }
}
