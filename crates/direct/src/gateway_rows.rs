//! The gateways' table in the store: the link address of each gateway, and the certificate
//! authority that all links trust.

use crate::shared::Shared;
use adapter::{Store, StoreError, StoreRow, StoreTable, keys};
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

    /// Version of a stored row if it is of the same process as this one.
    pub fn version_in(&self, stored: &StoreRow) -> Option<u64> {
        let found = serde_json::from_slice::<Self>(stored.value.as_deref()?).ok()?;
        found.is_same_start(self).then_some(stored.version)
    }
}

/// Stored row of the certificate authority, as PEM texts.
#[derive(Debug, Serialize, Deserialize)]
struct AuthorityRow {
    certificate: Box<str>,
    key: Box<str>,
}

/// What a gateway that starts reads of the gateways' table.
#[derive(Debug)]
pub struct JoinedGateways {
    /// Authority that all links trust.
    pub authority: Authority,
    /// Whether no gateway was registered, nor a process before this one.
    pub is_first: bool,
}

/// Loads the certificate authority from the store. The first gateway creates it; the write is
/// conditional, so that all gateways end up with the same one. Retries until the store responds.
pub async fn load_or_create_authority(
    shared: &Shared,
    store: &Store,
) -> Result<JoinedGateways, LinkError> {
    loop {
        match store.list(StoreTable::Gateways).await {
            Ok(listing) => {
                let mut rows = listing.rows.iter();
                let is_first = !rows.any(|row| row.key.starts_with(keys::GATEWAY_PREFIX));
                let row = listing.rows.iter().find(|row| &*row.key == keys::AUTHORITY);
                let value = row.and_then(|row| row.value.as_deref());
                let row =
                    value.and_then(|value| serde_json::from_slice::<AuthorityRow>(value).ok());
                if let Some(row) = row {
                    let authority = Authority::from_pem(&row.certificate, &row.key)?;
                    return Ok(JoinedGateways {
                        authority,
                        is_first,
                    });
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

/// Writes this gateway's row again after it was removed, unless another process with its name has
/// written one. Retries until the store responds or the process drains.
pub async fn restore(shared: &Shared, store: &Store, row: &GatewayRow) {
    let key = gateway_key(shared);
    let value = serde_json::to_vec(row).unwrap_or_default();
    while !shared.draining.is_started() {
        let written = store.put(StoreTable::Gateways, &key, &value, Some(0)).await;
        match written {
            Ok(()) | Err(StoreError::Conflict(_)) => return,
            Err(err) => info!(shared.log, "peers: cannot write this gateway's row again, retrying";
                "err" => %err),
        }
        Timer::after(STORE_RETRY_PAUSE).await;
    }
}

/// Removes this gateway's row from the store, but not that of another process with its name, also where
/// the store does so late. `version` is that of the stored row, if it is known. Where the removal fails,
/// peers stop counting the gateway once it has been silent for a while.
pub async fn unregister(shared: &Shared, store: &Store, row: &GatewayRow, version: Option<u64>) {
    let mut removed = match version {
        Some(version) => remove(shared, store, version).await,
        None => Err(StoreError::Conflict("remove")),
    };
    // The row has been renewed since its version was read.
    if let Err(StoreError::Conflict(_)) = removed {
        removed = match stored_version(shared, store, row).await {
            Ok(Some(version)) => remove(shared, store, version).await,
            Ok(None) => return,
            Err(err) => Err(err),
        };
    }
    if let Err(err) = removed {
        warn!(shared.log, "peers: cannot remove this gateway from the store"; "err" => %err);
    }
}

async fn remove(shared: &Shared, store: &Store, version: u64) -> Result<(), StoreError> {
    let key = gateway_key(shared);
    store
        .remove(StoreTable::Gateways, &key, Some(version))
        .await
}

/// Version of this gateway's row in the store; `None` if there is none.
async fn stored_version(
    shared: &Shared,
    store: &Store,
    row: &GatewayRow,
) -> Result<Option<u64>, StoreError> {
    let key = gateway_key(shared);
    let listing = store.list(StoreTable::Gateways).await?;
    let stored = listing.rows.iter().find(|stored| *stored.key == *key);
    Ok(stored.and_then(|stored| row.version_in(stored)))
}

/// Key of this gateway's row.
pub fn gateway_key(shared: &Shared) -> String {
    format!("{}{}", keys::GATEWAY_PREFIX, shared.settings.name)
}
