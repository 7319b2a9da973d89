//! A soak test of direct gateways: runs real processes under random faults and checks that the
//! guarantees given to callers hold.

use crate::direct_rig::DirectRig;
use crate::error::TrialError;
use crate::fault_proxy::FaultProxy;
use crate::soak_checks::{REPEAT_EXTRA, excess_repeats, requests_after_leaving};
use crate::soak_client::{Client, ClientCall, ClientRequest, Ending};
use crate::soak_declarations::SOAK_KEY;
use crate::soak_faults::{Fault, LONGEST_FAULT};
use crate::soak_fleet::{GRACE, SoakGateway, gateway_violations};
use crate::soak_log::log_line;
use crate::soak_losses::lost_request;
use crate::soak_memory::check_memory;
use crate::soak_rules::{
    SERVED_IN_CALM, Served, ServerView, TIME_LIMIT_SLACK, broken_answer, too_few_served,
};
use crate::soak_upsets::{Upset, UpsetLog};
use crate::temp_dir::TempDir;
use async_io::Timer;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use runtime::Executor;
use standins::{PlatformServer, ServerKind, StandinServer};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Paths of requests, and the services that run them.
const PATHS: [(&str, &str); 5] = [
    ("/stream/x", "engines"),
    ("/once/x", "registry"),
    ("/lookup/x", "registry"),
    ("/draft/x", "drafts"),
    ("/single-draft/x", "drafts"),
];
/// The services, and how their servers answer. Those of drafts stream and have no engine.
const SERVICES: [(&str, ServerKind); 3] = [
    ("engines", ServerKind::Engine),
    ("registry", ServerKind::Plain),
    ("drafts", ServerKind::Engine),
];
const TIME_LIMIT: Duration = Duration::from_secs(8);
/// Time after the last fault within which every gateway must serve again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Time for which requests are sent after all faults.
const CALM_TIME: Duration = Duration::from_secs(1);
const CALL_INTERVAL: Duration = Duration::from_millis(60);
const PROMPT: u64 = 1_000;
/// Needs the memory of two engines.
const SPAN_PROMPT: u64 = 45_000;
/// One stream in this many has such a prompt.
const STREAMS_PER_SPAN: usize = 20;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Faults go on for up to this many times their time until a prompt has reserved memory beside them. A few
/// long prompts are sent, by all gateways at once, and one fault may end them all; beside load it is half as
/// many in the same time.
const MAX_FAULT_TIME_FACTOR: u32 = 4;
/// One request in this many opens a connection.
const CALLS_PER_CONNECTION: usize = 3;

/// Size and duration of a soak.
#[derive(Debug, Clone, Copy)]
pub struct SoakPlan {
    /// Seed of the sequence of faults.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of backend servers of each service.
    pub servers: usize,
    /// Time during which faults are started, longer if no prompt has reserved memory by then.
    pub fault_time: Duration,
}

/// Result of a soak.
#[derive(Debug, Default)]
pub struct SoakFigures {
    /// Requests that were sent.
    pub calls: usize,
    /// Connections that could not be opened, so that no request was sent.
    pub refused_connections: usize,
    /// Complete responses with a success status.
    pub served: usize,
    /// Requests that are due to be served, by the kind of soak.
    pub due: Served,
    /// Reservations of memory at engines.
    pub reservations: usize,
    /// How each prompt that needs the memory of several engines ended.
    pub span_endings: Vec<String>,
    /// Faults that were injected.
    pub faults: usize,
    /// Counts of what is seen and breaks no guarantee.
    pub notes: Vec<String>,
    /// Descriptions of broken guarantees.
    pub violations: Vec<String>,
}

#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) name: String,
    pub(crate) service: &'static str,
    pub(crate) standin: StandinServer<PlatformServer>,
    pub(crate) link: FaultProxy,
    /// Failures of `link`.
    pub(crate) link_upsets: UpsetLog,
    pub(crate) has_left: bool,
}

/// State of a running soak.
#[derive(Debug)]
pub(crate) struct Soak {
    pub(crate) rig: DirectRig,
    pub(crate) gateways: Vec<SoakGateway>,
    pub(crate) servers: Vec<Server>,
    calls: Arc<Mutex<Vec<ClientCall>>>,
    pub(crate) declarations_version: u64,
}

/// Runs a soak to its end. Fails if a process or a stand-in cannot be started or signalled; broken
/// guarantees are part of the result.
pub async fn run_soak(executor: &Executor, plan: SoakPlan) -> Result<SoakFigures, TrialError> {
    let mut soak = Soak::start(executor, plan)?;
    let figures = soak.run(executor, plan).await;
    soak.end().await;
    keep_logs_of_failure(soak.rig.directory(), &figures);
    figures
}

pub(crate) fn keep_logs_of_failure(directory: &TempDir, figures: &Result<SoakFigures, TrialError>) {
    if figures
        .as_ref()
        .map_or(true, |found| !found.violations.is_empty())
    {
        directory.keep();
    }
}

