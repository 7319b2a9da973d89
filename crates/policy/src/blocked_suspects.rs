//! Suspects that crash servers and are refused, with their rows in the store.

use crate::crash_evidence::BlockSource;
use proto::{BlockedSuspect, Suspect};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Trials of a blocked suspect, over all gateways together.
const MAX_TRIALS: u32 = 3;
/// Time from the block to the first trial where one of several suspects must be the cause.
const TIED_TRIAL_DELAY: Duration = Duration::from_secs(1);
/// The same where only one suspect can be: a part, which many prompts may share, or a request.
const PART_TRIAL_DELAY: Duration = Duration::from_secs(8);
const REQUEST_TRIAL_DELAY: Duration = Duration::from_secs(30);
/// Time from the first trial of a part to the second. A part that does crash servers should not use up
/// the trials while its requests of before the block may still be counted.
const SECOND_TRIAL_DELAY: Duration = Duration::from_secs(12);
/// Time to each later trial. For a request that is the second: no other request spoils its first.
const LATE_TRIAL_DELAY: Duration = Duration::from_secs(600);
/// Suspects that are blocked at the same time have their trials up to this much apart: the trial of the
/// one that crashes servers would spoil another one at the same server.
const MAX_TRIAL_OFFSET: Duration = Duration::from_secs(3);
/// A request with several blocked suspects is no trial until its trial is overdue for this long: requests
/// with only one of them tell more.
const JOINT_TRIAL_DELAY: Duration = Duration::from_secs(5);
/// Pause before a trial or a change of a row that did not succeed is tried again.
const RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Gateways that are not the first to remove or restore a row do so after this time, up to twice of it,
/// if it was not done.
const STAND_IN_DELAY: Duration = Duration::from_secs(4);
/// A suspect of which no gateway has seen a request for this long is no longer blocked.
const UNSEEN_LIFETIME: Duration = Duration::from_secs(600);
/// Interval at which the row of a suspect that is still seen is written again.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(60);
/// Bound of the suspects that are blocked; the one that was not seen for longest is dropped.
const MAX_BLOCKED_SUSPECTS: usize = 1_024;

/// Stored row of a blocked suspect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockedRow {
    /// Trials that were begun.
    #[serde(default)]
    pub trials: u32,
    /// Whether other suspects fitted the evidence as well.
    #[serde(default)]
    pub is_tied: bool,
}

/// Numbers of blocked suspects, by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockedCounts {
    /// Parts of prompts.
    pub parts: usize,
    /// Requests.
    pub requests: usize,
}

/// A change of the row of a suspect in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowChange {
    /// Write it, if it has this version; 0 if there must be none.
    Put {
        /// The suspect.
        suspect: Suspect,
        /// The new content.
        row: BlockedRow,
        /// Version that the row must have.
        version: u64,
    },
    /// Remove it.
    Remove {
        /// The suspect.
        suspect: Suspect,
    },
}

/// How a suspect came to be blocked at this gateway.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NewBlock {
    /// Since when it is blocked, anywhere.
    pub since: Duration,
    /// From what this gateway knows it.
    pub source: BlockSource,
    /// Revision of this gateway's news, if it was blocked by the evidence here.
    pub revision: Option<u64>,
    /// Whether other suspects fit the evidence as well.
    pub is_tied: bool,
    /// Time after which this gateway writes the row unless it is seen before.
    pub write_after: Duration,
}

#[derive(Debug)]
struct Block {
    since: Duration,
    source: BlockSource,
    is_tied: bool,
    last_seen: Duration,
    trials: u32,
    /// When the last trial was begun.
    last_trial: Duration,
    next_trial: Duration,
    /// Whether the crashes under it are explained by another blocked suspect; found out after a trial.
    is_explained: bool,
    /// Version of its row, and when that changed; `None` until the row is seen.
    row: Option<(u64, Duration)>,
    /// When to write the row unless it is seen before.
    write_at: Option<Duration>,
    /// Revision at which this gateway blocked it by its own evidence; `None` if it did not.
    revision: Option<u64>,
}

impl Block {
    fn on_trial(&mut self, suspect: Suspect, trials: u32, now: Duration) {
        self.trials = trials;
        self.last_trial = now;
        self.next_trial = self.trial_after_last(suspect);
    }

    fn trial_after_last(&self, suspect: Suspect) -> Duration {
        let delay = match suspect {
            Suspect::Part(_) if self.trials < 2 || self.is_explained => SECOND_TRIAL_DELAY,
            _ => LATE_TRIAL_DELAY,
        };
        self.last_trial + delay + trial_offset(suspect, self.trials)
    }
}

/// The blocked suspects. Times are those of this gateway.
#[derive(Debug, Default)]
pub(crate) struct BlockedSuspects {
    blocks: HashMap<Suspect, Block>,
    /// Rows of released suspects, and when to remove each unless that is seen before.
    removals: HashMap<Suspect, Duration>,
}

