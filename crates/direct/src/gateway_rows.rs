//! The gateways' table in the store: the link address of each gateway, and the certificate
//! authority that all links trust.

use crate::shared::Shared;
use adapter::{Store, StoreError, StoreTable, keys};
use async_io::Timer;
use rand::random;
use runtime::{Authority, LinkError};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use std::net::SocketAddr;
use std::time::Duration;

/// Validity of the authority and its certificates. They are not renewed, as processes run for
/// far less time.
pub const CERTIFICATE_LIFETIME: Duration = Duration::from_secs(10 * 365 * 86_400);
/// Pause before a call to the store is repeated; a random fraction of it while the authority
/// is loaded or created.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Stored row of a gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayRow {
    /// Address at which it accepts links.
    pub address: SocketAddr,
    /// Random number drawn at each start, by which peers notice a restart.
    pub start: u64,
    /// Number of times that the row was renewed as a sign of life.
    #[serde(default)]
    pub renewals: u64,
    /// Failure domain of its host; `None` in rows of gateways that do not state it.
    #[serde(default)]
    pub domain: Option<Box<str>>,
}

impl GatewayRow {
    /// Whether both rows are of the same process.
    pub fn is_same_start(&self, other: &Self) -> bool {
        self.address == other.address && self.start == other.start
    }
}

/// Stored row of the certificate authority, as PEM texts.
#[derive(Debug, Serialize, Deserialize)]
struct AuthorityRow {
    certificate: Box<str>,
    key: Box<str>,
}

/// Loads the certificate authority from the store. The first gateway creates it; the write is
/// conditional, so that all gateways end up with the same one. Retries until the store responds.
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
                    info!(shared.log, "peers: cannot write the certificate authority to the store";
                        "err" => %err);
                }
            }
            Err(err) => {
                info!(shared.log, "peers: cannot read the certificate authority from the store";
                    "err" => %err);
            }
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

/// Writes this gateway's row to the store, retrying until it succeeds.
pub async fn register(shared: &Shared, store: &Store, row: &GatewayRow) {
    let key = gateway_key(shared);
    let value = serde_json::to_vec(row).unwrap_or_default();
    while let Err(err) = store.put(StoreTable::Gateways, &key, &value, None).await {
        info!(shared.log, "peers: cannot register this gateway in the store, retrying";
            "err" => %err);
        Timer::after(STORE_RETRY_PAUSE).await;
    }
}

/// Renews this gateway's row, whose version is `version`, as a sign of life. A row that was removed
/// meanwhile stays so.
pub async fn renew(shared: &Shared, store: &Store, row: &GatewayRow, version: u64) {
    let key = gateway_key(shared);
    let value = serde_json::to_vec(row).unwrap_or_default();
    let renewed = store
        .put(StoreTable::Gateways, &key, &value, Some(version))
        .await;
    if let Err(err) = renewed {
        info!(shared.log, "peers: cannot renew this gateway's row in the store"; "err" => %err);
    }
}

/// Removes this gateway's row from the store. Where that fails, peers stop counting the gateway
/// once it has been silent for a while.
pub async fn unregister(shared: &Shared, store: &Store) {
    let removed = store
        .remove(StoreTable::Gateways, &gateway_key(shared))
        .await;
    if let Err(err) = removed {
        warn!(shared.log, "peers: cannot remove this gateway from the store"; "err" => %err);
    }
}

fn gateway_key(shared: &Shared) -> String {
    format!("{}{}", keys::GATEWAY_PREFIX, shared.settings.name)
}
