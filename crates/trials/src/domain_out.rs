//! Scenario that takes a failure domain out and back under load, and compares nodes that exchange
//! configurations by gossip with nodes that only poll the store.

use crate::driver::{Driver, Sample, Summary, quantile_ms};
use crate::error::TrialError;
use crate::figures::Figures;
use crate::fleet::Fleet;
use crate::fleet_config::{FleetConfig, MODEL, TEAM_KEY};
use crate::operator::Operator;
use crate::plan::{LoadPlan, RequestClass};
use crate::scenario::ScenarioConfig;
use async_io::Timer;
use runtime::Executor;
use std::time::{Duration, Instant};

const DOMAIN: &str = "nitra-c";
const ENGINES_PER_DOMAIN: usize = 2;
const DOMAINS: usize = 3;
const PREFILL_RATE: f64 = 20_000.0;
/// Load, as a fraction of the prefill rate of the other domains' engines.
const LOAD_FRACTION: f64 = 0.7;
/// Part of the load that consists of short prompts, as a fraction of the same prefill rate.
const SHORT_LOAD_FRACTION: f64 = 0.2;
/// Mean prompt tokens of the class `short`.
const SHORT_MEAN_TOKENS: f64 = 3_366.0;
/// Mean prompt tokens of the class `long`.
const LONG_MEAN_TOKENS: f64 = 42_000.0;
const TIME_LIMIT: Duration = Duration::from_secs(60);
/// Time after the commit from which the domain must not receive requests.
const DISPATCH_GRACE: Duration = Duration::from_secs(3);
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(20);
const SHORT_CLASS: usize = 0;

/// Results of one run.
struct Run {
    /// Short prompts due before the domain was taken out.
    before: Summary,
    /// Short prompts due after that, including the time after the return.
    during: Summary,
    all: Summary,
    /// Time until the change was active at all nodes; absent if that took too long.
    activation_time: Option<Duration>,
    /// Dispatches to the domain while it was out, after the grace time.
    late_dispatches: u64,
    /// Dispatches to the domain after it was brought back.
    dispatches_after_return: u64,
    samples: Vec<Sample>,
}

/// Runs the scenario with gossip, and again without it.
pub async fn run(executor: &Executor, cfg: ScenarioConfig) -> Result<Figures, TrialError> {
    let mut figures = Figures::new("domain-out", cfg.seed);
    let gossip = measure(executor, cfg, &[]).await?;
    let polling = measure(executor, cfg, &["--neighbours", "0"]).await?;
    figures.add("load_of_remaining", LOAD_FRACTION);
    figures.add("requests", gossip.all.sent as f64);
    figures.at_most("failed", gossip.all.failed as f64, 0.0);
    figures.at_most("dishonest", gossip.all.silent_failures as f64, 0.0);
    figures.add("refused", gossip.all.refused as f64);
    let before = quantile_ms(&gossip.before.first_token, 0.95);
    let during = quantile_ms(&gossip.during.first_token, 0.95);
    figures.add("short_first_p95_before_ms", before);
    figures.add("short_first_p95_during_ms", during);
    figures.at_most("short_first_p95_ratio", during / before, 1.5);
    figures.at_most("dispatches_after_3_s", gossip.late_dispatches as f64, 0.0);
    figures.at_least(
        "dispatches_after_return",
        gossip.dispatches_after_return as f64,
        1.0,
    );
    figures.add("in_force_ms", millis(gossip.activation_time));
    figures.add("polls_in_force_ms", millis(polling.activation_time));
    figures.add("polls_dispatches_after_3_s", polling.late_dispatches as f64);
    figures.add("polls_failed", polling.all.failed as f64);
    let before = quantile_ms(&polling.before.first_token, 0.95);
    let during = quantile_ms(&polling.during.first_token, 0.95);
    figures.add("polls_short_first_p95_ratio", during / before);
    figures.add_run("pushed", &gossip.samples);
    figures.add_run("polls alone", &polling.samples);
    Ok(figures)
}

