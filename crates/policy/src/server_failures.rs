//! Tracks which backend servers refuse connections or are named as at fault, from what this gateway and
//! its peers have seen.

use crate::fleet_load::server_key;
use crate::send_shares::SendShares;
use crate::tracked_server::{REPORT_INTERVAL, Refusal, TrackedServer, is_due};
use proto::{BackendEntry, DomainKey, ServerKey, ServerReport, ServerState};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Time after which a server that has refused a connection is tried again. It is avoided for longer, for
/// gateways that try later than the first.
const TRIAL_DELAY: Duration = Duration::from_millis(1_500);
/// Time from the last refusal in a failure domain until a server that is presumed gone is tried. A
/// domain that is presumed gone by mistake is noticed after this.
const PRESUMED_TRIAL_DELAY: Duration = Duration::from_millis(200);
/// Gateways that may try a server: how many, in an order that differs for each server, and after
/// which further time. One gateway tries unless it is lost or cut off.
const TRIAL_GATEWAYS: [(usize, Duration); 3] = [
    (1, Duration::ZERO),
    (4, Duration::from_millis(150)),
    (usize::MAX, Duration::from_millis(300)),
];
/// A trial without a result has ended after this.
const MAX_TRIAL_TIME: Duration = Duration::from_millis(500);
/// Servers of a failure domain that must refuse connections within `DOMAIN_WINDOW` for the others to
/// be presumed gone. Two may end by chance, or by the same request.
const MIN_DOMAIN_REFUSALS: usize = 3;
const DOMAIN_WINDOW: Duration = Duration::from_secs(1);
/// Data of a server that has ended may be read for this long. A gateway with a small share of a core
/// does not run for up to a tenth of a second at a time.
const UNREAD_DATA_TIME: Duration = Duration::from_millis(100);
/// Bound of the servers that are tracked, and of the reports in one frame that are applied.
const MAX_TRACKED_SERVERS: usize = 4_096;
const MAX_FRAME_REPORTS: usize = 1_024;

/// Servers that refuse connections, or that other servers name as at fault.
///
/// Load pattern: all servers of a failure domain end at once under load. Each gateway would find them
/// one by one, with a refused connection, or a wait, of a caller's request for each. A server that
/// stops, but whose host accepts connections, is named as at fault by the servers that it helps; each
/// gateway would send it long prompts until it has got such a response itself.
///
/// A report is a hint that a server is to be chosen after all others. It never says that a request has
/// not run. That a server was named does not count towards the loss of a failure domain, as the server
/// that named it may itself be cut off from a domain.
#[derive(Debug, Default)]
pub struct ServerFailures {
    servers: HashMap<ServerKey, TrackedServer>,
    trial: Option<(ServerKey, Duration)>,
    revision: u64,
}

impl ServerFailures {
    /// Records that a server refused a connection of this gateway. Peers hear of it.
    pub fn on_refused(&mut self, server: &BackendEntry, now: Duration) {
        self.on_own_failure(server, now, true);
    }

    /// Records that a connection of this gateway to a server got no reply. Peers do not hear of it, as
    /// the fault may be this gateway's.
    pub fn on_no_reply(&mut self, server: &BackendEntry, now: Duration) {
        self.on_own_failure(server, now, false);
    }

    /// Records that another server's response to this gateway has named a server as at fault. Peers
    /// hear of it at most once in `REPORT_INTERVAL`, as the two may contradict each other at the rate of
    /// requests.
    pub fn on_named_at_fault(&mut self, server: &BackendEntry, now: Duration) {
        let (key, domain) = (server_key(&server.id), server_key(&server.domain));
        let Some(tracked) = self.track(key, domain, now) else {
            return;
        };
        tracked.named_at = Some(now);
        tracked.own_named_at = Some(now);
        if tracked.is_report_due(now) {
            self.report(key, now);
        }
    }

