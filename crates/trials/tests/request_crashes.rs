//! Direct gateways as processes before servers that one request crashes, which its caller sends again
//! and again. What counts is what the servers and the callers see.

mod crashing_servers;

use crashing_servers::{
    CrashingServers, KEY, PROMPT_TOKENS, Service, share_served, wait_until_served,
};
use hyper::StatusCode;
use runtime::{Executor, Task};
use standins::{ExecutedRequest, ServerKind};
use std::time::{Duration, Instant};
use trials::{CallerAnswer, DirectCaller, DirectGateway, DirectRig};

/// Body of the request that crashes servers.
const FATAL_BODY: &str = "fatal";
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// The fatal request comes once in so many intervals.
const FATAL_INTERVAL: usize = 8;
/// Crashes after which the users of the platform count, and the time that the gateways have then.
const COUNTED_CRASHES: usize = 3;
const NOTICE: Duration = Duration::from_secs(3);
/// Time from which requests are counted if there are fewer crashes.
const MAX_WAIT: Duration = Duration::from_secs(4);
/// Time for which the requests are counted.
const COUNTED_SPAN: Duration = Duration::from_secs(4);
/// Sends of the fatal request that servers may get within the counted span, and after it.
const ALLOWED_SENDS: usize = 3;

const REGISTRY: Service = Service {
    name: "registry",
    kind: ServerKind::Plain,
    servers: 3,
    keeps_addresses: true,
    set_up: |server| {
        server.set_run_time(Duration::from_millis(40));
        server.set_fatal_body(FATAL_BODY);
    },
};
const ENGINES: Service = Service {
    name: "engines",
    kind: ServerKind::Engine,
    servers: 5,
    keeps_addresses: true,
    set_up: |server| {
        server.set_event_interval(Duration::from_millis(80));
        server.set_fatal_body(FATAL_BODY);
    },
};

fn is_fatal(request: &ExecutedRequest) -> bool {
    &*request.body == FATAL_BODY.as_bytes()
}

/// Requests that callers send to the gateways in turn.
struct Callers<'a> {
    executor: &'a Executor,
    gateways: Vec<&'a DirectGateway>,
    path: &'static str,
    sent: usize,
}

impl Callers<'_> {
    /// Sends a request with this body, or one of its own.
    fn send(&mut self, body: Option<&str>) -> Task<CallerAnswer> {
        self.sent += 1;
        let gateway = self.gateways[self.sent % self.gateways.len()];
        let caller = gateway.caller();
        let caller = body.map_or(caller.clone(), |body| caller.with_body(body));
        let (id, path) = (format!("request-{}", self.sent), self.path);
        self.executor.spawn(call(caller, id, path))
    }
}

async fn call(caller: DirectCaller, id: String, path: &'static str) -> CallerAnswer {
    caller.call(&id, path, KEY, PROMPT_TOKENS).await
}

/// What callers and servers saw once three servers had crashed and the gateways had had their time.
struct Seen {
    fatal_sends: usize,
    crashes: usize,
    sound: Vec<CallerAnswer>,
    fatal: Vec<CallerAnswer>,
}

/// Sends the fatal request and sound ones, some of them without a body, to the gateways by turns.
async fn run(servers: &mut CrashingServers<'_>, callers: &mut Callers<'_>) -> Seen {
    let start = Instant::now();
    let (mut sound, mut fatal) = (Vec::new(), Vec::new());
    let mut counted_from = None;
    for round in 0.. {
        let now = Instant::now();
        let is_noticed = servers.crashes.len() >= COUNTED_CRASHES || start.elapsed() > MAX_WAIT;
        if counted_from.is_none() && is_noticed {
            counted_from = Some(now + NOTICE);
        }
        if counted_from.is_some_and(|from| now >= from + COUNTED_SPAN) {
            break;
        }
        let is_counted = counted_from.is_some_and(|from| now >= from);
        if round % FATAL_INTERVAL == 0 {
            fatal.push(callers.send(Some(FATAL_BODY)));
        }
        for body in [None, Some("")] {
            sound.push((is_counted, callers.send(body)));
        }
        async_io::Timer::after(REQUEST_INTERVAL).await;
        servers.replace_crashed();
    }
    let mut seen = Seen {
        fatal_sends: 0,
        crashes: 0,
        sound: Vec::new(),
        fatal: Vec::new(),
    };
    for (is_counted, task) in sound {
        let answer = task.await;
        seen.sound.extend(is_counted.then_some(answer));
    }
    for task in fatal {
        seen.fatal.push(task.await);
    }
    servers.replace_crashed();
    seen.fatal_sends = counted_from.map_or(0, |from| servers.arrivals_since(from, is_fatal));
    seen.crashes = servers.crashes.len();
    seen
}

fn request_is_no_longer_sent(service: Service, path: &'static str) {
    Executor::run(2, |executor| async move {
        let rig = DirectRig::start(&executor).unwrap();
        rig.write_declarations(3, &["key-1"]);
        let store = rig.store.local_addr();
        let others = ["gateway-2", "gateway-3"].map(|name| rig.add_gateway(name, store).unwrap());
        let gateways = vec![&rig.gateway, &others[0], &others[1]];
        let mut servers = CrashingServers::start(&rig, service);
        for gateway in &gateways {
            wait_until_served(&rig, gateway, path).await;
        }
        let mut callers = Callers {
            executor: &executor,
            gateways,
            path,
            sent: 0,
        };
        let seen = run(&mut servers, &mut callers).await;
        assert!(
            seen.fatal_sends <= ALLOWED_SENDS,
            "{} sends of the request once it was known, {} servers crashed in all",
            seen.fatal_sends,
            seen.crashes
        );
        let share = share_served(&seen.sound);
        assert!(share > 0.9, "sound requests served: {share}");
        for answer in &seen.fatal {
            let is_whole = answer.status == StatusCode::OK && answer.body.is_some();
            assert!(!is_whole, "{answer:?}");
        }
    });
}

macro_rules! no_longer_sent {
    ($($name:ident: $service:ident, $path:literal;)*) => {$(
        #[test]
        fn $name() {
            request_is_no_longer_sent($service, $path);
        }
    )*};
}

// Each server that ran the request crashed, and each attempt of its caller sent it to server after server.
no_longer_sent! {
    a_lookup_that_crashes_servers_is_no_longer_sent: REGISTRY, "/lookup/x";
    an_unsafe_request_that_crashes_servers_is_no_longer_sent: REGISTRY, "/once/x";
    a_resumable_stream_that_crashes_servers_is_no_longer_sent: ENGINES, "/stream/x";
    a_stream_that_crashes_servers_is_no_longer_sent: ENGINES, "/single-run/x";
}
