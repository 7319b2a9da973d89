//! Splits a stream of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};
use quick_error::quick_error;

/// Limit on an incomplete event that is buffered, and on events without an id in a row.
const MAX_EVENT_BYTES: usize = 256 << 10;

quick_error! {
    /// Why bytes are not a valid stream of events.
    #[derive(Debug, PartialEq, Eq)]
    pub enum EventError {
        /// An event exceeds the buffer limit.
        TooLarge {
            display("event of more than {MAX_EVENT_BYTES} bytes")
        }
        /// Too many bytes of events without an id arrived in a row.
        NoId {
            display("no event with an id in {MAX_EVENT_BYTES} bytes")
        }
        /// A line is no field of an event, such as the text of an error.
        Malformed {
            display("a line that is no field of an event")
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
    /// Bytes at the start of `buf` in which the ends of events were searched.
    searched: usize,
    /// Bytes of complete events at the start of `buf`, all of which are well-formed.
    complete: usize,
    /// Bytes of events since the last one with an id that were passed on.
    bytes_without_id: usize,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after the event with id `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
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

    /// Adds received bytes and returns the events that they complete, if any. Events without an id are
    /// held back until one with an id follows, as what a server writes in place of events has none.
    /// Comments go at once where they follow such an event.
    ///
    /// Fails where an event is too large or malformed, or its id is not greater than the one before.
    pub fn push(&mut self, data: &[u8]) -> Result<Option<Bytes>, EventError> {
        self.buf.extend_from_slice(data);
        let ready = self.check_events()?;
        if ready == 0 {
            return match self.buf.len() > MAX_EVENT_BYTES {
                true if self.complete > 0 => Err(EventError::NoId),
                true => Err(EventError::TooLarge),
                false => Ok(None),
            };
        }
        let events = self.buf.split_to(ready).freeze();
        self.searched -= ready;
        self.complete -= ready;
        Ok(Some(events))
    }

    /// Checks the events that are complete now; returns the number of bytes that can be passed on. An
    /// error behind them is found again by the next call.
    fn check_events(&mut self) -> Result<usize, EventError> {
        let mut ready = 0;
        while let Some(end) = event_end(&self.buf, self.searched.max(self.complete)) {
            let nothing_held = ready == self.complete;
            match self.check_event(end, nothing_held) {
                Ok(true) => ready = end,
                Ok(false) => {}
                Err(err) if ready == 0 => return Err(err),
                Err(_) => {
                    self.searched = self.complete;
                    return Ok(ready);
                }
            }
            self.complete = end;
            self.searched = end;
        }
        self.searched = self.buf.len();
        Ok(ready)
    }

    /// Checks the event that ends at `end`; returns whether it can be passed on.
    fn check_event(&mut self, end: usize, nothing_held: bool) -> Result<bool, EventError> {
        let event = &self.buf[self.complete..end];
        if !lines(event).all(is_field) {
            return Err(EventError::Malformed);
        }
        let mut last_id = self.last_id;
        let mut has_id = false;
        for id in event_ids(event) {
            if let Some(last) = last_id.filter(|last| id <= *last) {
                return Err(EventError::OutOfOrder(last, id));
            }
            last_id = Some(id);
            has_id = true;
        }
        let mut comments = lines(event);
        let is_comment =
            nothing_held && self.last_id.is_some() && comments.all(|line| line.starts_with(b":"));
        if is_comment && self.bytes_without_id + event.len() > MAX_EVENT_BYTES {
            return Err(EventError::NoId);
        }
        if has_id {
            self.bytes_without_id = 0;
        } else if is_comment {
            self.bytes_without_id += event.len();
        }
        self.last_id = last_id;
        Ok(has_id || is_comment)
    }
}

/// Offset after the first blank line that ends at `start` or later. `buf[..start]` holds no other one
/// that ends an event.
fn event_end(buf: &[u8], start: usize) -> Option<usize> {
    let is_blank = |index: usize| {
        buf[index] == b'\n' && (buf[index - 1] == b'\n' || buf[..index].ends_with(b"\n\r"))
    };
    let end = (start.max(1)..buf.len()).find(|index| is_blank(*index));
    end.map(|index| index + 1)
}

/// Lines without their ends; blank ones are left out.
fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = event.split(|byte| *byte == b'\n');
    let lines = lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    lines.filter(|line| !line.is_empty())
}

/// Whether a line is a field or a comment. Fields that are not known here may stand beside others.
fn is_field(line: &[u8]) -> bool {
    let mut parts = line.splitn(2, |byte| *byte == b':');
    let name = parts.next().unwrap_or_default();
    match parts.next() {
        Some(_) => name
            .iter()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(byte)),
        None => [&b"data"[..], b"event", b"id", b"retry"].contains(&name),
    }
}

fn event_ids(events: &[u8]) -> impl Iterator<Item = u64> {
    lines(events).filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
