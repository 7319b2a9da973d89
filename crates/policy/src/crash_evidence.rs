//! Evidence of which suspects crash servers.

use proto::{ServerKey, Suspect};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Crashes under a suspect, without an answer to a request with it since, after which it is taken for the
/// cause if no other suspect was there nearly as often.
const MIN_CRASHES: usize = 3;
/// The same where other suspects were there as often, or once less: all of them are taken for the cause.
const MIN_CRASHES_TIED: usize = 5;
/// Time for the reports of all gateways on a crash to arrive, before it counts.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// Servers that end closer together than this have a common cause, such as the loss of their failure
/// domain, and count as one crash.
const COMMON_CAUSE_SPAN: Duration = Duration::from_millis(30);
/// Reports of crashes of one server within this time are of the same crash. Servers take longer than
/// this to start again.
const SAME_CRASH_SPAN: Duration = Duration::from_secs(2);
/// Bounds of what is kept; the oldest is dropped.
const MAX_CRASHES: usize = 128;
const MAX_SUSPECTS_PER_CRASH: usize = 128;
const MAX_PROVEN_SUSPECTS: usize = 4_096;

/// A crash of a server.
#[derive(Debug, Clone)]
pub(crate) struct Crash {
    pub(crate) server: ServerKey,
    pub(crate) at: Duration,
    /// Suspects of all requests that may have caused it, at any gateway.
    suspects: Vec<Suspect>,
    /// Those of this gateway's requests.
    pub(crate) own_suspects: Vec<Suspect>,
    /// Revision of the last change of `own_suspects`.
    pub(crate) revision: u64,
}

/// Crashes of servers, with the suspects of the requests that may have caused them, and suspects that are
/// proven harmless.
///
/// All requests at a server die when it crashes, so the suspects of sound requests turn up in crashes
/// too. They are told apart by three things: an answer to another request with the same suspect that goes
/// on after the crash clears it; the cause is there in more crashes than what shared a server with
/// it by chance; and crashes that a known cause explains count against nothing else.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    crashes: VecDeque<Crash>,
    /// When the last answer began with which a server did not crash, by suspect.
    proven: HashMap<Suspect, Duration>,
}

impl CrashEvidence {
    /// Records a crash at `at` and suspects that may have caused it. `own_revision` is set if
    /// these requests are this gateway's own. Returns whether that is news.
    pub fn add_crash(
        &mut self,
        server: ServerKey,
        suspects: &[Suspect],
        at: Duration,
        own_revision: Option<u64>,
    ) -> bool {
        let suspects = suspects
            .iter()
            .filter(|suspect| !self.is_proven_since(**suspect, at));
        let suspects: Vec<_> = suspects.copied().collect();
        let is_same =
            |crash: &Crash| crash.server == server && crash.at.abs_diff(at) < SAME_CRASH_SPAN;
        if !self.crashes.iter().any(is_same) {
            if suspects.is_empty() {
                return false;
            }
            self.insert(server, at);
        }
        let Some(crash) = self.crashes.iter_mut().find(|crash| is_same(crash)) else {
            return false;
        };
        let mut is_news = merge(&mut crash.suspects, &suspects);
        if let Some(revision) = own_revision
            && merge(&mut crash.own_suspects, &suspects)
        {
            crash.revision = revision;
            is_news = true;
        }
        is_news
    }

    fn insert(&mut self, server: ServerKey, at: Duration) {
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        let index = self.crashes.partition_point(|crash| crash.at <= at);
        let crash = Crash {
            server,
            at,
            suspects: Vec::new(),
            own_suspects: Vec::new(),
            revision: 0,
        };
        self.crashes.insert(index, crash);
    }