async fn measure(
    executor: &Executor,
    cfg: ScenarioConfig,
    flags: &[&str],
) -> Result<Run, TrialError> {
    let mut fleet_cfg = FleetConfig::with_engines(ENGINES_PER_DOMAIN);
    fleet_cfg.for_each_engine(|spec, _| spec.prefill_rate = PREFILL_RATE);
    let flags = flags.iter().map(|flag| Box::from(*flag));
    fleet_cfg.gateway_flags.extend(flags.clone());
    fleet_cfg.agent_flags.extend(flags);
    let fleet = Fleet::start(executor, &fleet_cfg).await?;
    let driver = Driver::new(executor.clone(), fleet.gateways(), MODEL, TEAM_KEY);
    let nodes = fleet.names().len();
    // The domain is in for a third of the time, out for a third, and in again for a third.
    let third = cfg.load_duration.max(3 * DISPATCH_GRACE) / 3 + DISPATCH_GRACE;
    let plan = plan(cfg.seed, 3 * third);
    let start = Instant::now();
    let load = executor.spawn({
        let plan = plan.clone();
        async move { driver.run(&plan).await }
    });
    let operator = Operator {
        client: fleet.client().clone(),
        gateway: fleet.gateways()[0],
    };
    Timer::at(start + third).await;
    let reply = operator.execute("take domain nitra-c out", None).await?;
    let committed = Instant::now();
    let activation_time = operator
        .wait_active(reply.version(), nodes, ACTIVATION_TIMEOUT)
        .await?;
    Timer::at(committed + DISPATCH_GRACE).await;
    let after_grace = dispatches(&fleet);
    Timer::at(start + 2 * third).await;
    let late_dispatches = dispatches(&fleet) - after_grace;
    let before_return = dispatches(&fleet);
    operator.execute("bring domain nitra-c back", None).await?;
    let samples = load.await;
    report_failures(&samples);
    let summary_between = |from: Duration, to: Duration| {
        let chosen: Vec<Sample> = samples
            .iter()
            .filter(|sample| sample.arrival.at >= from && sample.arrival.at < to)
            .cloned()
            .collect();
        Summary::of_class(&chosen, &plan, SHORT_CLASS)
    };
    Ok(Run {
        before: summary_between(Duration::ZERO, third),
        during: summary_between(third, 3 * third),
        all: Summary::of(samples.iter().map(|sample| &sample.outcome), TIME_LIMIT),
        activation_time,
        late_dispatches,
        dispatches_after_return: dispatches(&fleet) - before_return,
        samples,
    })
}

/// Prints each request that was neither completed in time nor refused as not run.
fn report_failures(samples: &[Sample]) {
    for Sample { arrival, outcome } in samples {
        if !outcome.end.is_whole() && !outcome.end.is_refused() || outcome.total > TIME_LIMIT {
            eprintln!(
                "domain-out: {} tokens due at {:?} ended after {:?}: {:?}",
                arrival.prompt_tokens, arrival.at, outcome.total, outcome.end
            );
        }
    }
}

fn plan(seed: u64, time: Duration) -> LoadPlan {
    let engines = (ENGINES_PER_DOMAIN * (DOMAINS - 1)) as f64;
    let tokens_per_second = engines * PREFILL_RATE;
    let class = |name, load: f64, mean: f64, prompt_tokens| RequestClass {
        name,
        rate: load * tokens_per_second / mean,
        prompt_tokens,
        output_tokens: 4..=32,
        time_limit: TIME_LIMIT,
    };
    LoadPlan::poisson(
        seed,
        time,
        vec![
            class(
                "short",
                SHORT_LOAD_FRACTION,
                SHORT_MEAN_TOKENS,
                1_000..=8_000,
            ),
            class(
                "long",
                LOAD_FRACTION - SHORT_LOAD_FRACTION,
                LONG_MEAN_TOKENS,
                20_000..=80_000,
            ),
        ],
    )
}

/// Requests that the domain's engines have received so far.
fn dispatches(fleet: &Fleet) -> u64 {
    let engines = fleet.backends.engines.iter();
    let inside = engines.filter(|(name, _)| name.contains(DOMAIN));
    let requests = inside.map(|(_, engine)| engine.counts()["requests"].as_u64());
    requests.map(Option::unwrap_or_default).sum()
}

fn millis(time: Option<Duration>) -> f64 {
    const MILLIS_PER_SECOND: f64 = 1e3;
    time.map_or(f64::INFINITY, |time| time.as_secs_f64() * MILLIS_PER_SECOND)
}
