//! Decisions about prompts that wait, as an operator sees them: log lines, `explain` and metrics.

use futures_lite::future::or;
use hyper::StatusCode;
use runtime::Executor;
use serde_json::{Value, json};
use standins::{PlatformServer, ServerBehaviour, ServerKind, StandinServer};
use std::process::{Command, Stdio};
use std::time::Duration;
use trials::{Binaries, DirectRig, RIG_HOST, spawn_lock};

const KEY: Option<&str> = Some("key-1");
const SHORT: u64 = 500;
/// Prefilled in 2.1 s. It leaves room for a short prompt in the memory of the engine.
const LONG: u64 = 27_000;
/// Time in which the gateway notices a call and places it, if it does.
const PLACEMENT_TIME: Duration = Duration::from_millis(500);

/// Prompts of 500 tokens are short, and those of 27,000 fill an engine for two seconds.
fn declarations() -> Value {
    let route = |name: &str, rank: u8, timeout_ms: u32| {
        json!({
            "Name": name, "Hostname": RIG_HOST, "Prefix": format!("/{name}/"),
            "RouteType": "streaming", "TimeoutMs": timeout_ms, "TargetLatencyMs": 3000,
            "Priority": rank, "Service": "engines", "MaxAttempts": 2, "AllowAnonymous": false,
            "StreamResume": true, "TargetGapMs": 3600
        })
    };
    json!({
        "Version": 3,
        "Routes": [
            route("urgent", 0, 8_000),
            route("usual", 1, 8_000),
            route("brief", 1, 3_000),
        ],
        "Services": [{
            "Name": "engines", "ColdPerS": 0.0,
            "Engine": {
                "Slots": 16, "KvCapacityTokens": 30_000, "Stride": 46, "step_ms": 0.9,
                "read_per_s": 13_000.0, "pairs_per_m": 0.09, "HopMs": 0.1
            }
        }],
        "Limits": {},
        "Tenants": [{ "Name": "team-1", "ApiKeys": ["key-1"] }]
    })
}

/// Runs a test with a gateway and one engine, which has answered a request.
fn with_engine(test: impl AsyncFnOnce(&mut DirectRig, &StandinServer<PlatformServer>)) {
    Executor::run(2, |executor| async move {
        let mut rig = DirectRig::start(&executor).unwrap();
        rig.prompt = SHORT;
        rig.store.standin().put("op", "config", &declarations());
        let engine = rig.add_server("engine-1", "engines", ServerKind::Engine);
        let engine = engine.unwrap();
        let mut sent = 0;
        let served = rig.wait_until(async || {
            sent += 1;
            let response = rig.call(&format!("probe-{sent}"), "/usual/x", KEY).await;
            response.status == StatusCode::OK
        });
        assert!(served.await, "{}", rig.gateway.process.log_tail());
        test(&mut rig, &engine).await;
    });
}

macro_rules! cases {
    ($($name:ident => $test:expr;)*) => {
        $(
            #[test]
            fn $name() {
                with_engine($test);
            }
        )*
    };
}

/// Sends a prompt whose caller leaves after `PLACEMENT_TIME`, and runs `meanwhile` at the end of that.
async fn call_and_leave(
    rig: &DirectRig,
    id: &str,
    path: &str,
    prompt: u64,
    meanwhile: impl AsyncFnOnce(),
) {
    let caller = rig.gateway.caller();
    let call = async {
        let _ = caller.start_call(id, path, KEY, prompt).await;
        std::future::pending::<()>().await;
    };
    let leave = async {
        async_io::Timer::after(PLACEMENT_TIME).await;
        meanwhile().await;
    };
    or(call, leave).await;
}

/// Output of the `explain` command for a request id, read from the gateway's log.
fn explain(rig: &DirectRig, id: &str) -> String {
    let gateway = Binaries::find().unwrap().gateway;
    let log = rig.directory().path().join("gateway-1.log");
    let lock = spawn_lock();
    let child = Command::new(gateway)
        .args(["explain", id])
        .arg(log)
        .stdout(Stdio::piped())
        .spawn();
    drop(lock);
    let output = child.unwrap().wait_with_output().unwrap();
    String::from_utf8(output.stdout).unwrap()
}

/// Waits until the log has this message once for a request, and returns the line. A line for each check of
/// the queue would flood the log.
async fn only_line(rig: &DirectRig, id: &str, message: &str) -> String {
    let is_there = rig.wait_until(async || explain(rig, id).contains(message));
    assert!(
        is_there.await,
        "{}{}",
        explain(rig, id),
        rig.gateway.process.log_tail()
    );
    let story = explain(rig, id);
    let mut lines = story.lines().filter(|line| line.contains(message));
    let line = lines.next().unwrap();
    assert_eq!(lines.next(), None, "{story}");
    line.to_owned()
}

