//! The log, as text or JSON lines on standard output.

use slog::{Drain, Level, Logger, o};
use std::io::stdout;
use std::str::FromStr;

const CHANNEL_LINES: usize = 4096;

/// Form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
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

/// A logger for one process, with its name on each line.
pub fn logger(format: LogFormat, level: Level, node: &str) -> Logger {
    let node = node.to_owned();
    match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainSyncDecorator::new(stdout());
            let drain = slog_term::FullFormat::new(decorator).build().ignore_res();
            Logger::root(
                queued(drain.filter_level(level).ignore_res()),
                o!("node" => node),
            )
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(stdout());
            let drain = std::sync::Mutex::new(drain).ignore_res();
            Logger::root(
                queued(drain.filter_level(level).ignore_res()),
                o!("node" => node),
            )
        }
    }
}

fn queued<D>(drain: D) -> slog::Fuse<slog_async::Async>
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    slog_async::Async::new(drain)
        .chan_size(CHANNEL_LINES)
        .build()
        .fuse()
}
