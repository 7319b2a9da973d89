//! Evidence of which suspects crash servers.

use proto::{ServerKey, Suspect};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Crashes under a part, without an answer to a prompt with it since, after which it is taken for the
/// cause if no other part was there nearly as often.
const MIN_PART_CRASHES: usize = 3;
/// The same where other parts were there as often, or once less: all of them are taken for the cause.
/// A gateway that has peers and hears none knows only some of the crashes, and takes all of the parts for
/// the cause after `MIN_PART_CRASHES`: with five, there were up to 18 sends of the fatal part later than
/// three seconds after its fifth crash.
const MIN_PART_CRASHES_TIED: usize = 5;
/// Crashes under a request, without an answer to it since, after which it is taken for the cause if no
/// other request was there as often.
const MIN_REQUEST_CRASHES: usize = 2;
/// The same where other requests were there as often: all of them are taken for the cause.
const MIN_REQUEST_CRASHES_TIED: usize = 3;
/// Time for the reports of all gateways on a crash to arrive, before it counts.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(200);
/// Servers that end closer together than this have a common cause, such as the loss of their failure
/// domain, and count as one crash.
const COMMON_CAUSE_SPAN: Duration = Duration::from_millis(30);
/// Reports of crashes of one server within this time are of the same crash. Servers take longer than
/// this to start again.
const SAME_CRASH_SPAN: Duration = Duration::from_secs(2);
/// Bounds of what is kept; the oldest is dropped.
const MAX_CRASHES: usize = 128;
/// Bound for the suspects of each kind.
const MAX_SUSPECTS_PER_CRASH: usize = 128;
const MAX_PROVEN_SUSPECTS: usize = 4_096;

/// What crashes servers by the evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Cause {
    pub(crate) suspect: Suspect,
    /// Whether others fit the evidence as well.
    pub(crate) is_tied: bool,
}

/// From what this gateway knows that a suspect is blocked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BlockSource {
    /// The evidence of this gateway and of peers that it hears. The suspect explains all crashes under it.
    Evidence,
    /// Only the row in the store. The evidence is that of gateways which this one does not hear, and a
    /// part that shared servers with the guilty one there may be blocked for it. It explains crashes
    /// here only if no other part was there clearly more often.
    Row,
}

/// A crash of a server.
#[derive(Debug, Clone)]
pub(crate) struct Crash {
    pub(crate) server: ServerKey,
    pub(crate) at: Duration,
    /// What may have caused it, of the requests of all gateways.
    suspects: Vec<Suspect>,
    /// Those of this gateway's requests.
    pub(crate) own_suspects: Vec<Suspect>,
    /// Revision of the last change of `own_suspects`.
    pub(crate) revision: u64,
}

impl Crash {
    /// Whether no peer has told of other suspects than those of this gateway's requests.
    fn is_own(&self) -> bool {
        self.suspects.len() == self.own_suspects.len()
    }
}

