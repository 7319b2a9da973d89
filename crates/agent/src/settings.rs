//! Settings of an agent.

use clap::{Arg, ArgMatches};
use node::{NodeSettings, SettingErrors, SettingsReader, flag};
use proto::ServerId;
use std::net::SocketAddr;
use std::time::Duration;

const MIB: u64 = 1 << 20;
const DEFAULT_BODY_MIB: u64 = 2048;
const MAX_BODY_MIB: u64 = 1 << 20;
const DEFAULT_GRACE_SECONDS: u64 = 1;
const DEFAULT_DRAIN_SECONDS: u64 = 600;
const MAX_DRAIN_SECONDS: u64 = 86_400;
const DEFAULT_QUEUE: usize = 1024;
const MAX_QUEUE: usize = 1 << 20;
const DEFAULT_WEIGHT_MIB: u64 = 1024;
const MAX_WEIGHT_MIB: u64 = 1 << 20;

/// Settings of an agent.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// What it shares with gateways.
    pub node: NodeSettings,
    /// The backend server.
    pub server: ServerId,
    /// Where the backend server listens.
    pub backend: SocketAddr,
    /// Bytes that bodies of waiting and running attempts may take.
    pub body_memory_bytes: u64,
    /// Attempts that may wait.
    pub queue_limit: usize,
    /// Rate of the weight store, in bytes a second, that all loads together keep to.
    pub weight_rate: f64,
    /// Time after SIGTERM during which offers are refused before the links close.
    pub grace_period: Duration,
    /// Time that a graceful shutdown may take.
    pub drain_timeout: Duration,
}

/// The flags that only agents have.
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
    /// Reads and checks all settings.
    pub fn read(matches: &ArgMatches) -> Result<Self, SettingErrors> {
        let mut reader = SettingsReader::new(matches);
        let settings = Self::gather(&mut reader);
        reader.finish(settings)
    }

    fn gather(reader: &mut SettingsReader<'_>) -> Option<Self> {
        let node = NodeSettings::read(reader);
        let server = reader.required::<String>("server");
        let backend = reader.required("backend");
        let body = reader.bounded("body-memory-mib", DEFAULT_BODY_MIB, 1, MAX_BODY_MIB);
        let queue_limit = reader.bounded("queue-limit", DEFAULT_QUEUE, 1, MAX_QUEUE);
        let grace = reader.bounded("grace-seconds", DEFAULT_GRACE_SECONDS, 0, MAX_DRAIN_SECONDS);
        let drain = reader.bounded("drain-seconds", DEFAULT_DRAIN_SECONDS, 1, MAX_DRAIN_SECONDS);
        let weights = reader.bounded("weight-rate-mib", DEFAULT_WEIGHT_MIB, 1, MAX_WEIGHT_MIB);
        Some(Self {
            node: node?,
            server: server?.into(),
            backend: backend?,
            body_memory_bytes: body * MIB,
            queue_limit,
            weight_rate: (weights * MIB) as f64,
            grace_period: Duration::from_secs(grace),
            drain_timeout: Duration::from_secs(drain),
        })
    }
}