impl BlockedSuspects {
    /// Blocks a suspect. Returns whether it was not blocked.
    pub fn block(&mut self, suspect: Suspect, new: NewBlock, now: Duration) -> bool {
        if let Some(block) = self.blocks.get_mut(&suspect) {
            if new.source == BlockSource::Evidence {
                block.source = new.source;
            }
            return false;
        }
        self.make_room();
        self.removals.remove(&suspect);
        let trial_delay = match suspect {
            _ if new.is_tied => TIED_TRIAL_DELAY,
            Suspect::Part(_) => PART_TRIAL_DELAY,
            Suspect::Request(_) => REQUEST_TRIAL_DELAY,
        };
        let block = Block {
            since: new.since,
            source: new.source,
            is_tied: new.is_tied,
            last_seen: now,
            trials: 0,
            last_trial: now,
            next_trial: now + trial_delay + trial_offset(suspect, 0),
            is_explained: false,
            row: None,
            write_at: Some(now + new.write_after),
            revision: new.revision,
        };
        self.blocks.insert(suspect, block);
        true
    }

    fn make_room(&mut self) {
        if self.blocks.len() < MAX_BLOCKED_SUSPECTS {
            return;
        }
        let unseen = self.blocks.iter().min_by_key(|(_, block)| block.last_seen);
        if let Some(suspect) = unseen.map(|(suspect, _)| *suspect) {
            self.blocks.remove(&suspect);
        }
    }

    /// Releases a suspect. Its row is removed, soon if this gateway `is_first` to know. Returns whether
    /// the suspect was blocked.
    pub fn release(
        &mut self,
        suspect: Suspect,
        is_first: bool,
        now: Duration,
        jitter: f64,
    ) -> bool {
        let Some(block) = self.blocks.remove(&suspect) else {
            return false;
        };
        if is_first {
            self.removals.insert(suspect, now);
        } else if block.row.is_some() {
            self.expect_removal(suspect, now, jitter);
        }
        true
    }

    /// Removes the row of a suspect that is not blocked, if no other gateway does.
    pub fn expect_removal(&mut self, suspect: Suspect, now: Duration, jitter: f64) {
        let stand_in = STAND_IN_DELAY.mul_f64(1.0 + jitter);
        self.removals.entry(suspect).or_insert(now + stand_in);
    }

    pub fn is_blocked(&self, suspect: Suspect) -> bool {
        self.blocks.contains_key(&suspect)
    }

    /// From what a blocked suspect is known.
    pub fn source(&self, suspect: Suspect) -> Option<BlockSource> {
        Some(self.blocks.get(&suspect)?.source)
    }

    pub fn counts(&self) -> BlockedCounts {
        let suspects = self.blocks.keys();
        let requests = suspects.filter(|suspect| matches!(suspect, Suspect::Request(_)));
        let requests = requests.count();
        BlockedCounts {
            parts: self.blocks.len() - requests,
            requests,
        }
    }

    /// Time since which a suspect is blocked.
    pub fn since(&self, suspect: Suspect) -> Option<Duration> {
        Some(self.blocks.get(&suspect)?.since)
    }

    /// When the next trial of a suspect is due; `None` if it has none left.
    pub fn next_trial(&self, suspect: Suspect) -> Option<Duration> {
        let block = self.blocks.get(&suspect)?;
        (block.trials < MAX_TRIALS).then_some(block.next_trial)
    }

    /// Records that a caller has sent a request with this suspect.
    pub fn on_seen(&mut self, suspect: Suspect, now: Duration) {
        let Some(block) = self.blocks.get_mut(&suspect) else {
            return;
        };
        block.last_seen = now;
        let is_old = |(_, changed_at)| now >= changed_at + RENEWAL_INTERVAL;
        if block.write_at.is_none() && block.row.is_some_and(is_old) {
            block.write_at = Some(now);
        }
    }

    /// Begins a trial with a request that has these blocked suspects, if one is due. The rows that are
    /// returned must be written before the request is sent; all gateways together then make no more
    /// trials than are allowed.
    pub fn begin_trial(&mut self, suspects: &[Suspect], now: Duration) -> Option<Vec<RowChange>> {
        let overdue = if suspects.len() > 1 {
            JOINT_TRIAL_DELAY
        } else {
            Duration::ZERO
        };
        let is_due = |suspect: &Suspect| {
            let block = self.blocks.get(suspect);
            block.is_some_and(|block| {
                block.row.is_some()
                    && block.trials < MAX_TRIALS
                    && now >= block.next_trial + overdue
            })
        };
        if suspects.is_empty() || !suspects.iter().all(is_due) {
            return None;
        }
        let claims = suspects.iter().filter_map(|suspect| {
            let block = self.blocks.get_mut(suspect)?;
            block.next_trial = now + RETRY_PAUSE;
            let (version, _) = block.row?;
            let row = BlockedRow {
                trials: block.trials + 1,
                is_tied: block.is_tied,
            };
            Some(RowChange::Put {
                suspect: *suspect,
                row,
                version,
            })
        });
        Some(claims.collect())
    }

