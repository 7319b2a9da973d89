//! Selection of the peer from which a gateway fetches the content of the store.

use crate::fleet_load::server_key;
use proto::StoreVersions;
use std::collections::HashMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Time for a peer in the own failure domain to report newer content before it is fetched from another
/// domain. Declarations must be in force everywhere two seconds after a change.
const LOCAL_REPORT_WAIT: Duration = Duration::from_millis(60);
/// Delay after that by the place of the gateway in the common order of its domain: the first fetches, the
/// second does too in case that the source of the first is lost, and the others take the content from
/// these two, which have it after 230 ms at the latest on links of 20 Mbit/s.
const TURN_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(60),
    Duration::from_millis(260),
];
/// Shortest interval between fetches. It leaves time for the response to the last fetch to arrive.
const MIN_FETCH_INTERVAL: Duration = Duration::from_millis(40);
/// Time for the first source to answer; each further one for the same content has twice as long, up to
/// the maximum, as 300 kB of declarations take 120 ms on an idle link of 20 Mbit/s.
const MIN_FETCH_TIMEOUT: Duration = Duration::from_millis(250);
const MAX_FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// A peer that did not answer a fetch is asked again after this time, or if there is no other.
const FAILED_SOURCE_PAUSE: Duration = Duration::from_secs(1);
/// A peer that sends to as many gateways as it can at once is asked again after this time.
const BUSY_PAUSE: Duration = Duration::from_millis(80);
/// A peer that was silent for this long is neither asked nor waited for. The time covers two of the frames
/// that it sends regularly.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// What a peer says of its content of the store.
#[derive(Debug, Clone, Copy)]
pub struct ContentReport<'a> {
    /// Failure domain of the peer, if it is known.
    pub domain: Option<&'a str>,
    /// Versions of its content.
    pub versions: StoreVersions,
    /// Whether it watches the store and the store answers it.
    pub reaches_store: bool,
    /// Version of the declarations that it has in force; 0 for none.
    pub declarations: u64,
}

/// What a gateway that does not watch the store does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SnapshotStep {
    /// Nothing: its content is as new as that of its peers, or a fetch or a check is under way.
    Wait,
    /// Ask again at this time, unless a report comes before.
    CheckAt(Duration),
    /// Fetch the content from a peer.
    Fetch {
        /// Name of the peer.
        peer: Box<str>,
        /// Time for it to answer.
        timeout: Duration,
    },
}

#[derive(Debug)]
struct Source {
    is_local: bool,
    versions: StoreVersions,
    reaches_store: bool,
    declarations: u64,
    heard_at: Duration,
    /// When it last did not answer a fetch.
    failed_at: Option<Duration>,
    /// Until when it is not asked because it sends to others.
    busy_until: Option<Duration>,
}

/// Decides when and from which peer newer content of the store is fetched.
///
/// Load pattern: a few gateways watch the store, and each change makes all others fetch it at once, with
/// up to 300 kB of declarations, over the paid links between failure domains. One gateway of each domain
/// fetches the content from another one, and its neighbours take it from there.
#[derive(Debug)]
pub struct SnapshotSource {
    name: Box<str>,
    domain: Box<str>,
    sources: HashMap<Box<str>, Source>,
    /// Since when peers have newer content than this gateway.
    behind_since: Option<Duration>,
    /// Version of the declarations in force; 0 for none.
    declarations: u64,
    /// Whether a fetch is under way.
    is_fetching: bool,
    last_fetch: Option<Duration>,
    /// Fetches in sequence that were not answered.
    failures: u32,
    /// The check that the driver was asked for.
    next_check: Option<Duration>,
}

impl SnapshotSource {
    /// Creates the state of a gateway in this failure domain.
    pub fn new(name: &str, domain: &str) -> Self {
        Self {
            name: name.into(),
            domain: domain.into(),
            sources: HashMap::new(),
            behind_since: None,
            declarations: 0,
            is_fetching: false,
            last_fetch: None,
            failures: 0,
            next_check: None,
        }
    }

    /// Records a report of a peer.
    pub fn on_report(&mut self, peer: &str, report: ContentReport<'_>, now: Duration) {
        let known = self.sources.get(peer);
        let (failed_at, busy_until) =
            known.map_or((None, None), |source| (source.failed_at, source.busy_until));
        let source = Source {
            is_local: report.domain == Some(&*self.domain),
            versions: report.versions,
            reaches_store: report.reaches_store,
            declarations: report.declarations,
            heard_at: now,
            failed_at,
            busy_until,
        };
        self.sources.insert(peer.into(), source);
    }

    /// Records that a peer is gone.
    pub fn on_gone(&mut self, peer: &str) {
        self.sources.remove(peer);
    }

    /// Sets the version of the declarations in force, 0 for none.
    pub fn set_declarations(&mut self, in_force: u64) {
        self.declarations = in_force;
    }