/// Crashes of servers, with the suspects of the requests that may have caused them, and suspects that are
/// proven harmless.
///
/// All requests at a server die when it crashes, so the suspects of sound requests turn up in crashes
/// too. They are told apart by three things: an answer to another request with the same suspect that goes
/// on after the crash clears it; the cause is there in more crashes than what shared a server with
/// it by chance; and crashes that a known cause explains count against nothing else. A part is no cause
/// while a single request was there in all crashes under it: that request explains them.
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

    /// Whether the suspect may have caused a crash.
    pub fn is_suspected(&self, suspect: Suspect) -> bool {
        self.last_crash_under(suspect, Duration::ZERO).is_some()
    }

    /// Number of crashes that the suspect may have caused.
    pub fn crashes_under(&self, suspect: Suspect) -> usize {
        self.counts().get(&suspect).copied().unwrap_or(0)
    }

    /// Number of crashes that each suspect may have caused.
    pub(crate) fn counts(&self) -> HashMap<Suspect, usize> {
        let crashes: Vec<_> = self.crashes.iter().collect();
        self.count(&crashes)
    }

    /// What crashes servers by all that is known, without those that are blocked already and without
    /// the crashes that these explain. `has_peers` says whether there are other gateways, which may know of
    /// further crashes.
    pub(crate) fn causes(
        &self,
        blocked_by: impl Fn(Suspect) -> Option<BlockSource>,
        has_peers: bool,
        now: Duration,
    ) -> Vec<Cause> {
        let settled = self.crashes.iter();
        let settled = settled.filter(|crash| now >= crash.at + SETTLE_TIME);
        let settled: Vec<_> = settled.collect();
        let mut causes = self.part_causes(&settled, &blocked_by, has_peers);
        let is_known = |suspect| blocked_by(suspect).is_some() || is_among(&causes, suspect);
        let requests = self.request_causes(&settled, is_known);
        causes.extend(requests);
        causes
    }

    fn part_causes(
        &self,
        crashes: &[&Crash],
        blocked_by: impl Fn(Suspect) -> Option<BlockSource>,
        has_peers: bool,
    ) -> Vec<Cause> {
        let is_explaining = |suspect: &Suspect| {
            is_part(suspect) && blocked_by(*suspect) == Some(BlockSource::Evidence)
        };
        let mut unexplained = unexplained(crashes, is_explaining);
        let mut parts = Vec::new();
        loop {
            let mut counts = self.count(&unexplained);
            counts.retain(|suspect, _| is_part(suspect));
            let most = counts.values().copied().max().unwrap_or(0);
            let leaders = counts.iter().filter(|(_, count)| **count + 1 >= most);
            let leaders: Vec<_> = leaders.map(|(part, _)| *part).collect();
            let blocked = leaders.iter().copied();
            let blocked: Vec<_> = blocked.filter(|part| blocked_by(*part).is_some()).collect();
            if !blocked.is_empty() {
                unexplained.retain(|crash| !crash.suspects.iter().any(|it| blocked.contains(it)));
                continue;
            }
            let is_tied = leaders.len() > 1;
            let hears_no_peer = || has_peers && leaders.iter().all(|part| self.is_own(*part));
            let is_enough_tied = || most >= MIN_PART_CRASHES_TIED || hears_no_peer();
            if most < MIN_PART_CRASHES || is_tied && !is_enough_tied() {
                break;
            }
            let is_by_one_request = |part: &Suspect| self.has_common_request(&unexplained, *part);
            if !leaders.iter().all(is_by_one_request) {
                parts.extend(&leaders);
            }
            unexplained.retain(|crash| !crash.suspects.iter().any(|part| leaders.contains(part)));
        }
        let is_tied = parts.len() > 1;
        let causes = parts.into_iter().map(|suspect| Cause { suspect, is_tied });
        causes.collect()
    }

    fn request_causes(&self, crashes: &[&Crash], is_known: impl Fn(Suspect) -> bool) -> Vec<Cause> {
        let mut unexplained = unexplained(crashes, |suspect| is_known(*suspect));
        let mut causes = Vec::new();
        loop {
            let mut counts = self.count(&unexplained);
            counts.retain(|suspect, _| !is_part(suspect));
            let most = counts.values().copied().max().unwrap_or(0);
            let leaders = counts.iter().filter(|(_, count)| **count == most);
            let leaders: Vec<_> = leaders.map(|(request, _)| *request).collect();
            let is_tied = leaders.len() > 1;
            if most < MIN_REQUEST_CRASHES || is_tied && most < MIN_REQUEST_CRASHES_TIED {
                return causes;
            }
            unexplained.retain(|crash| !crash.suspects.iter().any(|it| leaders.contains(it)));
            causes.extend(
                leaders
                    .into_iter()
                    .map(|suspect| Cause { suspect, is_tied }),
            );
        }
    }

    /// Whether the crashes that a suspect may have caused are known from this gateway's requests only, as
    /// where no peer is heard.
    pub(crate) fn is_own(&self, suspect: Suspect) -> bool {
        let crashes = self.crashes.iter();
        let mut under_suspect = crashes.filter(|crash| self.may_have_caused(suspect, crash));
        under_suspect.all(Crash::is_own)
    }

    /// Whether one request was there in all `crashes` that a part may have caused.
    fn has_common_request(&self, crashes: &[&Crash], part: Suspect) -> bool {
        let under_part = crashes.iter();
        let under_part = under_part.filter(|crash| self.may_have_caused(part, crash));
        let mut under_part = under_part.peekable();
        let first = under_part.peek().map(|crash| &crash.suspects);
        let mut common: Vec<_> = first.into_iter().flatten().collect();
        common.retain(|suspect| !is_part(suspect));
        for crash in under_part {
            common.retain(|request| crash.suspects.contains(request));
        }
        !common.is_empty()
    }

    /// Whether the crashes up to `until`, when a part was blocked, would not accuse it by now: apart from
    /// those that another part explains, which `is_blocked` and was there in clearly more crashes, too few
    /// are left. `counts` holds the number of crashes under each suspect.
    pub(crate) fn is_explained(
        &self,
        part: Suspect,
        until: Duration,
        counts: &HashMap<Suspect, usize>,
        is_blocked: impl Fn(Suspect) -> bool,
    ) -> bool {
        let crashes = self.crashes.iter();
        let crashes: Vec<_> = crashes.take_while(|crash| crash.at <= until).collect();
        let count = counts.get(&part).copied().unwrap_or(0);
        let others = counts
            .iter()
            .filter(|(other, _)| is_part(other) && is_blocked(**other));
        let others = others.filter(|(_, other_count)| **other_count >= count + 2);
        let mut others = others.map(|(other, _)| *other);
        others.any(|other| {
            let (under_other, rest): (Vec<_>, Vec<_>) = crashes
                .iter()
                .copied()
                .partition(|crash| self.may_have_caused(other, crash));
            let unexplained = rest
                .iter()
                .filter(|crash| self.may_have_caused(part, crash));
            under_other.len() >= MIN_PART_CRASHES && unexplained.count() < MIN_PART_CRASHES
        })
    }

    fn may_have_caused(&self, suspect: Suspect, crash: &Crash) -> bool {
        crash.suspects.contains(&suspect) && !self.is_proven_since(suspect, crash.at)
    }

    /// The last crash that a suspect may have caused, of those at `since` or later.
    pub(crate) fn last_crash_under(&self, suspect: Suspect, since: Duration) -> Option<&Crash> {
        let crashes = self.crashes.iter().rev();
        let mut crashes = crashes.take_while(|crash| crash.at >= since);
        crashes.find(|crash| self.may_have_caused(suspect, crash))
    }

    /// Whether a server has crashed at `since` or later.
    pub fn has_crashed(&self, server: ServerKey, since: Duration) -> bool {
        let crashes = self.crashes.iter().rev();
        let mut crashes = crashes.take_while(|crash| crash.at >= since);
        crashes.any(|crash| crash.server == server)
    }

    /// Requests that may have caused a crash and were not answered since.
    pub(crate) fn unproven_requests(&self, crash: &Crash) -> impl Iterator<Item = Suspect> {
        let requests = crash.suspects.iter().copied();
        let requests = requests.filter(|suspect| !is_part(suspect));
        requests.filter(|request| !self.is_proven_since(*request, crash.at))
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

fn is_part(suspect: &Suspect) -> bool {
    matches!(suspect, Suspect::Part(_))
}

fn is_among(causes: &[Cause], suspect: Suspect) -> bool {
    causes.iter().any(|cause| cause.suspect == suspect)
}

/// Crashes without suspects that explain them.
fn unexplained<'a>(
    crashes: &[&'a Crash],
    is_explaining: impl Fn(&Suspect) -> bool,
) -> Vec<&'a Crash> {
    let crashes = crashes.iter().copied();
    let crashes = crashes.filter(|crash| !crash.suspects.iter().any(&is_explaining));
    crashes.collect()
}

/// Adds suspects to a bounded list without duplicates. Returns whether there were new ones.
fn merge(known: &mut Vec<Suspect>, suspects: &[Suspect]) -> bool {
    let before = known.len();
    for suspect in suspects {
        let same_kind = known.iter().filter(|it| is_part(it) == is_part(suspect));
        if same_kind.count() < MAX_SUSPECTS_PER_CRASH && !known.contains(suspect) {
            known.push(*suspect);
        }
    }
    known.len() > before
}
