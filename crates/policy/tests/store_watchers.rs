//! Which gateways watch the store, also when some of them fail or lose their connection to it.

use policy::{PeerGateway, STORE_WATCHER_COUNT, should_watch_store};
use std::time::Duration;

/// A gateway of the simulated fleet.
#[derive(Debug, Clone)]
struct Gateway {
    name: String,
    reaches_store: bool,
    silent_for: Duration,
}

fn fleet(count: usize) -> Vec<Gateway> {
    let names = (0..count).map(|n| format!("frontend-{}-{n}", n % 3));
    let gateways = names.map(|name| Gateway {
        name,
        reaches_store: true,
        silent_for: Duration::from_millis(100),
    });
    gateways.collect()
}

/// The watchers after every gateway has heard from the others often enough.
fn watchers(fleet: &[Gateway]) -> Vec<usize> {
    let mut watches = vec![true; fleet.len()];
    for _ in 0..fleet.len() {
        let before = watches.clone();
        for (own, gateway) in fleet.iter().enumerate() {
            let peers = fleet.iter().enumerate().filter(|(index, _)| *index != own);
            let peers = peers.map(|(index, peer)| PeerGateway {
                name: &peer.name,
                heard_ago: peer.silent_for,
                reaches_store: before[index] && peer.reaches_store,
            });
            watches[own] = should_watch_store(&gateway.name, peers);
        }
    }
    (0..fleet.len()).filter(|index| watches[*index]).collect()
}

#[test]
fn few_gateways_all_follow() {
    assert_eq!(
        watchers(&fleet(STORE_WATCHER_COUNT)).len(),
        STORE_WATCHER_COUNT
    );
}

/// A change of a row wakes the pending store calls of a few gateways only, even of 340.
#[test]
fn of_many_gateways_a_few_follow() {
    for count in [7, 31, 340] {
        assert_eq!(
            watchers(&fleet(count)).len(),
            STORE_WATCHER_COUNT,
            "{count}"
        );
    }
}

/// The store rejects the watchers but answers the other gateways.
#[test]
fn followers_that_lose_the_store_are_replaced() {
    let mut fleet = fleet(31);
    for lost in watchers(&fleet) {
        fleet[lost].reaches_store = false;
    }
    let next = watchers(&fleet);
    let reach = next.iter().filter(|index| fleet[**index].reaches_store);
    assert_eq!(reach.count(), STORE_WATCHER_COUNT, "{next:?}");
}

/// The watchers fall silent, as when a failure domain is lost.
#[test]
fn followers_that_fall_silent_are_replaced() {
    let mut fleet = fleet(31);
    for lost in watchers(&fleet) {
        fleet[lost].silent_for = Duration::from_secs(2);
    }
    let next = watchers(&fleet);
    let heard = next
        .iter()
        .filter(|index| fleet[**index].silent_for < Duration::from_secs(1));
    assert_eq!(heard.count(), STORE_WATCHER_COUNT, "{next:?}");
}

/// A gateway that hears from no other watches the store itself.
#[test]
fn a_gateway_that_is_cut_off_follows() {
    assert!(should_watch_store("frontend-a-1", std::iter::empty()));
}
