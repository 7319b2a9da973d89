//! Service while a failure domain is taken out and brought back, against nodes that only poll.

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
/// Share of what the other domains' engines can prefill.
const LOAD: f64 = 0.7;
/// Share of the load that short prompts make.
const SHORT_LOAD: f64 = 0.2;
const SHORT_MEAN: f64 = 3_366.0;
const LONG_MEAN: f64 = 42_000.0;
const TIME_LIMIT: Duration = Duration::from_secs(60);
const GRACE: Duration = Duration::from_secs(3);
const IN_FORCE_TIME: Duration = Duration::from_secs(20);
const SHORT: usize = 0;

/// What one run measured.
struct Run {
    before: Summary,
    during: Summary,
    all: Summary,
    in_force: Option<Duration>,
    late_dispatches: u64,
    back_dispatches: u64,
    samples: Vec<Sample>,
}

/// Runs the scenario.
pub async fn run(executor: &Executor, cfg: ScenarioConfig) -> Result<Figures, TrialError> {
    let mut figures = Figures::new("domain-out", cfg.seed);
    let spread = measure(executor, cfg, &[]).await?;
    let polls = measure(executor, cfg, &["--neighbours", "0"]).await?;
    figures.add("load_of_remaining", LOAD);
    figures.add("requests", spread.all.sent as f64);
    figures.at_most("failed", spread.all.failed as f64, 0.0);
    figures.at_most("dishonest", spread.all.silent_failures as f64, 0.0);
    figures.add("refused", spread.all.refused as f64);
    let before = quantile_ms(&spread.before.first_token, 0.95);
    let during = quantile_ms(&spread.during.first_token, 0.95);
    figures.add("short_first_p95_before_ms", before);
    figures.add("short_first_p95_during_ms", during);
    figures.at_most("short_first_p95_ratio", during / before, 1.5);
    figures.at_most("dispatches_after_3_s", spread.late_dispatches as f64, 0.0);
    figures.at_least(
        "dispatches_after_return",
        spread.back_dispatches as f64,
        1.0,
    );
    figures.add("in_force_ms", millis(spread.in_force));
    figures.add("polls_in_force_ms", millis(polls.in_force));
    figures.add("polls_dispatches_after_3_s", polls.late_dispatches as f64);
    figures.add("polls_failed", polls.all.failed as f64);
    let before = quantile_ms(&polls.before.first_token, 0.95);
    let during = quantile_ms(&polls.during.first_token, 0.95);
    figures.add("polls_short_first_p95_ratio", during / before);
    figures.add_run("pushed", &spread.samples);
    figures.add_run("polls alone", &polls.samples);
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
    // A third before the move, a third out, a third after the return.
    let third = cfg.load_duration.max(3 * GRACE) / 3 + GRACE;
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
    let out = operator.execute("take domain nitra-c out", None).await?;
    let committed = Instant::now();
    let in_force = operator
        .wait_active(out.version(), nodes, IN_FORCE_TIME)
        .await?;
    Timer::at(committed + GRACE).await;
    let after_grace = dispatches(&fleet);
    Timer::at(start + 2 * third).await;
    let late_dispatches = dispatches(&fleet) - after_grace;
    let before_return = dispatches(&fleet);
    operator.execute("bring domain nitra-c back", None).await?;
    let samples = load.await;
    report_failures(&samples);
    let of = |from: Duration, to: Duration| {
        let chosen: Vec<Sample> = samples
            .iter()
            .filter(|sample| sample.arrival.at >= from && sample.arrival.at < to)
            .cloned()
            .collect();
        Summary::of_class(&chosen, &plan, SHORT)
    };
    Ok(Run {
        before: of(Duration::ZERO, third),
        during: of(third, 3 * third),
        all: Summary::of(samples.iter().map(|sample| &sample.outcome), TIME_LIMIT),
        in_force,
        late_dispatches,
        back_dispatches: dispatches(&fleet) - before_return,
        samples,
    })
}

/// Names each request that was neither answered nor honestly refused.
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
            class("short", SHORT_LOAD, SHORT_MEAN, 1_000..=8_000),
            class("long", LOAD - SHORT_LOAD, LONG_MEAN, 20_000..=80_000),
        ],
    )
}

/// Requests that the engines of the domain have been given.
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
