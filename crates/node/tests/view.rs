//! The shared view: the configuration version never decreases, API keys resolve to their teams, and
//! subscribers are notified of real changes only.

use declarations::{Declarations, Team, hash_key};
use node::SharedClusterView;
use policy::{Member, Members};
use std::sync::Arc;

fn declarations_with_team(name: &str, key: &str) -> Arc<Declarations> {
    let team = Team {
        name: name.into(),
        key_hashes: vec![hash_key(key)],
        weight: 100,
        tokens_per_second: None,
    };
    Arc::new(Declarations {
        teams: vec![team],
        ..Declarations::default()
    })
}

#[test]
fn version_never_goes_back() {
    let shared = SharedClusterView::default();
    assert!(shared.set_config(2, declarations_with_team("new", "k"), Members::default()));
    assert!(!shared.set_config(1, declarations_with_team("old", "k"), Members::default()));
    assert!(!shared.set_config(2, declarations_with_team("other", "k"), Members::default()));
    assert_eq!(&*shared.get().declared.teams[0].name, "new");
}

/// Which agent a backend server has follows from the configuration. A view with the new
/// configuration and the old members would have no way to any server.
#[test]
fn a_configuration_comes_with_its_members() {
    let agent = Member {
        node: "host/agent".into(),
        host: "host".into(),
        domain: "a".into(),
        address: ([127, 0, 0, 1], 1).into(),
        server: Some("engine".into()),
        epoch: 0,
        leaving: false,
        down: false,
    };
    let members = Members {
        nodes: [(agent.node.clone(), agent)].into(),
    };
    let shared = SharedClusterView::default();
    shared.set_config(1, declarations_with_team("new", "k"), members);
    assert!(shared.get().members.agent_of("engine").is_some());
}

#[test]
fn key_finds_its_team_and_only_that() {
    let shared = SharedClusterView::default();
    shared.set_config(
        1,
        declarations_with_team("counter", "secret"),
        Members::default(),
    );
    let view = shared.get();
    assert_eq!(
        view.team_of_key("secret").map(|team| &*team.name),
        Some("counter")
    );
    assert_eq!(view.team_of_key("Secret"), None);
    assert_eq!(view.team_of_key(""), None);
}

#[test]
fn listener_hears_of_changes_only() {
    let shared = SharedClusterView::default();
    let changes = shared.subscribe();
    assert!(
        changes.try_recv().is_ok(),
        "the first message tells of the state at the start"
    );
    assert!(changes.try_recv().is_err());
    shared.set_config(1, declarations_with_team("a", "k"), Members::default());
    assert!(changes.try_recv().is_ok());
    shared.set_config(1, declarations_with_team("b", "k"), Members::default());
    assert!(changes.try_recv().is_err());
}
