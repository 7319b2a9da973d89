//! Rate limits of teams over several gateways.

use policy::{HOME_HANDOVER, HomeHistory, QuotaBorrower, QuotaDecision, QuotaLender, home_gateway};
use proto::{LendRequest, NodeId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use std::time::Duration;

const RATE: u64 = 10_000;
const SECONDS: u64 = 60;

/// Tokens granted to five gateways that request four times the limit. Messages are lost with
/// probability `loss`, and the home is replaced at `home_lost_at` milliseconds.
fn granted(seed: u64, loss: f64, home_lost_at: Option<u64>) -> u64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut home, mut since) = (QuotaLender::default(), Duration::ZERO);
    let mut borrowers: Vec<QuotaBorrower> = (0..5).map(|_| QuotaBorrower::default()).collect();
    let mut granted = 0;
    for millis in 0..SECONDS * 1000 {
        let now = Duration::from_millis(millis);
        if Some(millis) == home_lost_at {
            (home, since) = (QuotaLender::default(), now);
        }
        let borrower = &mut borrowers[rng.random_range(0..5)];
        let tokens = rng.random_range(1..80);
        let mut decision = borrower.try_take(now, "t", tokens);
        if decision == QuotaDecision::Borrow {
            let asked = borrower.borrow_request(now, &NodeId::from("g"), "t", tokens);
            if let Some(req) = asked.filter(|_| !rng.random_bool(loss)) {
                let answer = home.lend(now, RATE, since, &req);
                if rng.random_bool(loss) {
                    borrower.on_no_answer(now, "t");
                } else {
                    borrower.on_answer(now, "t", &answer);
                    decision = borrower.try_take(now, "t", tokens);
                }
            }
        }
        if decision == QuotaDecision::Granted {
            granted += tokens;
        }
    }
    granted
}

#[test]
fn limit_holds_over_all_gateways() {
    for seed in 0..10 {
        let granted = granted(seed, 0.0, None);
        let limit = RATE * SECONDS;
        assert!(granted <= limit && granted > limit * 9 / 10, "{granted}");
    }
}

#[test]
fn losses_err_on_the_tight_side() {
    for seed in 0..10 {
        let limit = RATE * SECONDS;
        assert!(granted(seed, 0.3, None) <= limit);
        let with_new_home = granted(seed, 0.1, Some(20_000));
        assert!(with_new_home <= limit, "{with_new_home}");
        assert!(with_new_home > limit / 4, "{with_new_home}");
    }
}

#[test]
fn only_the_teams_of_a_lost_gateway_move() {
    let gateways: Vec<NodeId> = (0..8).map(|n| format!("g{n}").into()).collect();
    let mut moved = 0;
    for team in 0..1000 {
        let team = format!("team-{team}");
        let before = home_gateway(&team, gateways.iter());
        let after = home_gateway(&team, gateways[1..].iter());
        assert!(before == after || before == gateways.first());
        moved += usize::from(before != after);
    }
    assert!((80..180).contains(&moved), "{moved}");
}

fn names(gateways: &[&str]) -> BTreeSet<NodeId> {
    gateways.iter().map(|name| NodeId::from(*name)).collect()
}

/// Two gateways that start without knowing of each other both consider themselves home for a
/// while. Neither may lend before they agree.
#[test]
fn gateways_that_start_apart_do_not_lend_twice() {
    let (mut first, mut second) = (HomeHistory::new("a".into()), HomeHistory::new("b".into()));
    first.set_gateways(Duration::ZERO, names(&["a"]));
    second.set_gateways(Duration::ZERO, names(&["b"]));
    let learned = Duration::from_secs(3);
    first.set_gateways(learned, names(&["a", "b"]));
    second.set_gateways(learned, names(&["a", "b"]));
    for team in (0..50).map(|n| format!("team-{n}")) {
        let homes = [first.home_since(&team), second.home_since(&team)];
        assert_eq!(homes.iter().flatten().count(), 1, "{team}");
        assert_eq!(homes.iter().flatten().next(), Some(&Duration::ZERO));
        let mut home = QuotaLender::default();
        let request = LendRequest {
            borrower: "a".into(),
            team: team.as_str().into(),
            tokens: 100,
            returned: 0,
        };
        let early = home.lend(learned, RATE, Duration::ZERO, &request);
        assert_eq!(early.tokens, 0);
        let later = home.lend(HOME_HANDOVER * 2, RATE, Duration::ZERO, &request);
        assert_eq!(later.tokens, 100);
    }
}

/// When the set of gateways changes, only teams whose home moves wait for the handover.
#[test]
fn only_moved_teams_wait_for_the_handover() {
    let mut history = HomeHistory::new("a".into());
    history.set_gateways(Duration::ZERO, names(&["a", "b", "c"]));
    let change = Duration::from_secs(100);
    history.set_gateways(change, names(&["a", "b"]));
    let (mut stayed, mut moved) = (0, 0);
    for team in (0..200).map(|n| format!("team-{n}")) {
        match history.home_since(&team) {
            Some(since) if since == change => moved += 1,
            Some(since) if since == Duration::ZERO => stayed += 1,
            Some(other) => panic!("{other:?}"),
            None => {}
        }
    }
    assert!(stayed > 30 && moved > 10, "{stayed} stayed, {moved} moved");
}
