//! Measures how large declarations and a change of one route spread over direct gateways as processes: time
//! in force, bytes from peers, memory.

use clap::{Arg, ArgMatches, Command, value_parser};
use runtime::Executor;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use trials::{DirectGateway, DirectRig, TrialError};

/// Size of a further route, in bytes.
const ROUTE_BYTES: usize = 227;
const TIME_LIMIT: Duration = Duration::from_secs(60);
const VERSION_METRIC: &str = "bergamothold_direct_declarations_version";
const BYTES_METRIC: &str = "bergamothold_direct_content_bytes_total";
const BYTES_PER_MIB: f64 = 1_048_576.0;

fn metric(page: &str, name: &str) -> f64 {
    let lines = page.lines().filter(|line| line.starts_with(name));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}

/// Mean bytes of declarations that a gateway has had from peers.
async fn bytes_from_peers(gateways: &[Arc<DirectGateway>]) -> Result<f64, TrialError> {
    let mut sum = 0.0;
    for gateway in gateways {
        sum += metric(&gateway.metrics().await?, BYTES_METRIC);
    }
    Ok(sum / gateways.len() as f64)
}

/// Waits until a gateway has a version, and returns when it was seen there.
async fn seen_after(
    gateway: Arc<DirectGateway>,
    version: u64,
    poll_interval: Duration,
    start: Instant,
) -> Duration {
    let has_version = async || {
        let page = gateway.metrics().await;
        page.is_ok_and(|page| metric(&page, VERSION_METRIC) >= version as f64)
    };
    while start.elapsed() < TIME_LIMIT && !has_version().await {
        async_io::Timer::after(poll_interval).await;
    }
    start.elapsed()
}

/// Waits until all gateways have a version, and prints how long that took and what it cost.
async fn report(
    rig: &DirectRig,
    gateways: &[Arc<DirectGateway>],
    version: u64,
    poll_interval: Duration,
    bytes_before: f64,
    label: &str,
) -> Result<(), TrialError> {
    let start = Instant::now();
    let waits = gateways.iter().cloned();
    let waits = waits.map(|gateway| {
        rig.executor()
            .spawn(seen_after(gateway, version, poll_interval, start))
    });
    let waits: Vec<_> = waits.collect();
    let mut times = Vec::new();
    for wait in waits {
        times.push(wait.await);
    }
    times.sort_unstable();
    let bytes = bytes_from_peers(gateways).await? - bytes_before;
    let peaks = gateways
        .iter()
        .map(|gateway| gateway.process.usage().peak_resident_bytes);
    let peak = peaks.max().unwrap_or_default() as f64 / BYTES_PER_MIB;
    let fell_back = gateways.iter().filter(|gateway| {
        let text = "reading it itself";
        gateway.process.has_logged(text)
    });
    println!(
        "{label}: median {} ms, slowest {} ms, {bytes:.0} bytes from peers a gateway, peak {peak:.1} MiB, \
         {} have read the store themselves",
        times[times.len() / 2].as_millis(),
        times[times.len() - 1].as_millis(),
        fell_back.count(),
    );
    Ok(())
}

async fn measure(
    executor: &Executor,
    count: usize,
    bytes: usize,
    poll_interval: Duration,
    settle_time: Duration,
) -> Result<(), TrialError> {
    let rig = DirectRig::start(executor)?;
    rig.write_declarations(3, &["key-1"]);
    let mut gateways = Vec::new();
    // The rig's own gateway is one of them.
    for n in 1..count {
        let gateway = rig.add_gateway(&format!("frontend-{n}"), rig.store.local_addr())?;
        gateways.push(Arc::new(gateway));
    }
    let start = Instant::now();
    for gateway in &gateways {
        seen_after(gateway.clone(), 3, poll_interval, start).await;
    }
    async_io::Timer::after(settle_time).await;
    let routes = bytes / ROUTE_BYTES;
    let label = format!("{count} gateways, {:.1} MB", bytes as f64 / 1e6);
    let before = bytes_from_peers(&gateways).await?;
    rig.write_large_declarations(4, &["key-1"], routes);
    report(
        &rig,
        &gateways,
        4,
        poll_interval,
        before,
        &format!("{label}, whole"),
    )
    .await?;
    async_io::Timer::after(settle_time).await;
    let before = bytes_from_peers(&gateways).await?;
    rig.write_large_declarations(5, &["key-1"], routes + 1);
    report(
        &rig,
        &gateways,
        5,
        poll_interval,
        before,
        &format!("{label}, one route"),
    )
    .await?;
    Ok(())
}

fn arguments() -> ArgMatches {
    let number = |name, default| {
        let arg = Arg::new(name).long(name).default_value(default);
        arg.value_parser(value_parser!(usize))
    };
    Command::new("content-spread")
        .arg(number("gateways", "24").help("Number of gateways"))
        .arg(number("bytes", "1000000").help("Size of the declarations"))
        .arg(number("poll-ms", "10").help("Time between two looks at a gateway's metrics"))
        .arg(number("settle-s", "6").help(
            "Time for the gateways to find each other, and for all but six to leave the store",
        ))
        .get_matches()
}

fn main() -> ExitCode {
    let args = arguments();
    let number = |name| args.get_one::<usize>(name).copied().unwrap_or_default();
    let (count, bytes) = (number("gateways"), number("bytes"));
    let poll_interval = Duration::from_millis(number("poll-ms") as u64);
    let settle_time = Duration::from_secs(number("settle-s") as u64);
    let measured = Executor::run(2, |executor| async move {
        measure(&executor, count, bytes, poll_interval, settle_time).await
    });
    match measured {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}
