//! Splits a stream of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};
use quick_error::quick_error;

/// Limit on an incomplete event that is buffered.
const MAX_EVENT_BYTES: usize = 1 << 20;

quick_error! {
    /// Why bytes are not a valid stream of events.
    #[derive(Debug, PartialEq, Eq)]
    pub enum EventError {
        /// An event exceeds the buffer limit.
        TooLarge {
            display("event of more than {MAX_EVENT_BYTES} bytes")
        }
        /// An event id is not greater than the one before.
        OutOfOrder(last: u64, found: u64) {
            display("event {found} came after event {last}")
        }
    }
}

/// Buffers an incomplete event until the rest of it has arrived. A caller must never get part of
/// an event, because after a failover another server sends that event again from its start.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after the event with id `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            buf: BytesMut::new(),
            last_id,
        }
    }

    /// Id of the last complete event; `None` before the first one that has an id.
    pub fn last_event(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Adds received bytes and returns the events that they complete, if any.
    ///
    /// Fails where an event is too large or its id is not greater than the one before.
    pub fn push(&mut self, data: &[u8]) -> Result<Option<Bytes>, EventError> {
        self.buf.extend_from_slice(data);
        let end = events_end(&self.buf);
        if end == 0 {
            if self.buf.len() > MAX_EVENT_BYTES {
                return Err(EventError::TooLarge);
            }
            return Ok(None);
        }
        let events = self.buf.split_to(end).freeze();
        for id in event_ids(&events) {
            if self.last_id.is_some_and(|last| id <= last) {
                return Err(EventError::OutOfOrder(self.last_id.unwrap_or_default(), id));
            }
            self.last_id = Some(id);
        }
        Ok(Some(events))
    }
}

/// Offset after the last blank line, which ends an event; 0 if there is none.
fn events_end(buf: &[u8]) -> usize {
    let mut end = 0;
    for index in 1..buf.len() {
        let blank =
            buf[index] == b'\n' && (buf[index - 1] == b'\n' || buf[..index].ends_with(b"\n\r"));
        if blank {
            end = index + 1;
        }
    }
    end
}

fn event_ids(events: &[u8]) -> impl Iterator<Item = u64> {
    events.split(|byte| *byte == b'\n').filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
