//! The configuration in force: a version never goes back, and keys find their teams.

use declarations::{Declarations, Team, hash_key};
use node::SharedClusterView;
use std::sync::Arc;

fn with_team(name: &str, key: &str) -> Arc<Declarations> {
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
    let cell = SharedClusterView::default();
    assert!(cell.set_config(2, with_team("new", "k")));
    assert!(!cell.set_config(1, with_team("old", "k")));
    assert!(!cell.set_config(2, with_team("other", "k")));
    assert_eq!(&*cell.get().declared.teams[0].name, "new");
}

#[test]
fn key_finds_its_team_and_only_that() {
    let cell = SharedClusterView::default();
    cell.set_config(1, with_team("counter", "secret"));
    let view = cell.get();
    assert_eq!(
        view.team_of_key("secret").map(|team| &*team.name),
        Some("counter")
    );
    assert_eq!(view.team_of_key("Secret"), None);
    assert_eq!(view.team_of_key(""), None);
}

#[test]
fn listener_hears_of_changes_only() {
    let cell = SharedClusterView::default();
    let changes = cell.subscribe();
    assert!(
        changes.try_recv().is_ok(),
        "the first message tells of the state at the start"
    );
    assert!(changes.try_recv().is_err());
    cell.set_config(1, with_team("a", "k"));
    assert!(changes.try_recv().is_ok());
    cell.set_config(1, with_team("b", "k"));
    assert!(changes.try_recv().is_err());
}
