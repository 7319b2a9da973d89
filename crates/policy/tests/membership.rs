//! Hosts that leave, fail or are replaced, and failure domains that are taken out and brought back.

use declarations::Declarations;
use policy::{
    DomainChange, DomainRampConfig, DomainTracker, HostRecord, Membership, MembershipConfig,
    MembershipEvent,
};
use proto::NodeSighting;
use std::sync::Arc;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn record(host: &str, port: u16) -> HostRecord {
    HostRecord {
        node: format!("{host}/agent").into(),
        host: host.into(),
        domain: "a".into(),
        address: ([127, 0, 0, 1], port).into(),
        is_agent: true,
        leaving: false,
    }
}

fn sighting(host: &str, port: u16, leaving: bool) -> NodeSighting {
    NodeSighting {
        node: format!("{host}/agent").into(),
        host: host.into(),
        domain: "a".into(),
        address: ([127, 0, 0, 1], port).into(),
        server: Some("s".into()),
        epoch: 1,
        config: 1,
        age: Duration::ZERO,
        leaving,
    }
}

fn membership_with_list(records: &[HostRecord]) -> Membership {
    let mut membership = Membership::new(MembershipConfig::default());
    let text = "[[domains]]\nname='a'\nregion='r'\n[[servers]]\nname='s'\nkind='service'\nservice='x'\nhost='h1'\ndomain='a'\ncold_limit=1\n";
    let declared = Arc::new(Declarations::parse(text).unwrap());
    membership.handle(Duration::ZERO, MembershipEvent::Configured(declared));
    membership.handle(Duration::ZERO, MembershipEvent::Listed(records.to_vec()));
    membership
}

#[test]
fn a_node_that_does_not_answer_is_given_up_and_tried_again() {
    let mut membership = membership_with_list(&[record("h1", 1)]);
    let node: Box<str> = "h1/agent".into();
    for _ in 0..2 {
        assert!(!membership.members(SECOND).nodes[&node].down);
        membership.handle(SECOND, MembershipEvent::Unreachable(node.clone()));
    }
    assert!(membership.members(SECOND).nodes[&node].down);
    assert_eq!(membership.next_change(SECOND), Some(3 * SECOND));
    assert!(!membership.members(3 * SECOND).nodes[&node].down);
    membership.handle(3 * SECOND, MembershipEvent::Unreachable(node.clone()));
    assert!(
        membership.members(4 * SECOND).nodes[&node].down,
        "at once, until it answers"
    );
    membership.handle(4 * SECOND, MembershipEvent::Answered(node.clone()));
    assert!(!membership.members(4 * SECOND).nodes[&node].down);
}

#[test]
fn a_replaced_host_is_found_before_the_list_shows_it() {
    let mut membership = membership_with_list(&[record("h1", 1)]);
    membership.handle(SECOND, MembershipEvent::Seen(sighting("h1", 2, false)));
    let address = |membership: &Membership| {
        membership
            .members(SECOND)
            .agent_of("s")
            .unwrap()
            .address
            .port()
    };
    assert_eq!(address(&membership), 2);
    membership.handle(SECOND, MembershipEvent::Listed(vec![record("h1", 1)]));
    assert_eq!(address(&membership), 2, "the list lags");
    membership.handle(SECOND, MembershipEvent::Listed(vec![record("h1", 3)]));
    assert_eq!(address(&membership), 3, "the list has changed since");
}

#[test]
fn leaving_is_believed_of_the_list_and_of_the_node() {
    let mut membership = membership_with_list(&[record("h1", 1)]);
    membership.handle(SECOND, MembershipEvent::Seen(sighting("h1", 1, true)));
    assert!(membership.members(SECOND).agent_of("s").unwrap().leaving);
    membership.handle(SECOND, MembershipEvent::Listed(vec![record("h1", 9)]));
    assert!(
        !membership.members(SECOND).agent_of("s").unwrap().leaving,
        "another process"
    );
    let leaving = HostRecord {
        leaving: true,
        ..record("h1", 9)
    };
    membership.handle(SECOND, MembershipEvent::Listed(vec![leaving]));
    assert!(membership.members(SECOND).agent_of("s").unwrap().leaving);
}

#[test]
fn unlisted_nodes_stay_for_as_long_as_they_speak() {
    let mut membership = membership_with_list(&[]);
    membership.handle(SECOND, MembershipEvent::Seen(sighting("h1", 1, false)));
    membership.handle(10 * SECOND, MembershipEvent::Listed(Vec::new()));
    assert!(membership.members(10 * SECOND).agent_of("s").is_some());
    membership.handle(40 * SECOND, MembershipEvent::Listed(Vec::new()));
    assert!(membership.members(40 * SECOND).agent_of("s").is_none());
}

#[test]
fn a_domain_gets_no_work_while_out_and_its_share_back_gradually() {
    let text = "[[domains]]\nname='a'\nregion='r'\n";
    let inside = Declarations::parse(text).unwrap();
    let out = Declarations::parse(&format!("{text}out=true\n")).unwrap();
    let mut tracker = DomainTracker::new(DomainRampConfig::default());
    assert_eq!(tracker.traffic_share(SECOND, "a"), 0.0);
    assert!(tracker.configure(SECOND, &inside).is_empty());
    assert_eq!(tracker.traffic_share(SECOND, "a"), 1.0);
    assert_eq!(
        tracker.configure(SECOND, &out),
        vec![DomainChange::TakenOut("a".into())]
    );
    assert_eq!(tracker.traffic_share(SECOND, "a"), 0.0);
    assert_eq!(
        tracker.configure(5 * SECOND, &inside),
        vec![DomainChange::BroughtBack("a".into())]
    );
    let shares: Vec<f64> = [5, 10, 14, 15, 90]
        .map(|at| tracker.traffic_share(at * SECOND, "a"))
        .into();
    assert!(
        shares.is_sorted() && shares[0] < 0.2 && shares[3] == 1.0,
        "{shares:?}"
    );
}
