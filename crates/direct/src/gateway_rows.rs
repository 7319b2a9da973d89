//! Rows of the gateways in the store: where each takes links, and the authority that links trust.

use crate::shared::Shared;
use adapter::{Store, StoreError, StoreTable, keys};
use async_io::Timer;
use rand::random;
use runtime::{Authority, LinkError};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which the authority and its certificates are valid; processes live far shorter.
pub const CERTIFICATE_LIFETIME: Duration = Duration::from_secs(10 * 365 * 86_400);
/// Pause before a failed call to the store is repeated.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Row of a gateway in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayRow {
    /// Where it takes links.
    pub address: SocketAddr,
    /// Drawn at each start, so that peers notice a restart.
    pub start: u64,
}

/// Row of the authority that all links trust.
#[derive(Debug, Serialize, Deserialize)]
struct AuthorityRow {
    certificate: Box<str>,
    key: Box<str>,
}

/// The authority that links trust: that of the store's row, which the first gateway writes.
pub async fn load_or_create_authority(
    shared: &Shared,
    store: &Store,
) -> Result<Authority, LinkError> {
    loop {
        match store.list(StoreTable::Gateways).await {
            Ok(listing) => {
                let row = listing.rows.iter().find(|row| &*row.key == keys::AUTHORITY);
                let value = row.and_then(|row| row.value.as_deref());
                let row =
                    value.and_then(|value| serde_json::from_slice::<AuthorityRow>(value).ok());
                if let Some(row) = row {
                    return Ok(Authority::from_pem(&row.certificate, &row.key)?);
                }
                if let Err(err) = write_authority(store).await? {
                    info!(shared.log, "peers: authority not written"; "err" => %err);
                }
            }
            Err(err) => info!(shared.log, "peers: authority not read"; "err" => %err),
        }
        Timer::after(STORE_RETRY_PAUSE.mul_f64(random::<f64>())).await;
    }
}

async fn write_authority(store: &Store) -> Result<Result<(), StoreError>, LinkError> {
    let authority = Authority::generate("bergamothold", CERTIFICATE_LIFETIME)?;
    let row = AuthorityRow {
        certificate: authority.certificate().into(),
        key: authority.key(),
    };
    let value = serde_json::to_vec(&row).unwrap_or_default();
    Ok(store
        .put(StoreTable::Gateways, keys::AUTHORITY, &value, Some(0))
        .await)
}

/// Writes this gateway's row.
pub async fn register(shared: &Shared, store: &Store, row: &GatewayRow) {
    let key = gateway_key(shared);
    let value = serde_json::to_vec(row).unwrap_or_default();
    while let Err(err) = store.put(StoreTable::Gateways, &key, &value, None).await {
        info!(shared.log, "peers: not registered yet"; "err" => %err);
        Timer::after(STORE_RETRY_PAUSE).await;
    }
}

/// Takes this gateway's row out of the store; where that fails, peers count it out by its silence.
pub async fn unregister(shared: &Shared, store: &Store) {
    let removed = store
        .remove(StoreTable::Gateways, &gateway_key(shared))
        .await;
    if let Err(err) = removed {
        warn!(shared.log, "peers: row not removed"; "err" => %err);
    }
}

fn gateway_key(shared: &Shared) -> String {
    format!("{}{}", keys::GATEWAY_PREFIX, shared.settings.name)
}
