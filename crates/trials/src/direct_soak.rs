//! A soak of direct gateways: real processes under random faults, and what was promised of them.

use crate::direct_gateway::{CallerAnswer, DirectGateway};
use crate::direct_rig::DirectRig;
use crate::error::TrialError;
use crate::fault_proxy::{FaultProxy, LinkFault};
use async_io::Timer;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};
use runtime::Executor;
use standins::{PlatformServer, ServerKind, StandinServer};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

const KEY: Option<&str> = Some("key-1");
const PATHS: [&str; 3] = ["/stream/x", "/once/x", "/lookup/x"];
/// Time limit that callers state, and what a frozen process and a busy machine add to it.
const TIME_LIMIT: Duration = Duration::from_secs(8);
const LIMIT_SLACK: Duration = Duration::from_secs(6);
/// Time after the last fault within which every gateway serves again.
const RECOVERY: Duration = Duration::from_secs(12);
const CALL_PAUSE: Duration = Duration::from_millis(60);

/// Size and length of a soak.
#[derive(Debug, Clone, Copy)]
pub struct SoakPlan {
    /// Seed of all that is random.
    pub seed: u64,
    /// Gateways.
    pub gateways: usize,
    /// Backend servers of each service.
    pub servers: usize,
    /// Time in which faults are begun.
    pub fault_time: Duration,
}

/// A fault, and what it strikes by its place in the list of those.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill(usize),
    Terminate(usize),
    Freeze(usize, Duration),
    StoreLink(usize, LinkFault, Duration),
    ServerLink(usize, LinkFault, Duration),
    ForgetHistory,
    Declare,
}

/// What a soak saw.
#[derive(Debug, Default)]
pub struct SoakFigures {
    /// Calls that were sent.
    pub calls: usize,
    /// Whole answers with status 200.
    pub served: usize,
    /// Faults that struck.
    pub faults: usize,
    /// Promises that were broken.
    pub violations: Vec<String>,
}

#[derive(Debug)]
struct Ended {
    id: String,
    path: &'static str,
    answer: CallerAnswer,
    took: Duration,
}

#[derive(Debug)]
struct Target {
    gateway: DirectGateway,
    store_link: FaultProxy,
}

#[derive(Debug)]
struct Server {
    stand: StandinServer<PlatformServer>,
    link: FaultProxy,
}

/// A soak that runs.
#[derive(Debug)]
struct Soak {
    rig: DirectRig,
    targets: Vec<Arc<async_lock::Mutex<Target>>>,
    servers: Vec<Server>,
    ended: Arc<Mutex<Vec<Ended>>>,
    declared: u64,
}

/// Runs a soak to its end.
pub async fn run_soak(executor: &Executor, plan: SoakPlan) -> Result<SoakFigures, TrialError> {
    let mut soak = Soak::start(executor, plan)?;
    let figures = soak.run(executor, plan).await;
    soak.end().await;
    figures
}

impl Soak {
    async fn run(
        &mut self,
        executor: &Executor,
        plan: SoakPlan,
    ) -> Result<SoakFigures, TrialError> {
        let mut figures = SoakFigures::default();
        if let Err(why) = self.all_serve().await {
            figures
                .violations
                .push(format!("the fleet never served: {why}"));
            return Ok(figures);
        }
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let stop = Instant::now() + plan.fault_time;
        let callers = self.call_until(executor, stop);
        while Instant::now() < stop {
            Timer::after(Duration::from_millis(rng.random_range(50..500))).await;
            let fault = self.draw(&mut rng);
            self.strike(executor, fault).await?;
            figures.faults += 1;
        }
        for caller in callers {
            caller.await;
        }
        if let Err(why) = self.all_serve().await {
            figures
                .violations
                .push(format!("not all serve after {RECOVERY:?}: {why}"));
        }
        self.judge(&mut figures);
        Ok(figures)
    }

