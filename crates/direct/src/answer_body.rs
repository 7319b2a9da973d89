//! Reads response bodies of backend servers that are buffered before they are forwarded.

use crate::shared::{BUFFERED_BYTES, Shared};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use quick_error::quick_error;

/// Limit on one body.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Bytes of a body that need no reservation, so that endless bodies elsewhere do not fail it.
const UNRESERVED_BYTES: usize = 64 << 10;

quick_error! {
    /// Why a body was not read to its end.
    #[derive(Debug)]
    pub enum BodyError {
        /// The connection failed.
        Broken(err: hyper::Error) {
            display("{err}")
            from()
        }
        /// It exceeds the limit on one body.
        TooLong {
            display("body of more than {MAX_BODY_BYTES} bytes")
        }
        /// It would exceed the limit on all bodies together.
        NoMemory {
            display("bodies of more than {BUFFERED_BYTES} bytes in all")
        }
    }
}

/// Reads a whole body. One that is too long counts as invalid.
pub async fn read_body(shared: &Shared, body: &mut Incoming) -> Result<Bytes, BodyError> {
    let read = read_bounded(shared, body).await;
    if matches!(read, Err(BodyError::TooLong | BodyError::NoMemory)) {
        shared.metrics.invalid_answer("body");
    }
    read
}

async fn read_bounded(shared: &Shared, body: &mut Incoming) -> Result<Bytes, BodyError> {
    let mut buf = BytesMut::new();
    let mut reservations = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if buf.len() + data.len() > MAX_BODY_BYTES {
            return Err(BodyError::TooLong);
        }
        if buf.len() + data.len() > UNRESERVED_BYTES {
            let reserved = shared.body_budget.try_reserve(data.len() as u64);
            reservations.push(reserved.ok_or(BodyError::NoMemory)?);
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}
