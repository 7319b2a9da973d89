//! Gateways that are heard although their rows in the store are not known here.

use crate::peers::{GatewayTableHandler, Peers};
use crate::store_watch::TableHandler as _;
use adapter::{StoreError, StoreTable};
use async_io::Timer;
use rand::random;
use slog::{info, warn};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Time for the watch to tell of the row. Longer than the pause between its polls.
const WATCH_DELAY: Duration = Duration::from_secs(2);
/// Listings of different gateways, which hear of a new one at once, are spread over this time for each.
const SPREAD_PER_GATEWAY: Duration = Duration::from_millis(10);
/// Shortest time from one listing to the next.
const PAUSE: Duration = Duration::from_secs(5);

/// Lists the gateways' table when a gateway is heard whose row the watch does not tell of.
#[derive(Debug, Default)]
pub struct UnknownPeers {
    is_active: Arc<AtomicBool>,
}

impl UnknownPeers {
    /// Records that a gateway was heard whose row is not known.
    pub fn on_heard(&self, peers: &Arc<Peers>, name: &str) {
        if self.is_active.swap(true, Ordering::Relaxed) {
            return;
        }
        let is_active = self.is_active.clone();
        let (peers, name) = (peers.clone(), Box::<str>::from(name));
        let executor = peers.shared().executor.clone();
        executor.detach(async move {
            let gateways = peers.shared().fleet.gateways();
            let spread = SPREAD_PER_GATEWAY * gateways as u32;
            Timer::after(WATCH_DELAY + spread.mul_f64(random())).await;
            if !peers.knows_row(&name) {
                read(&peers, &name).await;
                Timer::after(PAUSE).await;
            }
            is_active.store(false, Ordering::Relaxed);
        });
    }
}

async fn read(peers: &Arc<Peers>, name: &str) {
    let shared = peers.shared();
    if let Err(err) = list(peers).await {
        info!(shared.log, "peers: a gateway is heard whose row cannot be read"; "peer" => name,
            "err" => %err);
    } else if peers.knows_row(name) {
        shared.metrics.unread_change();
        warn!(shared.log, "peers: a gateway was heard of whose row the watch did not tell";
            "peer" => name);
    }
}

async fn list(peers: &Arc<Peers>) -> Result<(), StoreError> {
    let shared = peers.shared();
    let listing = shared.store.list(StoreTable::Gateways).await?;
    shared.metrics.store_call("list", "ok");
    let handler = GatewayTableHandler(peers.clone());
    handler.on_listing(shared, listing).await;
    Ok(())
}
