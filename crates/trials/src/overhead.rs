//! Scenario that measures the latency which a gateway and an agent add to an engine's own, and
//! their CPU time and memory.

use crate::caller::{Call, Outcome};
use crate::driver::{Driver, Summary, quantile_ms};
use crate::error::TrialError;
use crate::figures::Figures;
use crate::fleet::Fleet;
use crate::fleet_config::{FleetConfig, MODEL, TEAM_KEY};
use crate::scenario::ScenarioConfig;
use runtime::Executor;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const GATEWAY: &str = "gateway-1";
const PROMPT_TOKENS: u64 = 1_000;
const OUTPUT_TOKENS: u64 = 4;
const LONG_PROMPT_TOKENS: u64 = 1_000_000;
const LONG_PROMPTS: usize = 200;
const WARM_UP_CALLS: usize = 400;
const WARM_LIMIT: u32 = 256;
const CLOSED_LOOP_WORKERS: usize = 32;
const TIME_LIMIT: Duration = Duration::from_secs(30);
const MAX_ADDED_P50_MS: f64 = 1.0;
const BYTES_PER_MIB: f64 = 1_048_576.0;
/// Limit for callers' request bodies in memory, set by `--body-memory-mib`.
const MAX_BODY_MEMORY_MIB: u64 = 64;
/// Memory that the gateway may use besides request bodies.
const MAX_OTHER_MEMORY_MIB: f64 = 64.0;

/// The targets of the measurements: the engine itself, and the gateway in front of it.
struct Measurement {
    driver: Driver,
    engine: SocketAddr,
    gateway: SocketAddr,
}

/// Runs the scenario on one gateway and one engine.
pub async fn run(executor: &Executor, cfg: ScenarioConfig) -> Result<Figures, TrialError> {
    let mut fleet = Fleet::start(executor, &fleet_config()).await?;
    let server = fleet.backends.engines.keys().next().cloned();
    let server = server.unwrap_or_default();
    let gateway = fleet.gateways()[0];
    let measurement = Measurement {
        driver: Driver::new(executor.clone(), vec![gateway], MODEL, TEAM_KEY),
        engine: fleet.backends.address(&server)?,
        gateway,
    };
    let mut figures = Figures::new("overhead", cfg.seed);
    measurement.warm_up(cfg.seed).await;
    measurement.compare_latency(cfg, &mut figures).await;
    measurement
        .measure_cpu_time(&mut fleet, &server, cfg, &mut figures)
        .await?;
    measurement
        .measure_peak_memory(&mut fleet, cfg, &mut figures)
        .await?;
    Ok(figures)
}

fn fleet_config() -> FleetConfig {
    let mut cfg = FleetConfig::single();
    cfg.gateway_flags = vec![
        "--body-memory-mib".into(),
        MAX_BODY_MEMORY_MIB.to_string().into(),
    ];
    cfg.for_each_engine(|spec, declared| {
        spec.prefill_rate = 50_000_000.0;
        spec.prefill_chunk_tokens = 50_000;
        spec.decode_base = Duration::from_millis(1);
        spec.decode_per_request = Duration::ZERO;
        spec.starts_cold = false;
        spec.warm_limit = WARM_LIMIT as usize;
        declared.warm_limit = WARM_LIMIT;
    });
    cfg
}

impl Measurement {
    async fn warm_up(&self, seed: u64) {
        for number in 0..WARM_UP_CALLS {
            self.send_through_gateway(seed ^ number as u64).await;
        }
    }

    /// Sends pairs of requests, one to the engine and one through the gateway, and reports the
    /// difference of their times to first token.
    async fn compare_latency(&self, cfg: ScenarioConfig, figures: &mut Figures) {
        let until = Instant::now() + cfg.load_duration;
        let (mut direct, mut through) = (Vec::new(), Vec::new());
        let mut seed = cfg.seed;
        while Instant::now() < until {
            seed = seed.wrapping_add(1);
            direct.push(self.send_to_engine(seed).await);
            through.push(self.send_through_gateway(seed).await);
        }
        let direct = Summary::of(&direct, TIME_LIMIT);
        let through = Summary::of(&through, TIME_LIMIT);
        figures.add("pairs", through.sent as f64);
        figures.add("direct_first_p50_ms", quantile_ms(&direct.first_token, 0.5));
        figures.add(
            "direct_first_p99_ms",
            quantile_ms(&direct.first_token, 0.99),
        );
        figures.add(
            "through_first_p50_ms",
            quantile_ms(&through.first_token, 0.5),
        );
        figures.add(
            "through_first_p99_ms",
            quantile_ms(&through.first_token, 0.99),
        );
        let added = |quantile| {
            quantile_ms(&through.first_token, quantile) - quantile_ms(&direct.first_token, quantile)
        };
        figures.at_most("added_first_p50_ms", added(0.5), MAX_ADDED_P50_MS);
        figures.add("added_first_p99_ms", added(0.99));
        let complete_fraction = through.in_time as f64 / through.sent.max(1) as f64;
        figures.at_least("whole_share", complete_fraction, 1.0);
    }

