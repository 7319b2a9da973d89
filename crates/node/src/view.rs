//! The configuration and membership that a process acts by.

use async_channel::{Receiver, Sender, TrySendError};
use declarations::{Declarations, Team, hash_key};
use policy::Members;
use proto::ConfigVersion;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError, RwLock};

/// The configuration and membership at one moment.
#[derive(Debug, Clone, Default)]
pub struct ClusterView {
    /// Version of the configuration; zero where none is known.
    pub version: ConfigVersion,
    /// Its content.
    pub declared: Arc<Declarations>,
    /// Known processes.
    pub members: Arc<Members>,
    teams_by_key: Arc<BTreeMap<Box<str>, usize>>,
}

impl ClusterView {
    /// The team that a key belongs to.
    pub fn team_of_key(&self, key: &str) -> Option<&Team> {
        let index = *self.teams_by_key.get(&hash_key(key))?;
        self.declared.teams.get(index)
    }
}

/// Holds the current [`ClusterView`] and tells subscribers of changes. A version never goes back.
#[derive(Debug, Default)]
pub struct SharedClusterView {
    current: RwLock<Arc<ClusterView>>,
    subscribers: Mutex<Vec<Sender<()>>>,
}

impl SharedClusterView {
    /// The current view.
    pub fn get(&self) -> Arc<ClusterView> {
        self.current
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Takes a configuration into force where its version is higher; tells whether it was.
    pub fn set_config(&self, version: ConfigVersion, declared: Arc<Declarations>) -> bool {
        let teams_by_key = Arc::new(index_keys(&declared));
        let changed = {
            let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
            let newer = version > current.version;
            if newer {
                let members = current.members.clone();
                *current = Arc::new(ClusterView {
                    version,
                    declared,
                    members,
                    teams_by_key,
                });
            }
            newer
        };
        if changed {
            self.notify();
        }
        changed
    }

    /// Takes a membership into use.
    pub fn set_members(&self, members: Members) {
        let changed = {
            let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
            let changed = *current.members != members;
            if changed {
                let view = ClusterView {
                    members: Arc::new(members),
                    ..ClusterView::clone(&current)
                };
                *current = Arc::new(view);
            }
            changed
        };
        if changed {
            self.notify();
        }
    }

    /// A receiver that gets a message after each change; changes in between are merged.
    pub fn subscribe(&self) -> Receiver<()> {
        let (tx, rx) = async_channel::bounded(1);
        let _ = tx.try_send(());
        self.subscribers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(tx);
        rx
    }

    fn notify(&self) {
        let mut subscribers = self
            .subscribers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        subscribers.retain(|tx| !matches!(tx.try_send(()), Err(TrySendError::Closed(()))));
    }
}

fn index_keys(declared: &Declarations) -> BTreeMap<Box<str>, usize> {
    let teams = declared.teams.iter().enumerate();
    teams
        .flat_map(|(index, team)| {
            team.key_hashes
                .iter()
                .map(move |hash| (hash.clone(), index))
        })
        .collect()
}
