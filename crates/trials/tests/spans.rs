//! Prompts that need more than twice the memory of one engine and so span several engines, while
//! processes are killed or frozen.

use async_io::Timer;
use runtime::Executor;
use std::time::{Duration, Instant};
use trials::{Call, End, Fleet, FleetConfig, MODEL, TEAM_KEY};

const ENGINE_TOKENS: u64 = 40_000;
const SPAN_PROMPT_TOKENS: u64 = 100_000;
const OUTPUT_TOKENS: u64 = 8;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

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

fn span_request(tokens: u64) -> Call {
    Call::completion(MODEL, 1, tokens, OUTPUT_TOKENS)
        .key(TEAM_KEY)
        .time_limit(WAIT_TIMEOUT)
}

/// Engines that have granted memory, each with the number of tokens.
fn granted_tokens(fleet: &Fleet) -> Vec<(Box<str>, u64)> {
    let engines = fleet.backends.engines.iter();
    let grants = engines.map(|(name, engine)| {
        let counts = engine.counts();
        (name.clone(), counts["grant_tokens"].as_u64().unwrap())
    });
    grants.filter(|(_, tokens)| *tokens > 0).collect()
}

/// Polls the grants of the engines until `accepts` holds for them, and returns them.
async fn wait_for_grants(
    fleet: &Fleet,
    accepts: impl Fn(&[(Box<str>, u64)]) -> bool,
) -> Vec<(Box<str>, u64)> {
    let start = Instant::now();
    loop {
        let grants = granted_tokens(fleet);
        if accepts(&grants) {
            return grants;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "engines hold {grants:?}");
        Timer::after(POLL_INTERVAL).await;
    }
}

#[test]
fn span_is_answered_whole_and_leaves_nothing_behind() {
    Executor::run(4, |executor| async move {
        let cfg = fleet_config(400_000.0);
        let fleet = Fleet::start(&executor, &cfg).await.unwrap();
        let gateway = fleet.gateways()[0];
        let start = Instant::now();
        let call = span_request(SPAN_PROMPT_TOKENS);
        let outcome = call.run(&executor, fleet.client(), gateway, start).await;
        assert_eq!(outcome.end, End::Whole, "{outcome:?}");
        wait_for_grants(&fleet, <[_]>::is_empty).await;
        let too_large = span_request(6 * ENGINE_TOKENS);
        let start = Instant::now();
        let outcome = too_large.run(&executor, fleet.client(), gateway, start);
        assert!(outcome.await.end.is_refused());
    });
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    KillOneAgent,
    KillAllAgents,
    FreezeAllAgents,
    KillGateway,
}

fn inject_fault_mid_span(fault: Fault) {
    Executor::run(4, |executor| async move {
        let cfg = fleet_config(50_000.0);
        let mut fleet = Fleet::start(&executor, &cfg).await.unwrap();
        let gateway = fleet.gateways()[0];
        let client = fleet.client().clone();
        let runner = executor.clone();
        let call = executor.spawn(async move {
            span_request(SPAN_PROMPT_TOKENS)
                .run(&runner, &client, gateway, Instant::now())
                .await
        });
        let grants = wait_for_grants(&fleet, |grants| grants.len() >= 3).await;
        let agents: Vec<_> = grants
            .iter()
            .map(|(name, _)| fleet.agent_of(name))
            .collect();
        match fault {
            Fault::KillOneAgent => {
                fleet.kill(&agents[0]);
                fleet.restart(&agents[0]).await.unwrap();
            }
            Fault::KillAllAgents => {
                for agent in &agents {
                    fleet.kill(agent);
                }
                for agent in &agents {
                    fleet.restart(agent).await.unwrap();
                }
            }
            Fault::FreezeAllAgents => {
                for agent in &agents {
                    fleet.freeze(agent).unwrap();
                }
                Timer::after(Duration::from_secs(8)).await;
                for agent in &agents {
                    fleet.thaw(agent).unwrap();
                }
            }
            Fault::KillGateway => fleet.kill("gateway-1"),
        }
        wait_for_grants(&fleet, <[_]>::is_empty).await;
        let end = call.await.end;
        assert!(!matches!(end, End::Short | End::Late), "{fault:?}: {end:?}");
        if fault != Fault::KillGateway {
            let again = span_request(SPAN_PROMPT_TOKENS);
            let outcome = again.run(&executor, fleet.client(), gateway, Instant::now());
            let outcome = outcome.await;
            assert_eq!(outcome.end, End::Whole, "{fault:?}: {outcome:?}");
        }
    });
}

macro_rules! fault_cases {
    ($($name:ident: $fault:ident;)*) => {
        $(#[test]
        fn $name() {
            inject_fault_mid_span(Fault::$fault);
        })*
    };
}

fault_cases! {
    nothing_leaks_when_one_agent_is_killed_mid_span: KillOneAgent;
    nothing_leaks_when_all_agents_are_killed_mid_span: KillAllAgents;
    nothing_leaks_when_agents_freeze_past_the_leases: FreezeAllAgents;
    nothing_leaks_when_the_gateway_is_killed_mid_span: KillGateway;
}
