//! Reservations of KV cache memory at the helpers of a prompt that no single engine can hold.

use crate::request_limit;
use crate::server_pause;
use crate::server_probe::{ProbeResult, probe_server};
use crate::shared::Shared;
use crate::signal::Signal;
use adapter::{
    Helper, MemoryAnswer, is_leaving, release_request, reserve_outcome, reserve_request,
};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future::or;
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use policy::{BackendId, RenewalStep, ReservationRenewal};
use proto::BackendEntry;
use quick_error::quick_error;
use runtime::{Body, HttpError, SingleExchange, timeout};
use slog::{info, warn};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Lifetime of a reservation, as a fraction of the time within which unused memory must be free:
/// it expires in time even where the gateway that made it is lost.
const LIFETIME_FRACTION: f64 = 0.85;
/// Time for an engine to respond to a reserve or release order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(350);
/// Limit on the body of a response to an order; the body is not used.
const MAX_RESPONSE_BYTES: usize = 4 << 10;
/// Pause before a release is sent again.
const RELEASE_INTERVAL: Duration = Duration::from_millis(500);

quick_error! {
    /// Why memory could not be reserved. What was reserved for the same prompt is released.
    #[derive(Debug)]
    pub enum ReserveError {
        /// The engine refused.
        Refused(server: Box<str>, answer: MemoryAnswer) {
            display("reserve memory of {server}: {answer:?}")
        }
        /// The engine has asked for a pause.
        Paused(server: Box<str>) {
            display("reserve memory of {server}: it has asked for a pause")
        }
        /// The engine leaves, or has left.
        Left(server: Box<str>) {
            display("reserve memory of {server}: it leaves")
        }
        /// The engine did not accept the connection, so that it holds no memory.
        NotConnected(server: BackendId, reason: Box<str>) {
            display("reserve memory of {server}: {reason}")
        }
        /// The engine did not respond. It may hold the memory until the reservation expires.
        NoResponse(server: BackendId, reason: Box<str>) {
            display("reserve memory of {server}: {reason}")
        }
    }
}

#[derive(Debug)]
struct Reservation {
    server: BackendId,
    address: SocketAddr,
    id: Box<str>,
    tokens: u64,
    /// Whether an order got no response. Engines may carry such an order out much later.
    may_be_ordered_late: AtomicBool,
}

/// Reservations of one prompt, renewed in the background until this is dropped, and then released.
#[derive(Debug)]
pub struct Reservations {
    state: Arc<State>,
    /// Closed once the engine that uses the memory is given up.
    engine_lost: Receiver<()>,
}

/// State that is shared with the task that renews the reservations.
#[derive(Debug)]
struct State {
    shared: Arc<Shared>,
    /// Engine that uses the memory.
    engine: BackendEntry,
    reservations: Vec<Arc<Reservation>>,
    renewal: Mutex<ReservationRenewal>,
    stopped: AtomicBool,
    /// Held while renewals are under way, so that none arrives after a release.
    renewing: async_lock::Mutex<()>,
    /// Signalled when data arrives while a renewal is due.
    renewal_due: Signal,
    engine_lost_tx: Sender<()>,
}

impl Reservations {
    /// Reserves memory at the helpers with a token count above 0, under ids that begin with `name`,
    /// for a prompt that `engine` decodes.
    ///
    /// Also returns all helpers in the form in which they are named to the engine that gets the
    /// request.
    pub async fn acquire(
        shared: &Arc<Shared>,
        name: &str,
        engine: &BackendEntry,
        helpers: &[(BackendEntry, u64)],
    ) -> Result<(Self, Vec<Helper>), ReserveError> {
        let mut reservations = Vec::new();
        let mut request_helpers = Vec::new();
        for (index, (server, tokens)) in helpers.iter().enumerate() {
            let id: Box<str> = format!("{name}-{index}").into();
            let reservation = (*tokens > 0).then(|| id.clone());
            request_helpers.push(Helper {
                address: server.address,
                reservation,
            });
            if *tokens > 0 {
                reservations.push(Arc::new(Reservation {
                    server: server.id.clone(),
                    address: server.address,
                    id,
                    tokens: *tokens,
                    may_be_ordered_late: AtomicBool::new(false),
                }));
            }
        }
        let metrics = &shared.metrics;
        metrics.add_reservations(reservations.len() as i64);
        let (engine_lost_tx, engine_lost) = async_channel::bounded(1);
        let renewal = ReservationRenewal::new(lifetime(shared), shared.clock.now());
        let acquired = Self {
            state: Arc::new(State {
                shared: shared.clone(),
                engine: engine.clone(),
                reservations,
                renewal: Mutex::new(renewal),
                stopped: AtomicBool::new(false),
                renewing: async_lock::Mutex::new(()),
                renewal_due: Signal::default(),
                engine_lost_tx,
            }),
            engine_lost,
        };
        for reservation in &acquired.state.reservations {
            let now = shared.clock.now();
            if shared.fleet.is_paused(&reservation.server, now) {
                return Err(ReserveError::Paused(reservation.server.clone()));
            }
            if !shared.store_cache.is_usable(&reservation.server, now) {
                return Err(ReserveError::Left(reservation.server.clone()));
            }
            reserve(shared, reservation).await?;
        }
        if !acquired.state.reservations.is_empty() {
            let state = acquired.state.clone();
            shared
                .executor
                .detach(async move { state.keep_renewed().await });
        }
        Ok((acquired, request_helpers))
    }

    /// Records that data of the engine that uses the memory has arrived.
    pub fn on_data(&self) {
        let now = self.state.shared.clock.now();
        if self.state.lock_renewal().on_data(now) {
            self.state.renewal_due.notify();
        }
    }

