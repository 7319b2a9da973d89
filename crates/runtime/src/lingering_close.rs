//! Closes connections so that the last response on them arrives.
//!
//! A socket that is closed with bytes unread, or that gets more of them afterwards, resets its connection,
//! and the peer's kernel drops a response that the peer has not read yet.

use crate::shutdown::ShutdownSignal;
use async_io::{Async, Timer};
use futures_lite::future::or;
use std::io::{ErrorKind, Read as _};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// A peer that sends a large request before it reads the response needs as long to send the rest of it.
const MAX_TIME: Duration = Duration::from_secs(5);
/// As much time is left once no further requests are read, as the process ends soon.
const FINAL_TIME: Duration = Duration::from_millis(200);
/// More than the body of the longest prompts.
const MAX_BYTES: usize = 32 << 20;
const READ_BYTES: usize = 16 << 10;

/// The connections of a server that were closed for sending, and on which what arrives is dropped.
#[derive(Debug)]
pub struct LingeringClose {
    open: AtomicUsize,
    max_open: usize,
}

impl LingeringClose {
    /// At most `max_open` connections at a time are kept; further ones are closed at once.
    pub fn new(max_open: usize) -> Self {
        Self {
            open: AtomicUsize::new(0),
            max_open,
        }
    }

    /// Closes a connection behind its last response. If the peer may still be sending, what it sends is
    /// read and dropped until it ends, within limits on time and bytes.
    pub async fn close(
        &self,
        stream: Async<TcpStream>,
        peer_may_send: bool,
        read_ended: &ShutdownSignal,
    ) {
        if !peer_may_send && !has_unread(stream.get_ref()) {
            return;
        }
        let Some(_slot) = self.take_slot() else {
            return;
        };
        if stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        let time_over = async {
            Timer::after(MAX_TIME).await;
        };
        let process_ends = async {
            read_ended.started().await;
            Timer::after(FINAL_TIME).await;
        };
        or(discard(&stream), or(time_over, process_ends)).await;
    }

    fn take_slot(&self) -> Option<Slot<'_>> {
        let slot = Slot(&self.open);
        let open = self.open.fetch_add(1, Ordering::Relaxed);
        (open < self.max_open).then_some(slot)
    }
}

struct Slot<'a>(&'a AtomicUsize);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn has_unread(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Ok(length) if length > 0)
}

/// Reads and drops what arrives, until its end. Takes no memory while it waits.
async fn discard(stream: &Async<TcpStream>) {
    let mut left = MAX_BYTES;
    while left > 0 && stream.readable().await.is_ok() {
        match read_some(stream.get_ref()) {
            Ok(0) => return,
            Ok(length) => left = left.saturating_sub(length),
            Err(ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(_) => return,
        }
    }
}

fn read_some(mut stream: &TcpStream) -> Result<usize, ErrorKind> {
    let mut buf = [0; READ_BYTES];
    stream.read(&mut buf).map_err(|err| err.kind())
}
