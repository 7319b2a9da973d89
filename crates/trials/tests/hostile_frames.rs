//! A peer of a direct gateway, with a certificate of the deployment, whose frames are as many, as large or
//! as odd as the codec lets through.

use hyper::StatusCode;
use policy::server_key;
use proto::{
    BlockedSuspect, CrashFrame, CrashReport, LoadFrame, ProvenSuspect, ReportedPrompt,
    RequestLimit, RequestLimitFrame, ServerFailureFrame, ServerReport, ServerState, ServerUsage,
    ServiceQueue, StoreVersions, StreamOpening, Suspect, TeamPrefill, WaitingFrame,
};
use runtime::{Authority, Executor, Identity, LinkConfig, LinkEndpoint, Role};
use serde::Serialize;
use slog::{Discard, Logger, o};
use standins::ServerKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use trials::DirectRig;

const KEY: Option<&str> = Some("key-1");
const DAY: Duration = Duration::from_secs(86_400);
const SERVERS: [(&str, &str, ServerKind); 2] = [
    ("registry-1", "registry", ServerKind::Plain),
    ("engine-1", "engines", ServerKind::Engine),
];
const PATHS: [&str; 2] = ["/lookup/x", "/stream/x"];
/// Entries with which a frame is nearly as large as one may be.
const MANY: u64 = 20_000;
const AGE: Duration = Duration::from_millis(10);

async fn join(executor: &Executor, rig: &DirectRig) -> Arc<LinkEndpoint> {
    let row = || rig.store.standin().value("bergamothold", "authority");
    assert!(rig.wait_until(async || row().is_some()).await);
    let row = row().unwrap();
    let text = |name: &str| row[name].as_str().unwrap().to_owned();
    let authority = Authority::from_pem(&text("certificate"), &text("key")).unwrap();
    let identity = Identity::issue(&authority, Role::Gateway, "hostile", DAY).unwrap();
    let cfg = LinkConfig::new(SocketAddr::from(([127, 0, 0, 1], 0)));
    let log = Logger::root(Discard, o!());
    Arc::new(LinkEndpoint::bind(executor.clone(), cfg, &identity, log).unwrap())
}

/// Keys of the gateway's own servers, and of others.
fn servers(count: u64) -> impl Iterator<Item = u64> {
    let known = SERVERS.map(|(name, ..)| server_key(name));
    known.into_iter().chain(0..count)
}

fn load(count: u64, usage: ServerUsage) -> LoadFrame {
    LoadFrame {
        servers: servers(count).map(|server| (server, usage)).collect(),
        versions: StoreVersions::default(),
        reaches_store: false,
        declarations: 0,
    }
}

fn odd_usage() -> ServerUsage {
    ServerUsage {
        jobs: u32::MAX,
        prefill_remaining: Duration::MAX,
        tokens: u64::MAX,
        min_event_gap_target: Duration::ZERO,
        long_prefills: u32::MAX,
    }
}

fn limits(rate: f64) -> RequestLimitFrame {
    let limit = |server| RequestLimit {
        server,
        rate: Some(rate),
        age: AGE,
    };
    RequestLimitFrame {
        limits: servers(MANY).map(limit).collect(),
    }
}

fn crashes(age: Duration) -> CrashFrame {
    let suspects = (0..MANY / 10).map(Suspect::Request);
    let suspects: Vec<_> = suspects.collect();
    let crash = |server| CrashReport {
        server,
        suspects: suspects[..100].to_vec(),
        age,
    };
    CrashFrame {
        crashes: servers(100).map(crash).collect(),
        proven: suspects
            .iter()
            .map(|suspect| ProvenSuspect {
                suspect: *suspect,
                age,
            })
            .collect(),
        blocked: suspects
            .iter()
            .map(|suspect| BlockedSuspect {
                suspect: *suspect,
                is_tied: true,
                age,
            })
            .collect(),
    }
}

