//! What a gateway does by state that nobody has confirmed lately, in virtual time.

use policy::{
    FleetLoad, GatewayRoster, PeerReportEffect, RequestLimits, SendShares, ServerFailures,
    ServerSet, cold_send_bound, server_key,
};
use proto::{BackendEntry, BackendRow, RequestLimit, ServerReport, ServerState, ServerUsage};
use std::time::Duration;

const STEP_MS: u64 = 500;
/// A change of a row is read by the other gateways this much later.
const READ_DELAY_MS: u64 = 2_000;
/// A link that was closed carries frames again this much after both ends run.
const REOPEN_MS: u64 = 1_000;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Gateways of which some are stopped for a while and go on, each with its shares of a bound. Nothing else
/// happens: their rows stay as they are, but for renewals.
struct Fleet {
    names: Vec<String>,
    rosters: Vec<GatewayRoster>,
    renewals: Vec<(usize, u64)>,
    /// Whether those that go on can read the store.
    reads_store: bool,
}

impl Fleet {
    fn new(gateways: usize, reads_store: bool) -> Self {
        let names: Vec<_> = (0..gateways).map(|n| format!("gateway-{n}")).collect();
        let mut rosters: Vec<_> = names.iter().map(|_| GatewayRoster::default()).collect();
        for (own, roster) in rosters.iter_mut().enumerate() {
            for (_, name) in names.iter().enumerate().filter(|(peer, _)| *peer != own) {
                roster.on_row_change(name, true, at(0));
            }
        }
        Self {
            names,
            rosters,
            renewals: Vec::new(),
            reads_store,
        }
    }

    /// What one gateway does in one pass of its loop. Returns its shares, if they are checked.
    fn step(
        &mut self,
        own: usize,
        now: u64,
        is_checked: bool,
        hears: impl Fn(usize) -> bool,
    ) -> Option<SendShares> {
        let read = |renewed: u64| now >= renewed + READ_DELAY_MS && self.reads_store;
        let roster = &mut self.rosters[own];
        for (peer, renewed) in self.renewals.iter().filter(|(peer, _)| *peer != own) {
            if read(*renewed) && now < renewed + READ_DELAY_MS + STEP_MS {
                roster.on_row_change(&self.names[*peer], true, at(now));
            }
        }
        // A gateway that goes on works with what it holds before it hears anything.
        let sharing = roster.sharing(at(now));
        let shares = is_checked.then(|| SendShares::new(&self.names[own], sharing));
        for (peer, name) in self.names.iter().enumerate() {
            if peer != own && hears(peer) {
                roster.on_heard(name, at(now));
            }
        }
        if roster.claim_renewal(at(now)) && self.reads_store {
            self.renewals.push((own, now));
        }
        shares
    }
}

/// `stopped` of the gateways do not run from 4 s on, for `stop_ms`. Afterwards the shares of a cold
/// server's bound must not add up to more than it.
fn shares_hold_after_a_stop(gateways: usize, stopped: usize, stop_ms: u64, reads_store: bool) {
    const STOP_AT_MS: u64 = 4_000;
    let bound = cold_send_bound(36.0, 1.5, 5.0);
    let mut fleet = Fleet::new(gateways, reads_store);
    let end = STOP_AT_MS + stop_ms;
    let runs = |own: usize, now: u64| own >= stopped || !(STOP_AT_MS..end).contains(&now);
    let hears = |own: usize, peer: usize, now: u64| {
        let is_open = |n: usize| n >= stopped || !(STOP_AT_MS..end + REOPEN_MS).contains(&now);
        is_open(own) && is_open(peer)
    };
    let mut shares: Vec<Option<SendShares>> = vec![None; gateways];
    for now in (0..end + 16_000).step_by(STEP_MS as usize) {
        for own in (0..gateways).filter(|own| runs(*own, now)) {
            shares[own] = fleet.step(own, now, now >= end, |peer| hears(own, peer, now));
        }
        if now >= end {
            let limits = shares.iter().flatten().map(|shares| shares.limit(7, bound));
            let counts: Vec<_> = shares.iter().flatten().map(SendShares::gateways).collect();
            let sum: usize = limits.sum();
            let is_kept = bound.is_some_and(|bound| sum as f64 <= bound);
            // Those that ran on have given the shares of the others away, until they hear them again.
            let is_settled = now > end + REOPEN_MS + STEP_MS;
            assert!(!is_settled || is_kept, "{now} ms: {sum}, {counts:?}");
            assert!(
                counts.iter().take(stopped).all(|count| *count == gateways),
                "{now} ms: {counts:?}"
            );
        }
    }
}

