//! Gateways as processes, with stand-ins around them, at the sizes of deployments.

use crate::direct_gateway::DirectGateway;
use crate::direct_rig::registration;
use crate::error::TrialError;
use crate::fault_proxy::{FaultProxy, LinkFault};
use crate::loopback::loopback;
use crate::process::Process;
use crate::readiness_check::{ReadinessAnswer, check_readiness};
use crate::soak_log::bad_log_line;
use crate::soak_readiness::{DrainAnswer, ready_in_drain};
use crate::soak_rules::ServerView;
use crate::soak_upsets::{UpsetKind, UpsetLog};
use crate::temp_dir::TempDir;
use crate::udp_proxy::UdpProxy;
use async_io::Timer;
use async_lock::Mutex;
use futures_lite::future::or;
use runtime::Executor;
use standins::{EnginePace, PlatformServer, PlatformStore, ServerKind, StandinServer};
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt as _;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

/// Failure domains, in which gateways and servers are placed in turn.
pub(crate) const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Time between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Run times of the plain servers, which they take in turn.
const RUN_TIMES: [Duration; 3] = [
    Duration::from_millis(15),
    Duration::from_millis(200),
    Duration::from_millis(900),
];
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(50);
const SIGTERM: i32 = 15;
/// Time from SIGTERM to SIGKILL, `GraceS`.
pub(crate) const GRACE: Duration = Duration::from_secs(8);

/// Numbers of processes and stand-ins.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Gateways, each a process.
    pub gateways: usize,
    /// Engines.
    pub engines: usize,
    /// Plain servers.
    pub plain: usize,
}

/// How gateways reach each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerLinks {
    Direct,
    Proxied,
}

/// A gateway process of a soak. Its address stays the same over restarts.
#[derive(Debug, Clone)]
pub(crate) struct SoakGateway {
    pub(crate) process: Arc<Mutex<DirectGateway>>,
    pub(crate) address: SocketAddr,
    pub(crate) store_link: FaultProxy,
    /// Proxy at which other gateways reach its links; absent if they reach them directly.
    pub(crate) peer_link: Option<UdpProxy>,
    readiness_address: SocketAddr,
    /// Disturbances of its process and of its links.
    pub(crate) upsets: UpsetLog,
    /// Readiness in all its drains.
    drain_answers: Arc<std::sync::Mutex<Vec<DrainAnswer>>>,
    /// Ends of its processes that nobody asked for, and failures of those that were.
    bad_ends: Arc<std::sync::Mutex<Vec<String>>>,
}

/// The processes and stand-ins of a soak.
#[derive(Debug)]
pub(crate) struct SoakFleet {
    pub(crate) store: StandinServer<PlatformStore>,
    pub(crate) gateways: Vec<SoakGateway>,
    pub(crate) servers: Vec<StandinServer<PlatformServer>>,
    pub(crate) directory: TempDir,
}

impl SoakFleet {
    /// Starts the stand-ins and the gateways; the first declarations have to be in the store already
    /// or to be written later, by `write_declarations`.
    pub(crate) fn start(
        executor: &Executor,
        size: FleetSize,
        links: PeerLinks,
        write_declarations: impl FnOnce(&PlatformStore),
    ) -> Result<Self, TrialError> {
        Self::start_slowed(executor, size, links, 1.0, write_declarations)
    }

