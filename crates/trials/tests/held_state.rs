//! What a direct gateway that stands alone does by content of the store that has changed since it read it, and
//! after it can read it again.

use hyper::StatusCode;
use runtime::Executor;
use serde_json::{Value, json};
use standins::ServerKind;
use trials::{DirectGateway, DirectRig, FaultProxy, LinkFault};

const PROMPT_TOKENS: u64 = 1_000;
/// Requests that are sent while the gateway does not know of the change.
const CALLS: usize = 3;

/// Why the gateway does not hear of a change.
#[derive(Debug, Clone, Copy)]
enum Absence {
    Link(LinkFault),
    Frozen,
}

/// What is taken away meanwhile.
#[derive(Debug, Clone, Copy)]
enum Change {
    Key,
    Route,
    /// The route gets a service that has no servers.
    RouteService,
    Domain,
    Server,
}

impl Change {
    fn make(self, rig: &DirectRig, server: std::net::SocketAddr) {
        match self {
            Self::Key => rig.write_declarations(4, &["key-2"]),
            Self::Route => change_routes(rig, |routes| {
                routes.retain(|route| route["Name"] != "lookup");
            }),
            Self::RouteService => change_routes(rig, |routes| {
                for route in routes.iter_mut().filter(|route| route["Name"] == "lookup") {
                    route["Service"] = "engines".into();
                }
            }),
            Self::Domain => rig.store.standin().put("op", "evacuate/a", &json!({})),
            Self::Server => rig.register("registry-1", "registry", server, "draining"),
        }
    }

    fn refusal(self) -> StatusCode {
        match self {
            Self::Key => StatusCode::UNAUTHORIZED,
            Self::Route => StatusCode::NOT_FOUND,
            Self::RouteService | Self::Domain | Self::Server => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

fn change_routes(rig: &DirectRig, change: impl Fn(&mut Vec<Value>)) {
    let store = rig.store.standin();
    let mut content = store.value("op", "config").unwrap();
    content["Version"] = 4.into();
    change(content["Routes"].as_array_mut().unwrap());
    store.put("op", "config", &content);
}

async fn status(gateway: &DirectGateway, id: &str) -> StatusCode {
    let caller = gateway.caller();
    let response = caller.call(id, "/lookup/x", Some("key-1"), PROMPT_TOKENS);
    response.await.status
}

async fn wait_for_status(rig: &DirectRig, gateway: &DirectGateway, name: &str, want: StatusCode) {
    let mut calls = 0;
    let mut last = None;
    let has_status = async || {
        calls += 1;
        last = Some(status(gateway, &format!("{name}-{calls}")).await);
        last == Some(want)
    };
    let found = rig.wait_until(has_status).await;
    assert!(found, "{last:?}: {}", gateway.process.log_tail());
}

/// What was allowed goes on while nobody brings the change, and ends once the gateway can read it.
async fn held_until_read(executor: Executor, absence: Absence, change: Change) {
    let mut rig = DirectRig::start(&executor).unwrap();
    rig.write_declarations(3, &["key-1", "key-2"]);
    let link = FaultProxy::start(&executor, rig.store.local_addr()).unwrap();
    let gateway = rig.add_gateway("gateway-2", link.address()).unwrap();
    let server = rig
        .add_server("registry-1", "registry", ServerKind::Plain)
        .unwrap();
    wait_for_status(&rig, &gateway, "first", StatusCode::OK).await;
    // Nobody else brings it the change.
    rig.gateway.process.kill();
    match absence {
        Absence::Link(fault) => link.set(fault),
        Absence::Frozen => gateway.process.freeze().unwrap(),
    }
    change.make(&rig, server.local_addr());
    if let Absence::Link(_) = absence {
        for n in 0..CALLS {
            let id = format!("held-{n}");
            assert_eq!(status(&gateway, &id).await, StatusCode::OK);
        }
        link.set(LinkFault::None);
    } else {
        gateway.process.thaw().unwrap();
    }
    wait_for_status(&rig, &gateway, "last", change.refusal()).await;
}

macro_rules! held {
    ($($name:ident: $absence:expr, $change:ident;)*) => {$(
        #[test]
        fn $name() {
            let run = |executor| held_until_read(executor, $absence, Change::$change);
            Executor::run(2, run);
        }
    )*};
}

held! {
    a_dropped_key_while_the_store_is_cut_off: Absence::Link(LinkFault::Cut), Key;
    a_dropped_key_while_the_store_is_silent: Absence::Link(LinkFault::Silent), Key;
    a_dropped_key_while_the_process_is_frozen: Absence::Frozen, Key;
    a_dropped_route_while_the_store_is_cut_off: Absence::Link(LinkFault::Cut), Route;
    a_dropped_route_while_the_process_is_frozen: Absence::Frozen, Route;
    a_moved_route_while_the_store_is_silent: Absence::Link(LinkFault::Silent), RouteService;
    a_moved_route_while_the_process_is_frozen: Absence::Frozen, RouteService;
    an_evacuation_while_the_store_is_cut_off: Absence::Link(LinkFault::Cut), Domain;
    an_evacuation_while_the_process_is_frozen: Absence::Frozen, Domain;
    a_draining_server_while_the_store_is_silent: Absence::Link(LinkFault::Silent), Server;
    a_draining_server_while_the_process_is_frozen: Absence::Frozen, Server;
}
