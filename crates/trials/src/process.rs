//! A child process and its resource usage.

use crate::error::TrialError;
use crate::loopback::spawn_lock;
use rustix::process::{Pid, Signal, kill_process};
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

const LOG_TAIL_LINES: usize = 8;

/// A child process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: Box<str>,
    child: Child,
    started_at: Instant,
    log: PathBuf,
    /// Length of the log when the process started; earlier processes wrote what comes before.
    log_start: usize,
}

/// Resources that a process has used so far; zero where `/proc` cannot be read.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ResourceUsage {
    /// CPU time of all threads that still run.
    pub cpu: Duration,
    /// Resident memory.
    pub resident_bytes: u64,
    /// Highest resident memory since the process started.
    pub peak_resident_bytes: u64,
}

impl Process {
    /// Starts a program, with its output appended to the file `log`. `name` appears in errors.
    pub fn start(
        name: &str,
        program: &Path,
        args: &[Box<str>],
        log: PathBuf,
    ) -> Result<Self, TrialError> {
        let file = File::options().create(true).append(true).open(&log);
        let file = file.map_err(|err| TrialError::File(log.clone(), err))?;
        let log_start = file
            .metadata()
            .map_or(0, |metadata| metadata.len() as usize);
        let err_file = file.try_clone();
        let err_file = err_file.map_err(|err| TrialError::File(log.clone(), err))?;
        let lock = spawn_lock();
        let child = Command::new(program)
            .args(args.iter().map(|arg| &**arg))
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(err_file)
            .spawn()
            .map_err(|err| process_error(name, "start", err))?;
        drop(lock);
        Ok(Self {
            name: name.into(),
            child,
            started_at: Instant::now(),
            log,
            log_start,
        })
    }

    /// Name given at the start.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Time since its start.
    pub fn age(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGKILL and waits for the process to exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops it with SIGSTOP until [`Process::thaw`].
    pub fn freeze(&self) -> Result<(), TrialError> {
        self.signal("freeze", Signal::STOP)
    }

    /// Continues it with SIGCONT after [`Process::freeze`].
    pub fn thaw(&self) -> Result<(), TrialError> {
        self.signal("thaw", Signal::CONT)
    }

    /// Asks it with SIGTERM to drain and exit.
    pub fn terminate(&self) -> Result<(), TrialError> {
        self.signal("terminate", Signal::TERM)
    }

    /// Sends it SIGHUP.
    pub fn hang_up(&self) -> Result<(), TrialError> {
        self.signal("hang up", Signal::HUP)
    }

    /// Whether it has exited.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// How it exited, if that was not a success.
    pub fn failure(&mut self) -> Option<ExitStatus> {
        let status = self.child.try_wait().ok().flatten()?;
        (!status.success()).then_some(status)
    }

    /// Waits for it to exit; false if `limit` passes first.
    pub async fn wait_exit(&mut self, limit: Duration) -> bool {
        const POLL_INTERVAL: Duration = Duration::from_millis(5);
        let start = Instant::now();
        while !self.has_exited() {
            if start.elapsed() > limit {
                return false;
            }
            async_io::Timer::after(POLL_INTERVAL).await;
        }
        true
    }

    /// Resources that it has used so far.
    pub fn usage(&self) -> ResourceUsage {
        ResourceUsage::of(self.pid())
    }

    /// Complete output so far; empty if it cannot be read.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Whether this process, not an earlier one with the same log, has written `text`.
    pub fn has_logged(&self, text: &str) -> bool {
        let log = self.log();
        log.get(self.log_start..)
            .is_some_and(|log| log.contains(text))
    }

    /// Last lines of the output.
    pub fn log_tail(&self) -> String {
        let text = self.log();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
    }

    fn signal(&self, step: &'static str, signal: Signal) -> Result<(), TrialError> {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).map_err(|err| process_error(&self.name, step, err))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl ResourceUsage {
    /// Reads the usage of the process with id `pid`.
    pub fn of(pid: u32) -> Self {
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        Self {
            cpu: cpu_time(pid),
            resident_bytes: status_bytes(&status, "VmRSS:"),
            peak_resident_bytes: status_bytes(&status, "VmHWM:"),
        }
    }

    /// CPU time used since an earlier reading.
    pub fn cpu_since(&self, earlier: &Self) -> Duration {
        self.cpu.saturating_sub(earlier.cpu)
    }
}

fn cpu_time(pid: u32) -> Duration {
    let Ok(threads) = fs::read_dir(format!("/proc/{pid}/task")) else {
        return Duration::ZERO;
    };
    let nanos = threads.filter_map(Result::ok).filter_map(|thread| {
        let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(nanos.sum())
}

fn status_bytes(status: &str, field: &str) -> u64 {
    const KIB: u64 = 1024;
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|text| text.parse().ok()).unwrap_or(0) * KIB
}

fn process_error(name: &str, step: &'static str, err: impl ToString) -> TrialError {
    TrialError::Process(name.into(), step, err.to_string().into())
}
