//! Decides which requests are refused because they crash servers.

use crate::blocked_suspects::{BlockedCounts, BlockedRow, BlockedSuspects, NewBlock, RowChange};
use crate::crash_evidence::{BlockSource, Cause, CrashEvidence};
use crate::fleet_load::server_key;
use crate::guard_verdict::{GuardChange, GuardReason, GuardVerdict, Spread};
use crate::retry_turn::{RECENT_TIME, RetryTurn};
use crate::server_runs::{RunId, RunProof, ServerRuns};
use proto::{
    BlockedSuspect, CrashFrame, CrashReport, ProvenSuspect, RequestKey, ServerKey, Suspect,
};
use std::collections::HashMap;
use std::time::Duration;

/// Gateways that write the row of a blocked suspect: how many of them, in an order that differs for each
/// suspect, and after which time if no row is seen before. All others write it last.
const ROW_WRITERS: [(usize, Duration); 3] = [
    (2, Duration::ZERO),
    (8, Duration::from_millis(700)),
    (32, Duration::from_millis(1_400)),
];
const LAST_WRITE_DELAY: Duration = Duration::from_secs(4);
/// Rows of a suspect that are read within this time after it has proven harmless may be older than that.
const STALE_ROW_SPAN: Duration = Duration::from_secs(10);
/// Bounds of the time to come back that callers of blocked requests are told.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Proofs that peers have to hear of are kept up to this number.
const MAX_SHARED_PROOFS: usize = 512;

#[derive(Debug)]
struct SharedProof {
    began: Duration,
    revision: u64,
}

/// Decides which suspects crash servers, from what this gateway sees and what its peers tell.
///
/// Load pattern: each server that runs one request, or prompts with one part, crashes, and these come to
/// all gateways, each of which sees a few crashes. Were they repeated and admitted as others, they would
/// take down server after server, with all other requests there.
#[derive(Debug, Default)]
pub struct CrashGuard {
    runs: ServerRuns,
    evidence: CrashEvidence,
    blocked: BlockedSuspects,
    shared_proofs: HashMap<Suspect, SharedProof>,
    /// Whether crashes were reported that have not counted yet.
    is_review_due: bool,
    revision: u64,
}

impl CrashGuard {
    /// Checks a request that has come from a caller.
    pub fn check(&mut self, suspects: &[Suspect], now: Duration) -> GuardVerdict {
        let blocked: Vec<_> = self.blocked_among(suspects).collect();
        let Some(first) = blocked.first().copied() else {
            return GuardVerdict::Allowed;
        };
        for suspect in &blocked {
            self.blocked.on_seen(*suspect, now);
        }
        match self.blocked.begin_trial(&blocked, now) {
            Some(claims) => GuardVerdict::Trial(claims),
            None => GuardVerdict::Blocked(first),
        }
    }

    /// The first blocked suspect of a request.
    pub fn blocked_suspect(&self, suspects: &[Suspect]) -> Option<Suspect> {
        self.blocked_among(suspects).next()
    }

