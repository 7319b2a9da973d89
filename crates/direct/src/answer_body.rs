//! Reads response bodies of backend servers that are buffered before they are forwarded.

use crate::answer_memory::{AnswerWriter, GivenUp};
use crate::shared::Shared;
use futures_lite::future::or;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use policy::MAX_ANSWER_BYTES;
use quick_error::quick_error;
use runtime::Body;
use std::net::SocketAddr;

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
            display("body of more than {MAX_ANSWER_BYTES} bytes")
        }
        /// It was given up for the limit on all bodies together.
        NoMemory {
            display("bodies of more than the memory for all of them")
            from(GivenUp)
        }
    }
}

/// Reads a whole body that `server` sends. One that is too long counts as invalid.
pub async fn read_body(
    shared: &Shared,
    server: SocketAddr,
    body: &mut Incoming,
) -> Result<Body, BodyError> {
    let read = read_bounded(shared, server, body).await;
    if matches!(read, Err(BodyError::TooLong | BodyError::NoMemory)) {
        shared.metrics.invalid_answer("body");
    }
    read
}

async fn read_bounded(
    shared: &Shared,
    server: SocketAddr,
    body: &mut Incoming,
) -> Result<Body, BodyError> {
    let length = body.size_hint();
    if length.lower() > MAX_ANSWER_BYTES {
        return Err(BodyError::TooLong);
    }
    let writer = shared.answer_memory.open(server, length.exact());
    let mut read = 0;
    while let Some(data) = next_data(body, &writer).await? {
        read += data.len() as u64;
        if read > MAX_ANSWER_BYTES {
            return Err(BodyError::TooLong);
        }
        writer.push(&data)?;
    }
    Ok(writer.finish()?)
}

/// Next bytes of a body; `None` at its end.
async fn next_data(
    body: &mut Incoming,
    writer: &AnswerWriter<'_>,
) -> Result<Option<bytes::Bytes>, BodyError> {
    let given_up = async {
        writer.given_up().await;
        Err(BodyError::NoMemory)
    };
    let data = async {
        match body.frame().await.transpose()? {
            Some(frame) => Ok(Some(frame.into_data().unwrap_or_default())),
            None => Ok(None),
        }
    };
    or(given_up, data).await
}
