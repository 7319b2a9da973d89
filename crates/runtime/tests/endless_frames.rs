//! Peers that send frames without end must not hold the thread that receives them.

use futures_lite::future::yield_now;
use proto::StreamOpening;
use runtime::{
    Authority, Executor, FrameReceiver, FrameSender, Identity, LinkConfig, LinkEndpoint, Peer,
    Role, StreamHandler,
};
use slog::{Discard, Logger, o};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

const DAY: Duration = Duration::from_secs(86_400);
/// All that a receiver may handle before another task gets its turn.
const MAX_TURN_FRAMES: usize = 64;
const MAX_TURN_BYTES: usize = 256 << 10;

/// Counts the frames that a peer sends, until it ends the stream.
#[derive(Debug, Default)]
struct Counter {
    frames: AtomicUsize,
    has_ended: AtomicBool,
}

struct Receiver(Arc<Counter>);

impl StreamHandler for Receiver {
    async fn handle(&self, _: Peer, _: StreamOpening, _tx: FrameSender, mut rx: FrameReceiver) {
        while let Ok(Some(_)) = rx.receive::<Vec<u8>>().await {
            self.0.frames.fetch_add(1, Ordering::Relaxed);
        }
        self.0.has_ended.store(true, Ordering::Relaxed);
    }
}

fn bind(executor: &Executor, authority: &Authority, node: &str) -> Arc<LinkEndpoint> {
    let identity = Identity::issue(authority, Role::Gateway, node, DAY).unwrap();
    let cfg = LinkConfig::new(SocketAddr::from(([127, 0, 0, 1], 0)));
    let log = Logger::root(Discard, o!());
    Arc::new(LinkEndpoint::bind(executor.clone(), cfg, &identity, log).unwrap())
}

/// Sends `count` frames of `bytes` each on one stream.
async fn send_frames(link: &LinkEndpoint, peer: SocketAddr, bytes: usize, count: usize) {
    let opened = link.open(peer, Role::Gateway, &StreamOpening::Load).await;
    let (mut tx, _rx) = opened.unwrap();
    for _ in 0..count {
        tx.send(&vec![0; bytes]).await.unwrap();
    }
    tx.finish();
    tx.stopped().await;
}

/// The most frames that were received in one turn of the receiving thread.
fn most_frames_in_a_turn(bytes: usize, count: usize) -> usize {
    let authority = Authority::generate("links", DAY).unwrap();
    Executor::run(1, |executor| async move {
        let link = bind(&executor, &authority, "receiver");
        let counter = Arc::new(Counter::default());
        executor.detach(link.clone().serve(Arc::new(Receiver(counter.clone()))));
        let peer = link.local_addr();
        thread::spawn(move || {
            Executor::run(1, |executor| async move {
                let link = bind(&executor, &authority, "sender");
                send_frames(&link, peer, bytes, count).await;
            });
        });
        let watch = executor.spawn(async move {
            let (mut most, mut known) = (0, 0);
            while !counter.has_ended.load(Ordering::Relaxed) {
                yield_now().await;
                let frames = counter.frames.load(Ordering::Relaxed);
                most = most.max(frames - known);
                known = frames;
            }
            (most, known)
        });
        let (most, frames) = watch.await;
        assert_eq!(frames, count, "the stream ended early");
        most
    })
}

macro_rules! cases {
    ($($name:ident: $bytes:expr, $count:expr;)*) => {$(
        #[test]
        fn $name() {
            let most = most_frames_in_a_turn($bytes, $count);
            let allowed = MAX_TURN_FRAMES.min(MAX_TURN_BYTES / $bytes).max(1);
            assert!(most <= allowed, "{most} frames in a turn, {allowed} allowed");
        }
    )*};
}

// All frames that had arrived were handled in one poll, in which nothing else ran.
cases! {
    small_frames_without_end: 1, 50_000;
    frames_of_some_kilobytes_without_end: 8 << 10, 2_000;
    large_frames_without_end: 200 << 10, 200;
}