    /// Reports requests per core-second of the gateway and the agent under a closed loop.
    async fn measure_cpu_time(
        &self,
        fleet: &mut Fleet,
        server: &str,
        cfg: ScenarioConfig,
        figures: &mut Figures,
    ) -> Result<(), TrialError> {
        let agent = fleet.agent_of(server);
        let before = (fleet.usage(GATEWAY)?, fleet.usage(&agent)?);
        let start = Instant::now();
        let call = Call::completion(MODEL, cfg.seed, PROMPT_TOKENS, OUTPUT_TOKENS);
        let call = call.time_limit(TIME_LIMIT);
        let outcomes = self
            .driver
            .run_closed_loop(&call, CLOSED_LOOP_WORKERS, cfg.load_duration / 2)
            .await;
        let elapsed = start.elapsed().as_secs_f64();
        let after = (fleet.usage(GATEWAY)?, fleet.usage(&agent)?);
        let summary = Summary::of(&outcomes, TIME_LIMIT);
        let completed = summary.in_time as f64;
        let gateway_core_seconds = after.0.cpu_since(&before.0).as_secs_f64();
        let agent_core_seconds = after.1.cpu_since(&before.1).as_secs_f64();
        figures.add("busy_requests_per_second", completed / elapsed);
        figures.add("busy_refused", summary.refused as f64);
        figures.add(
            "busy_failed",
            (summary.failed + summary.silent_failures) as f64,
        );
        figures.add(
            "gateway_requests_per_core_second",
            completed / gateway_core_seconds,
        );
        figures.add(
            "agent_requests_per_core_second",
            completed / agent_core_seconds,
        );
        figures.add(
            "gateway_resident_mib",
            after.0.resident_bytes as f64 / BYTES_PER_MIB,
        );
        figures.add(
            "agent_resident_mib",
            after.1.resident_bytes as f64 / BYTES_PER_MIB,
        );
        Ok(())
    }

    /// Sends many long prompts at once and reports the gateway's peak memory.
    async fn measure_peak_memory(
        &self,
        fleet: &mut Fleet,
        cfg: ScenarioConfig,
        figures: &mut Figures,
    ) -> Result<(), TrialError> {
        let calls = (0..LONG_PROMPTS as u64).map(|number| {
            let seed = cfg.seed ^ number;
            Call::completion(MODEL, seed, LONG_PROMPT_TOKENS, OUTPUT_TOKENS).time_limit(TIME_LIMIT)
        });
        let outcomes = self.driver.send_all(calls, self.gateway).await;
        let summary = Summary::of(&outcomes, TIME_LIMIT);
        let with_retry_after = outcomes.iter().filter(|outcome| {
            matches!(
                outcome.end,
                crate::caller::End::Refused {
                    retry_after: Some(_),
                    ..
                }
            )
        });
        figures.add("long_whole", summary.in_time as f64);
        figures.add("long_refused", summary.refused as f64);
        figures.add(
            "long_refused_with_retry_after",
            with_retry_after.count() as f64,
        );
        figures.at_most("long_failed", summary.failed as f64, 0.0);
        figures.at_most("long_dishonest", summary.silent_failures as f64, 0.0);
        let peak = fleet.usage(GATEWAY)?.peak_resident_bytes as f64 / BYTES_PER_MIB;
        let limit = MAX_BODY_MEMORY_MIB as f64 + MAX_OTHER_MEMORY_MIB;
        figures.at_most("gateway_peak_mib", peak, limit);
        Ok(())
    }

    async fn send_to_engine(&self, seed: u64) -> Outcome {
        let call = Call::completion(MODEL, seed, PROMPT_TOKENS, OUTPUT_TOKENS)
            .header("x-attempt-id", &format!("{seed:032x}-1"))
            .header("x-priority", "0")
            .header("x-prompt-tokens", &PROMPT_TOKENS.to_string())
            .header("x-max-tokens", &OUTPUT_TOKENS.to_string());
        self.driver.send(call, self.engine).await
    }

    async fn send_through_gateway(&self, seed: u64) -> Outcome {
        let call = Call::completion(MODEL, seed, PROMPT_TOKENS, OUTPUT_TOKENS);
        let call = call.time_limit(TIME_LIMIT);
        self.driver.send(call, self.gateway).await
    }
}