    /// As [`Self::start`], with engines that take `slowness` times as long as those of other soaks.
    pub(crate) fn start_slowed(
        executor: &Executor,
        size: FleetSize,
        links: PeerLinks,
        slowness: f64,
        write_declarations: impl FnOnce(&PlatformStore),
    ) -> Result<Self, TrialError> {
        let directory = TempDir::create()?;
        let io = |err| TrialError::File("stand-ins of a soak".into(), err);
        let store = PlatformStore::bind(executor, loopback(0)).map_err(io)?;
        write_declarations(store.standin());
        let pace = Arc::new(EnginePace::new(256_000.0 / slowness, 0.0917 * slowness));
        let mut servers = Vec::new();
        let kinds = [("engines", ServerKind::Engine, size.engines)];
        let kinds = kinds
            .into_iter()
            .chain([("registry", ServerKind::Plain, size.plain)]);
        for (service, kind, count) in kinds {
            for n in 0..count {
                let name = format!("{service}-{n}");
                let server =
                    PlatformServer::bind(executor, loopback(0), &name, kind).map_err(io)?;
                server
                    .standin()
                    .set_event_interval(EVENT_INTERVAL.mul_f64(slowness));
                server
                    .standin()
                    .set_run_time(RUN_TIMES[n % RUN_TIMES.len()]);
                if kind == ServerKind::Engine {
                    server.standin().set_pace(server.local_addr(), pace.clone());
                }
                let domain = DOMAINS[n % DOMAINS.len()];
                let row = registration(domain, service, server.local_addr(), "ready");
                store.standin().put("servers", &name, &row);
                servers.push(server);
            }
        }
        let mut gateways = Vec::new();
        for n in 0..size.gateways {
            let name = format!("soaked-{n}");
            let store_link = FaultProxy::start(executor, store.local_addr()).map_err(io)?;
            let bounds = [("GraceS", GRACE.as_secs_f64())];
            let domain = DOMAINS[n % DOMAINS.len()];
            let address = store_link.address();
            let process = DirectGateway::start_in(
                domain,
                executor,
                &directory,
                &name,
                address,
                &bounds,
                &[],
            )?;
            let peer_link = if links == PeerLinks::Proxied {
                let proxy = UdpProxy::start(executor, process.peer_address()).map_err(io)?;
                let key = format!("gateway/{name}");
                store.standin().set_peer_address(&key, proxy.address());
                Some(proxy)
            } else {
                None
            };
            let gateway = SoakGateway::new(process, store_link, peer_link);
            gateways.push(gateway);
        }
        Ok(Self {
            store,
            gateways,
            servers,
            directory,
        })
    }

    /// Index of the first gateway that is not ready within `limit`.
    pub(crate) async fn find_unready(&self, limit: Duration) -> Option<usize> {
        let start = Instant::now();
        for (n, gateway) in self.gateways.iter().enumerate() {
            while !gateway.is_ready().await {
                if start.elapsed() > limit {
                    return Some(n);
                }
                Timer::after(READINESS_POLL_INTERVAL).await;
            }
        }
        None
    }

    /// What the servers saw.
    pub(crate) fn server_view(&self) -> ServerView {
        let mut view = ServerView::default();
        for server in &self.servers {
            view.add(server.standin(), &[]);
        }
        view
    }

    /// Kills the gateways.
    pub(crate) async fn end(&self) {
        for gateway in &self.gateways {
            gateway.process.lock().await.process.kill();
        }
    }
}

/// What gateways, which still run, broke beside their answers to requests.
pub(crate) async fn gateway_violations(gateways: &[SoakGateway]) -> Vec<String> {
    let mut violations = Vec::new();
    for (n, gateway) in gateways.iter().enumerate() {
        let found = gateway.violations().await;
        violations.extend(found.into_iter().map(|text| format!("soaked-{n}: {text}")));
    }
    violations
}

impl SoakGateway {
    /// A gateway that runs.
    pub(crate) fn new(
        process: DirectGateway,
        store_link: FaultProxy,
        peer_link: Option<UdpProxy>,
    ) -> Self {
        Self {
            address: process.frontend_address(),
            readiness_address: process.readiness_address(),
            process: Arc::new(Mutex::new(process)),
            store_link,
            peer_link,
            upsets: UpsetLog::default(),
            drain_answers: Arc::default(),
            bad_ends: Arc::default(),
        }
    }

