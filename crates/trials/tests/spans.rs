//! Prompts over twice an engine's memory, with processes killed and frozen meanwhile.

use async_io::Timer;
use runtime::Executor;
use std::time::{Duration, Instant};
use trials::{Call, End, Fleet, FleetConfig, MODEL, TEAM_KEY};

const ENGINE_TOKENS: u64 = 40_000;
const SPAN_TOKENS: u64 = 100_000;
const OUTPUT_TOKENS: u64 = 8;
const POLL: Duration = Duration::from_millis(20);
const PATIENCE: Duration = Duration::from_secs(60);

fn fleet_config(prefill_rate: f64) -> FleetConfig {
    let mut cfg = FleetConfig::with_engines(2);
    cfg.for_each_engine(|spec, declared| {
        spec.memory_tokens = ENGINE_TOKENS;
        spec.cache_tokens = ENGINE_TOKENS / 4;
        spec.prefill_rate = prefill_rate;
        declared.memory_bytes = ENGINE_TOKENS * 1024;
    });
    cfg
}

fn span_call(tokens: u64) -> Call {
    Call::completion(MODEL, 1, tokens, OUTPUT_TOKENS)
        .key(TEAM_KEY)
        .time_limit(PATIENCE)
}

fn granted(fleet: &Fleet) -> Vec<(Box<str>, u64)> {
    let engines = fleet.backends.engines.iter();
    let held = engines.map(|(name, engine)| {
        let counts = engine.counts();
        (name.clone(), counts["grant_tokens"].as_u64().unwrap())
    });
    held.filter(|(_, tokens)| *tokens > 0).collect()
}

/// Waits until `done`; gives what engines hold then.
async fn await_grants(
    fleet: &Fleet,
    done: impl Fn(&[(Box<str>, u64)]) -> bool,
) -> Vec<(Box<str>, u64)> {
    let start = Instant::now();
    loop {
        let held = granted(fleet);
        if done(&held) {
            return held;
        }
        assert!(start.elapsed() < PATIENCE, "engines hold {held:?}");
        Timer::after(POLL).await;
    }
}

#[test]
fn span_is_answered_whole_and_leaves_nothing_behind() {
    Executor::run(4, |executor| async move {
        let cfg = fleet_config(400_000.0);
        let fleet = Fleet::start(&executor, &cfg).await.unwrap();
        let gateway = fleet.gateways()[0];
        let start = Instant::now();
        let call = span_call(SPAN_TOKENS);
        let outcome = call.run(&executor, fleet.client(), gateway, start).await;
        assert_eq!(outcome.end, End::Whole, "{outcome:?}");
        await_grants(&fleet, <[_]>::is_empty).await;
        let too_large = span_call(6 * ENGINE_TOKENS);
        let start = Instant::now();
        let outcome = too_large.run(&executor, fleet.client(), gateway, start);
        assert!(outcome.await.end.is_refused());
    });
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Harm {
    KillMember,
    KillAll,
    FreezeAll,
    KillGateway,
}

fn harm_mid_span(harm: Harm) {
    Executor::run(4, |executor| async move {
        let cfg = fleet_config(50_000.0);
        let mut fleet = Fleet::start(&executor, &cfg).await.unwrap();
        let gateway = fleet.gateways()[0];
        let client = fleet.client().clone();
        let runner = executor.clone();
        let call = executor.spawn(async move {
            span_call(SPAN_TOKENS)
                .run(&runner, &client, gateway, Instant::now())
                .await
        });
        let held = await_grants(&fleet, |held| held.len() >= 3).await;
        let agents: Vec<_> = held.iter().map(|(name, _)| fleet.agent_of(name)).collect();
        match harm {
            Harm::KillMember => {
                fleet.kill(&agents[0]);
                fleet.restart(&agents[0]).await.unwrap();
            }
            Harm::KillAll => {
                for agent in &agents {
                    fleet.kill(agent);
                }
                for agent in &agents {
                    fleet.restart(agent).await.unwrap();
                }
            }
            Harm::FreezeAll => {
                for agent in &agents {
                    fleet.freeze(agent).unwrap();
                }
                Timer::after(Duration::from_secs(8)).await;
                for agent in &agents {
                    fleet.thaw(agent).unwrap();
                }
            }
            Harm::KillGateway => fleet.kill("gateway-1"),
        }
        await_grants(&fleet, <[_]>::is_empty).await;
        let end = call.await.end;
        assert!(!matches!(end, End::Short | End::Late), "{harm:?}: {end:?}");
        if harm != Harm::KillGateway {
            let again = span_call(SPAN_TOKENS);
            let outcome = again.run(&executor, fleet.client(), gateway, Instant::now());
            let outcome = outcome.await;
            assert_eq!(outcome.end, End::Whole, "{harm:?}: {outcome:?}");
        }
    });
}

macro_rules! harms {
    ($($name:ident: $harm:ident;)*) => {
        $(#[test]
        fn $name() {
            harm_mid_span(Harm::$harm);
        })*
    };
}

harms! {
    nothing_leaks_when_one_agent_is_killed_mid_span: KillMember;
    nothing_leaks_when_all_agents_are_killed_mid_span: KillAll;
    nothing_leaks_when_agents_freeze_past_the_leases: FreezeAll;
    nothing_leaks_when_the_gateway_is_killed_mid_span: KillGateway;
}