    /// Whether a peer has newer declarations in force, though its tables need not be newer: the newest ones of the
    /// store may be refused here, or a row left out that was read there. One that did not give them rests, as it
    /// may have what this gateway refuses.
    fn has_newer_declarations(&self, source: &Source, now: Duration) -> bool {
        let is_newer = source.declarations > self.declarations;
        let rests = source
            .failed_at
            .is_some_and(|at| now < at + FAILED_SOURCE_PAUSE);
        is_newer && !rests
    }

    /// Records how a fetch ended.
    pub fn on_fetch_done(&mut self, peer: &str, is_answered: bool, now: Duration) {
        self.is_fetching = false;
        self.failures = if is_answered { 0 } else { self.failures + 1 };
        if is_answered {
            self.behind_since = None;
        }
        if let Some(source) = self.sources.get_mut(peer) {
            source.failed_at = (!is_answered).then_some(now);
        }
    }

    /// Records that a peer sends to as many gateways as it can, so that it is asked again later, or one that
    /// has the content by then.
    pub fn on_fetch_refused(&mut self, peer: &str, now: Duration) {
        self.is_fetching = false;
        if let Some(source) = self.sources.get_mut(peer) {
            source.busy_until = Some(now + BUSY_PAUSE);
        }
    }

    /// What to do for a gateway whose content has the versions `own`. A fetch that is returned counts as
    /// begun.
    pub fn next_step(&mut self, own: &StoreVersions, now: Duration) -> SnapshotStep {
        self.next_check = self.next_check.filter(|at| now < *at);
        let sources = self.sources.iter();
        let sources = sources.map(|(peer, source)| (&**peer, source));
        let newer = sources.filter(|(_, source)| {
            let is_newer =
                source.versions.is_ahead_of(own) || self.has_newer_declarations(source, now);
            is_newer && now < source.heard_at + PEER_TIMEOUT
        });
        let newer: Vec<_> = newer.collect();
        if newer.is_empty() {
            self.behind_since = None;
            return SnapshotStep::Wait;
        }
        let behind_since = *self.behind_since.get_or_insert(now);
        if self.is_fetching {
            return SnapshotStep::Wait;
        }
        let is_busy = |source: &Source| source.busy_until.is_some_and(|until| now < until);
        let (busy, newer): (Vec<_>, Vec<_>) =
            newer.into_iter().partition(|(_, source)| is_busy(source));
        let is_resting = |source: &Source| {
            let failed_at = source.failed_at;
            failed_at.is_some_and(|at| now < at + FAILED_SOURCE_PAUSE)
        };
        let working = newer.iter().copied();
        let working: Vec<_> = working.filter(|(_, source)| !is_resting(source)).collect();
        let local = working.iter().copied();
        let local: Vec<_> = local.filter(|(_, source)| source.is_local).collect();
        let has_local = !local.is_empty();
        let busy = busy
            .iter()
            .filter(|(_, source)| newer.is_empty() || source.is_local && !has_local);
        // Another gateway of the domain has the content soon, which costs less than one of another domain.
        if let Some(end) = busy.filter_map(|(_, source)| source.busy_until).min() {
            return self.check_at(end);
        }
        let (wait, peer) = if local.is_empty() {
            let turn = self.turn(own, now);
            let wait = LOCAL_REPORT_WAIT + TURN_DELAYS[turn.min(TURN_DELAYS.len() - 1)];
            let sources = if working.is_empty() { newer } else { working };
            // Gateways of one domain ask different sources.
            (wait, nth_peer(sources, &self.domain, turn))
        } else {
            (Duration::ZERO, nth_peer(local, &self.name, 0))
        };
        let interval_end = self.last_fetch.map(|at| at + MIN_FETCH_INTERVAL);
        let due = (behind_since + wait).max(interval_end.unwrap_or_default());
        if now < due {
            return self.check_at(due);
        }
        self.is_fetching = true;
        self.last_fetch = Some(now);
        let timeout = MIN_FETCH_TIMEOUT.saturating_mul(1 << self.failures.min(8));
        SnapshotStep::Fetch {
            peer,
            timeout: timeout.min(MAX_FETCH_TIMEOUT),
        }
    }

    fn check_at(&mut self, at: Duration) -> SnapshotStep {
        if self.next_check.is_some_and(|next| next <= at) {
            return SnapshotStep::Wait;
        }
        self.next_check = Some(at);
        SnapshotStep::CheckAt(at)
    }

    /// Number of gateways of the own domain that have to fetch the content too and come before this one.
    fn turn(&self, own: &StoreVersions, now: Duration) -> usize {
        let rank = server_key(&self.name);
        let before = self.sources.iter().filter(|(peer, source)| {
            source.is_local
                && !source.reaches_store
                && !source.versions.is_ahead_of(own)
                && now < source.heard_at + PEER_TIMEOUT
                && server_key(peer) < rank
        });
        before.count()
    }
}

/// The peer at a place of an order that differs for each `salt`; places go round.
fn nth_peer(mut sources: Vec<(&str, &Source)>, salt: &str, place: usize) -> Box<str> {
    sources.sort_unstable_by_key(|(peer, _)| xxh3_64(format!("{salt}/{peer}").as_bytes()));
    sources[place % sources.len()].0.into()
}