impl Soak {
    async fn run(
        &mut self,
        executor: &Executor,
        plan: SoakPlan,
    ) -> Result<SoakFigures, TrialError> {
        let mut figures = SoakFigures::default();
        if let Err(why) = self.wait_until_all_serve().await {
            figures
                .violations
                .push(format!("the fleet never served: {why}"));
            return Ok(figures);
        }
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let start = Instant::now();
        let ended = Arc::new(AtomicBool::new(false));
        let callers = self.send_calls_until(executor, "", ended.clone());
        while start.elapsed() < plan.fault_time
            || self.has_reserved_nothing()
                && start.elapsed() < plan.fault_time * MAX_FAULT_TIME_FACTOR
        {
            Timer::after(Duration::from_millis(rng.random_range(50..500))).await;
            let fault = Fault::draw(&mut rng, self.gateways.len(), self.servers.len());
            self.inject(executor, fault).await?;
            figures.faults += 1;
        }
        ended.store(true, Ordering::Relaxed);
        for caller in callers {
            caller.await;
        }
        if let Err(why) = self.wait_until_all_serve().await {
            figures
                .violations
                .push(format!("not all serve after {RECOVERY_TIMEOUT:?}: {why}"));
        }
        Timer::after(LONGEST_FAULT).await;
        let calm_from = Instant::now();
        let ended = Arc::new(AtomicBool::new(false));
        let callers = self.send_calls_until(executor, "calm-", ended.clone());
        Timer::after(CALM_TIME).await;
        ended.store(true, Ordering::Relaxed);
        for caller in callers {
            caller.await;
        }
        self.check(&mut figures, calm_from).await;
        Ok(figures)
    }

    fn start(executor: &Executor, plan: SoakPlan) -> Result<Self, TrialError> {
        let rig = DirectRig::start(executor)?;
        rig.write_declarations(1, &["key-1"]);
        let proxy = |address| {
            FaultProxy::start(executor, address)
                .map_err(|err| TrialError::File("fault proxy".into(), err))
        };
        let mut gateways = Vec::new();
        for n in 0..plan.gateways {
            let store_link = proxy(rig.store.local_addr())?;
            let name = format!("soaked-{n}");
            let bounds = [
                ("RetryBudgetExtra", REPEAT_EXTRA),
                ("GraceS", GRACE.as_secs_f64()),
            ];
            let process = rig.add_gateway_with_bounds(&name, store_link.address(), &bounds)?;
            gateways.push(SoakGateway::new(process, store_link, None));
        }
        let mut servers = Vec::new();
        for (service, kind) in SERVICES {
            for n in 0..plan.servers {
                let name = format!("{service}-{n}");
                let standin = rig.add_server(&name, service, kind)?;
                standin.standin().set_event_interval(EVENT_INTERVAL);
                let link = proxy(standin.local_addr())?;
                rig.register(&name, service, link.address(), "ready");
                servers.push(Server {
                    name,
                    service,
                    standin,
                    link,
                    link_upsets: UpsetLog::default(),
                    has_left: false,
                });
            }
        }
        Ok(Self {
            rig,
            gateways,
            servers,
            calls: Arc::default(),
            declarations_version: 1,
        })
    }

    /// Whether no prompt has reserved memory at an engine.
    fn has_reserved_nothing(&self) -> bool {
        let mut servers = self.servers.iter().map(|server| server.standin.standin());
        servers.all(|server| server.held_memory().is_empty())
    }

    /// Sends requests of each kind to each gateway until `ended` is set; the returned tasks then wait
    /// for the requests that are still open. `phase` is a part of the ids.
    fn send_calls_until(
        &self,
        executor: &Executor,
        phase: &'static str,
        ended: Arc<AtomicBool>,
    ) -> Vec<impl Future<Output = ()> + use<>> {
        let mut tasks = Vec::new();
        for (n, gateway) in self.gateways.iter().enumerate() {
            for (path, _) in PATHS {
                let (address, calls) = (gateway.address, self.calls.clone());
                let (spawner, ended) = (executor.clone(), ended.clone());
                tasks.push(executor.spawn(async move {
                    let idle: Arc<Mutex<Vec<Client>>> = Arc::default();
                    let mut sent = 0;
                    let mut open = Vec::new();
                    while !ended.load(Ordering::Relaxed) {
                        sent += 1;
                        let client = lock(&idle).pop().unwrap_or_else(|| {
                            Client::new(n, address).with_patience(TIME_LIMIT_SLACK)
                        });
                        let request = request(path, n, phase, sent);
                        let opens = sent % CALLS_PER_CONNECTION == 0;
                        let call = call(client, opens, request, idle.clone(), calls.clone());
                        open.push(spawner.spawn(call));
                        Timer::after(CALL_INTERVAL).await;
                    }
                    for call in open {
                        call.await;
                    }
                }));
            }
        }
        tasks
    }

