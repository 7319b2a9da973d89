//! Settings of a gateway.

use clap::{Arg, ArgMatches};
use node::{NodeSettings, SettingErrors, SettingsReader, flag};
use runtime::CallerTlsFiles;
use std::path::PathBuf;
use std::time::Duration;

const MIB: u64 = 1 << 20;
const DEFAULT_BODY_MIB: u64 = 256;
const MAX_BODY_MIB: u64 = 1 << 20;
const DEFAULT_REQUEST_MIB: u64 = 16;
const DEFAULT_TIME_SECONDS: u64 = 300;
const MAX_TIME_SECONDS: u64 = 86_400;
const DEFAULT_BODY_SECONDS: u64 = 30;
const DEFAULT_GRACE_SECONDS: u64 = 1;
const DEFAULT_DRAIN_SECONDS: u64 = 600;
const DEFAULT_CONNECTIONS: usize = 4096;
const MAX_CONNECTIONS: usize = 1 << 20;
const DEFAULT_ATTEMPTS: u32 = 3;
const MAX_ATTEMPTS: u32 = 16;

/// Settings of a gateway.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// What it shares with agents.
    pub node: NodeSettings,
    /// Certificate that callers are shown; none for plain HTTP.
    pub caller_tls: Option<CallerTlsFiles>,
    /// Bytes that bodies of all requests may take at once.
    pub body_bytes: u64,
    /// Bytes of one request's body.
    pub request_bytes: u64,
    /// Time of a request that names none.
    pub default_time: Duration,
    /// Longest time that a request may name.
    pub longest_time: Duration,
    /// Time for a request's body to arrive.
    pub body_time: Duration,
    /// Time after SIGTERM during which new connections are still taken.
    pub grace_time: Duration,
    /// Time that a graceful shutdown may take.
    pub drain_time: Duration,
    /// Open connections of callers.
    pub connections: usize,
    /// Most attempts at one request.
    pub attempts: u32,
    /// File that a trace of requests and outcomes is written to.
    pub record: Option<PathBuf>,
}

/// The flags that only gateways have.
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
    /// Reads and checks all settings.
    pub fn read(matches: &ArgMatches) -> Result<Self, SettingErrors> {
        let mut reader = SettingsReader::new(matches);
        let settings = Self::gather(&mut reader);
        reader.finish(settings)
    }

    fn gather(reader: &mut SettingsReader<'_>) -> Option<Self> {
        let node = NodeSettings::read(reader);
        let caller_tls = caller_tls(reader);
        let body = reader.bounded("body-memory-mib", DEFAULT_BODY_MIB, 1, MAX_BODY_MIB);
        let request = reader.bounded("request-mib", DEFAULT_REQUEST_MIB, 1, MAX_BODY_MIB);
        let mut seconds = |flag, default, least| {
            let value = reader.bounded(flag, default, least, MAX_TIME_SECONDS);
            Duration::from_secs(value)
        };
        let default_time = seconds("default-time-seconds", DEFAULT_TIME_SECONDS, 1);
        let longest_time = seconds("longest-time-seconds", MAX_TIME_SECONDS, 1);
        let body_time = seconds("body-seconds", DEFAULT_BODY_SECONDS, 1);
        let grace_time = seconds("grace-seconds", DEFAULT_GRACE_SECONDS, 0);
        let drain_time = seconds("drain-seconds", DEFAULT_DRAIN_SECONDS, 1);
        let connections = reader.bounded("connections", DEFAULT_CONNECTIONS, 1, MAX_CONNECTIONS);
        let attempts = reader.bounded("attempts", DEFAULT_ATTEMPTS, 1, MAX_ATTEMPTS);
        let record = reader.optional("record");
        if default_time > longest_time {
            reader.add_error("default-time-seconds", "is over --longest-time-seconds");
        }
        Some(Self {
            node: node?,
            caller_tls,
            body_bytes: body * MIB,
            request_bytes: request * MIB,
            default_time,
            longest_time,
            body_time,
            grace_time,
            drain_time,
            connections,
            attempts,
            record,
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
