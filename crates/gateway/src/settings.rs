//! Settings of the subcommand `serve`.

use clap::{Arg, ArgMatches};
use node::{NodeSettings, SettingErrors, SettingsReader, flag};
use runtime::CallerTlsFiles;
use std::path::PathBuf;
use std::time::Duration;

const MIB: u64 = 1 << 20;
const DEFAULT_BODY_MEMORY_MIB: u64 = 256;
const BODY_MIB_UPPER_BOUND: u64 = 1 << 20;
const DEFAULT_MAX_BODY_MIB: u64 = 16;
const DEFAULT_TIME_LIMIT_SECONDS: u64 = 300;
const MAX_DURATION_SECONDS: u64 = 86_400;
const DEFAULT_BODY_TIMEOUT_SECONDS: u64 = 30;
const DEFAULT_GRACE_PERIOD_SECONDS: u64 = 1;
const DEFAULT_DRAIN_TIMEOUT_SECONDS: u64 = 600;
const DEFAULT_MAX_CONNECTIONS: usize = 4096;
const CONNECTIONS_UPPER_BOUND: usize = 1 << 20;
const DEFAULT_MAX_ATTEMPTS: u32 = 3;
const ATTEMPTS_UPPER_BOUND: u32 = 16;

/// Settings of a gateway, from flags and environment variables.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Settings that gateways and agents share.
    pub node: NodeSettings,
    /// Certificate and key for callers' connections; `None` for plain HTTP.
    pub caller_tls: Option<CallerTlsFiles>,
    /// Memory for the bodies of all requests in flight, in bytes.
    pub body_memory_bytes: u64,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Time limit of a request that sets none.
    pub default_time_limit: Duration,
    /// Longest time limit; longer limits of requests are reduced to it.
    pub max_time_limit: Duration,
    /// Time in which the body of a request must arrive.
    pub body_timeout: Duration,
    /// Time after SIGTERM during which new connections are still accepted.
    pub grace_period: Duration,
    /// Time after the grace period in which open requests may finish.
    pub drain_timeout: Duration,
    /// Limit on open connections of callers.
    pub max_connections: usize,
    /// Limit on attempts at one request, including the first.
    pub max_attempts: u32,
    /// File to write a trace of requests and outcomes to; `None` to record no trace.
    pub trace_file: Option<PathBuf>,
}

/// Flags of a gateway that agents don't have.
pub fn gateway_args() -> Vec<Arg> {
    vec![
        flag(
            "caller-certificate",
            "FILE",
            "Certificate chain for callers, PEM; plain HTTP without",
        ),
        flag("caller-key", "FILE", "Private key of that certificate, PEM"),
        flag(
            "body-memory-mib",
            "MIB",
            "Memory for bodies of requests [default: 256]",
        ),
        flag(
            "request-mib",
            "MIB",
            "Longest body of a request [default: 16]",
        ),
        flag(
            "default-time-seconds",
            "N",
            "Time of a request that names none [default: 300]",
        ),
        flag(
            "longest-time-seconds",
            "N",
            "Longest time a request may name [default: 86400]",
        ),
        flag(
            "body-seconds",
            "N",
            "Time for a body to arrive [default: 30]",
        ),
        flag(
            "grace-seconds",
            "N",
            "Time after SIGTERM for new connections [default: 1]",
        ),
        flag(
            "drain-seconds",
            "N",
            "Longest graceful shutdown [default: 600]",
        ),
        flag(
            "connections",
            "N",
            "Open connections of callers [default: 4096]",
        ),
        flag("attempts", "N", "Most attempts at one request [default: 3]"),
        flag(
            "record",
            "FILE",
            "File to write a trace of requests and outcomes to; none without",
        ),
    ]
}

impl GatewaySettings {
    /// Reads and checks all settings. The error lists every invalid setting.
    pub fn read(matches: &ArgMatches) -> Result<Self, SettingErrors> {
        let mut reader = SettingsReader::new(matches);
        let settings = Self::read_all(&mut reader);
        reader.finish(settings)
    }

    fn read_all(reader: &mut SettingsReader<'_>) -> Option<Self> {
        let node = NodeSettings::read(reader);
        let caller_tls = caller_tls(reader);
        let body_memory = reader.bounded(
            "body-memory-mib",
            DEFAULT_BODY_MEMORY_MIB,
            1,
            BODY_MIB_UPPER_BOUND,
        );
        let max_body = reader.bounded("request-mib", DEFAULT_MAX_BODY_MIB, 1, BODY_MIB_UPPER_BOUND);
        let mut seconds = |flag, default, min| {
            let value = reader.bounded(flag, default, min, MAX_DURATION_SECONDS);
            Duration::from_secs(value)
        };
        let default_time_limit = seconds("default-time-seconds", DEFAULT_TIME_LIMIT_SECONDS, 1);
        let max_time_limit = seconds("longest-time-seconds", MAX_DURATION_SECONDS, 1);
        let body_timeout = seconds("body-seconds", DEFAULT_BODY_TIMEOUT_SECONDS, 1);
        let grace_period = seconds("grace-seconds", DEFAULT_GRACE_PERIOD_SECONDS, 0);
        let drain_timeout = seconds("drain-seconds", DEFAULT_DRAIN_TIMEOUT_SECONDS, 1);
        let max_connections = reader.bounded(
            "connections",
            DEFAULT_MAX_CONNECTIONS,
            1,
            CONNECTIONS_UPPER_BOUND,
        );
        let max_attempts =
            reader.bounded("attempts", DEFAULT_MAX_ATTEMPTS, 1, ATTEMPTS_UPPER_BOUND);
        let trace_file = reader.optional("record");
        if default_time_limit > max_time_limit {
            reader.add_error("default-time-seconds", "is over --longest-time-seconds");
        }
        Some(Self {
            node: node?,
            caller_tls,
            body_memory_bytes: body_memory * MIB,
            max_body_bytes: max_body * MIB,
            default_time_limit,
            max_time_limit,
            body_timeout,
            grace_period,
            drain_timeout,
            max_connections,
            max_attempts,
            trace_file,
        })
    }
}

fn caller_tls(reader: &mut SettingsReader<'_>) -> Option<CallerTlsFiles> {
    let certificate = reader.optional::<PathBuf>("caller-certificate");
    let key = reader.optional::<PathBuf>("caller-key");
    match (certificate, key) {
        (Some(certificate), Some(key)) => Some(CallerTlsFiles { certificate, key }),
        (None, None) => None,
        (Some(_), None) => {
            reader.add_error("caller-key", "is missing beside --caller-certificate");
            None
        }
        (None, Some(_)) => {
            reader.add_error("caller-certificate", "is missing beside --caller-key");
            None
        }
    }
}
