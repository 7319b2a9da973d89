//! Settings that gateways and agents have in common.

use crate::settings::{SettingsReader, flag};
use clap::Arg;
use platform::PlatformConfig;
use proto::{DomainId, HostId, NodeId};
use runtime::{LinkEndpoint, LogFormat, TlsFiles, watch_link_tls};
use slog::{Level, Logger};
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

const DEFAULT_THREADS: usize = 2;
const MAX_THREADS: usize = 256;
const DEFAULT_POLL_SECONDS: u64 = 2;
const MAX_POLL_SECONDS: u64 = 3600;
const DEFAULT_TIMELINE_EVENTS: usize = 8192;
const MAX_TIMELINE_EVENTS: usize = 1 << 20;
const DEFAULT_NEIGHBOURS: usize = 4;
const MAX_NEIGHBOURS: usize = 64;
const DEFAULT_TLS_WATCH_SECONDS: u64 = 10;
const MAX_TLS_WATCH_SECONDS: u64 = 86_400;
const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Settings that gateways and agents have in common; [`node_args`] lists the flags.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Address to listen on: TCP for HTTP, UDP for QUIC.
    pub listen: SocketAddr,
    /// Name of the process, as in its certificate.
    pub node: NodeId,
    /// Name of the host that the process runs on.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Addresses of the table service, the object store and the host list.
    pub platform: PlatformConfig,
    /// Certificate files for links between processes.
    pub tls: TlsFiles,
    /// Interval between checks for changed certificate files.
    pub tls_watch_interval: Duration,
    /// Output format of the log.
    pub log_format: LogFormat,
    /// Lowest severity that is logged.
    pub log_level: Level,
    /// Number of executor threads.
    pub threads: usize,
    /// Mean interval between polls of the platform.
    pub poll_interval: Duration,
    /// Number of neighbours that new configurations are pushed to; zero disables gossip, so that
    /// configurations come from polls alone.
    pub neighbours: usize,
    /// Number of timeline events kept in memory.
    pub timeline_events: usize,
}

/// The command line flags that [`NodeSettings::read`] reads.
pub fn node_args() -> Vec<Arg> {
    vec![
        flag(
            "listen",
            "IP:PORT",
            "Address to listen on: TCP for HTTP, UDP for links",
        ),
        flag(
            "node",
            "NAME",
            "Name of this process, as in its certificate",
        ),
        flag("host", "NAME", "Name of the host it runs on"),
        flag("domain", "NAME", "Failure domain of the host"),
        flag("table", "IP:PORT", "Table service"),
        flag("objects", "IP:PORT", "Object store"),
        flag("host-list", "IP:PORT", "Host list"),
        flag(
            "authority",
            "FILE",
            "Certificates of the trusted authorities, PEM",
        ),
        flag(
            "certificate",
            "FILE",
            "Certificate chain of this process, PEM",
        ),
        flag("key", "FILE", "Private key of this process, PEM"),
        flag(
            "tls-watch-seconds",
            "N",
            "Seconds between looks for changed certificates [default: 10]",
        ),
        flag("log-format", "FORMAT", "text or json [default: text]"),
        flag(
            "log-level",
            "LEVEL",
            "error, warning, info or debug [default: info]",
        ),
        flag("threads", "N", "Threads [default: 2]"),
        flag(
            "poll-seconds",
            "N",
            "Mean seconds between polls of the platform [default: 2]",
        ),
        flag(
            "neighbours",
            "N",
            "Neighbours that configurations are pushed to, 0 for polls alone [default: 4]",
        ),
        flag(
            "timeline-events",
            "N",
            "Events kept of the time line [default: 8192]",
        ),
    ]
}

impl NodeSettings {
    /// Reads and checks the settings. Errors are collected in `reader`; `None` if a required value
    /// is missing or invalid.
    pub fn read(reader: &mut SettingsReader<'_>) -> Option<Self> {
        let listen = reader.required("listen");
        let node = reader.required::<String>("node");
        let host = reader.required::<String>("host");
        let domain = reader.required::<String>("domain");
        let table = reader.required("table");
        let objects = reader.required("objects");
        let hosts = reader.required("host-list");
        let authority = readable_file(reader, "authority");
        let certificate = readable_file(reader, "certificate");
        let key = readable_file(reader, "key");
        let log_format = reader.optional("log-format").unwrap_or(LogFormat::Text);
        let log_level = log_level(reader);
        let threads = reader.bounded("threads", DEFAULT_THREADS, 1, MAX_THREADS);
        let poll = reader.bounded("poll-seconds", DEFAULT_POLL_SECONDS, 1, MAX_POLL_SECONDS);
        let tls_watch = reader.bounded(
            "tls-watch-seconds",
            DEFAULT_TLS_WATCH_SECONDS,
            1,
            MAX_TLS_WATCH_SECONDS,
        );
        let neighbours = reader.bounded("neighbours", DEFAULT_NEIGHBOURS, 0, MAX_NEIGHBOURS);
        let timeline_events = reader.bounded(
            "timeline-events",
            DEFAULT_TIMELINE_EVENTS,
            1,
            MAX_TIMELINE_EVENTS,
        );
        let platform = PlatformConfig {
            table: table?,
            objects: objects?,
            hosts: hosts?,
            call_timeout: PLATFORM_CALL_TIMEOUT,
        };
        Some(Self {
            listen: listen?,
            node: node?.into(),
            host: host?.into(),
            domain: domain?.into(),
            platform,
            tls: TlsFiles {
                authority: authority?,
                certificate: certificate?,
                key: key?,
            },
            tls_watch_interval: Duration::from_secs(tls_watch),
            log_format,
            log_level,
            threads,
            poll_interval: Duration::from_secs(poll),
            neighbours,
            timeline_events,
        })
    }
}

impl NodeSettings {
    /// Reloads the certificate files of `link` whenever they change, for as long as it is polled.
    pub fn watch_tls(
        &self,
        link: &Arc<LinkEndpoint>,
        log: &Logger,
    ) -> impl Future<Output = ()> + Send + 'static {
        watch_link_tls(
            link.clone(),
            self.tls.clone(),
            self.tls_watch_interval,
            log.clone(),
        )
    }
}

fn readable_file(reader: &mut SettingsReader<'_>, flag: &'static str) -> Option<PathBuf> {
    let path = reader.required::<PathBuf>(flag)?;
    if let Err(err) = File::open(&path) {
        reader.add_error(flag, &format!("{}: {err}", path.display()));
    }
    Some(path)
}

fn log_level(reader: &mut SettingsReader<'_>) -> Level {
    let text = reader.optional::<String>("log-level");
    match text.as_deref().map(|text| (text, text.parse())) {
        None => Level::Info,
        Some((_, Ok(level))) => level,
        Some((text, Err(()))) => {
            reader.add_error("log-level", &format!("{text:?} is no level"));
            Level::Info
        }
    }
}
