//! Runs a model engine stand-in.

use standins::cli::{command, flag, parse_flag, serve};
use standins::{EngineSpec, EngineStandin};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

fn main() -> io::Result<()> {
    let matches = command("engine")
        .arg(flag("prefill-rate", "20000", "Prompt tokens a second"))
        .arg(flag(
            "decode-ms",
            "15",
            "Milliseconds of an empty decode step",
        ))
        .arg(flag("memory-tokens", "400000", "Memory, in tokens"))
        .arg(flag("cache-tokens", "100000", "Prefix cache, in tokens"))
        .arg(flag("warm-limit", "64", "Requests borne at once when warm"))
        .arg(flag(
            "cold-limit",
            "2",
            "Requests borne at once in cold start",
        ))
        .arg(flag(
            "warm-up-ms",
            "10000",
            "Busy milliseconds that end a cold start",
        ))
        .arg(flag(
            "starts-cold",
            "true",
            "Whether it begins in cold start",
        ))
        .arg(flag(
            "can-suspend",
            "true",
            "Whether it can suspend a request",
        ))
        .arg(flag(
            "checks-fencing",
            "true",
            "Whether it refuses old fencing numbers",
        ))
        .arg(flag(
            "checks-identity",
            "false",
            "Whether it refuses orders without identity",
        ))
        .arg(flag(
            "models",
            "",
            "Models loaded at the start, as name@version,…",
        ))
        .arg(flag("weights", "", "Address of the weight store"))
        .get_matches();
    let models: String = parse_flag(&matches, "models")?;
    let names = models.split(',').filter(|name| !name.is_empty());
    let spec = EngineSpec {
        prefill_rate: parse_flag(&matches, "prefill-rate")?,
        decode_base: Duration::from_millis(parse_flag(&matches, "decode-ms")?),
        memory_tokens: parse_flag(&matches, "memory-tokens")?,
        cache_tokens: parse_flag(&matches, "cache-tokens")?,
        warm_limit: parse_flag(&matches, "warm-limit")?,
        cold_limit: parse_flag(&matches, "cold-limit")?,
        warm_up: Duration::from_millis(parse_flag(&matches, "warm-up-ms")?),
        starts_cold: parse_flag(&matches, "starts-cold")?,
        can_suspend: parse_flag(&matches, "can-suspend")?,
        checks_fencing: parse_flag(&matches, "checks-fencing")?,
        checks_identity: parse_flag(&matches, "checks-identity")?,
        models: names.map(Into::into).collect(),
        checks_model: !models.is_empty(),
        ..EngineSpec::default()
    };
    let weights: String = parse_flag(&matches, "weights")?;
    let weights: Option<SocketAddr> = match &*weights {
        "" => None,
        _ => Some(parse_flag(&matches, "weights")?),
    };
    serve(&matches, |executor, address| {
        EngineStandin::bind(executor, address, spec, weights)
    })
}
