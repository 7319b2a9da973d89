//! Committed configurations reach every node that can be reached. Fleets are simulated in virtual
//! time, up to the number of nodes expected in two years.

mod fleet;

use fleet::{Fleet, FleetConfig, SECOND, large_declarations};
use policy::{ConfigGossip, GossipAction, GossipConfig, GossipEvent};
use proto::{ConfigContent, ConfigMessage, ConfigSummary, ConfigWant};
use std::time::Duration;

const NODES: usize = 940;

fn fleet(nodes: usize, loss: f64, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(FleetConfig { nodes, loss, seed });
    fleet.run_until(5 * SECOND);
    assert_eq!(fleet.versions(), ((1, 1), (1, 1)));
    assert!(fleet.all_admit());
    fleet
}

#[test]
fn whole_fleet_is_in_force_within_five_seconds_and_two_kilobytes_a_second() {
    let mut fleet = fleet(NODES, 0.01, 1);
    for round in 0..6 {
        fleet.commit(round * 37 % NODES);
        fleet.run_for(10 * SECOND);
    }
    let report = fleet.report();
    println!("spread: {report:?}");
    assert_eq!(report.nodes_behind, 0);
    assert!(report.slowest <= 5 * SECOND, "{report:?}");
    assert!(report.bytes_per_node_second <= 2048.0, "{report:?}");
    assert!(report.reads_per_second <= 2000.0, "{report:?}");
}

#[test]
fn committer_dies_after_its_commit_and_the_polls_find_it() {
    let mut fleet = fleet(200, 0.0, 2);
    fleet.commit_and_die(7);
    fleet.run_for(5 * SECOND);
    assert_eq!(fleet.report().nodes_behind, 0);
}

#[test]
fn store_is_down_right_after_the_commit() {
    let mut fleet = fleet(200, 0.05, 3);
    fleet.commit(7);
    fleet.store_down = true;
    fleet.run_for(5 * SECOND);
    assert_eq!(fleet.report().nodes_behind, 0);
}

#[test]
fn frozen_nodes_do_not_admit_by_the_old_version_after_they_wake() {
    let mut fleet = fleet(60, 0.0, 4);
    for node in [3, 20, 41] {
        fleet.freeze(node, 20 * SECOND);
    }
    fleet.commit(0);
    fleet.run_until(30 * SECOND);
    let report = fleet.report();
    assert_eq!(report.nodes_behind, 0);
    assert_eq!(report.stale_admissions, 0, "{report:?}");
}

#[test]
fn parted_regions_go_on_and_meet_again() {
    let mut fleet = fleet(120, 0.0, 5);
    fleet.partitioned = true;
    fleet.commit(0);
    fleet.run_for(180 * SECOND);
    assert_eq!(fleet.versions(), ((2, 2), (1, 1)));
    assert!(fleet.all_admit());
    fleet.partitioned = false;
    fleet.run_for(5 * SECOND);
    assert_eq!(fleet.versions(), ((2, 2), (2, 2)));
    assert_eq!(fleet.report().version_regressions, 0);
}

#[test]
fn fresh_nodes_take_the_highest_while_the_store_is_down() {
    let mut fleet = fleet(60, 0.0, 6);
    fleet.commit(0);
    fleet.run_for(5 * SECOND);
    fleet.store_down = true;
    for node in [5, 6, 30] {
        fleet.restart(node);
    }
    assert!(!fleet.all_admit());
    fleet.run_for(3 * SECOND);
    assert_eq!(fleet.report().nodes_behind, 0);
    assert!(fleet.all_admit());
}

#[test]
fn node_without_any_configuration_admits_nothing() {
    let mut gossip = ConfigGossip::new(Duration::ZERO, GossipConfig::for_node("a", 1));
    let mut out = Vec::new();
    let peers = GossipEvent::Peers(vec!["b".into()]);
    gossip.handle(Duration::ZERO, peers, &mut out);
    for second in 0..60 {
        let now = Duration::from_secs(second);
        gossip.handle(now, GossipEvent::StoreFailed, &mut out);
        gossip.handle(now, GossipEvent::Unreachable("b".into()), &mut out);
        assert!(!gossip.may_admit(now));
    }
}

#[test]
fn whole_content_of_eleven_thousand_teams_comes_in_parts() {
    let declared = large_declarations(11_000);
    let mut full = ConfigGossip::new(Duration::ZERO, GossipConfig::for_node("rich", 1));
    let mut empty = ConfigGossip::new(Duration::ZERO, GossipConfig::for_node("fresh", 1));
    let mut out = Vec::new();
    let content = GossipEvent::StoreContent {
        seq: 0,
        version: 9,
        declared: Box::new(declared.clone()),
    };
    full.handle(Duration::ZERO, content, &mut out);
    out.clear();
    let peers = GossipEvent::Peers(vec!["rich".into()]);
    empty.handle(Duration::ZERO, peers, &mut out);
    let mut exchanges = 0;
    while let Some(action) = out.pop() {
        let GossipAction::Exchange { seq, message, .. } = action else {
            continue;
        };
        exchanges += 1;
        let message = reply_of(&mut full, message);
        assert!(proto::encode(&message).is_ok(), "each message fits a frame");
        let event = GossipEvent::Response { seq, message };
        empty.handle(Duration::ZERO, event, &mut out);
    }
    assert_eq!(empty.version(), 9);
    assert_eq!(*empty.active().unwrap().declared, declared.sorted());
    assert!(exchanges > 2, "{exchanges}");
}

#[test]
fn a_lower_version_is_never_taken() {
    let mut node = ConfigGossip::new(Duration::ZERO, GossipConfig::for_node("a", 1));
    let mut out = Vec::new();
    for version in [5, 3, 4] {
        let event = GossipEvent::StoreContent {
            seq: 0,
            version,
            declared: Box::new(large_declarations(version as usize)),
        };
        node.handle(Duration::ZERO, event, &mut out);
        assert_eq!(node.version(), 5);
    }
    let summary = ConfigSummary {
        node: "b".into(),
        version: 4,
        confirmed: true,
    };
    let request = ConfigMessage {
        summary,
        want: ConfigWant::Newer,
        content: ConfigContent::Empty,
        sightings: Vec::new(),
    };
    let reply = reply_of(&mut node, request);
    assert!(matches!(
        reply.content,
        ConfigContent::Part { version: 5, .. }
    ));
}

fn reply_of(node: &mut ConfigGossip, message: ConfigMessage) -> ConfigMessage {
    let mut out = Vec::new();
    node.handle(Duration::ZERO, GossipEvent::Request(message), &mut out);
    let reply = out.into_iter().find_map(|action| match action {
        GossipAction::Reply(message) => Some(message),
        _ => None,
    });
    reply.unwrap()
}