    /// Waits until the engine that uses the memory is given up; forever if nothing is reserved.
    pub async fn engine_lost(&self) {
        // Nothing is ever sent; the channel is closed.
        let _ = self.engine_lost.recv().await;
    }
}

impl State {
    /// Renews the reservations until they are dropped or the engine is lost.
    async fn keep_renewed(&self) {
        let clock = &self.shared.clock;
        while !self.stopped.load(Ordering::Relaxed) {
            let step = self.lock_renewal().next_step(clock.now());
            match step {
                RenewalStep::Wait(pause) => {
                    let pause = async {
                        Timer::after(pause).await;
                    };
                    or(pause, self.renewal_due.notified()).await;
                }
                RenewalStep::Probe => {
                    let result = probe_server(&self.shared, &self.engine).await;
                    let responds = result == ProbeResult::Accepted;
                    self.lock_renewal().on_probe(responds, clock.now());
                }
                RenewalStep::Renew => self.renew().await,
                RenewalStep::GiveUp => {
                    warn!(self.shared.log, "memory: reservations not renewed, the engine that uses \
                        them is lost"; "server" => &*self.engine.id);
                    self.engine_lost_tx.close();
                    return;
                }
            }
        }
    }

    /// Renews all reservations at the same time.
    async fn renew(&self) {
        let _renewing = self.renewing.lock().await;
        if self.stopped.load(Ordering::Relaxed) {
            return;
        }
        let now = self.shared.clock.now();
        self.lock_renewal().on_renewed(now);
        let renewals = self.reservations.iter().map(|reservation| {
            let (shared, reservation) = (self.shared.clone(), reservation.clone());
            self.shared.executor.spawn(async move {
                if let Err(err) = reserve(&shared, &reservation).await {
                    warn!(shared.log, "memory: reservation not renewed";
                        "id" => &*reservation.id, "err" => %err);
                }
            })
        });
        for renewal in renewals.collect::<Vec<_>>() {
            renewal.await;
        }
    }

    /// Releases a reservation, once renewals that are under way have ended. Repeats the order until it
    /// is answered, or until the memory has expired if a former order may be carried out late.
    async fn release(&self, reservation: &Reservation) {
        let renewing = self.renewing.lock().await;
        let end = self.shared.clock.now() + lifetime(&self.shared);
        let mut is_released = release(&self.shared, reservation).await;
        drop(renewing);
        loop {
            let may_come_back = reservation.may_be_ordered_late.load(Ordering::Relaxed);
            if is_released && !may_come_back || self.shared.clock.now() >= end {
                return;
            }
            Timer::after(RELEASE_INTERVAL).await;
            is_released = release(&self.shared, reservation).await;
        }
    }

    fn lock_renewal(&self) -> MutexGuard<'_, ReservationRenewal> {
        self.renewal.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Reservations {
    fn drop(&mut self) {
        let state = &self.state;
        state.stopped.store(true, Ordering::Relaxed);
        let metrics = &state.shared.metrics;
        metrics.add_reservations(-(state.reservations.len() as i64));
        for reservation in &state.reservations {
            let (state, reservation) = (state.clone(), reservation.clone());
            let executor = state.shared.executor.clone();
            executor.detach(async move { state.release(&reservation).await });
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
    match sent {
        Ok(status) => match reserve_outcome(status) {
            MemoryAnswer::Reserved => Ok(()),
            answer => Err(ReserveError::Refused(
                reservation.address.to_string().into(),
                answer,
            )),
        },
        Err(err @ HttpError::Connect(..)) => Err(ReserveError::NotConnected(
            reservation.server.clone(),
            err.to_string().into(),
        )),
        Err(err) => {
            reservation
                .may_be_ordered_late
                .store(true, Ordering::Relaxed);
            Err(ReserveError::NoResponse(
                reservation.server.clone(),
                err.to_string().into(),
            ))
        }
    }
}

/// Sends a release; returns whether it was answered.
async fn release(shared: &Shared, reservation: &Reservation) -> bool {
    let order = release_request(reservation.address, &reservation.id);
    match send_order(shared, reservation, order).await {
        Ok(status) => {
            info!(shared.log, "memory: reservation released"; "id" => &*reservation.id,
                "status" => status.as_u16());
            true
        }
        Err(err) => {
            warn!(shared.log, "memory: reservation not released"; "id" => &*reservation.id,
                "err" => %err);
            false
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
    let head = exchange(shared, address, order).await?;
    if head.status != StatusCode::MISDIRECTED_REQUEST {
        request_limit::record(shared, &reservation.server, &head.headers, sent_at);
        server_pause::record(shared, &reservation.server, head.status, &head.headers);
        if is_leaving(&head.headers) {
            let now = shared.clock.now();
            shared.store_cache.on_leaving(&reservation.server, now);
        }
    }
    Ok(head.status)
}

/// Sends an order on a connection of its own, so that a late response to another order is not taken for
/// that to this one. Returns the head of the response.
async fn exchange(
    shared: &Shared,
    address: SocketAddr,
    order: Request<Body>,
) -> Result<Parts, HttpError> {
    let exchange = async {
        let connecting = SingleExchange::connect(&shared.executor, address, ORDER_TIMEOUT);
        let (head, _) = connecting.await?.fetch(order, MAX_RESPONSE_BYTES).await?;
        Ok(head)
    };
    timeout(ORDER_TIMEOUT, exchange)
        .await
        .unwrap_or(Err(HttpError::Timeout(address)))
}