    fn start(executor: &Executor, plan: SoakPlan) -> Result<Self, TrialError> {
        let rig = DirectRig::start(executor)?;
        rig.write_declarations(1, &["key-1"]);
        let proxy = |address| {
            FaultProxy::start(executor, address)
                .map_err(|err| TrialError::File("fault proxy".into(), err))
        };
        let mut targets = Vec::new();
        for n in 0..plan.gateways {
            let store_link = proxy(rig.store.local_addr())?;
            let name = format!("soaked-{n}");
            let gateway = rig.add_gateway(&name, store_link.address())?;
            let target = Target {
                gateway,
                store_link,
            };
            targets.push(Arc::new(async_lock::Mutex::new(target)));
        }
        let mut servers = Vec::new();
        for (service, kind) in [
            ("engines", ServerKind::Engine),
            ("registry", ServerKind::Plain),
        ] {
            for n in 0..plan.servers {
                let name = format!("{service}-{n}");
                let stand = rig.add_server(&name, service, kind)?;
                let link = proxy(stand.local_addr())?;
                rig.register(&name, service, link.address(), "ready");
                servers.push(Server { stand, link });
            }
        }
        Ok(Self {
            rig,
            targets,
            servers,
            ended: Arc::default(),
            declared: 1,
        })
    }

    /// Sends calls of each kind to each gateway until `stop`; clients keep what they have open.
    fn call_until(
        &self,
        executor: &Executor,
        stop: Instant,
    ) -> Vec<impl Future<Output = ()> + use<>> {
        let mut tasks = Vec::new();
        for (n, target) in self.targets.iter().enumerate() {
            for path in PATHS {
                let (target, ended) = (target.clone(), self.ended.clone());
                let tasks_of_caller = executor.clone();
                tasks.push(executor.spawn(async move {
                    let mut sent = 0;
                    let mut open = Vec::new();
                    while Instant::now() < stop {
                        sent += 1;
                        let id = format!("soak{path}{n}-{sent}");
                        let call = call(target.clone(), ended.clone(), id, path);
                        open.push(tasks_of_caller.spawn(call));
                        Timer::after(CALL_PAUSE).await;
                    }
                    for call in open {
                        call.await;
                    }
                }));
            }
        }
        tasks
    }

    fn draw(&self, rng: &mut SmallRng) -> Fault {
        let target = rng.random_range(0..self.targets.len());
        let server = rng.random_range(0..self.servers.len());
        let length = Duration::from_millis(rng.random_range(100..2_500));
        let links = [
            LinkFault::Delayed(Duration::from_millis(rng.random_range(5..200))),
            LinkFault::Silent,
            LinkFault::NoReplies,
            LinkFault::Cut,
        ];
        let link = links.choose(rng).copied().unwrap_or_default();
        match rng.random_range(0..20) {
            0..=1 => Fault::Kill(target),
            2 => Fault::Terminate(target),
            3..=5 => Fault::Freeze(target, length),
            6..=10 => Fault::StoreLink(target, link, length),
            11..=17 => Fault::ServerLink(server, link, length),
            18 => Fault::ForgetHistory,
            _ => Fault::Declare,
        }
    }

    async fn strike(&mut self, executor: &Executor, fault: Fault) -> Result<(), TrialError> {
        match fault {
            Fault::Kill(n) => {
                let mut target = self.targets[n].lock().await;
                target.gateway.process.kill();
                target.gateway.restart()?;
            }
            Fault::Terminate(n) => {
                let mut target = self.targets[n].lock().await;
                target.gateway.process.terminate()?;
                if !target.gateway.process.wait_exit(TIME_LIMIT).await {
                    target.gateway.process.kill();
                }
                target.gateway.restart()?;
            }
            Fault::Freeze(n, length) => {
                self.targets[n].lock().await.gateway.process.freeze()?;
                let target = self.targets[n].clone();
                executor.detach(async move {
                    Timer::after(length).await;
                    // The process may have been killed and started again meanwhile.
                    let _ = target.lock().await.gateway.process.thaw();
                });
            }
            Fault::StoreLink(n, link, length) => {
                let proxy = self.targets[n].lock().await.store_link.clone();
                hold(executor, proxy, link, length);
            }
            Fault::ServerLink(n, link, length) => {
                hold(executor, self.servers[n].link.clone(), link, length);
            }
            Fault::ForgetHistory => self.rig.store.standin().forget_history(),
            Fault::Declare => {
                self.declared += 1;
                self.rig.write_declarations(self.declared, &["key-1"]);
            }
        }
        Ok(())
    }

