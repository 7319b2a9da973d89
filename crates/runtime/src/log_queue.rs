//! Log lines between the threads that log them and the one that writes them.

use std::collections::VecDeque;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

/// Smallest piece of memory that lines are collected in.
const BLOCK_BYTES: usize = 64 << 10;
/// Memory beyond which lines are lost.
const MAX_BYTES: usize = 8 << 20;
/// Memory beyond which only kept lines are taken.
const MAX_ROUTINE_BYTES: usize = 4 << 20;

/// Lines that wait to be written, within a limit on their memory.
#[derive(Debug, Default)]
pub(crate) struct LogQueue {
    state: Mutex<State>,
    changed: Condvar,
    losses: LogLosses,
}

#[derive(Debug, Default)]
struct State {
    blocks: VecDeque<Vec<u8>>,
    /// Memory of all blocks, with the one that is being written.
    held: usize,
    is_closed: bool,
}

/// Number of log lines that were lost because too many waited to be written; clones share it.
#[derive(Debug, Clone, Default)]
pub struct LogLosses(Arc<AtomicU64>);

impl LogLosses {
    /// Lines lost since the start of the process.
    pub fn lines(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

impl State {
    /// Adds a line; `false` if there is no memory for it.
    fn add(&mut self, line: &[u8], max_bytes: usize) -> bool {
        let has_room = |block: &Vec<u8>| block.capacity() - block.len() >= line.len();
        if !self.blocks.back().is_some_and(has_room) {
            let bytes = line.len().max(BLOCK_BYTES);
            if self.held + bytes > max_bytes {
                return false;
            }
            self.held += bytes;
            self.blocks.push_back(Vec::with_capacity(bytes));
        }
        let may_add = self.held <= max_bytes;
        if let Some(block) = self.blocks.back_mut().filter(|_| may_add) {
            block.extend_from_slice(line);
        }
        may_add
    }
}

impl LogQueue {
    /// Adds a line without waiting, or counts it as lost. Where lines are written too slowly, `is_kept` lines are
    /// taken for longer than others.
    pub(crate) fn push(&self, line: &[u8], is_kept: bool) {
        let max_bytes = match is_kept {
            true => MAX_BYTES,
            false => MAX_ROUTINE_BYTES,
        };
        if self.lock().add(line, max_bytes) {
            self.changed.notify_one();
        } else {
            self.losses.0.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Writes lines until the queue is closed and empty, and what `loss_line` gives for the number of lines that
    /// were lost since it was last called.
    pub(crate) fn write_to(&self, mut out: impl Write, loss_line: impl Fn(u64) -> Vec<u8>) {
        let mut told = 0;
        while let Some(block) = self.next_block() {
            // There is nowhere to report that the log cannot be written.
            let _ = out.write_all(&block);
            self.lock().held -= block.capacity();
            let lost = self.losses.lines();
            if lost > told {
                let _ = out.write_all(&loss_line(lost - told));
                told = lost;
            }
            let _ = out.flush();
        }
    }

    /// Waits for lines; `None` once the queue is closed and empty.
    fn next_block(&self) -> Option<Vec<u8>> {
        let mut state = self.lock();
        loop {
            if let Some(block) = state.blocks.pop_front() {
                return Some(block);
            }
            if state.is_closed {
                return None;
            }
            let woken = self.changed.wait(state);
            state = woken.unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Lets [`Self::write_to`] end once all lines are written.
    pub(crate) fn close(&self) {
        self.lock().is_closed = true;
        self.changed.notify_one();
    }

    /// The count of lost lines.
    pub(crate) fn losses(&self) -> LogLosses {
        self.losses.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