macro_rules! stops {
    ($($(#[$doc:meta])* $name:ident: $gateways:expr, $stopped:expr, $stop_ms:expr, $reads_store:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            shares_hold_after_a_stop($gateways, $stopped, $stop_ms, $reads_store);
        }
    )*};
}

stops! {
    /// A gateway that was stopped for longer than others count took the limits for its own.
    one_of_4_gateways_goes_on_after_20_s: 4, 1, 20_000, true;
    half_of_4_gateways_go_on_after_20_s: 4, 2, 20_000, true;
    half_of_103_gateways_go_on_after_20_s: 103, 51, 20_000, true;
    half_of_340_gateways_go_on_after_20_s: 340, 170, 20_000, true;
    all_gateways_go_on_after_20_s: 30, 30, 20_000, true;
    half_of_4_gateways_go_on_after_20_s_without_the_store: 4, 2, 20_000, false;
    half_of_4_gateways_go_on_after_a_minute_without_the_store: 4, 2, 60_000, false;
    half_of_4_gateways_go_on_after_5_s: 4, 2, 5_000, true;
}

const DAY_MS: u64 = 86_400_000;

fn server(id: &str) -> BackendEntry {
    BackendEntry {
        id: id.into(),
        service: "registry".into(),
        address: ([127, 0, 0, 1], 80).into(),
        domain: "a".into(),
        slots: 4,
        draining: false,
    }
}

/// Rows of servers hold until the store or a peer says otherwise; what servers do is noticed apart.
#[test]
fn servers_stay_in_use_while_nobody_confirms_them() {
    let mut set = ServerSet::default();
    set.on_row("a", BackendRow::Present(server("a")), 1, at(0));
    set.set_evacuated(["b".into()].into());
    assert_eq!(set.usable("registry", at(DAY_MS)).count(), 1);
    set.set_evacuated(["a".into()].into());
    assert_eq!(set.usable("registry", at(DAY_MS)).count(), 0);
}

#[test]
fn load_of_a_peer_that_falls_silent_is_ignored() {
    let mut load = FleetLoad::default();
    let usage = ServerUsage {
        jobs: 3,
        ..ServerUsage::default()
    };
    load.on_peer_report("gateway-2", vec![(7, usage)], at(1_000));
    assert_eq!(load.total(7, at(3_499)).jobs, 3);
    assert_eq!(load.total(7, at(3_500)).jobs, 0);
}

/// A report counts from when the peer saw it, so that one that comes late is of no use.
#[test]
fn a_refusal_that_nobody_sees_again_is_dropped() {
    let mut failures = ServerFailures::default();
    let servers = [server("a"), server("b")];
    failures.on_refused(&servers[0], at(10_000));
    let report = ServerReport {
        server: server_key("b"),
        domain: server_key("a"),
        state: ServerState::Refuses,
        age: at(1_500),
    };
    failures.on_peer_reports(&[report], at(10_000));
    assert_eq!(failures.gone(&servers, at(10_400)), [true, true]);
    assert_eq!(failures.gone(&servers, at(10_500)), [true, false]);
    assert_eq!(failures.gone(&servers, at(12_000)), [false, false]);
}

#[test]
fn a_request_limit_holds_until_somebody_states_another() {
    let mut limits = RequestLimits::default();
    limits.on_response(7, Some(2.0), at(0), at(10));
    assert_eq!(limits.rate(7), Some(2.0));
    let report = |rate, age_ms| RequestLimit {
        server: 7,
        rate,
        age: at(age_ms),
    };
    // What a peer heard before does not end it, however late it comes.
    let late = limits.on_peer_report(&report(None, DAY_MS), at(DAY_MS));
    assert_eq!(
        (late, limits.rate(7)),
        (PeerReportEffect::Outdated, Some(2.0))
    );
    let newer = limits.on_peer_report(&report(None, 100), at(DAY_MS));
    assert_eq!((newer, limits.rate(7)), (PeerReportEffect::Changed, None));
}