    /// Records that a server has sent data to this gateway. It is not at fault then, and peers hear of
    /// that if it was named; but it may refuse new connections, as a server that leaves does.
    pub fn on_data(&mut self, server: &BackendEntry, now: Duration) {
        let (key, domain) = (server_key(&server.id), server_key(&server.domain));
        let Some(tracked) = self.track(key, domain, now) else {
            return;
        };
        let was_named = tracked.is_named(now);
        tracked.on_data(now, true);
        if was_named && tracked.is_report_due(now) {
            self.report_data(key, now);
        }
    }

    /// Records that a server accepted a connection of this gateway at `at`.
    pub fn on_accepted(&mut self, server: &BackendEntry, at: Duration, now: Duration) {
        let (key, domain) = (server_key(&server.id), server_key(&server.domain));
        self.end_trial(key);
        let was_out = self.domain_out_since(domain).is_some();
        let Some(tracked) = self.track(key, domain, now) else {
            return;
        };
        let was_refusing = tracked.refusal.is_some();
        tracked.accept(at, true);
        let ends_refusal = was_refusing && tracked.refusal.is_none();
        let ends_refusal = ends_refusal && is_due(tracked.acceptance_reported_at, now);
        if ends_refusal {
            tracked.acceptance_reported_at = Some(now);
        }
        if ends_refusal || was_out && tracked.is_report_due(now) {
            self.report(key, now);
        }
    }

    /// Applies a frame of a peer; returns the reports of servers that were not known to refuse
    /// connections, or to be at fault.
    pub fn on_peer_reports(
        &mut self,
        reports: &[ServerReport],
        now: Duration,
    ) -> Vec<ServerReport> {
        let mut news = Vec::new();
        for report in reports.iter().take(MAX_FRAME_REPORTS) {
            let at = now.saturating_sub(report.age);
            let Some(tracked) = self.track(report.server, report.domain, now) else {
                continue;
            };
            match report.state {
                ServerState::Accepts => tracked.accept(at, false),
                ServerState::Answers => tracked.on_data(at, false),
                ServerState::NamedAtFault if tracked.data_at >= Some(at) => {
                    // It has sent data since, or the peer was misled.
                    if tracked.is_own_data && tracked.is_report_due(now) {
                        self.report_data(report.server, now);
                    }
                }
                ServerState::NamedAtFault => {
                    let was_named = tracked.is_named(now);
                    tracked.named_at = tracked.named_at.max(Some(at));
                    if !was_named && tracked.is_named(now) {
                        news.push(*report);
                    }
                }
                ServerState::Refuses if tracked.accepted_at.is_some_and(|last| last >= at) => {
                    // The server has accepted a connection since, or the peer is cut off from it.
                    if tracked.is_own_acceptance && tracked.is_report_due(now) {
                        self.report(report.server, now);
                    }
                }
                ServerState::Refuses => {
                    if tracked.refusal.is_none() {
                        news.push(*report);
                    }
                    tracked.refuse(at, false);
                    self.contradict(report.domain, at, now);
                }
            }
        }
        news
    }

    /// What peers have to hear of that have heard of `revision`, or of nothing yet, and the present
    /// revision.
    pub fn changed_since(&self, revision: Option<u64>, now: Duration) -> (Vec<ServerReport>, u64) {
        let reports = self.servers.iter().filter_map(|(server, tracked)| {
            let (reported, _) = tracked.reported?;
            let (state, seen_at) = tracked.news()?;
            let is_due = match (revision, state) {
                (Some(revision), _) => reported > revision,
                (None, ServerState::Refuses) => true,
                (None, ServerState::NamedAtFault) => tracked.is_named(now),
                (None, ServerState::Accepts | ServerState::Answers) => false,
            };
            is_due.then_some(ServerReport {
                server: *server,
                domain: tracked.domain,
                state,
                age: now.saturating_sub(seen_at),
            })
        });
        (reports.collect(), self.revision)
    }

