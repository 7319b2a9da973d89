//! Which gateways share limits while some of them do not hear each other, in virtual time.

use policy::{GatewayRoster, SendShares, cold_send_bound};
use std::time::Duration;

const STEP_MS: u64 = 500;
/// A change of a row is read by the other gateways at most this much later.
const READ_DELAY_MS: u64 = 2_000;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Gateways that register, hear each other, and renew their rows in the store.
struct World {
    names: Vec<String>,
    rosters: Vec<GatewayRoster>,
    /// Gateway and time of each renewal.
    renewals: Vec<(usize, u64)>,
    now: u64,
}

impl World {
    fn new(gateways: usize) -> Self {
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
            now: 0,
        }
    }

    /// Lets time pass. `is_alive` says which gateways run, `hears` which one hears which other.
    fn run(
        &mut self,
        millis: u64,
        is_alive: impl Fn(usize) -> bool,
        hears: impl Fn(usize, usize) -> bool,
    ) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP_MS;
            let now = self.now;
            for own in (0..self.names.len()).filter(|own| is_alive(*own)) {
                let roster = &mut self.rosters[own];
                for (peer, name) in self.names.iter().enumerate() {
                    if peer != own && is_alive(peer) && hears(own, peer) {
                        roster.on_heard(name, at(now));
                    }
                }
                let read = self.renewals.iter();
                let read = read.filter(|(_, renewed)| renewed + READ_DELAY_MS == now);
                for (peer, _) in read.filter(|(peer, _)| *peer != own) {
                    roster.on_row_change(&self.names[*peer], true, at(now));
                }
                if roster.claim_renewal(at(now)) {
                    self.renewals.push((own, now));
                }
            }
        }
    }

    fn shares(&mut self, own: usize) -> SendShares {
        let sharing = self.rosters[own].sharing(at(self.now));
        SendShares::new(&self.names[own], sharing)
    }
}

/// Two halves of the gateways cannot hear each other for a minute, but all read the store. The shares
/// of a cold server's bound must not add up to more than it.
fn halves_keep_the_bound(gateways: usize, cold_rate: f64) {
    const CUT_MS: u64 = 60_000;
    const CHECK_MS: u64 = 4_000;
    let bound = cold_send_bound(cold_rate, 1.5, 5.0);
    let mut world = World::new(gateways);
    for _ in 0..CUT_MS / CHECK_MS {
        world.run(CHECK_MS, |_| true, |own, peer| own % 2 == peer % 2);
        let shares: Vec<_> = (0..gateways).map(|own| world.shares(own)).collect();
        let sum: usize = shares.iter().map(|shares| shares.limit(7, bound)).sum();
        let is_kept = bound.is_some_and(|bound| sum as f64 <= bound);
        assert!(is_kept, "{gateways} gateways, {} ms: {sum}", world.now);
    }
    let most_renewals = CUT_MS / 10_000 * gateways as u64;
    assert!(world.renewals.len() as u64 <= most_renewals);
}

macro_rules! halves {
    ($($name:ident: $gateways:expr, $cold_rate:expr;)*) => {$(
        #[test]
        fn $name() {
            halves_keep_the_bound($gateways, $cold_rate);
        }
    )*};
}

halves! {
    halves_of_4_gateways_that_do_not_hear_each_other: 4, 36.0;
    halves_of_30_gateways_that_do_not_hear_each_other: 30, 36.0;
    halves_of_103_gateways_that_do_not_hear_each_other: 103, 14.0;
    halves_of_340_gateways_that_do_not_hear_each_other: 340, 14.0;
}

/// A gateway is lost and its row stays. It costs each other one a single write, and its share is
/// given to the others.
#[test]
fn a_lost_gateway_is_left_out_after_one_renewal() {
    const GATEWAYS: usize = 30;
    let mut world = World::new(GATEWAYS);
    world.run(20_000, |_| true, |_, _| true);
    assert_eq!(world.renewals, []);
    world.run(14_000, |own| own > 0, |_, _| true);
    assert_eq!(world.shares(1).gateways(), GATEWAYS);
    world.run(60_000, |own| own > 0, |_, _| true);
    assert_eq!(world.shares(1).gateways(), GATEWAYS - 1);
    assert_eq!(world.renewals.len(), GATEWAYS - 1);
}

/// Numbers of other gateways that share the limits, asked every `STEP_MS` as a gateway that runs does, from
/// `start` up to the moment before `end`.
fn counts(roster: &mut GatewayRoster, start: u64, end: u64) -> Vec<usize> {
    let times = (start..end).step_by(STEP_MS as usize);
    times.map(|now| roster.sharing(at(now)).count()).collect()
}

/// A gateway that is stopped as planned removes its row at once, but sends until it has ended.
#[test]
fn a_gateway_that_drains_still_shares_the_limits() {
    let mut roster = GatewayRoster::default();
    roster.on_row_change("gateway-2", true, at(0));
    counts(&mut roster, 0, 10_000);
    roster.on_heard("gateway-2", at(10_000));
    roster.on_row_change("gateway-2", false, at(10_000));
    assert_eq!(counts(&mut roster, 10_000, 20_500), [1; 21]);
    assert!(!roster.claim_renewal(at(20_000)), "it is not missed");
    assert_eq!(counts(&mut roster, 20_500, 25_000), [1; 9]);
    assert_eq!(counts(&mut roster, 25_000, 26_500), [0; 3]);
}

/// While the store cannot be read, a gateway that is not heard may renew its row unnoticed.
#[test]
fn no_gateway_is_left_out_while_the_store_cannot_be_read() {
    let mut roster = GatewayRoster::default();
    roster.on_row_change("gateway-2", true, at(0));
    counts(&mut roster, 0, 10_000);
    for now in (10_000..60_000).step_by(1_000) {
        roster.on_store_unreadable(at(now));
        assert_eq!(roster.sharing(at(now)).count(), 1);
    }
    assert_eq!(counts(&mut roster, 59_500, 74_000), [1; 29]);
    assert_eq!(counts(&mut roster, 74_000, 75_500), [0; 3]);
}
