//! Cuts a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};
use quick_error::quick_error;

/// Largest event that is held back until it is whole.
const MAX_EVENT_BYTES: usize = 1 << 20;

quick_error! {
    /// Bytes that are no stream of events.
    #[derive(Debug, PartialEq, Eq)]
    pub enum EventError {
        /// An event is larger than anything that is held back.
        TooLarge {
            display("event of more than {MAX_EVENT_BYTES} bytes")
        }
        /// The ids do not grow.
        OutOfOrder(last: u64, found: u64) {
            display("event {found} came after event {last}")
        }
    }
}

/// Holds back the part of an event that has not arrived, so that a caller never gets part of one
/// that another server would then send again from its start.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// A splitter for a stream that goes on behind an event.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            buf: BytesMut::new(),
            last_id,
        }
    }

    /// Id of the last whole event.
    pub fn last_event(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether part of an event is held back.
    pub fn has_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Takes bytes in and gives out all events that are whole by now.
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

/// End of the last blank line.
fn events_end(buf: &[u8]) -> usize {
    let mut end = 0;
    for at in 1..buf.len() {
        let blank = buf[at] == b'\n' && (buf[at - 1] == b'\n' || buf[..at].ends_with(b"\n\r"));
        if blank {
            end = at + 1;
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