    /// Stops the process as the platform does, with SIGTERM and, after the grace, SIGKILL, and starts
    /// it again after `pause`.
    pub(crate) async fn stop_and_start(&self, pause: Duration) -> Result<(), TrialError> {
        let mut gateway = self.process.lock().await;
        self.expect_running(&mut gateway.process);
        let _upset = self.upsets.begin(UpsetKind::Stop);
        let age = gateway.process.age();
        gateway.process.terminate()?;
        let exit = gateway.process.wait_exit(GRACE);
        if !or(exit, self.watch_drain(Instant::now())).await {
            gateway.process.kill();
        } else if let Some(status) = gateway.process.failure() {
            // Before it handles signals, SIGTERM ends it at once; no caller can have reached it.
            let had_begun = gateway.process.has_logged("process: starting");
            if had_begun || status.signal() != Some(SIGTERM) {
                let text =
                    format!("{age:?} after its start it got SIGTERM, and ended with {status}");
                lock(&self.bad_ends).push(text);
            }
        }
        Timer::after(pause).await;
        gateway.restart()?;
        Ok(())
    }

    /// Asks whether it is ready until this is dropped.
    async fn watch_drain(&self, since: Instant) -> bool {
        loop {
            let after = since.elapsed();
            let is_ready = self.is_ready().await;
            let answer = DrainAnswer { after, is_ready };
            lock(&self.drain_answers).push(answer);
            Timer::after(READINESS_POLL_INTERVAL).await;
        }
    }

    fn expect_running(&self, process: &mut Process) {
        if process.has_exited() {
            lock(&self.bad_ends).push("it ended by itself".to_owned());
        }
    }

    /// What it broke beside its answers to requests.
    pub(crate) async fn violations(&self) -> Vec<String> {
        let mut gateway = self.process.lock().await;
        self.expect_running(&mut gateway.process);
        let mut violations = lock(&self.bad_ends).clone();
        violations.extend(ready_in_drain(&lock(&self.drain_answers)));
        violations.extend(bad_log_line(&gateway.process.log()));
        violations
    }

    /// Kills the process and starts it again after `pause`.
    pub(crate) async fn kill_and_start(&self, pause: Duration) -> Result<(), TrialError> {
        let mut gateway = self.process.lock().await;
        self.expect_running(&mut gateway.process);
        let _upset = self.upsets.begin(UpsetKind::Process);
        gateway.process.kill();
        Timer::after(pause).await;
        gateway.restart()?;
        Ok(())
    }

    /// Freezes the process for `duration`.
    pub(crate) async fn freeze(&self, duration: Duration) -> Result<(), TrialError> {
        let gateway = self.process.lock().await;
        let _upset = self.upsets.begin(UpsetKind::Process);
        gateway.process.freeze()?;
        Timer::after(duration).await;
        gateway.process.thaw()?;
        Ok(())
    }

    /// Complete log of its processes so far.
    pub(crate) async fn log(&self) -> String {
        self.process.lock().await.process.log()
    }

    /// Sets a fault of its connections to the store for `duration`.
    pub(crate) async fn disturb_store_link(&self, fault: LinkFault, duration: Duration) {
        let _gateway = self.process.lock().await;
        let _upset = self.upsets.begin(UpsetKind::Link);
        self.store_link.set(fault);
        Timer::after(duration).await;
        self.store_link.set(LinkFault::None);
    }

    /// Sets a fault of the links that other gateways have opened to it for `duration`.
    pub(crate) async fn disturb_links(&self, fault: LinkFault, duration: Duration) {
        if let Some(link) = &self.peer_link {
            let _gateway = self.process.lock().await;
            let _upset = self.upsets.begin(UpsetKind::Link);
            link.set(fault);
            Timer::after(duration).await;
            link.set(LinkFault::None);
        }
    }

    /// Sets a fault of the links that other gateways have opened to it.
    pub(crate) fn set_links(&self, fault: LinkFault) {
        if let Some(link) = &self.peer_link {
            link.set(fault);
        }
    }

    /// Whether its readiness endpoint reports that it accepts requests.
    pub(crate) async fn is_ready(&self) -> bool {
        self.check_readiness().await.is_ready()
    }

    /// Asks its readiness endpoint.
    pub(crate) async fn check_readiness(&self) -> ReadinessAnswer {
        check_readiness(self.readiness_address).await
    }
}

fn lock<T>(shared: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
