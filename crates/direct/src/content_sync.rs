//! Keeps the content of the store up to date from peers.

use crate::content_stream::{ContentFetch, FetchError};
use crate::shared::Shared;
use async_io::Timer;
use policy::{ContentReport, PartialContent, SnapshotSource, SnapshotStep};
use runtime::LinkEndpoint;
use slog::info;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time for each frame of a fetch of all that a peer knows.
const FIRST_FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Hears which content peers have, and fetches what is newer than the own.
#[derive(Debug)]
pub struct ContentSync {
    shared: Arc<Shared>,
    link: Arc<LinkEndpoint>,
    addresses: Mutex<HashMap<Box<str>, SocketAddr>>,
    source: Mutex<SnapshotSource>,
    partial: Mutex<PartialContent>,
}

impl ContentSync {
    /// Creates the state of a gateway that does not know any peer.
    pub fn new(shared: Arc<Shared>, link: Arc<LinkEndpoint>) -> Self {
        let source = SnapshotSource::new(&shared.settings.name, &shared.settings.domain);
        Self {
            shared,
            link,
            addresses: Mutex::default(),
            source: Mutex::new(source),
            partial: Mutex::default(),
        }
    }

    /// Records the address of a peer.
    pub fn on_found(&self, peer: &str, address: SocketAddr) {
        self.lock_addresses().insert(peer.into(), address);
    }

    /// Records that a peer is gone.
    pub fn on_gone(&self, peer: &str) {
        self.lock_addresses().remove(peer);
        self.lock_source().on_gone(peer);
        self.shared.store_cache.on_peer_gone(peer);
    }

    /// Records what content a peer has.
    pub fn on_report(self: &Arc<Self>, peer: &str, report: ContentReport<'_>) {
        let now = self.shared.clock.now();
        self.lock_source().on_report(peer, report, now);
        let cache = &self.shared.store_cache;
        cache.on_peer_declarations(peer, report.declarations);
        let own = cache.versions();
        let mut fallback = self.shared.lock_store_fallback();
        fallback.on_report(report.versions, &own, now);
        drop(fallback);
        self.update();
    }

    /// Fetches newer content from a peer, if this gateway does not watch the store itself, is behind
    /// peers although it does, or refuses what the store has, and a fetch is due.
    fn update(self: &Arc<Self>) {
        let now = self.shared.clock.now();
        let versions = self.shared.store_cache.versions();
        let refused_above = self.shared.store_cache.refused_above();
        let in_force = self.shared.store_cache.route_table();
        let in_force = in_force.map_or(0, |table| table.version);
        self.lock_source().set_declarations(in_force);
        // One that falls back to the store goes on asking peers: what they send is less.
        if self.shared.is_watcher()
            && refused_above.is_none()
            && self.shared.reaches_store()
            && !self
                .shared
                .lock_store_fallback()
                .needs_peers(&versions, now)
        {
            return;
        }
        let step = self.lock_source().next_step(&versions, now);
        let sync = self.clone();
        match step {
            SnapshotStep::Wait => {}
            SnapshotStep::CheckAt(at) => self.shared.executor.detach(async move {
                Timer::after(at.saturating_sub(now)).await;
                sync.update();
            }),
            SnapshotStep::Fetch { peer, timeout } => self.shared.executor.detach(async move {
                let fetched = sync.fetch(&peer, timeout).await;
                let now = sync.shared.clock.now();
                let mut source = sync.lock_source();
                match fetched {
                    Err(FetchError::Busy) => source.on_fetch_refused(&peer, now),
                    fetched => source.on_fetch_done(&peer, fetched.is_ok(), now),
                }
                drop(source);
                sync.update();
            }),
        }
    }

    /// Fetches what a peer knows beyond the own content and applies it.
    async fn fetch(&self, peer: &str, limit: Duration) -> Result<(), FetchError> {
        let address = self.lock_addresses().get(peer).copied();
        let address = address.ok_or(FetchError::Ended("look up the peer"))?;
        let fetch = ContentFetch {
            shared: &self.shared,
            peer,
            limit,
            is_first: false,
        };
        let fetched = fetch.run(&self.link, address, &self.partial).await;
        match &fetched {
            Ok(()) => {
                self.shared.lock_store_fallback().on_fetched();
                // Peers of the same failure domain wait for the content.
                self.shared.fleet.urgent().notify();
            }
            Err(err) => {
                self.shared.metrics.content_fetch_failed(err.reason());
                info!(self.shared.log, "content: cannot be fetched from a peer"; "peer" => peer,
                    "err" => %err, "limit_ms" => limit.as_millis() as u64);
            }
        }
        fetched
    }

    /// Fetches all that a peer knows, after a start or once the store has come back from a copy. Fails if the peer has
    /// just started too.
    pub async fn fetch_first(&self, peer: &str) -> Result<(), FetchError> {
        let address = self.lock_addresses().get(peer).copied();
        let address = address.ok_or(FetchError::Ended("look up the peer"))?;
        let fetch = ContentFetch {
            shared: &self.shared,
            peer,
            limit: FIRST_FETCH_TIMEOUT,
            is_first: true,
        };
        // A part that another fetch goes on from is of another source.
        fetch.run(&self.link, address, &Mutex::default()).await
    }

    fn lock_addresses(&self) -> MutexGuard<'_, HashMap<Box<str>, SocketAddr>> {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_source(&self) -> MutexGuard<'_, SnapshotSource> {
        self.source.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
