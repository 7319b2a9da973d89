//! Settings of an agent, from flags and environment variables.

use clap::{Arg, ArgMatches};
use node::{NodeSettings, SettingErrors, SettingsReader, flag};
use proto::ServerId;
use std::net::SocketAddr;
use std::time::Duration;

const MIB: u64 = 1 << 20;
const DEFAULT_BODY_MEMORY_MIB: u64 = 2048;
const BODY_MEMORY_MIB_UPPER_BOUND: u64 = 1 << 20;
const DEFAULT_GRACE_PERIOD_SECONDS: u64 = 1;
const DEFAULT_DRAIN_TIMEOUT_SECONDS: u64 = 600;
const MAX_DURATION_SECONDS: u64 = 86_400;
const DEFAULT_QUEUE_LIMIT: usize = 1024;
const QUEUE_LIMIT_UPPER_BOUND: usize = 1 << 20;
const DEFAULT_WEIGHT_RATE_MIB: u64 = 1024;
const WEIGHT_RATE_MIB_UPPER_BOUND: u64 = 1 << 20;

/// Settings of an agent.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// Settings that agents share with gateways.
    pub node: NodeSettings,
    /// Name of the backend server.
    pub server: ServerId,
    /// Address that the backend server listens on.
    pub backend: SocketAddr,
    /// Limit on the total size of the bodies of open attempts, in bytes.
    pub body_memory_bytes: u64,
    /// Maximum number of queued attempts.
    pub queue_limit: usize,
    /// Rate limit of the weight store, in bytes per second, which all loads share.
    pub weight_rate: f64,
    /// Time after SIGTERM during which offers are refused before the links close.
    pub grace_period: Duration,
    /// Time limit of a graceful shutdown, including the grace period.
    pub drain_timeout: Duration,
}

/// Flags that only agents have.
pub fn agent_args() -> Vec<Arg> {
    vec![
        flag(
            "server",
            "NAME",
            "Backend server that this agent stands beside",
        ),
        flag("backend", "IP:PORT", "Where that backend server listens"),
        flag(
            "body-memory-mib",
            "MIB",
            "Memory for bodies of attempts [default: 2048]",
        ),
        flag("queue-limit", "N", "Attempts that may wait [default: 1024]"),
        flag(
            "weight-rate-mib",
            "MIB",
            "Rate of the weight store, a second [default: 1024]",
        ),
        flag(
            "grace-seconds",
            "N",
            "Time after SIGTERM to refuse offers before links close [default: 1]",
        ),
        flag(
            "drain-seconds",
            "N",
            "Longest graceful shutdown [default: 600]",
        ),
    ]
}

impl AgentSettings {
    /// Reads and checks all settings. Fails with all errors, not only the first.
    pub fn read(matches: &ArgMatches) -> Result<Self, SettingErrors> {
        let mut reader = SettingsReader::new(matches);
        let settings = Self::gather(&mut reader);
        reader.finish(settings)
    }

    fn gather(reader: &mut SettingsReader<'_>) -> Option<Self> {
        let node = NodeSettings::read(reader);
        let server = reader.required::<String>("server");
        let backend = reader.required("backend");
        let body_memory = reader.bounded(
            "body-memory-mib",
            DEFAULT_BODY_MEMORY_MIB,
            1,
            BODY_MEMORY_MIB_UPPER_BOUND,
        );
        let queue_limit = reader.bounded(
            "queue-limit",
            DEFAULT_QUEUE_LIMIT,
            1,
            QUEUE_LIMIT_UPPER_BOUND,
        );
        let grace_period = reader.bounded(
            "grace-seconds",
            DEFAULT_GRACE_PERIOD_SECONDS,
            0,
            MAX_DURATION_SECONDS,
        );
        let drain_timeout = reader.bounded(
            "drain-seconds",
            DEFAULT_DRAIN_TIMEOUT_SECONDS,
            1,
            MAX_DURATION_SECONDS,
        );
        let weight_rate = reader.bounded(
            "weight-rate-mib",
            DEFAULT_WEIGHT_RATE_MIB,
            1,
            WEIGHT_RATE_MIB_UPPER_BOUND,
        );
        Some(Self {
            node: node?,
            server: server?.into(),
            backend: backend?,
            body_memory_bytes: body_memory * MIB,
            queue_limit,
            weight_rate: (weight_rate * MIB) as f64,
            grace_period: Duration::from_secs(grace_period),
            drain_timeout: Duration::from_secs(drain_timeout),
        })
    }
}
