//! The active configuration and the membership, shared within a process.

use async_channel::{Receiver, Sender, TrySendError};
use declarations::{Declarations, Team, hash_key};
use policy::Members;
use proto::ConfigVersion;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError, RwLock};

/// An immutable snapshot of the active configuration and the membership.
#[derive(Debug, Clone, Default)]
pub struct ClusterView {
    /// Version of the configuration; zero if none is known.
    pub version: ConfigVersion,
    /// Content of that version; empty if none is known.
    pub declared: Arc<Declarations>,
    /// Known gateways and agents.
    pub members: Arc<Members>,
    teams_by_key: Arc<BTreeMap<Box<str>, usize>>,
}

impl ClusterView {
    /// The team that an API key belongs to; `None` if no team has it. Keys are compared by hash.
    pub fn team_of_key(&self, key: &str) -> Option<&Team> {
        let index = *self.teams_by_key.get(&hash_key(key))?;
        self.declared.teams.get(index)
    }
}

/// Holds the current [`ClusterView`] and notifies subscribers of changes. The configuration version
/// never decreases.
#[derive(Debug, Default)]
pub struct SharedClusterView {
    current: RwLock<Arc<ClusterView>>,
    subscribers: Mutex<Vec<Sender<()>>>,
}

impl SharedClusterView {
    /// The current snapshot.
    pub fn get(&self) -> Arc<ClusterView> {
        self.current
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Activates a configuration, with the membership as seen under it, if its version is higher
    /// than the current one; returns whether it was.
    pub fn set_config(
        &self,
        version: ConfigVersion,
        declared: Arc<Declarations>,
        members: Members,
    ) -> bool {
        let teams_by_key = Arc::new(index_keys(&declared));
        let changed = {
            let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
            let newer = version > current.version;
            if newer {
                *current = Arc::new(ClusterView {
                    version,
                    declared,
                    members: Arc::new(members),
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

    /// Replaces the membership.
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

    /// A receiver that gets one message at once and one after each change. Changes are merged while
    /// a message is waiting to be received.
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
