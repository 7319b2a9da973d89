//! Streams over which gateways tell each other the request limits that backend servers state.

use crate::request_limit;
use crate::shared::Shared;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future::or;
use proto::{RequestLimitFrame, StreamOpening};
use runtime::{FrameReceiver, FrameSender, LinkEndpoint, LinkError, Role};
use slog::info;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Pause before a stream is opened again.
const REOPEN_PAUSE: Duration = Duration::from_secs(1);

/// Sends the request limits to a peer, until `wake` is closed: on each new stream all that are known,
/// and then each change. `wake` gets a message after changes; several changes may share one.
pub async fn send_limits(
    shared: Arc<Shared>,
    link: Arc<LinkEndpoint>,
    peer: SocketAddr,
    wake: Receiver<()>,
) {
    let opening = StreamOpening::RequestLimits;
    while !wake.is_closed() {
        let sent = match link.open(peer, Role::Gateway, &opening).await {
            Ok((mut tx, _rx)) => send_on(&shared, &mut tx, &wake).await,
            Err(err) => Err(err),
        };
        if let Err(err) = sent {
            info!(shared.log, "peers: request limits not sent"; "peer" => %peer, "err" => %err);
        }
        Timer::after(REOPEN_PAUSE).await;
    }
}

/// Sends on one stream until the peer stops reading or `wake` is closed.
async fn send_on(
    shared: &Shared,
    tx: &mut FrameSender,
    wake: &Receiver<()>,
) -> Result<(), LinkError> {
    let mut sent_revision = None;
    loop {
        let now = shared.clock.now();
        let (limits, revision) = shared.fleet.request_limits_since(sent_revision, now);
        if !limits.is_empty() {
            tx.send(&RequestLimitFrame { limits }).await?;
        }
        sent_revision = Some(revision);
        let stopped = tx.stopped();
        let woken = async { wake.recv().await.is_ok() };
        let ended = async {
            stopped.await;
            false
        };
        if !or(woken, ended).await {
            return Ok(());
        }
    }
}

/// Records the limits that a peer sends, until it closes the stream.
pub async fn receive_limits(shared: &Shared, peer: &str, rx: &mut FrameReceiver) {
    loop {
        match rx.receive::<RequestLimitFrame>().await {
            Ok(Some(frame)) => {
                for limit in &frame.limits {
                    request_limit::record_from_peer(shared, peer, limit);
                }
            }
            Ok(None) => return,
            Err(err) => {
                info!(shared.log, "peers: stream of request limits lost"; "peer" => peer,
                    "err" => %err);
                return;
            }
        }
    }
}
