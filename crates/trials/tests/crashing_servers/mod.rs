//! Backend servers that some requests crash, and gateways before them.

use hyper::StatusCode;
use standins::{ExecutedRequest, PlatformServer, ServerKind, StandinServer};
use std::time::{Duration, Instant};
use trials::{CallerAnswer, DirectGateway, DirectRig};

pub const KEY: Option<&str> = Some("key-1");
pub const PROMPT_TOKENS: u64 = 1_000;
/// Time after which a crashed server is replaced.
const RESTART_TIME: Duration = Duration::from_millis(600);

/// Servers of one service.
#[derive(Debug, Clone, Copy)]
pub struct Service {
    pub name: &'static str,
    pub kind: ServerKind,
    pub servers: usize,
    /// Whether a server that replaces a crashed one listens at its address.
    pub keeps_addresses: bool,
    /// Sets up a server that has just started.
    pub set_up: fn(&PlatformServer),
}

struct Running {
    id: String,
    server: StandinServer<PlatformServer>,
    crashed_at: Option<Instant>,
}

/// The servers of a service, of which crashed ones are replaced.
pub struct CrashingServers<'a> {
    rig: &'a DirectRig,
    service: Service,
    running: Vec<Running>,
    started: usize,
    /// Requests that reached replaced servers.
    past_arrivals: Vec<(Instant, ExecutedRequest)>,
    pub crashes: Vec<Instant>,
}

impl<'a> CrashingServers<'a> {
    pub fn start(rig: &'a DirectRig, service: Service) -> Self {
        let mut servers = Self {
            rig,
            service,
            running: Vec::new(),
            started: 0,
            past_arrivals: Vec::new(),
            crashes: Vec::new(),
        };
        (0..service.servers).for_each(|_| servers.add());
        servers
    }

    fn add(&mut self) {
        let Service { name, kind, .. } = self.service;
        let id = format!("{name}-{}", self.started);
        let server = self.rig.add_server(&id, name, kind).unwrap();
        self.register(id, server);
    }

    fn register(&mut self, id: String, server: StandinServer<PlatformServer>) {
        self.started += 1;
        (self.service.set_up)(server.standin());
        self.running.push(Running {
            id,
            server,
            crashed_at: None,
        });
    }

    /// Notes crashes, and replaces the servers that crashed some time ago.
    pub fn replace_crashed(&mut self) {
        let now = Instant::now();
        for running in &mut self.running {
            if running.server.standin().has_crashed() && running.crashed_at.is_none() {
                running.crashed_at = Some(now);
                self.crashes.push(now);
            }
        }
        let is_over = |running: &Running| {
            let crashed_at = running.crashed_at;
            crashed_at.is_some_and(|at| now >= at + RESTART_TIME)
        };
        while let Some(index) = self.running.iter().position(is_over) {
            let old = self.running.swap_remove(index);
            self.past_arrivals.extend(arrivals(&old.server));
            self.rig.store.standin().remove("servers", &old.id);
            let address = old.server.local_addr();
            drop(old);
            if !self.service.keeps_addresses {
                self.add();
                continue;
            }
            let Service { name, kind, .. } = self.service;
            let id = format!("{name}-{}", self.started);
            let server = self.rig.add_server_at(address, &id, name, kind).unwrap();
            self.register(id, server);
        }
    }

    /// Number of requests that arrived after a time and are `counted`.
    pub fn arrivals_since(
        &self,
        start: Instant,
        counted: impl Fn(&ExecutedRequest) -> bool,
    ) -> usize {
        let running = self.running.iter();
        let arrived = running.flat_map(|running| arrivals(&running.server));
        let arrived = arrived.chain(self.past_arrivals.iter().cloned());
        arrived
            .filter(|(at, request)| *at >= start && counted(request))
            .count()
    }
}

fn arrivals(server: &StandinServer<PlatformServer>) -> Vec<(Instant, ExecutedRequest)> {
    let standin = server.standin();
    let arrivals = standin.arrivals().into_iter();
    arrivals.zip(standin.executed_requests()).collect()
}

pub async fn wait_until_served(rig: &DirectRig, gateway: &DirectGateway, path: &str) {
    let mut attempts = 0;
    let served = rig.wait_until(async || {
        attempts += 1;
        let id = format!("{}-probe{attempts}", gateway.process.name());
        let caller = gateway.caller();
        let response = caller.call(&id, path, KEY, PROMPT_TOKENS).await;
        response.status == StatusCode::OK
    });
    assert!(served.await, "{}", gateway.process.log_tail());
}

pub fn share_served(answers: &[CallerAnswer]) -> f64 {
    let served = answers.iter().filter(|answer| answer.body.is_some());
    let served = served.filter(|answer| answer.status == StatusCode::OK);
    served.count() as f64 / answers.len() as f64
}
