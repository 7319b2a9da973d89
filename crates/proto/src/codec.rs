//! Framing of messages on a stream: length, protocol version and a postcard-encoded message.

use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the messages. Frames of another version are rejected.
pub const PROTOCOL_VERSION: u8 = 1;
/// Limit on the payload of a frame, in bytes, without the header.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
const LENGTH_BYTES: usize = 4;
const HEADER_BYTES: usize = LENGTH_BYTES + 1;

quick_error! {
    /// Why a frame could not be encoded or decoded.
    #[derive(Debug, PartialEq, Eq)]
    pub enum CodecError {
        /// The payload is larger than [`MAX_FRAME_BYTES`].
        TooLarge(bytes: usize) {
            display("frame of {bytes} bytes is over the limit of {MAX_FRAME_BYTES}")
        }
        /// The frame has another protocol version than [`PROTOCOL_VERSION`].
        Version(found: u8) {
            display("frame has protocol version {found}, expected {PROTOCOL_VERSION}")
        }
        /// The payload is not a message of the expected type.
        Malformed(err: postcard::Error) {
            display("malformed frame: {err}")
            from()
        }
    }
}

/// Encodes a message as a frame: payload length (4 bytes, little endian), version (1 byte) and
/// payload (postcard).
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    let header = vec![0; HEADER_BYTES];
    let mut frame = postcard::to_extend(message, header)?;
    let length = frame.len() - HEADER_BYTES;
    if length > MAX_FRAME_BYTES {
        return Err(CodecError::TooLarge(length));
    }
    frame[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_le_bytes());
    frame[LENGTH_BYTES] = PROTOCOL_VERSION;
    Ok(frame)
}

/// Buffers received bytes and decodes complete frames.
#[derive(Debug, Default)]
pub struct FrameReader {
    buf: Vec<u8>,
    start: usize,
}

impl FrameReader {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, data: &[u8]) {
        if self.start > 0 {
            self.buf.drain(..self.start);
            self.start = 0;
        }
        self.buf.extend_from_slice(data);
    }

    /// Decodes the next message. Returns `None` if more bytes are needed; fails on a frame that is
    /// too large, of another version or malformed.
    pub fn next_frame<T: DeserializeOwned>(&mut self) -> Result<Option<T>, CodecError> {
        let pending = &self.buf[self.start..];
        let Some(header) = pending.get(..HEADER_BYTES) else {
            return Ok(None);
        };
        let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(CodecError::TooLarge(length));
        }
        if header[LENGTH_BYTES] != PROTOCOL_VERSION {
            return Err(CodecError::Version(header[LENGTH_BYTES]));
        }
        let Some(payload) = pending.get(HEADER_BYTES..HEADER_BYTES + length) else {
            return Ok(None);
        };
        let message = postcard::from_bytes(payload)?;
        self.start += HEADER_BYTES + length;
        Ok(Some(message))
    }

    /// Whether the buffer holds bytes that have not been decoded.
    pub fn has_partial(&self) -> bool {
        self.start < self.buf.len()
    }
}
