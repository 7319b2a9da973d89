//! Streams over which gateways tell each other what they learn about backend servers.

use crate::shared::Shared;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future::or;
use proto::StreamOpening;
use runtime::{FrameReceiver, FrameSender, LinkEndpoint, LinkError, Role};
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::info;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Pause before a stream is opened again.
const REOPEN_PAUSE: Duration = Duration::from_secs(1);

/// News of one kind, which each gateway tells all others.
pub trait PeerNews: Send + Sync + 'static {
    /// Frame that holds the news.
    type Frame: Serialize + DeserializeOwned + Send + Sync;
    /// First frame of the streams.
    const OPENING: StreamOpening;
    /// Name in log lines.
    const NAME: &str;

    /// Number of the last change that peers have to hear of.
    fn revision(shared: &Shared) -> u64;

    /// What a peer has to hear of that has heard of `revision`, or of nothing yet, if there is
    /// anything, and the present revision.
    fn changed_since(shared: &Shared, revision: Option<u64>) -> (Option<Self::Frame>, u64);

    /// Applies what a peer tells.
    fn on_frame(shared: &Shared, peer: &str, frame: Self::Frame);
}

/// Sends news to a peer, until `wake` is closed: on each new stream all that is known, and then each
/// change. `wake` gets a message after changes; several changes may share one.
pub async fn send_news<N: PeerNews>(
    shared: Arc<Shared>,
    link: Arc<LinkEndpoint>,
    peer: SocketAddr,
    wake: Receiver<()>,
) {
    while !wake.is_closed() {
        let sent = match link.open(peer, Role::Gateway, &N::OPENING).await {
            Ok((mut tx, _rx)) => send_on::<N>(&shared, &mut tx, &wake).await,
            Err(err) => Err(err),
        };
        if let Err(err) = sent {
            info!(shared.log, "peers: news not sent"; "news" => N::NAME, "peer" => %peer,
                "err" => %err);
        }
        Timer::after(REOPEN_PAUSE).await;
    }
}

/// Sends on one stream until the peer stops reading or `wake` is closed.
async fn send_on<N: PeerNews>(
    shared: &Shared,
    tx: &mut FrameSender,
    wake: &Receiver<()>,
) -> Result<(), LinkError> {
    let mut sent_revision = None;
    loop {
        let (frame, revision) = N::changed_since(shared, sent_revision);
        if let Some(frame) = frame {
            tx.send(&frame).await?;
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

/// Applies the news that a peer sends, until it closes the stream.
pub async fn receive_news<N: PeerNews>(shared: &Shared, peer: &str, rx: &mut FrameReceiver) {
    loop {
        match rx.receive::<N::Frame>().await {
            Ok(Some(frame)) => N::on_frame(shared, peer, frame),
            Ok(None) => return,
            Err(err) => {
                info!(shared.log, "peers: stream of news lost"; "news" => N::NAME, "peer" => peer,
                    "err" => %err);
                return;
            }
        }
    }
}