    /// Waits until every gateway serves every kind of request. The error names a gateway that does
    /// not within the recovery timeout.
    async fn wait_until_all_serve(&self) -> Result<(), String> {
        let start = Instant::now();
        for (n, gateway) in self.gateways.iter().enumerate() {
            for (path, _) in PATHS {
                let mut attempts = 0;
                loop {
                    attempts += 1;
                    let id = format!("probe{path}{n}-{}-{attempts}", self.declarations_version);
                    let caller = gateway.process.lock().await.caller();
                    let response = caller.call(&id, path, Some(SOAK_KEY), PROMPT).await;
                    if response.status.is_success() && response.body.is_some() {
                        break;
                    }
                    if start.elapsed() > RECOVERY_TIMEOUT {
                        let process = &gateway.process.lock().await.process;
                        let (name, log) = (process.name(), process.log_tail());
                        return Err(format!("{name} at {path}: {response:?}; {log}"));
                    }
                    Timer::after(CALL_INTERVAL).await;
                }
            }
        }
        Ok(())
    }

    /// Kills the gateways. A pending fault still holds a reference to its gateway, whose process
    /// would otherwise outlive the soak.
    async fn end(&self) {
        for gateway in &self.gateways {
            gateway.process.lock().await.process.kill();
        }
    }

    /// Compares the responses that callers got with the requests that servers ran. All faults have ended
    /// before `calm_from`.
    async fn check(&self, figures: &mut SoakFigures, calm_from: Instant) {
        let mut view = ServerView::default();
        for server in &self.servers {
            view.add(server.standin.standin(), &server.link_upsets.upsets());
        }
        let calls = std::mem::take(&mut *lock(&self.calls));
        let (mut upsets, mut logs) = (Vec::new(), Vec::new());
        for gateway in &self.gateways {
            upsets.push(gateway.upsets.upsets());
            logs.push(gateway.log().await);
        }
        for call in &calls {
            if matches!(call.ending, Ending::NotConnected) {
                figures.refused_connections += 1;
                continue;
            }
            figures.calls += 1;
            if call.request.prompt == SPAN_PROMPT {
                figures
                    .span_endings
                    .push(span_ending(call, view.runs(call)));
            }
            figures.served += usize::from(call.is_served());
            if call.sent_at > calm_from {
                figures.due.record(call);
            }
            let broken = broken_answer(call, view.runs(call)).into_iter();
            let lost = lost_request(call, &upsets[call.gateway], view.work(call));
            for violation in broken.chain(lost) {
                let id = &call.request.id;
                let line = log_line(&logs[call.gateway], id);
                figures.violations.push(format!("{id}: {violation}{line}"));
            }
        }
        let few = too_few_served(figures.due, SERVED_IN_CALM);
        figures.violations.extend(few);
        figures
            .violations
            .extend(self.server_violations(&calls, &upsets));
        figures
            .violations
            .extend(gateway_violations(&self.gateways).await);
        let servers = self.servers.iter().map(|server| server.standin.standin());
        let (idle, reservations) = check_memory(servers);
        figures.violations.extend(idle);
        figures.reservations = reservations;
    }

    /// What servers got too late or too often.
    fn server_violations(&self, calls: &[ClientCall], upsets: &[Vec<Upset>]) -> Vec<String> {
        let mut violations = Vec::new();
        for server in self.servers.iter().filter(|server| server.has_left) {
            let received = server.standin.standin().received_requests();
            let late = requests_after_leaving(&server.name, &received, calls, upsets);
            violations.extend(late);
        }
        for (service, _) in SERVICES {
            let servers = self.servers.iter().filter(|other| other.service == service);
            let received = servers.flat_map(|other| other.standin.standin().received_requests());
            let is_for = |call: &&ClientCall| PATHS.contains(&(&call.request.path, service));
            let sent = calls.iter().filter(is_for);
            let sent = sent.map(|call| (&*call.request.id, call.sent_at)).collect();
            let excess = excess_repeats(service, &mut received.collect::<Vec<_>>(), &sent);
            violations.extend(excess);
        }
        violations
    }
}

fn request(path: &str, gateway: usize, phase: &str, number: usize) -> ClientRequest {
    let is_span = path == "/stream/x" && number.is_multiple_of(STREAMS_PER_SPAN);
    ClientRequest {
        id: format!("soak{path}{gateway}-{phase}{number}"),
        path: path.into(),
        key: SOAK_KEY.into(),
        prompt: if is_span { SPAN_PROMPT } else { PROMPT },
        last_event_id: None,
        time_limit: TIME_LIMIT,
    }
}

/// How a prompt that needs several engines ended.
fn span_ending(call: &ClientCall, runs: usize) -> String {
    let took = call.ended_at.saturating_duration_since(call.connected_at);
    let (id, status) = (&call.request.id, call.status());
    format!("{id}: status {status:?} after {took:?}, run by {runs} servers")
}

async fn call(
    mut client: Client,
    opens: bool,
    request: ClientRequest,
    idle: Arc<Mutex<Vec<Client>>>,
    calls: Arc<Mutex<Vec<ClientCall>>>,
) {
    if opens {
        client.disconnect();
    }
    let call = client.call(request).await;
    lock(&calls).push(call);
    lock(&idle).push(client);
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
