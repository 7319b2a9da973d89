//! Declarations of any size reach all gateways, also those that leave the store to others.

use hyper::StatusCode;
use runtime::Executor;
use standins::ServerKind;
use trials::{DirectGateway, DirectRig, FaultProxy, LinkFault};

const PROMPT_TOKENS: u64 = 1_000;
/// Further routes that make the declarations larger than a frame between gateways.
const OVER_A_FRAME: usize = 7_000;

async fn status(gateway: &DirectGateway, id: &str, key: &str) -> StatusCode {
    let caller = gateway.caller();
    let response = caller.call(id, "/lookup/x", Some(key), PROMPT_TOKENS).await;
    response.status
}

/// Waits until a gateway serves callers that use this key; false if it does not in time.
async fn wait_until_served(rig: &DirectRig, gateway: &DirectGateway, key: &str) -> bool {
    let mut attempts = 0;
    let served = async || {
        attempts += 1;
        let id = format!("{}-{key}-{attempts}", gateway.process.name());
        status(gateway, &id, key).await == StatusCode::OK
    };
    rig.wait_until(served).await
}

fn leaves_store_to_peers(gateway: &DirectGateway) -> bool {
    let log = gateway.process.log();
    let mut changes = log
        .lines()
        .filter(|line| line.contains("who follows it has changed"));
    changes
        .next_back()
        .is_some_and(|line| line.contains("\"follows\":false"))
}

/// A gateway with a link to the store of its own.
struct Linked {
    gateway: DirectGateway,
    link: FaultProxy,
}

impl Linked {
    fn received(&self, form: &str) -> bool {
        let log = self.gateway.process.log();
        let mut lines = log.lines();
        let form = format!("\"form\":\"{form}\"");
        lines.any(|line| line.contains("content: declarations received") && line.contains(&form))
    }
}

/// Starts `count` gateways beside the rig's own and waits until all but six leave the store to others.
async fn start_gateways(rig: &DirectRig, count: usize) -> Vec<Linked> {
    let names = (2..=count + 1).map(|n| format!("gateway-{n}"));
    let gateways = names.map(|name| {
        let link = FaultProxy::start(rig.executor(), rig.store.local_addr()).unwrap();
        let gateway = rig.add_gateway(&name, link.address()).unwrap();
        Linked { gateway, link }
    });
    let gateways: Vec<Linked> = gateways.collect();
    for linked in &gateways {
        assert!(wait_until_served(rig, &linked.gateway, "key-1").await);
    }
    let rest_leave = async || {
        let all = gateways.iter().map(|linked| &linked.gateway);
        let all = all.chain([&rig.gateway]);
        all.filter(|gateway| leaves_store_to_peers(gateway)).count() == count + 1 - 6
    };
    assert!(rig.wait_until(rest_leave).await, "six watch the store");
    gateways
}

async fn assert_all_serve(rig: &DirectRig, gateways: &[Linked], key: &str, old_key: &str) {
    let all = gateways.iter().map(|linked| &linked.gateway);
    for gateway in all.chain([&rig.gateway]) {
        assert!(
            wait_until_served(rig, gateway, key).await,
            "{} still goes on by the old declarations: {}",
            gateway.process.name(),
            gateway.process.log_tail()
        );
        assert!(
            is_refused(rig, gateway, old_key).await,
            "{}: {}",
            gateway.process.name(),
            gateway.process.log_tail()
        );
    }
}

/// Waits until callers that use this key are turned away. Until the gateway knows that its declarations are
/// the newest, they may be told to come back, and nothing else.
async fn is_refused(rig: &DirectRig, gateway: &DirectGateway, key: &str) -> bool {
    let refused = async || match status(gateway, "old-key", key).await {
        StatusCode::SERVICE_UNAVAILABLE => false,
        answer => {
            assert_eq!(answer, StatusCode::UNAUTHORIZED);
            true
        }
    };
    rig.wait_until(refused).await
}

/// Guards against declarations that do not fit into a frame and never reach gateways that leave the
/// store to others.
#[test]
fn declarations_over_a_frame_reach_all_gateways() {
    Executor::run(2, |executor| async move {
        let rig = DirectRig::start(&executor).unwrap();
        rig.write_declarations(3, &["key-1"]);
        let _server = rig.add_server("registry-1", "registry", ServerKind::Plain);
        let gateways = start_gateways(&rig, 8).await;
        rig.write_large_declarations(4, &["key-2"], OVER_A_FRAME);
        assert_all_serve(&rig, &gateways, "key-2", "key-1").await;
        rig.write_large_declarations(5, &["key-3"], OVER_A_FRAME + 1);
        assert_all_serve(&rig, &gateways, "key-3", "key-2").await;
    });
}

/// Guards against peers that cannot send declarations over a frame to gateways which the store does not
/// answer, and against whole declarations for each changed route.
#[test]
fn peers_bring_large_declarations_in_pieces_and_changes_as_differences() {
    Executor::run(2, |executor| async move {
        let rig = DirectRig::start(&executor).unwrap();
        rig.write_declarations(3, &["key-1"]);
        let _server = rig.add_server("registry-1", "registry", ServerKind::Plain);
        let gateways = start_gateways(&rig, 8).await;
        let all = gateways.iter();
        let cut_off = all.filter(|linked| leaves_store_to_peers(&linked.gateway));
        let cut_off: Vec<&Linked> = cut_off.collect();
        assert!(!cut_off.is_empty());
        for linked in &cut_off {
            linked.link.set(LinkFault::Silent);
        }
        rig.write_large_declarations(4, &["key-2"], OVER_A_FRAME);
        assert_all_serve(&rig, &gateways, "key-2", "key-1").await;
        assert!(cut_off.iter().all(|linked| linked.received("whole")));
        rig.write_large_declarations(5, &["key-3"], OVER_A_FRAME + 1);
        assert_all_serve(&rig, &gateways, "key-3", "key-2").await;
        assert!(cut_off.iter().all(|linked| linked.received("scripts")));
    });
}
