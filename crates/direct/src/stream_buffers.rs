//! Buffers of streams whose callers read more slowly than the engines write.

use crate::call::Call;
use crate::shared::Shared;
use bytes::Bytes;
use futures_lite::future::or;
use policy::{SlowReader, may_hold, needs_shared_memory, reader_to_end};
use runtime::{Body, BufferMonitor, BufferUse, BufferWriter, ByteBudget, ByteReservation};
use slog::info;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Reason of streams that are ended because their callers read too slowly.
pub const READS_TOO_SLOWLY: &str = "the caller reads too slowly";

/// The buffers of all streams, with a limit on what they hold together.
#[derive(Debug)]
pub struct StreamBuffers {
    budget: ByteBudget,
    open: Mutex<Vec<OpenBuffer>>,
}

#[derive(Debug)]
struct OpenBuffer {
    request: Box<str>,
    monitor: BufferMonitor,
}

/// Buffer of one stream, between the relay and the caller.
#[derive(Debug)]
pub struct StreamBuffer {
    writer: BufferWriter,
}

/// The caller of a stream has gone, or its stream was ended because it reads too slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BufferClosed;

impl StreamBuffers {
    /// Buffers that may hold as much together as `budget` has.
    pub fn new(budget: ByteBudget) -> Self {
        Self {
            budget,
            open: Mutex::default(),
        }
    }

    /// Opens the buffer of a call, and the body that reads from it.
    pub fn open(&self, call: &Call) -> (StreamBuffer, Body) {
        let (writer, body) = Body::buffered_stream();
        let mut open = self.lock();
        open.retain(|buffer| buffer.monitor.is_alive());
        open.push(OpenBuffer {
            request: call.head.id.clone(),
            monitor: writer.monitor(),
        });
        (StreamBuffer { writer }, body)
    }

    /// Bytes that all buffers hold.
    pub fn held(&self) -> u64 {
        let open = self.lock();
        let uses = open.iter().filter_map(|buffer| buffer.monitor.usage());
        uses.map(|usage| usage.held).sum()
    }

    /// Reserves memory for `bytes` more; ends other streams until there is enough. Returns `None` where
    /// that would not help.
    fn reserve(&self, shared: &Shared, bytes: u64) -> Option<ByteReservation> {
        loop {
            if let Some(reservation) = self.budget.try_reserve(bytes) {
                return Some(reservation);
            }
            if !self.end_slowest(shared) {
                return None;
            }
        }
    }

    /// Ends the stream that holds most and reads least; returns `false` if there is none to end.
    fn end_slowest(&self, shared: &Shared) -> bool {
        let open = self.lock();
        let uses: Vec<_> = open
            .iter()
            .map(|buffer| slow_reader(buffer.monitor.usage()))
            .collect();
        let Some(slowest) = reader_to_end(&uses) else {
            return false;
        };
        let buffer = &open[slowest];
        buffer.monitor.discard(READS_TOO_SLOWLY);
        shared.metrics.slow_reader();
        info!(shared.log, "stream: ended, the caller reads too slowly"; "req" => &*buffer.request,
            "held" => uses[slowest].held, "idle_ms" => uses[slowest].idle.as_millis() as u64);
        true
    }

    fn lock(&self) -> MutexGuard<'_, Vec<OpenBuffer>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn slow_reader(usage: Option<BufferUse>) -> SlowReader {
    let BufferUse { held, idle } = usage.unwrap_or_default();
    SlowReader { held, idle }
}

impl StreamBuffer {
    /// Adds events for the caller. Waits while the stream may hold no more.
    pub async fn send(&self, shared: &Shared, events: Bytes) -> Result<(), BufferClosed> {
        let more = events.len() as u64;
        let reservation = loop {
            let held = self.writer.held();
            if may_hold(held, more) {
                if !needs_shared_memory(held, more) {
                    break None;
                }
                if let Some(reservation) = shared.stream_buffers.reserve(shared, more) {
                    break Some(reservation);
                }
            }
            or(self.writer.taken(), self.writer.closed()).await;
            if self.writer.is_closed() {
                return Err(BufferClosed);
            }
        };
        let pushed = self.writer.push(events, reservation);
        pushed.map_err(|_| BufferClosed)
    }

    /// Waits until the caller has gone, or its stream was ended because it reads too slowly.
    pub async fn closed(&self) {
        self.writer.closed().await;
    }

    /// Whether the stream was ended because its caller reads too slowly.
    pub fn is_ended(&self) -> bool {
        self.writer.is_discarded()
    }

    /// Ends the response after what is held; it is complete.
    pub fn finish(self) {
        self.writer.finish();
    }

    /// Ends the response with an error after what is held.
    pub fn abort(self, reason: &str) {
        self.writer.abort(reason);
    }
}
