//! Random faults of a soak.

use crate::direct_rig::registration;
use crate::direct_soak::Soak;
use crate::error::TrialError;
use crate::fault_proxy::LinkFault;
use crate::soak_upsets::UpsetKind;
use async_io::Timer;
use rand::Rng as _;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom as _;
use runtime::Executor;
use standins::ServerBehaviour;
use std::time::Duration;

/// Time for which servers refuse requests around a kill of all gateways.
const REFUSAL_TIME: Duration = Duration::from_secs(3);
/// A fault has ended this long after it was injected.
pub(crate) const LONGEST_FAULT: Duration = REFUSAL_TIME;

/// Event after which broken streams end.
const LAST_WHOLE_EVENT: u64 = 4;

/// A fault, with the index of the gateway or backend server that it hits.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Fault {
    Kill(usize),
    Terminate(usize),
    Freeze(usize, Duration),
    StoreLink(usize, LinkFault, Duration),
    ServerLink(usize, LinkFault, Duration),
    ForgetHistory,
    ReplaceDeclarations,
    /// The server says in all its answers that it leaves; at most one of each service does.
    Leave(usize),
    /// The row of the server disappears and comes back.
    LoseRow(usize, Duration),
    /// All servers of the service of this one refuse requests.
    RefuseAll(usize, Duration),
    /// The server breaks its streams off inside an event.
    BreakStreams(usize, Duration),
    /// All gateways are killed while all servers refuse requests.
    KillAll,
}

impl Fault {
    pub(crate) fn draw(rng: &mut SmallRng, gateways: usize, servers: usize) -> Self {
        let gateway = rng.random_range(0..gateways);
        let server = rng.random_range(0..servers);
        let duration = Duration::from_millis(rng.random_range(100..2_500));
        let link_faults = [
            LinkFault::Delayed(Duration::from_millis(rng.random_range(5..200))),
            LinkFault::Silent,
            LinkFault::NoReplies,
            LinkFault::Cut,
        ];
        let link_fault = link_faults.choose(rng).copied().unwrap_or_default();
        match rng.random_range(0..27) {
            0..=1 => Self::Kill(gateway),
            2 => Self::Terminate(gateway),
            3..=5 => Self::Freeze(gateway, duration),
            6..=10 => Self::StoreLink(gateway, link_fault, duration),
            11..=17 => Self::ServerLink(server, link_fault, duration),
            18 => Self::ForgetHistory,
            19 => Self::ReplaceDeclarations,
            20 => Self::Leave(server),
            21..=22 => Self::LoseRow(server, duration),
            23 => Self::RefuseAll(server, duration),
            24..=25 => Self::BreakStreams(server, duration),
            _ => Self::KillAll,
        }
    }
}

impl Soak {
    pub(crate) async fn inject(
        &mut self,
        executor: &Executor,
        fault: Fault,
    ) -> Result<(), TrialError> {
        match fault {
            Fault::Kill(n) => self.gateways[n].kill_and_start(Duration::ZERO).await?,
            Fault::Terminate(n) => self.gateways[n].stop_and_start(Duration::ZERO).await?,
            Fault::Freeze(n, duration) => self.freeze(executor, n, duration).await?,
            Fault::StoreLink(n, fault, duration) => {
                let gateway = &self.gateways[n];
                let upset = gateway.upsets.begin(UpsetKind::Link);
                let proxy = gateway.store_link.clone();
                proxy.set(fault);
                executor.detach(async move {
                    Timer::after(duration).await;
                    proxy.set(LinkFault::None);
                    drop(upset);
                });
            }
            Fault::ServerLink(n, fault, duration) => {
                let server = &self.servers[n];
                // A link that is only slow cuts no answer.
                let is_failure = !matches!(fault, LinkFault::Delayed(_));
                let upset = is_failure.then(|| server.link_upsets.begin(UpsetKind::Link));
                let proxy = server.link.clone();
                proxy.set(fault);
                executor.detach(async move {
                    Timer::after(duration).await;
                    proxy.set(LinkFault::None);
                    drop(upset);
                });
            }
            Fault::ForgetHistory => self.rig.store.standin().forget_history(),
            Fault::ReplaceDeclarations => {
                self.declarations_version += 1;
                self.rig
                    .write_declarations(self.declarations_version, &["key-1"]);
            }
            Fault::Leave(n) => self.leave(n),
            Fault::LoseRow(n, duration) => self.lose_row(executor, n, duration),
            Fault::RefuseAll(n, duration) => self.refuse_all(executor, n, duration),
            Fault::BreakStreams(n, duration) => {
                let server = &self.servers[n];
                let upset = server.link_upsets.begin(UpsetKind::Link);
                let standin = server.standin.share_standin();
                standin.set_behaviour(ServerBehaviour::BreakAfter(LAST_WHOLE_EVENT));
                executor.detach(async move {
                    Timer::after(duration).await;
                    standin.set_behaviour(ServerBehaviour::Normal);
                    drop(upset);
                });
            }
            Fault::KillAll => {
                for n in 0..self.servers.len() {
                    self.refuse_all(executor, n, REFUSAL_TIME);
                }
                Timer::after(REFUSAL_TIME / 3).await;
                for gateway in &self.gateways {
                    gateway.kill_and_start(Duration::ZERO).await?;
                }
            }
        }
        Ok(())
    }

    /// Freezes a gateway for `duration`. Other faults may hit it meanwhile.
    async fn freeze(
        &self,
        executor: &Executor,
        n: usize,
        duration: Duration,
    ) -> Result<(), TrialError> {
        let gateway = self.gateways[n].clone();
        let upset = gateway.upsets.begin(UpsetKind::Process);
        gateway.process.lock().await.process.freeze()?;
        executor.detach(async move {
            Timer::after(duration).await;
            // The process may have been killed and restarted in the meantime.
            let _ = gateway.process.lock().await.process.thaw();
            drop(upset);
        });
        Ok(())
    }

    fn leave(&mut self, n: usize) {
        let service = self.servers[n].service;
        let mut others = self.servers.iter();
        if self.servers.len() > 2 && !others.any(|other| other.service == service && other.has_left)
        {
            self.servers[n].standin.standin().leave();
            self.servers[n].has_left = true;
        }
    }

    fn lose_row(&self, executor: &Executor, n: usize, duration: Duration) {
        let server = &self.servers[n];
        let row = registration("a", server.service, server.link.address(), "ready");
        let (store, name) = (self.rig.store.share_standin(), server.name.clone());
        store.remove("servers", &name);
        executor.detach(async move {
            Timer::after(duration).await;
            store.put("servers", &name, &row);
        });
    }

    fn refuse_all(&self, executor: &Executor, n: usize, duration: Duration) {
        let service = self.servers[n].service;
        for server in self.servers.iter().filter(|other| other.service == service) {
            let standin = server.standin.share_standin();
            standin.set_behaviour(ServerBehaviour::Full);
            executor.detach(async move {
                Timer::after(duration).await;
                standin.set_behaviour(ServerBehaviour::Normal);
            });
        }
    }
}