    /// Records that an answer with this suspect, which began at `began`, did not crash its server.
    /// Returns whether that is news.
    pub fn add_proof(&mut self, suspect: Suspect, began: Duration) -> bool {
        let known = self.proven.get(&suspect).copied();
        if known.is_some_and(|known| known >= began) {
            return false;
        }
        if known.is_none() && self.proven.len() >= MAX_PROVEN_SUSPECTS {
            let mut times: Vec<_> = self.proven.values().copied().collect();
            let (_, median, _) = times.select_nth_unstable(MAX_PROVEN_SUSPECTS / 2);
            let median = *median;
            self.proven.retain(|_, began| *began > median);
        }
        self.proven.insert(suspect, began);
        true
    }

    /// Whether an answer with the suspect that began at `at` or later did not crash its server.
    pub fn is_proven_since(&self, suspect: Suspect, at: Duration) -> bool {
        self.proven.get(&suspect).is_some_and(|began| *began >= at)
    }

    /// When the last answer with the suspect began that did not crash its server.
    pub fn proven_at(&self, suspect: Suspect) -> Option<Duration> {
        self.proven.get(&suspect).copied()
    }

    /// Number of crashes that the suspect may have caused.
    pub fn crashes_under(&self, suspect: Suspect) -> usize {
        let crashes: Vec<_> = self.crashes.iter().collect();
        self.count(&crashes).get(&suspect).copied().unwrap_or(0)
    }

    /// Suspects that crash servers by all that is known, without those that `is_blocked` already and
    /// without the crashes that these explain.
    pub fn causes(&self, is_blocked: impl Fn(Suspect) -> bool, now: Duration) -> Vec<Suspect> {
        let crashes = self.crashes.iter();
        let mut unexplained: Vec<_> = crashes
            .filter(|crash| now >= crash.at + SETTLE_TIME)
            .filter(|crash| !crash.suspects.iter().any(|suspect| is_blocked(*suspect)))
            .collect();
        let mut causes = Vec::new();
        loop {
            let counts = self.count(&unexplained);
            let most = counts.values().copied().max().unwrap_or(0);
            let leaders = counts.iter().filter(|(_, count)| **count + 1 >= most);
            let leaders: Vec<_> = leaders.map(|(suspect, _)| *suspect).collect();
            let is_tied = leaders.len() > 1;
            if most < MIN_CRASHES || is_tied && most < MIN_CRASHES_TIED {
                return causes;
            }
            unexplained.retain(|crash| {
                !crash
                    .suspects
                    .iter()
                    .any(|suspect| leaders.contains(suspect))
            });
            causes.extend(leaders);
        }
    }

    /// Whether there are crashes that do not count yet.
    pub fn is_unsettled(&self, now: Duration) -> bool {
        let last = self.crashes.back();
        last.is_some_and(|crash| now < crash.at + SETTLE_TIME)
    }

    /// The crashes, in the order of their times.
    pub(crate) fn crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter()
    }

    /// Number of crashes that each suspect may have caused. `crashes` are in the order of their times.
    fn count(&self, crashes: &[&Crash]) -> HashMap<Suspect, usize> {
        let mut counts: HashMap<Suspect, (usize, Duration)> = HashMap::new();
        let mut span_start = None;
        for crash in crashes {
            let start = span_start.filter(|start| crash.at < *start + COMMON_CAUSE_SPAN);
            let start = start.unwrap_or(crash.at);
            span_start = Some(start);
            let suspects = crash.suspects.iter();
            for suspect in suspects.filter(|suspect| !self.is_proven_since(**suspect, crash.at)) {
                let (count, last) = counts.entry(*suspect).or_insert((0, Duration::MAX));
                if *last != start {
                    *count += 1;
                }
                *last = start;
            }
        }
        let counts = counts.into_iter();
        counts
            .map(|(suspect, (count, _))| (suspect, count))
            .collect()
    }
}

/// Adds suspects to a bounded list without duplicates. Returns whether there were new ones.
fn merge(known: &mut Vec<Suspect>, suspects: &[Suspect]) -> bool {
    let before = known.len();
    for suspect in suspects {
        if known.len() < MAX_SUSPECTS_PER_CRASH && !known.contains(suspect) {
            known.push(*suspect);
        }
    }
    known.len() > before
}
