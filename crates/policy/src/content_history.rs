//! The last differences between consecutive declarations, for peers that have older ones.

use crate::edit_script::{edit_script, script_bytes};
use proto::{ContentDigest, EditScript};
use std::collections::VecDeque;
use std::sync::Arc;

/// Limit on the bytes of all scripts that are kept. One growth by 1,560 routes takes 400 kB.
const MAX_HISTORY_BYTES: usize = 1 << 20;
const MAX_SCRIPTS: usize = 64;

/// Scripts that each begin where the one before ends, the last one at the present declarations.
#[derive(Debug, Default)]
pub struct ContentHistory {
    scripts: VecDeque<Arc<EditScript>>,
    bytes: usize,
}

impl ContentHistory {
    /// Records that `new` follows `old`, unless a script that was received says so already.
    pub fn on_change(&mut self, old: (&[u8], ContentDigest), new: (&[u8], ContentDigest)) {
        if self.end() != Some(new.1) {
            self.record(edit_script(old, new), new.0.len());
        }
    }

    /// Records the script of a change that leads to declarations of this many bytes, unless a script that
    /// was received says so already.
    pub fn record(&mut self, script: EditScript, bytes: usize) {
        if self.end() == Some(script.to) {
            return;
        }
        if script_bytes(&script) > bytes / 2 {
            // The whole takes hardly more.
            *self = Self::default();
        } else {
            self.push(Arc::new(script));
        }
    }

    /// Records a script, whose end becomes the present declarations.
    pub fn push(&mut self, script: Arc<EditScript>) {
        if self.end() != Some(script.from) {
            *self = Self::default();
        }
        self.bytes += script_bytes(&script);
        self.scripts.push_back(script);
        while self.bytes > MAX_HISTORY_BYTES || self.scripts.len() > MAX_SCRIPTS {
            let Some(first) = self.scripts.pop_front() else {
                return;
            };
            self.bytes -= script_bytes(&first);
        }
    }

    /// Scripts that lead from the declarations with the digest `from` to those with the digest `to`, if they
    /// are kept.
    pub fn scripts(&self, from: ContentDigest, to: ContentDigest) -> Option<Vec<Arc<EditScript>>> {
        let is_first = |script: &Arc<EditScript>| script.from == from;
        let first = self.scripts.iter().rposition(is_first)?;
        (self.end() == Some(to)).then(|| self.scripts.range(first..).cloned().collect())
    }

    fn end(&self) -> Option<ContentDigest> {
        self.scripts.back().map(|script| script.to)
    }
}
