//! Streams between gateways: what peers open here, and the stream of load frames to each peer.

use crate::content_stream::send_content;
use crate::crash_guard::CrashNews;
use crate::news_stream::receive_news;
use crate::peers::Peers;
use crate::request_limit::LimitNews;
use crate::server_failure::FailureNews;
use crate::shared::Shared;
use crate::waiting_news::WaitingNews;
use async_channel::Receiver;
use async_io::Timer;
use proto::{Confirmed, LoadFrame, StreamOpening};
use runtime::{FrameReceiver, FrameSender, LinkEndpoint, Peer, Role, StreamHandler};
use slog::{info, warn};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Backoff before a link is opened again. A gateway that left while the store was unavailable
/// keeps its row, so links to it are attempted for a long time.
const MIN_RECONNECT_BACKOFF: Duration = Duration::from_millis(300);
const MAX_RECONNECT_BACKOFF: Duration = Duration::from_secs(2);
/// Serves the streams that peers open.
#[derive(Debug)]
pub struct PeerStreamHandler(pub Arc<Peers>);

impl StreamHandler for PeerStreamHandler {
    async fn handle(
        &self,
        peer: Peer,
        opening: StreamOpening,
        mut tx: FrameSender,
        mut rx: FrameReceiver,
    ) {
        match opening {
            StreamOpening::Load => {
                while let Ok(Some(frame)) = rx.receive::<Confirmed<LoadFrame>>().await {
                    self.0.on_frame(&peer.node, frame);
                }
            }
            StreamOpening::RequestLimits => {
                receive_news::<LimitNews>(self.0.shared(), &peer.node, &mut rx).await;
            }
            StreamOpening::Crashes => {
                receive_news::<CrashNews>(self.0.shared(), &peer.node, &mut rx).await;
            }
            StreamOpening::ServerFailures => {
                receive_news::<FailureNews>(self.0.shared(), &peer.node, &mut rx).await;
            }
            StreamOpening::Waiting => {
                receive_news::<WaitingNews>(self.0.shared(), &peer.node, &mut rx).await;
            }
            StreamOpening::StoreSnapshot(peer_versions) => {
                let shared = self.0.shared();
                let sent = tx.send(&shared.store_cache.export(&peer_versions)).await;
                if let Err(err) = sent {
                    warn!(shared.log, "peers: cannot send the store snapshot"; "err" => %err);
                }
                tx.finish();
                tx.stopped().await;
            }
            StreamOpening::StoreContent(req) => {
                let shared = self.0.shared();
                let sent = send_content(shared, &req, &mut tx).await;
                if let Err(err) = &sent {
                    info!(shared.log, "content: not sent"; "peer" => &*peer.node, "err" => %err);
                }
                tx.finish();
                tx.stopped().await;
                drop(sent);
            }
            _ => {
                tx.cancel();
                rx.cancel();
            }
        }
    }
}

/// Sends load frames to a peer until `frames` is closed.
pub async fn send_load(
    shared: Arc<Shared>,
    link: Arc<LinkEndpoint>,
    (name, peer): (Box<str>, SocketAddr),
    frames: Receiver<Arc<LoadFrame>>,
) {
    let mut backoff = MIN_RECONNECT_BACKOFF;
    while !frames.is_closed() {
        match link.open(peer, Role::Gateway, &StreamOpening::Load).await {
            Ok((mut tx, _rx)) => {
                info!(shared.log, "peers: link open"; "peer" => %peer);
                backoff = MIN_RECONNECT_BACKOFF;
                while let Ok(frame) = frames.recv().await {
                    let frame = Confirmed {
                        message: &*frame,
                        report: shared.confirmation_report(&name),
                        is_starting: shared.is_starting(),
                    };
                    if let Err(err) = tx.send(&frame).await {
                        info!(shared.log, "peers: link lost"; "peer" => %peer, "err" => %err);
                        break;
                    }
                }
            }
            Err(err) => {
                info!(shared.log, "peers: link not opened"; "peer" => %peer, "err" => %err);
            }
        }
        Timer::after(backoff).await;
        backoff = (backoff * 2).min(MAX_RECONNECT_BACKOFF);
    }
}