    /// Waits until every gateway serves every kind of request; says which one does not within the
    /// time to recover.
    async fn all_serve(&self) -> Result<(), String> {
        let start = Instant::now();
        for (n, target) in self.targets.iter().enumerate() {
            for path in PATHS {
                let mut asked = 0;
                loop {
                    asked += 1;
                    let id = format!("probe{path}{n}-{}-{asked}", self.declared);
                    let caller = target.lock().await.gateway.caller();
                    let answer = caller.call(&id, path, KEY, self.rig.prompt).await;
                    if answer.status.is_success() && answer.body.is_some() {
                        break;
                    }
                    if start.elapsed() > RECOVERY {
                        let process = &target.lock().await.gateway.process;
                        let (name, log) = (process.name(), process.log_tail());
                        return Err(format!("{name} at {path}: {answer:?}; {log}"));
                    }
                    Timer::after(CALL_PAUSE).await;
                }
            }
        }
        Ok(())
    }

    /// Ends the gateways: a fault that has not ended yet keeps its gateway, which would outlive the
    /// soak.
    async fn end(&self) {
        for target in &self.targets {
            target.lock().await.gateway.process.kill();
        }
    }

    /// Holds what callers got against what servers ran.
    fn judge(&self, figures: &mut SoakFigures) {
        let mut runs: HashMap<Box<str>, usize> = HashMap::new();
        for server in &self.servers {
            for run in server.stand.standin().executed_requests() {
                *runs.entry(run.request_id).or_default() += 1;
            }
        }
        let ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        for call in ended.iter() {
            let ran = runs.get(&*call.id).copied().unwrap_or_default();
            figures.calls += 1;
            figures.served += usize::from(is_whole(call));
            if let Some(breach) = breach_of(call, ran) {
                figures.violations.push(format!("{}: {breach}", call.id));
            }
        }
    }
}

async fn call(
    target: Arc<async_lock::Mutex<Target>>,
    ended: Arc<Mutex<Vec<Ended>>>,
    id: String,
    path: &'static str,
) {
    let sender = target.lock().await.gateway.caller();
    let start = Instant::now();
    let answer = sender.call(&id, path, KEY, 1_000).await;
    let took = start.elapsed();
    let call = Ended {
        id,
        path,
        answer,
        took,
    };
    let mut ended = ended.lock().unwrap_or_else(PoisonError::into_inner);
    ended.push(call);
}

fn hold(executor: &Executor, proxy: FaultProxy, link: LinkFault, length: Duration) {
    proxy.set(link);
    executor.detach(async move {
        Timer::after(length).await;
        proxy.set(LinkFault::None);
    });
}

fn is_whole(call: &Ended) -> bool {
    call.answer.status.is_success() && call.answer.body.is_some()
}

/// The promise that a call broke, if any.
fn breach_of(call: &Ended, ran: usize) -> Option<String> {
    let answer = &call.answer;
    if call.took > TIME_LIMIT + LIMIT_SLACK {
        return Some(format!("it ended after {:?}", call.took));
    }
    if answer.not_run && ran > 0 {
        return Some(format!("called not run, {ran} servers ran it"));
    }
    if call.path == "/once/x" && ran > 1 {
        return Some(format!("{ran} servers ran what may not be repeated"));
    }
    let body = answer.body.as_ref().filter(|_| is_whole(call))?;
    let text = String::from_utf8_lossy(body);
    let wanted: String = match call.path {
        "/stream/x" => (0..=12)
            .map(|id| format!("id: {id}\ndata: text {id}\n\n"))
            .collect(),
        _ => return (!text.ends_with(&call.id)).then(|| format!("another's answer: {text}")),
    };
    let whole = *text == *wanted && answer.seal.is_some();
    (!whole).then(|| format!("it looks whole and is not: {text}"))
}
