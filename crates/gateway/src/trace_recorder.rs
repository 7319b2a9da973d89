//! Records requests and their outcomes as a trace that can be replayed.

use crate::caller_request::CallerRequest;
use policy::{
    TRACE_FORMAT, TraceEnd, TraceEvent, TraceHead, TraceLine, TraceOutcome, TraceRequest,
};
use proto::EventKind;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Instant;

const MAX_QUEUED_LINES: usize = 4096;

/// Writes a trace on a thread of its own. Lines that don't fit in its queue are dropped, so that
/// recording never delays a request.
#[derive(Debug)]
pub struct TraceRecorder {
    start: Instant,
    lines: SyncSender<TraceLine>,
}

impl TraceRecorder {
    /// Starts a trace in a file, and overwrites the file if it exists. `node` names the deployment
    /// in the trace.
    pub fn start(path: &Path, node: &str) -> io::Result<Self> {
        let file = File::create(path)?;
        let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
        thread::spawn(move || write_lines(file, &rx));
        let recorder = Self {
            start: Instant::now(),
            lines: tx,
        };
        recorder.enqueue(TraceEvent::Head(TraceHead {
            format: TRACE_FORMAT,
            deployment: node.into(),
        }));
        Ok(recorder)
    }

    /// Records the arrival or the outcome of a request to a model. Ignores other events, and
    /// requests to services.
    pub fn record(&self, kind: &EventKind, request: &CallerRequest) {
        if request.model().is_none() {
            return;
        }
        let id = format!("{:032x}", request.id).into();
        let end = match kind {
            EventKind::Received => {
                return self.enqueue(TraceEvent::Request(trace_request(request, id)));
            }
            EventKind::Finished(_) => TraceEnd::Finished,
            EventKind::Refused => TraceEnd::NotRun,
            EventKind::Failed => TraceEnd::MayHaveRun,
            _ => return,
        };
        self.enqueue(TraceEvent::Outcome(TraceOutcome { id, end }));
    }

    fn enqueue(&self, what: TraceEvent) {
        let at_ms = self.start.elapsed().as_millis() as u64;
        let _ = self.lines.try_send(TraceLine { at_ms, what });
    }
}

fn trace_request(request: &CallerRequest, id: Box<str>) -> TraceRequest {
    TraceRequest {
        id,
        team: request.team.clone(),
        prompt_tokens: request.prompt_tokens,
        output_tokens: request.output_tokens,
        time_ms: request.remaining().as_millis() as u64,
        repeatable: request.repeatable,
    }
}

/// Writes and flushes each line as it arrives, until the gateway ends or the file can't be written.
fn write_lines(file: File, lines: &Receiver<TraceLine>) {
    let mut out = BufWriter::new(file);
    while let Ok(line) = lines.recv() {
        let Ok(text) = serde_json::to_string(&line) else {
            continue;
        };
        if writeln!(out, "{text}").and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
