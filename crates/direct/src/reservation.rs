//! Reservations of KV cache memory at the helpers of a prompt that no single engine can hold.

use crate::request_limit;
use crate::shared::Shared;
use adapter::{Helper, MemoryAnswer, release_request, reserve_outcome, reserve_request};
use async_io::Timer;
use hyper::{Request, StatusCode};
use policy::BackendId;
use proto::BackendEntry;
use quick_error::quick_error;
use runtime::{Body, Executor, HttpError};
use slog::{info, warn};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Lifetime of a reservation, as a fraction of the time within which unused memory must be free:
/// it expires in time even where the gateway that made it is lost.
const LIFETIME_FRACTION: f64 = 0.85;
/// Number of renewals within the lifetime of a reservation.
const RENEWALS_PER_LIFETIME: u32 = 3;
/// Time for an engine to respond to a reserve or release order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(350);
/// Limit on the body of a response to an order; the body is not used.
const MAX_RESPONSE_BYTES: usize = 4 << 10;

quick_error! {
    /// Why memory could not be reserved. What was reserved for the same prompt is released.
    #[derive(Debug)]
    pub enum ReserveError {
        /// The engine refused.
        Refused(server: Box<str>, answer: MemoryAnswer) {
            display("reserve memory of {server}: {answer:?}")
        }
        /// The engine did not respond. It may hold the memory until the reservation expires.
        NoResponse(server: Box<str>, reason: Box<str>) {
            display("reserve memory of {server}: {reason}")
        }
    }
}

#[derive(Debug, Clone)]
struct Reservation {
    server: BackendId,
    address: SocketAddr,
    id: Box<str>,
    tokens: u64,
}

/// Reservations of one prompt, renewed in the background until this is dropped, and then released.
#[derive(Debug)]
pub struct Reservations {
    shared: Arc<Shared>,
    reservations: Vec<Reservation>,
    stopped: Arc<AtomicBool>,
}

impl Reservations {
    /// Reserves memory at the helpers with a token count above 0, under ids that begin with `name`.
    ///
    /// Also returns all helpers in the form in which they are named to the engine that gets the
    /// request.
    pub async fn acquire(
        shared: &Arc<Shared>,
        name: &str,
        helpers: &[(BackendEntry, u64)],
    ) -> Result<(Self, Vec<Helper>), ReserveError> {
        let mut acquired = Self {
            shared: shared.clone(),
            reservations: Vec::new(),
            stopped: Arc::default(),
        };
        let mut request_helpers = Vec::new();
        for (index, (server, tokens)) in helpers.iter().enumerate() {
            let id: Box<str> = format!("{name}-{index}").into();
            let reservation = (*tokens > 0).then(|| id.clone());
            request_helpers.push(Helper {
                address: server.address,
                reservation,
            });
            if *tokens > 0 {
                let reserved = Reservation {
                    server: server.id.clone(),
                    address: server.address,
                    id,
                    tokens: *tokens,
                };
                acquired.reservations.push(reserved);
            }
        }
        acquired
            .shared
            .metrics
            .add_reservations(acquired.reservations.len() as i64);
        for reservation in &acquired.reservations {
            reserve(shared, reservation).await?;
        }
        acquired.spawn_renewal();
        Ok((acquired, request_helpers))
    }

    /// Starts a task that renews the reservations until they are dropped.
    fn spawn_renewal(&self) {
        if self.reservations.is_empty() {
            return;
        }
        let shared = self.shared.clone();
        let reservations = self.reservations.clone();
        let stopped = self.stopped.clone();
        self.shared.executor.detach(async move {
            loop {
                Timer::after(lifetime(&shared) / RENEWALS_PER_LIFETIME).await;
                if stopped.load(Ordering::Relaxed) {
                    return;
                }
                for reservation in &reservations {
                    if let Err(err) = reserve(&shared, reservation).await {
                        warn!(shared.log, "memory: reservation not renewed";
                            "id" => &*reservation.id, "err" => %err);
                    }
                }
            }
        });
    }
}

impl Drop for Reservations {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.shared
            .metrics
            .add_reservations(-(self.reservations.len() as i64));
        for reservation in self.reservations.drain(..) {
            let shared = self.shared.clone();
            let executor: Executor = shared.executor.clone();
            executor.detach(async move { release(&shared, &reservation).await });
        }
    }
}

fn lifetime(shared: &Shared) -> Duration {
    let bounds = &shared.settings.bounds;
    bounds
        .memory_freed
        .mul_f64(LIFETIME_FRACTION)
        .min(bounds.longest_reservation)
}

async fn reserve(shared: &Shared, reservation: &Reservation) -> Result<(), ReserveError> {
    let order = reserve_request(
        reservation.address,
        &reservation.id,
        reservation.tokens,
        lifetime(shared),
    );
    let sent = send_order(shared, reservation, order).await;
    let server = reservation.address.to_string().into();
    match sent {
        Ok(status) => match reserve_outcome(status) {
            MemoryAnswer::Reserved => Ok(()),
            answer => Err(ReserveError::Refused(server, answer)),
        },
        Err(err) => Err(ReserveError::NoResponse(server, err.to_string().into())),
    }
}

async fn release(shared: &Shared, reservation: &Reservation) {
    let order = release_request(reservation.address, &reservation.id);
    match send_order(shared, reservation, order).await {
        Ok(status) => {
            info!(shared.log, "memory: reservation released"; "id" => &*reservation.id,
                "status" => status.as_u16());
        }
        Err(err) => {
            warn!(shared.log, "memory: reservation not released, it will expire";
                "id" => &*reservation.id, "err" => %err);
        }
    }
}

/// Sends an order to the engine of a reservation, and returns the status of the response.
async fn send_order(
    shared: &Shared,
    reservation: &Reservation,
    order: Request<Body>,
) -> Result<StatusCode, HttpError> {
    let sent_at = shared.clock.now();
    let address = reservation.address;
    let http = &shared.http;
    let response = http.fetch_with_head(address, order, MAX_RESPONSE_BYTES, ORDER_TIMEOUT);
    let (head, _) = response.await?;
    if head.status != StatusCode::MISDIRECTED_REQUEST {
        request_limit::record(shared, &reservation.server, &head.headers, sent_at);
    }
    Ok(head.status)
}