    /// Records that the row of a trial was written.
    pub fn on_trial_claimed(&mut self, suspect: Suspect, now: Duration) {
        if let Some(block) = self.blocks.get_mut(&suspect) {
            block.on_trial(suspect, block.trials + 1, now);
        }
    }

    /// Parts that are blocked by the evidence, had trials, and are not known to be explained by another
    /// blocked suspect; and since when they are blocked.
    pub fn unexplained_parts(&self) -> Vec<(Suspect, Duration)> {
        let blocks = self.blocks.iter();
        let parts = blocks.filter(|(suspect, block)| {
            matches!(suspect, Suspect::Part(_))
                && block.source == BlockSource::Evidence
                && block.trials > 0
                && !block.is_explained
        });
        parts.map(|(part, block)| (*part, block.since)).collect()
    }

    /// Records that the crashes under a part are explained by another blocked one. Its later trials then
    /// follow as soon as the second: engines that ended by chance have spoilt those before.
    pub fn on_explained(&mut self, part: Suspect) {
        if let Some(block) = self.blocks.get_mut(&part) {
            block.is_explained = true;
            block.next_trial = block.next_trial.min(block.trial_after_last(part));
        }
    }

    /// Records the row of a suspect as it was read from the store.
    pub fn on_row(&mut self, suspect: Suspect, row: BlockedRow, version: u64, now: Duration) {
        if let Some(block) = self.blocks.get_mut(&suspect) {
            if row.trials > block.trials {
                block.on_trial(suspect, row.trials, now);
            }
            block.row = Some((version, now));
            block.write_at = None;
            block.last_seen = now;
        }
    }

    /// Records that a suspect has no row. Returns whether it had one before and is blocked.
    pub fn on_row_removed(&mut self, suspect: Suspect) -> bool {
        self.removals.remove(&suspect);
        self.blocks
            .get(&suspect)
            .is_some_and(|block| block.row.is_some())
    }

    /// Records a listing of the rows: those that are missing are written again.
    pub fn on_listing(&mut self, listed: &[Suspect], now: Duration, jitter: f64) {
        for (suspect, block) in &mut self.blocks {
            if block.row.is_some() && !listed.contains(suspect) {
                block.row = None;
                block.write_at = Some(now + STAND_IN_DELAY.mul_f64(jitter));
            }
        }
    }

    /// Changes of rows that are due. Each counts as begun, and is repeated unless its effect is seen.
    /// Suspects that were not seen for long are released.
    pub fn due_row_changes(&mut self, now: Duration) -> Vec<RowChange> {
        let unseen = self.blocks.iter();
        let unseen = unseen.filter(|(_, block)| now >= block.last_seen + UNSEEN_LIFETIME);
        for suspect in unseen.map(|(suspect, _)| *suspect).collect::<Vec<_>>() {
            self.release(suspect, true, now, 0.0);
        }
        let mut changes = Vec::new();
        for (suspect, block) in &mut self.blocks {
            if block.write_at.is_some_and(|at| now >= at) {
                block.write_at = Some(now + RETRY_PAUSE);
                let version = block.row.map_or(0, |(version, _)| version);
                let row = BlockedRow {
                    trials: block.trials,
                    is_tied: block.is_tied,
                };
                changes.push(RowChange::Put {
                    suspect: *suspect,
                    row,
                    version,
                });
            }
        }
        for (suspect, at) in &mut self.removals {
            if now >= *at {
                *at = now + RETRY_PAUSE;
                changes.push(RowChange::Remove { suspect: *suspect });
            }
        }
        changes
    }

    /// Records that the row of a released suspect was removed.
    pub fn on_removed(&mut self, suspect: Suspect) {
        self.removals.remove(&suspect);
    }

    /// Blocked suspects that peers have to hear of: those that this gateway has blocked by its own
    /// evidence after `revision`, or all for a peer that has heard of nothing.
    pub fn changed_since(&self, revision: Option<u64>, now: Duration) -> Vec<BlockedSuspect> {
        let blocks = self.blocks.iter().filter(|(_, block)| {
            revision.is_none_or(|heard| block.revision.is_some_and(|own| own > heard))
        });
        let reports = blocks.map(|(suspect, block)| BlockedSuspect {
            suspect: *suspect,
            is_tied: block.is_tied,
            age: now.saturating_sub(block.since),
        });
        reports.collect()
    }
}

/// Time by which the trial of a suspect after so many others comes later; the same at all gateways. Two
/// suspects whose trials meet once do not meet again.
fn trial_offset(suspect: Suspect, trials: u32) -> Duration {
    const STEPS: u64 = 1_024;
    let hash = xxh3_64_with_seed(&suspect.key().to_le_bytes(), u64::from(trials));
    MAX_TRIAL_OFFSET.mul_f64((hash % STEPS) as f64 / STEPS as f64)
}
