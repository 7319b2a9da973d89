//! What ended the runs of calls at servers.

use std::sync::atomic::{AtomicU8, Ordering};

/// What ended the last run of a call at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum RunEnd {
    /// The server gave a whole response.
    Answered,
    /// The server broke off, or its response is none.
    Failed,
    /// The gateway gave the server up because it was silent for too long.
    Silent,
    /// The gateway gave the server up because it does not respond and holds up memory elsewhere.
    Lost,
    /// The caller left.
    CallerLeft,
    /// The gateway ended the response because the caller reads too slowly.
    SlowReader,
    /// The time of the call was up.
    TimeLimit,
    /// The process ends.
    Draining,
}

impl RunEnd {
    const ALL: [Self; 8] = [
        Self::Answered,
        Self::Failed,
        Self::Silent,
        Self::Lost,
        Self::CallerLeft,
        Self::SlowReader,
        Self::TimeLimit,
        Self::Draining,
    ];

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Silent => "silent",
            Self::Lost => "lost",
            Self::CallerLeft => "caller left",
            Self::SlowReader => "slow reader",
            Self::TimeLimit => "time limit",
            Self::Draining => "draining",
        }
    }
}

/// What ended the last run of a call, as far as it has ended.
#[derive(Debug, Default)]
pub struct LastRunEnd(AtomicU8);

impl LastRunEnd {
    /// Sets what ended the last run.
    pub fn set(&self, end: RunEnd) {
        self.0.store(end as u8 + 1, Ordering::Relaxed);
    }

    /// What ended the last run; `None` if no run has ended.
    pub fn get(&self) -> Option<RunEnd> {
        let index = self.0.load(Ordering::Relaxed).checked_sub(1)?;
        RunEnd::ALL.get(usize::from(index)).copied()
    }
}
