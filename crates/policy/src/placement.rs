//! Placement of models on engines, without a leader.
//!
//! Each agent computes the placement by weighted rendezvous hashing (Thaler and Ravishankar, 1998;
//! weights after Schindelhauer and Schomaker, 2005) over the declarations and the host list. While
//! agents disagree, there may be an extra replica, but requests do not fail.

use crate::order_controller::{DesiredState, ModelVersion};
use declarations::{Declarations, Model, Server, ServerKind};
use proto::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Models that each engine is known to have loaded. Nothing is known of a server without an entry.
pub type LoadedModels = BTreeMap<ServerId, BTreeSet<ModelVersion>>;

/// Name of a declared model in orders, as `model@version`.
pub fn model_version(model: &Model) -> ModelVersion {
    format!("{}@{}", model.name, model.version).into()
}

/// Computes the placement from one view of the deployment.
#[derive(Debug, Clone, Copy)]
pub struct Placement<'a> {
    /// Declarations of models, servers and failure domains.
    pub declared: &'a Declarations,
    /// Hosts that are up and not leaving.
    pub live_hosts: &'a BTreeSet<HostId>,
    /// Rate at which the weight store can be read, by all engines together.
    pub weight_store_bytes_per_second: f64,
}

impl<'a> Placement<'a> {
    /// The engines that should hold a model. Its replicas are spread over as many failure domains
    /// as possible.
    pub fn replicas(&self, model: &Model) -> Vec<&'a Server> {
        let mut ranked: Vec<_> = self
            .declared
            .servers
            .iter()
            .filter(|server| self.may_hold(model, server))
            .collect();
        ranked.sort_by(|a, b| {
            let (a, b) = (rendezvous_score(model, a), rendezvous_score(model, b));
            b.total_cmp(&a)
        });
        let mut per_domain: BTreeMap<&str, usize> = BTreeMap::new();
        let mut rounds: Vec<_> = ranked
            .into_iter()
            .map(|server| {
                let round = per_domain.entry(&server.domain).or_default();
                *round += 1;
                (*round, server)
            })
            .collect();
        rounds.sort_by_key(|(round, _)| *round);
        let chosen = rounds.into_iter().take(model.replicas as usize);
        chosen.map(|(_, server)| server).collect()
    }

    fn may_hold(&self, model: &Model, server: &Server) -> bool {
        let domain_in = self
            .declared
            .domain(&server.domain)
            .is_some_and(|domain| !domain.out);
        server.kind == ServerKind::Engine
            && (server.models.is_empty() || server.models.contains(&model.name))
            && domain_in
            && !server.drained
            && self.live_hosts.contains(&server.host)
    }

    /// Computes the desired state of one engine, given the models that engines are known to have
    /// loaded. Loads are staggered, starting at `now`. A model that is declared without a version
    /// is not placed. The cost grows with the number of models times servers, so it should only be
    /// called after the configuration, the membership or the loaded models have changed.
    pub fn desired_state(
        &self,
        server: &str,
        loaded: &LoadedModels,
        now: Duration,
    ) -> DesiredState {
        let models = self
            .declared
            .models
            .iter()
            .filter(|model| !model.version.is_empty() && self.is_replica(model, server))
            .map(|model| {
                let delay = self.load_delay(model, server, loaded);
                (model_version(model), now + delay)
            })
            .collect();
        DesiredState {
            models,
            unloadable: self.unloadable(server, loaded),
            adapters: BTreeSet::new(),
            role: Default::default(),
        }
    }

    fn is_replica(&self, model: &Model, server: &str) -> bool {
        let mut replicas = self.replicas(model).into_iter();
        replicas.any(|replica| &*replica.name == server)
    }

    /// Models that this engine may unload: those not declared any more, and those whose replicas,
    /// possibly including this engine, all hold the declared version.
    fn unloadable(&self, server: &str, loaded: &LoadedModels) -> BTreeSet<ModelVersion> {
        let held = loaded.get(server).into_iter().flatten();
        held.filter(|version| {
            let name = version.split('@').next().unwrap_or_default();
            match self.declared.model(name) {
                None => true,
                Some(model) => self.has_all_replicas(model, loaded),
            }
        })
        .cloned()
        .collect()
    }

    fn has_all_replicas(&self, model: &Model, loaded: &LoadedModels) -> bool {
        let version = model_version(model);
        let replicas = self.replicas(model);
        let holds = |name: &str| loaded.get(name).is_some_and(|held| held.contains(&version));
        replicas.len() == model.replicas as usize
            && replicas.iter().all(|replica| holds(&replica.name))
    }

    /// Delay of a load in the queue of all missing loads. Each load begins when those before it
    /// have been read at the rate of the weight store. The first replicas of all models precede
    /// all second ones.
    fn load_delay(&self, model: &Model, server: &str, loaded: &LoadedModels) -> Duration {
        let own_key = self.load_key(model, server);
        let bytes_before: u64 = self
            .declared
            .models
            .iter()
            .flat_map(|other| self.missing_loads(other, loaded))
            .filter(|(key, _)| *key < own_key)
            .map(|(_, bytes)| bytes)
            .sum();
        Duration::from_secs_f64(bytes_before as f64 / self.weight_store_bytes_per_second)
    }

    fn missing_loads(&self, model: &Model, loaded: &LoadedModels) -> Vec<(LoadKey, u64)> {
        let version = model_version(model);
        let replicas = self.replicas(model);
        let missing = replicas.iter().filter(|server| {
            let held = loaded.get(&server.name);
            held.is_none_or(|held| !held.contains(&version))
        });
        missing
            .map(|server| (self.load_key(model, &server.name), model.weight_bytes))
            .collect()
    }

    fn load_key(&self, model: &Model, server: &str) -> LoadKey {
        let rank = self
            .replicas(model)
            .iter()
            .position(|replica| &*replica.name == server);
        let text = format!("{}/{server}", model_version(model));
        (rank, xxh3_64_with_seed(text.as_bytes(), LOAD_SEED))
    }
}

/// Position of a load in the queue: rank of the replica, then a hash of model and server.
type LoadKey = (Option<usize>, u64);

const PLACEMENT_SEED: u64 = 0x706c_6163;
const LOAD_SEED: u64 = 0x6c6f_6164;

/// Rendezvous score of a server: weight / -ln(u), where u is uniform in (0, 1), from the hash of
/// model and server. The weight is the memory size.
fn rendezvous_score(model: &Model, server: &Server) -> f64 {
    let pair = format!("{}/{}", model.name, server.name);
    let hash = xxh3_64_with_seed(pair.as_bytes(), PLACEMENT_SEED);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    server.memory_bytes.max(1) as f64 / -uniform.ln()
}
