//! What a gateway does by state that nobody has confirmed lately, in virtual time.

use policy::{GatewayRoster, SendShares, cold_send_bound};
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

    /// What one gateway does in one pass of its loop, and its shares after that.
    fn step(&mut self, own: usize, now: u64, hears: impl Fn(usize) -> bool) -> SendShares {
        let read = |renewed: u64| now >= renewed + READ_DELAY_MS && self.reads_store;
        let roster = &mut self.rosters[own];
        for (peer, renewed) in self.renewals.iter().filter(|(peer, _)| *peer != own) {
            if read(*renewed) && now < renewed + READ_DELAY_MS + STEP_MS {
                roster.on_row_change(&self.names[*peer], true, at(now));
            }
        }
        // A gateway that goes on works with what it holds before it hears anything.
        let shares = SendShares::new(&self.names[own], roster.sharing(at(now)));
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

/// `stopped` of the gateways do not run from 10 s on, for `stop_ms`. Afterwards the shares of a cold
/// server's bound must not add up to more than it.
fn shares_hold_after_a_stop(gateways: usize, stopped: usize, stop_ms: u64, reads_store: bool) {
    const STOP_AT_MS: u64 = 10_000;
    let bound = cold_send_bound(36.0, 1.5, 5.0);
    let mut fleet = Fleet::new(gateways, reads_store);
    let end = STOP_AT_MS + stop_ms;
    let runs = |own: usize, now: u64| own >= stopped || !(STOP_AT_MS..end).contains(&now);
    let hears = |own: usize, peer: usize, now: u64| {
        let is_open = |n: usize| n >= stopped || !(STOP_AT_MS..end + REOPEN_MS).contains(&now);
        is_open(own) && is_open(peer)
    };
    let mut shares: Vec<Option<SendShares>> = vec![None; gateways];
    for now in (0..end + 20_000).step_by(STEP_MS as usize) {
        for own in (0..gateways).filter(|own| runs(*own, now)) {
            shares[own] = Some(fleet.step(own, now, |peer| hears(own, peer, now)));
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