/// Value of a field in a line of `explain`.
fn figure(line: &str, name: &str) -> f64 {
    let start = format!("  {name}=");
    let value = line.split(&start).nth(1).and_then(|rest| {
        let value = rest.split("  ").next()?;
        value.parse().ok()
    });
    value.unwrap_or_else(|| panic!("no {name} in {line}"))
}

async fn has_metric(rig: &DirectRig, line: &str) -> bool {
    let metrics = rig.gateway.metrics().await.unwrap();
    metrics.lines().any(|exported| exported == line)
}

cases! {
    // The only engine prefills a long prompt and has room. That a short prompt waited for it could not be
    // told from a lack of room.
    a_wait_for_an_engine_is_explained => async |rig: &mut DirectRig, engine: &StandinServer<PlatformServer>| {
        engine.standin().set_behaviour(ServerBehaviour::Hang);
        call_and_leave(rig, "long", "/usual/x", LONG, async || {
            call_and_leave(rig, "short", "/usual/x", SHORT, async || {}).await;
        }).await;
        let line = only_line(rig, "short", "queue: prompt waits for an engine").await;
        assert!(line.contains("server=engine-1"), "{line}");
        let backlog = figure(&line, "backlog_ms");
        assert!(backlog > 0.0 && backlog < 2_200.0, "{line}");
        assert!(figure(&line, "forecast_ms") > backlog, "{line}");
        let max_wait = figure(&line, "max_wait_ms");
        assert!(max_wait > backlog && max_wait < 3_000.0, "{line}");
        assert!(!explain(rig, "long").contains("queue: prompt waits"));
        let counted = "bergamothold_direct_held_prompts_total{reason=\"engine soon able\"} 1";
        assert!(has_metric(rig, counted).await, "{}", rig.gateway.metrics().await.unwrap());
    };    // One long prompt runs and a second one waits, so that a third could only begin after four seconds of
    // its three. The reason alone would not tell whether the backlog or the queue was to blame.
    a_refusal_of_a_late_prompt_is_explained => async |rig: &mut DirectRig, engine: &StandinServer<PlatformServer>| {
        engine.standin().set_behaviour(ServerBehaviour::Hang);
        let mut refused = None;
        call_and_leave(rig, "runs", "/usual/x", LONG, async || {
            call_and_leave(rig, "waits", "/usual/x", LONG, async || {
                refused = Some(rig.gateway.caller().call("late", "/brief/x", KEY, LONG).await);
            }).await;
        }).await;
        let refused = refused.unwrap();
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE, "{}", explain(rig, "late"));
        assert!(refused.retry_after.is_some());
        let line = only_line(rig, "late", "queue: prompt refused").await;
        assert!(line.contains("reason=engines too far behind"), "{line}");
        let forecast = figure(&line, "forecast_ms");
        let (backlog, ahead) = (figure(&line, "backlog_ms"), figure(&line, "ahead_ms"));
        assert!(backlog > 0.0 && ahead > 2_000.0, "{line}");
        assert!(forecast > backlog + ahead + 2_000.0, "{line}");
        assert!(0.8 * forecast > figure(&line, "remaining_ms"), "{line}");
        assert!(figure(&line, "waited_ms") < 1_000.0, "refused when it arrives: {line}");
        let counted = "bergamothold_direct_refusals_total{reason=\"engines too far behind\"} 1";
        assert!(has_metric(rig, counted).await, "{}", rig.gateway.metrics().await.unwrap());
    };    // A short prompt of a more urgent rank has just started, more are expected, and the only engine would be
    // taken. That it was left to them looked like a lack of room.
    room_left_to_more_urgent_prompts_is_explained => async |rig: &mut DirectRig, engine: &StandinServer<PlatformServer>| {
        const MESSAGE: &str = "queue: prompt leaves room for more urgent ones";
        engine.standin().set_event_interval(Duration::from_millis(50));
        let mut id = String::new();
        let mut sent = 0;
        // Started prompts count for a quarter of a second, which a busy machine may take between two calls.
        let yields = rig.wait_until(async || {
            sent += 1;
            id = format!("yields-{sent}");
            let urgent = rig.start_call(&format!("urgent-{sent}"), "/urgent/x", KEY).await;
            call_and_leave(rig, &id, "/usual/x", LONG, async || {}).await;
            drop(urgent);
            explain(rig, &id).contains(MESSAGE)
        });
        assert!(yields.await, "{}", rig.gateway.process.log_tail());
        let line = only_line(rig, &id, MESSAGE).await;
        let free = figure(&line, "free_slots");
        assert!(free < figure(&line, "expected_prompts"), "{line}");
        let forecast = figure(&line, "forecast_ms");
        assert!(forecast > 2_000.0 && forecast < 2_400.0, "{line}");
        let max_wait = figure(&line, "max_wait_ms");
        assert!(max_wait > 0.0 && max_wait < 8_000.0 - forecast, "{line}");
        let counted = "bergamothold_direct_held_prompts_total{reason=\"urgent ranks\"} 1";
        assert!(has_metric(rig, counted).await, "{}", rig.gateway.metrics().await.unwrap());
    };
}