    /// When the caller of a blocked request should come back: once the next trial is due.
    pub fn retry_after(&self, suspects: &[Suspect], now: Duration) -> Duration {
        let trials = self.blocked_among(suspects).map(|suspect| {
            let next = self.blocked.next_trial(suspect);
            next.map_or(MAX_RETRY_AFTER, |at| at.saturating_sub(now))
        });
        let longest = trials.max().unwrap_or_default();
        longest.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Time for which a request that has just come is held, because a server crashed under it a moment
    /// ago; at most until it is proven or blocked.
    pub fn hold_time(&self, request: RequestKey, now: Duration) -> Duration {
        let request = Suspect::Request(request);
        if self.blocked.is_blocked(request) {
            return Duration::ZERO;
        }
        RetryTurn::hold(&self.evidence, request, now)
    }

    /// Time until a request whose server has just crashed may be sent again: until enough is known of
    /// the other requests there.
    pub fn retry_wait(&self, request: RequestKey, now: Duration) -> Duration {
        RetryTurn::wait(&self.evidence, Suspect::Request(request), now)
    }

    /// When and where a request whose server has crashed is sent again.
    pub fn retry_turn(&self, request: RequestKey, now: Duration) -> RetryTurn {
        let is_blocked = |suspect| self.blocked.is_blocked(suspect);
        RetryTurn::of(&self.evidence, Suspect::Request(request), is_blocked, now)
    }

    /// When and where a request is sent that has just come, after [`Self::hold_time`]; `None` unless a
    /// server crashed under it a moment ago.
    pub fn turn_after_hold(&self, request: RequestKey, now: Duration) -> Option<RetryTurn> {
        let is_blocked = |suspect| self.blocked.is_blocked(suspect);
        let request = Suspect::Request(request);
        RetryTurn::after_hold(&self.evidence, request, is_blocked, now)
    }

    /// Whether a server has crashed under requests of any gateway a moment ago.
    pub fn has_crashed_lately(&self, server: ServerKey, now: Duration) -> bool {
        let since = now.saturating_sub(RECENT_TIME);
        self.evidence.has_crashed(server, since)
    }

    /// Numbers of blocked suspects.
    pub fn blocked_counts(&self) -> BlockedCounts {
        self.blocked.counts()
    }

    /// Records that the row of a trial was written, so that the trial may go on.
    pub fn on_trial_claimed(&mut self, suspect: Suspect, now: Duration) {
        self.blocked.on_trial_claimed(suspect, now);
    }

    /// Records that a request is sent to a server.
    pub fn start_run(&mut self, server: &str, suspects: &[Suspect]) -> RunId {
        self.runs.start(server, suspects)
    }

    /// Records that an event of an answer has arrived.
    pub fn on_event(&mut self, run: RunId, now: Duration) -> Vec<GuardChange> {
        let proof = self.runs.on_events(run, 1, now);
        proof.map_or(Vec::new(), |proof| self.on_proof(&proof, now))
    }

    /// Records that an answer was complete.
    pub fn on_complete(&mut self, run: RunId, now: Duration) {
        self.runs.complete(run, now);
    }

    /// Records that a run was answered as a whole.
    pub fn on_answer(&mut self, run: RunId, now: Duration) -> Vec<GuardChange> {
        let proof = self.runs.answer(run, now);
        proof.map_or(Vec::new(), |proof| self.on_proof(&proof, now))
    }

    /// Records that a run has ended.
    pub fn end_run(&mut self, run: RunId) {
        self.runs.end(run);
    }

    /// Reviews what time has changed: crashes of which all gateways have told by now, and answers that
    /// were complete some time ago at servers that have not crashed since.
    pub fn review_all(&mut self, now: Duration, spread: Spread<'_>) -> Vec<GuardChange> {
        let proofs = self.runs.take_matured(now);
        let changes = proofs.iter().flat_map(|proof| self.on_proof(proof, now));
        let mut changes: Vec<_> = changes.collect();
        if self.is_review_due {
            changes.extend(self.review(now, spread));
        }
        changes
    }

    /// Records that a server crashed at `at`. Returns what may have caused it.
    pub fn on_crash(&mut self, server: &str, at: Duration) -> Vec<Suspect> {
        let suspects = self.runs.suspects(server);
        let own = Some(self.revision + 1);
        if self
            .evidence
            .add_crash(server_key(server), &suspects, at, own)
        {
            self.revision += 1;
            self.is_review_due = true;
        }
        suspects
    }

    /// Records what a peer tells.
    pub fn on_peer_frame(
        &mut self,
        frame: &CrashFrame,
        now: Duration,
        spread: Spread<'_>,
    ) -> Vec<GuardChange> {
        let mut changes = Vec::new();
        for proven in &frame.proven {
            let began = now.saturating_sub(proven.age);
            self.evidence.add_proof(proven.suspect, began);
            changes.extend(self.release_proven(
                proven.suspect,
                began,
                GuardReason::Peer,
                now,
                spread.jitter,
            ));
        }
        for blocked in &frame.blocked {
            changes.extend(self.on_peer_block(blocked, now, spread));
        }
        for crash in &frame.crashes {
            let at = now.saturating_sub(crash.age);
            let is_news = self
                .evidence
                .add_crash(crash.server, &crash.suspects, at, None);
            self.is_review_due |= is_news;
        }
        changes
    }

    fn on_peer_block(
        &mut self,
        report: &BlockedSuspect,
        now: Duration,
        spread: Spread<'_>,
    ) -> Option<GuardChange> {
        let since = now.saturating_sub(report.age);
        if let Some(began) = self.evidence.proven_at(report.suspect)
            && began >= since
        {
            self.share_proof(report.suspect, began);
            return None;
        }
        let block = NewBlock {
            since,
            source: BlockSource::Evidence,
            revision: None,
            is_tied: report.is_tied,
            write_after: write_delay(report.suspect, spread),
        };
        let is_new = self.blocked.block(report.suspect, block, now);
        is_new.then(|| self.change(report.suspect, true, GuardReason::Peer))
    }

    /// Records the row of a suspect, or with `None` that it was removed.
    pub fn on_row(
        &mut self,
        suspect: Suspect,
        row: Option<BlockedRow>,
        version: u64,
        now: Duration,
        jitter: f64,
    ) -> Option<GuardChange> {
        let Some(row) = row else {
            let is_released = self.blocked.on_row_removed(suspect)
                && self.blocked.release(suspect, true, now, jitter);
            self.blocked.on_removed(suspect);
            if is_released {
                self.evidence.add_proof(suspect, now);
            }
            return is_released.then(|| self.change(suspect, false, GuardReason::Row));
        };
        if !self.blocked.is_blocked(suspect)
            && self
                .evidence
                .is_proven_since(suspect, now.saturating_sub(STALE_ROW_SPAN))
        {
            self.blocked.expect_removal(suspect, now, jitter);
            return None;
        }
        let block = NewBlock {
            since: now,
            source: BlockSource::Row,
            revision: None,
            is_tied: row.is_tied,
            write_after: Duration::ZERO,
        };
        let is_new = self.blocked.block(suspect, block, now);
        self.blocked.on_row(suspect, row, version, now);
        is_new.then(|| self.change(suspect, true, GuardReason::Row))
    }

    /// Records which suspects have rows, by a listing of all rows.
    pub fn on_row_listing(&mut self, listed: &[Suspect], now: Duration, jitter: f64) {
        self.blocked.on_listing(listed, now, jitter);
    }

    /// Changes of rows that are due. Each is returned again after a pause unless its effect was seen.
    pub fn due_row_changes(&mut self, now: Duration) -> Vec<RowChange> {
        self.blocked.due_row_changes(now)
    }

    /// Records that the row of a released suspect was removed.
    pub fn on_row_removed(&mut self, suspect: Suspect) {
        self.blocked.on_removed(suspect);
    }

    /// Number of the last change that peers have to hear of.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// What peers have to hear of that have heard of `revision`, or of nothing yet, and the present
    /// revision.
    pub fn changed_since(&self, revision: Option<u64>, now: Duration) -> (CrashFrame, u64) {
        let heard = revision.unwrap_or(0);
        let crashes = self.evidence.crashes();
        let crashes =
            crashes.filter(|crash| crash.revision > heard && !crash.own_suspects.is_empty());
        let crashes = crashes.map(|crash| CrashReport {
            server: crash.server,
            suspects: crash.own_suspects.clone(),
            age: now.saturating_sub(crash.at),
        });
        let proofs = self.shared_proofs.iter();
        let proofs = proofs.filter(|(_, proof)| proof.revision > heard);
        let proofs = proofs.map(|(suspect, proof)| ProvenSuspect {
            suspect: *suspect,
            age: now.saturating_sub(proof.began),
        });
        let frame = CrashFrame {
            crashes: crashes.collect(),
            proven: proofs.collect(),
            blocked: self.blocked.changed_since(revision, now),
        };
        (frame, self.revision)
    }

    fn blocked_among(&self, suspects: &[Suspect]) -> impl Iterator<Item = Suspect> {
        let suspects = suspects.iter().copied();
        suspects.filter(|suspect| self.blocked.is_blocked(*suspect))
    }

    /// Blocks the suspects that the evidence names.
    fn review(&mut self, now: Duration, spread: Spread<'_>) -> Vec<GuardChange> {
        let has_peers = spread.shares.gateways() > 1;
        let blocked_by = |suspect| self.blocked.source(suspect);
        let causes = self.evidence.causes(blocked_by, has_peers, now);
        self.is_review_due = self.evidence.is_unsettled(now);
        let mut changes = Vec::new();
        for Cause { suspect, is_tied } in causes {
            self.revision += 1;
            let block = NewBlock {
                since: now,
                source: BlockSource::Evidence,
                revision: Some(self.revision),
                is_tied,
                write_after: self.write_delay(suspect, spread),
            };
            self.blocked.block(suspect, block, now);
            changes.push(self.change(suspect, true, GuardReason::Evidence));
        }
        self.find_explained_parts();
        changes
    }

    /// Time after which this gateway writes the row of a suspect that it blocks by its evidence: at once
    /// if no peer has told of the crashes, as the gateways that write first may not know of them.
    fn write_delay(&self, suspect: Suspect, spread: Spread<'_>) -> Duration {
        if self.evidence.is_own(suspect) {
            return Duration::ZERO;
        }
        write_delay(suspect, spread)
    }

    /// Finds blocked parts that only shared servers with another blocked part.
    fn find_explained_parts(&mut self) {
        let parts = self.blocked.unexplained_parts();
        if parts.is_empty() {
            return;
        }
        let counts = self.evidence.counts();
        for (part, since) in parts {
            let is_blocked = |suspect| self.blocked.is_blocked(suspect);
            if self.evidence.is_explained(part, since, &counts, is_blocked) {
                self.blocked.on_explained(part);
            }
        }
    }

    fn on_proof(&mut self, proof: &RunProof, now: Duration) -> Vec<GuardChange> {
        let mut changes = Vec::new();
        for suspect in &proof.suspects {
            // Peers that suspect or block the suspect have to hear of it.
            let is_needed =
                self.blocked.is_blocked(*suspect) || self.evidence.is_suspected(*suspect);
            // Nearly all requests come once, and nobody asks for proofs of them.
            if matches!(suspect, Suspect::Request(_)) && !is_needed {
                continue;
            }
            if self.evidence.add_proof(*suspect, proof.began) && is_needed {
                self.share_proof(*suspect, proof.began);
            }
            let reason = GuardReason::Evidence;
            changes.extend(self.release_proven(*suspect, proof.began, reason, now, 0.0));
        }
        changes
    }

    /// Releases a suspect with which an answer began at `began` that has not crashed its server, if that
    /// was after all that speaks against the suspect.
    fn release_proven(
        &mut self,
        suspect: Suspect,
        began: Duration,
        reason: GuardReason,
        now: Duration,
        jitter: f64,
    ) -> Option<GuardChange> {
        let since = self.blocked.since(suspect)?;
        if began < since {
            return None;
        }
        let change = self.change(suspect, false, reason);
        let is_first = reason == GuardReason::Evidence;
        self.blocked.release(suspect, is_first, now, jitter);
        Some(change)
    }

    fn share_proof(&mut self, suspect: Suspect, began: Duration) {
        if self.shared_proofs.len() >= MAX_SHARED_PROOFS {
            let oldest = self
                .shared_proofs
                .iter()
                .min_by_key(|(_, proof)| proof.began);
            if let Some(oldest) = oldest.map(|(suspect, _)| *suspect) {
                self.shared_proofs.remove(&oldest);
            }
        }
        self.revision += 1;
        let revision = self.revision;
        self.shared_proofs
            .insert(suspect, SharedProof { began, revision });
    }

    fn change(&self, suspect: Suspect, is_blocked: bool, reason: GuardReason) -> GuardChange {
        let crashes = self.evidence.crashes_under(suspect);
        GuardChange {
            suspect,
            is_blocked,
            reason,
            crashes,
        }
    }
}

/// Time after which a gateway writes the row of a suspect that it has blocked.
fn write_delay(suspect: Suspect, spread: Spread<'_>) -> Duration {
    let mut writers = ROW_WRITERS.iter();
    let own = writers.find(|(count, _)| spread.shares.is_among_first(suspect.key(), *count));
    own.map_or(
        LAST_WRITE_DELAY.mul_f64(1.0 + spread.jitter),
        |(_, delay)| *delay,
    )
}
