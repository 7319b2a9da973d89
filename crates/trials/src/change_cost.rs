//! Measures how a change of the declarations reaches direct gateways, by their number and its size.

use crate::error::TrialError;
use crate::process::ResourceUsage;
use crate::soak_client::{Client, ClientRequest};
use crate::soak_declarations::{IDLE_ROUTE_BYTES, SOAK_KEY, SoakDeclarations};
use crate::soak_fleet::{FleetSize, PeerLinks, SoakFleet};
use async_io::Timer;
use runtime::Executor;
use std::time::{Duration, Instant};

const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for the gateways to settle before the change.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// A gateway that does not have the change in this time is counted as without it.
const MAX_WAIT: Duration = Duration::from_secs(10);
const ASK_INTERVAL: Duration = Duration::from_millis(20);
const ASK_TIME_LIMIT: Duration = Duration::from_secs(1);

/// What one change of a route cost.
#[derive(Debug, Clone)]
pub struct ChangeCost {
    /// Gateways that were ready before the change.
    pub ready: usize,
    /// Bytes of the declarations, as JSON.
    pub declarations_bytes: usize,
    /// Bytes that gateways read from the store from the change until it was in force everywhere or
    /// given up, at the median and the largest.
    pub store_bytes: (u64, u64),
    /// Bytes on the links to a gateway in both directions, in the same time; median and largest.
    pub link_bytes: (u64, u64),
    /// Highest resident memory of a gateway since its start, median and largest.
    pub peak_memory: (u64, u64),
    /// Time from the store's confirmation until a gateway served the added route, at the median and the
    /// slowest gateway that did.
    pub in_force: (Duration, Duration),
    /// Gateways that did not serve it in time.
    pub missing: usize,
}

/// Starts `gateways` with declarations of about `bytes`, adds a route, and measures. Fails if a process
/// or stand-in cannot be started.
pub async fn measure_change_cost(
    executor: &Executor,
    gateways: usize,
    bytes: usize,
) -> Result<ChangeCost, TrialError> {
    let size = FleetSize {
        gateways,
        engines: 0,
        plain: 1,
    };
    let mut declarations = SoakDeclarations {
        version: 1,
        idle_routes: bytes / IDLE_ROUTE_BYTES,
        ..SoakDeclarations::default()
    };
    let fleet = SoakFleet::start(executor, size, PeerLinks::Proxied, |store| {
        store.put("op", "config", &declarations.to_json());
    })?;
    let _ = fleet.find_unready(START_TIMEOUT).await;
    Timer::after(SETTLE_TIME).await;
    let mut ready = 0;
    for gateway in &fleet.gateways {
        ready += usize::from(gateway.is_ready().await);
    }
    let read = |fleet: &SoakFleet| -> Vec<(u64, u64)> {
        let gateways = fleet.gateways.iter();
        let counts = gateways.map(|gateway| {
            let link = gateway.peer_link.as_ref();
            let (to, from) = link.map_or((0, 0), crate::udp_proxy::UdpProxy::forwarded_bytes);
            (gateway.store_link.replied_bytes(), to + from)
        });
        counts.collect()
    };
    let before = read(&fleet);
    declarations.version = 2;
    declarations.routes.push("added".into());
    let value = declarations.to_json();
    fleet.store.standin().put("op", "config", &value);
    let confirmed_at = Instant::now();
    let waits = fleet.gateways.iter().enumerate().map(|(n, gateway)| {
        let client = Client::new(n, gateway.address);
        executor.spawn(wait_for_route(client, confirmed_at))
    });
    let mut times = Vec::new();
    for wait in waits.collect::<Vec<_>>() {
        times.extend(wait.await);
    }
    let after = read(&fleet);
    let grown = |pick: fn(&(u64, u64)) -> u64| {
        let pairs = before.iter().zip(&after);
        median_and_largest(pairs.map(|(before, after)| pick(after) - pick(before)))
    };
    let mut memory = Vec::new();
    for gateway in &fleet.gateways {
        let usage: ResourceUsage = gateway.process.lock().await.process.usage();
        memory.push(usage.peak_resident_bytes);
    }
    fleet.end().await;
    Ok(ChangeCost {
        ready,
        declarations_bytes: value.to_string().len(),
        store_bytes: grown(|(store, _)| *store),
        link_bytes: grown(|(_, link)| *link),
        peak_memory: median_and_largest(memory),
        in_force: median_and_largest(times.iter().copied()),
        missing: gateways - times.len(),
    })
}

/// Time after the confirmation at which a request for the added route that was served had been sent;
/// none if there was none in time.
async fn wait_for_route(mut client: Client, confirmed_at: Instant) -> Option<Duration> {
    let mut count = 0;
    while confirmed_at.elapsed() < MAX_WAIT {
        count += 1;
        let request = ClientRequest {
            id: format!("ask-{}-{count}", client.gateway()),
            path: "/added/x".into(),
            key: SOAK_KEY.into(),
            prompt: 10,
            last_event_id: None,
            time_limit: ASK_TIME_LIMIT,
        };
        let asked_after = confirmed_at.elapsed();
        if client.call(request).await.status() == Some(200) {
            return Some(asked_after);
        }
        Timer::after(ASK_INTERVAL).await;
    }
    None
}

fn median_and_largest<T: Copy + Default + Ord>(values: impl IntoIterator<Item = T>) -> (T, T) {
    let mut values: Vec<T> = values.into_iter().collect();
    values.sort_unstable();
    let median = values.get(values.len() / 2).copied().unwrap_or_default();
    (median, values.last().copied().unwrap_or_default())
}