    /// Number of the last change that peers have to hear of.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// For each of the servers among which one is chosen, whether it is gone as far as is known: it has
    /// refused a connection or was named as at fault a moment ago, or its failure domain is presumed gone
    /// and it has sent no data since. No domain is presumed gone if all of them would be. Data of a
    /// server says nothing about the others of its domain: only an accepted connection does, as data
    /// may be read after its server has ended.
    pub fn gone(&self, servers: &[BackendEntry], now: Duration) -> Vec<bool> {
        let out = self.domains_out_since(servers);
        let is_gone = |server: &BackendEntry| {
            let tracked = self.servers.get(&server_key(&server.id));
            let is_avoided = tracked.is_some_and(|tracked| tracked.is_avoided(now));
            let data_at = tracked.and_then(|tracked| tracked.data_at);
            let out_since = out.get(&server_key(&server.domain));
            is_avoided || out_since.is_some_and(|since| data_at <= Some(*since + UNREAD_DATA_TIME))
        };
        servers.iter().map(is_gone).collect()
    }

    /// Number of servers that refuse connections.
    pub fn refusing_servers(&self) -> usize {
        let servers = self.servers.values();
        servers.filter(|tracked| tracked.refusal.is_some()).count()
    }

    /// Number of servers that were named as at fault a moment ago.
    pub fn named_servers(&self, now: Duration) -> usize {
        let servers = self.servers.values();
        servers.filter(|tracked| tracked.is_named(now)).count()
    }

    /// Whether data of servers matters now: some refuse connections or were named as at fault.
    pub fn awaits_data(&self, now: Duration) -> bool {
        let mut servers = self.servers.values();
        servers.any(|tracked| tracked.refusal.is_some() || tracked.is_named(now))
    }

    /// Failure domains of these servers that are presumed gone.
    pub fn domains_out(&self, servers: &[BackendEntry]) -> HashSet<DomainKey> {
        self.domains_out_since(servers).into_keys().collect()
    }

    /// Failure domains of these servers that are presumed gone, and since when.
    fn domains_out_since(&self, servers: &[BackendEntry]) -> HashMap<DomainKey, Duration> {
        if self
            .servers
            .values()
            .all(|tracked| tracked.refusal.is_none())
        {
            return HashMap::new();
        }
        let domains: HashSet<_> = servers
            .iter()
            .map(|server| server_key(&server.domain))
            .collect();
        let out = domains.iter().copied();
        let out = out.filter_map(|domain| Some((domain, self.domain_out_since(domain)?)));
        let out: HashMap<_, _> = out.collect();
        if out.len() == domains.len() {
            return HashMap::new();
        }
        out
    }

    /// Index of the server to which this gateway makes a connection now, to see whether it accepts
    /// connections again; the result has to be recorded. One trial at a time.
    pub fn next_trial(
        &mut self,
        servers: &[BackendEntry],
        shares: &SendShares,
        now: Duration,
    ) -> Option<usize> {
        self.servers.retain(|_, tracked| !tracked.is_forgotten(now));
        if self.refusing_servers() == 0 || self.trial.is_some_and(|(_, end)| now < end) {
            return None;
        }
        let out = self.domains_out(servers);
        let index = servers.iter().position(|server| {
            let due = self.trial_due(server, &out);
            due.is_some_and(|(key, due)| may_try(shares, key, due, now))
        })?;
        self.trial = Some((server_key(&servers[index].id), now + MAX_TRIAL_TIME));
        Some(index)
    }

    /// When the next trial of a server is due, and the key by which gateways take turns.
    fn trial_due(
        &self,
        server: &BackendEntry,
        out: &HashSet<DomainKey>,
    ) -> Option<(u64, Duration)> {
        let key = server_key(&server.id);
        let domain = server_key(&server.domain);
        let refusal = self.servers.get(&key).and_then(|tracked| tracked.refusal);
        if let Some(refusal) = refusal {
            return Some((key, refusal.last_at + TRIAL_DELAY));
        }
        if !out.contains(&domain) {
            return None;
        }
        let last = self.refusals(domain).map(|refusal| refusal.last_at).max()?;
        Some((domain, last + PRESUMED_TRIAL_DELAY))
    }