fn failures(age: Duration) -> ServerFailureFrame {
    let states = [
        ServerState::Refuses,
        ServerState::NamedAtFault,
        ServerState::Answers,
    ];
    let report = |n| ServerReport {
        server: n,
        domain: n % 7,
        state: states[n as usize % states.len()],
        age,
    };
    ServerFailureFrame {
        reports: servers(MANY).map(report).collect(),
    }
}

fn waiting(time: Duration) -> WaitingFrame {
    let prompt = |id| ReportedPrompt {
        id,
        rank: 0,
        latest_start_in: Some(time),
        engines: u8::MAX,
        team: id,
    };
    let queue = |service| ServiceQueue {
        service,
        prompts: (0..100).map(prompt).collect(),
    };
    let start = |team| TeamPrefill {
        team,
        prefill_time: time,
    };
    WaitingFrame {
        services: (0..100).map(queue).collect(),
        started: (0..1_000).map(start).collect(),
    }
}

async fn assert_served(rig: &DirectRig) {
    for path in PATHS {
        let is_served = async || rig.call("call", path, KEY).await.status == StatusCode::OK;
        let process = &rig.gateway.process;
        assert!(
            rig.wait_until(is_served).await,
            "{path} {}",
            process.log_tail()
        );
    }
}

/// Sends frames on a stream, as fast as they are received, while calls go on; the gateway serves on.
async fn send<T: Serialize>(
    executor: &Executor,
    opening: StreamOpening,
    frames: impl Iterator<Item = T>,
) {
    let mut rig = DirectRig::start(executor).unwrap();
    rig.write_declarations(3, &["key-1"]);
    let _servers =
        SERVERS.map(|(name, service, kind)| rig.add_server(name, service, kind).unwrap());
    assert_served(&rig).await;
    let link = join(executor, &rig).await;
    let peer = rig.gateway.peer_address();
    let (mut tx, _rx) = link.open(peer, Role::Gateway, &opening).await.unwrap();
    for frame in frames {
        // The gateway may refuse the rest.
        if tx.send(&frame).await.is_err() {
            break;
        }
    }
    tx.finish();
    tx.stopped().await;
    assert_served(&rig).await;
    assert!(rig.wait_until_ready().await);
    assert!(
        !rig.gateway.process.has_exited(),
        "{}",
        rig.gateway.process.log_tail()
    );
}

macro_rules! cases {
    ($($name:ident: $opening:ident, $frames:expr;)*) => {$(
        #[test]
        fn $name() {
            Executor::run(2, |executor| async move {
                send(&executor, StreamOpening::$opening, $frames.into_iter()).await;
            });
        }
    )*};
}

cases! {
    small_frames: Load, (0..100_000).map(|_| load(0, ServerUsage::default()));
    large_load_frames: Load, (0..10).map(|_| load(MANY, ServerUsage::default()));
    odd_load_frames: Load, (0..10).map(|_| load(100, odd_usage()));
    large_frames_of_limits: RequestLimits, (0..10).map(|n| limits(f64::from(n)));
    limits_that_are_no_numbers: RequestLimits, [limits(f64::NAN)];
    negative_limits: RequestLimits, [limits(-1.0)];
    limits_without_bound: RequestLimits, [limits(f64::INFINITY)];
    large_frames_of_crashes: Crashes, (0..10).map(|_| crashes(AGE));
    odd_frames_of_crashes: Crashes, [crashes(Duration::MAX), crashes(Duration::ZERO)];
    large_frames_of_failures: ServerFailures, (0..10).map(|_| failures(AGE));
    odd_frames_of_failures: ServerFailures, [failures(Duration::MAX), failures(Duration::ZERO)];
    large_frames_of_waiting_prompts: Waiting, (0..10).map(|_| waiting(AGE));
    odd_frames_of_waiting_prompts: Waiting, [waiting(Duration::MAX), waiting(Duration::ZERO)];
}
