//! Structured logging to standard output, as text or JSON lines.

use crate::log_queue::{LogLosses, LogQueue};
use slog::{Drain, Level, LevelFilter, Logger, Never, OwnedKVList, Record, b, o, record};
use std::io::{self, Write, stdout};
use std::mem;
use std::str::FromStr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};

/// Tag of records that are kept for longer than others where lines are written too slowly, as warnings are.
pub const KEPT_LINE: &str = "kept";

/// Output format of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Readable text, one line per record.
    Text,
    /// One JSON object per line.
    Json,
}

impl FromStr for LogFormat {
    type Err = Box<str>;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("log format {text} is neither text nor json").into()),
        }
    }
}

/// Writes the lines that are queued when it is dropped. Without it they are lost when the process ends.
#[derive(Debug)]
pub struct LogGuard {
    queue: Arc<LogQueue>,
    writer: Option<JoinHandle<()>>,
}

impl LogGuard {
    /// The count of lines that were lost.
    pub fn losses(&self) -> LogLosses {
        self.queue.losses()
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.queue.close();
        if let Some(writer) = self.writer.take() {
            let _ = writer.join();
        }
    }
}

/// A logger whose lines carry the process name `node`. Records below `level` are dropped. Lines are
/// written by a background thread; those that wait take at most 8 MiB. Lost ones are counted, and a line
/// tells how many.
pub fn logger(format: LogFormat, level: Level, node: &str) -> (Logger, LogGuard) {
    match format {
        LogFormat::Text => start(text_drain, level, node),
        LogFormat::Json => start(json_drain, level, node),
    }
}

fn text_drain(line: LineBuf) -> impl Drain<Ok = (), Err = Never> + Send {
    let decorator = slog_term::PlainSyncDecorator::new(line);
    slog_term::FullFormat::new(decorator).build().ignore_res()
}

fn json_drain(line: LineBuf) -> impl Drain<Ok = (), Err = Never> + Send {
    slog_json::Json::default(line).ignore_res()
}

fn start<D>(format: fn(LineBuf) -> D, level: Level, node: &str) -> (Logger, LogGuard)
where
    D: Drain<Ok = (), Err = Never> + Send + 'static,
{
    let queue = Arc::new(LogQueue::default());
    let drain = QueueDrain {
        formatter: Mutex::new(Formatter::new(format)),
        queue: queue.clone(),
    };
    let drain = LevelFilter::new(drain, level).fuse();
    let log = Logger::root(drain, o!("node" => node.to_owned()));
    let (formatter, values) = (Formatter::new(format), log.list().clone());
    let lines = queue.clone();
    let writer = thread::spawn(move || {
        lines.write_to(stdout(), |lost| formatter.loss_line(lost, &values));
    });
    let guard = LogGuard {
        queue,
        writer: Some(writer),
    };
    (log, guard)
}

/// Text of one record.
#[derive(Debug, Clone, Default)]
struct LineBuf(Arc<Mutex<Vec<u8>>>);

impl LineBuf {
    fn take(&self) -> Vec<u8> {
        mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Write for LineBuf {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        let mut line = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        line.extend_from_slice(text);
        Ok(text.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Formats records as lines.
struct Formatter<D> {
    drain: D,
    line: LineBuf,
}

impl<D: Drain<Ok = (), Err = Never>> Formatter<D> {
    fn new(format: fn(LineBuf) -> D) -> Self {
        let line = LineBuf::default();
        Self {
            drain: format(line.clone()),
            line,
        }
    }

    fn format(&self, record: &Record<'_>, values: &OwnedKVList) -> Vec<u8> {
        let Ok(()) = self.drain.log(record, values);
        self.line.take()
    }

    fn loss_line(&self, lost: u64, values: &OwnedKVList) -> Vec<u8> {
        let text = format_args!("log: lines lost, they were logged faster than written");
        self.format(
            &record!(Level::Warning, "", &text, b!("lines" => lost)),
            values,
        )
    }
}

/// Formats records at once and adds them to the queue.
struct QueueDrain<D> {
    formatter: Mutex<Formatter<D>>,
    queue: Arc<LogQueue>,
}

impl<D: Drain<Ok = (), Err = Never>> Drain for QueueDrain<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        // Lines are queued in the order of their times.
        let formatter = self.formatter.lock();
        let formatter = formatter.unwrap_or_else(PoisonError::into_inner);
        let line = formatter.format(record, values);
        let is_kept = record.level().is_at_least(Level::Warning) || record.tag() == KEPT_LINE;
        self.queue.push(&line, is_kept);
        Ok(())
    }
}