    /// When several servers of a domain last began to refuse connections within `DOMAIN_WINDOW`, if none
    /// of the domain has accepted one since.
    fn domain_out_since(&self, domain: DomainKey) -> Option<Duration> {
        let of_domain = || {
            let servers = self.servers.values();
            servers.filter(move |tracked| tracked.domain == domain)
        };
        let accepted_at = of_domain().filter_map(|tracked| tracked.accepted_at).max();
        let mut starts: Vec<_> = self
            .refusals(domain)
            .map(|refusal| refusal.first_at)
            .collect();
        starts.retain(|start| accepted_at.is_none_or(|accepted| accepted < *start));
        starts.sort_unstable();
        let mut windows = starts.windows(MIN_DOMAIN_REFUSALS).rev();
        let last =
            windows.find(|window| window[MIN_DOMAIN_REFUSALS - 1] - window[0] <= DOMAIN_WINDOW)?;
        Some(last[MIN_DOMAIN_REFUSALS - 1])
    }

    fn refusals(&self, domain: DomainKey) -> impl Iterator<Item = Refusal> {
        let servers = self.servers.values();
        let of_domain = servers.filter(move |tracked| tracked.domain == domain);
        of_domain.filter_map(|tracked| tracked.refusal)
    }

    fn on_own_failure(&mut self, server: &BackendEntry, now: Duration, is_reported: bool) {
        let (key, domain) = (server_key(&server.id), server_key(&server.domain));
        self.end_trial(key);
        let Some(tracked) = self.track(key, domain, now) else {
            return;
        };
        // Peers that have just seen the same need not hear of it.
        let is_news = tracked
            .refusal
            .is_none_or(|refusal| now >= refusal.last_at + REPORT_INTERVAL);
        tracked.refuse(now, is_reported);
        if is_reported && is_news && is_due(tracked.refusal_reported_at, now) {
            tracked.refusal_reported_at = Some(now);
            self.report(key, now);
        }
    }

    /// Tells peers of a server of this domain that has accepted a connection of this gateway after one
    /// refused a peer's at `refused_at`, so that the domain is not presumed gone.
    fn contradict(&mut self, domain: DomainKey, refused_at: Duration, now: Duration) {
        let own = self.servers.iter().filter(|(_, tracked)| {
            tracked.domain == domain && tracked.is_own_acceptance && tracked.refusal.is_none()
        });
        let latest = own.max_by_key(|(_, tracked)| tracked.accepted_at);
        let Some((key, tracked)) = latest else {
            return;
        };
        let is_later = tracked.accepted_at.is_some_and(|at| at > refused_at);
        if is_later && tracked.is_report_due(now) {
            self.report(*key, now);
        }
    }

    fn report(&mut self, server: ServerKey, now: Duration) {
        if let Some(tracked) = self.servers.get_mut(&server) {
            self.revision += 1;
            tracked.reported = Some((self.revision, now));
            tracked.contradicts = false;
        }
    }

    /// Tells peers of a server that was named as at fault and has sent this gateway data since.
    fn report_data(&mut self, server: ServerKey, now: Duration) {
        self.report(server, now);
        if let Some(tracked) = self.servers.get_mut(&server) {
            tracked.contradicts = true;
        }
    }

    fn end_trial(&mut self, server: ServerKey) {
        self.trial = self.trial.filter(|(tried, _)| *tried != server);
    }

    /// The record of a server, which is made if there is room.
    fn track(
        &mut self,
        server: ServerKey,
        domain: DomainKey,
        now: Duration,
    ) -> Option<&mut TrackedServer> {
        if !self.servers.contains_key(&server) && self.servers.len() >= MAX_TRACKED_SERVERS {
            self.servers.retain(|_, tracked| tracked.is_avoided(now));
            if self.servers.len() >= MAX_TRACKED_SERVERS {
                return None;
            }
        }
        let tracked = self.servers.entry(server);
        Some(tracked.or_insert_with(|| TrackedServer::new(domain)))
    }
}

/// Whether it is this gateway's turn to try a server.
fn may_try(shares: &SendShares, key: u64, due: Duration, now: Duration) -> bool {
    let mut turns = TRIAL_GATEWAYS.iter();
    turns.any(|(count, delay)| now >= due + *delay && shares.is_among_first(key, *count))
}
