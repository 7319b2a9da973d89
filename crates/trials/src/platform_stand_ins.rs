//! Stand-ins of the platform and the backend servers, which run inside the test process.

use crate::error::TrialError;
use crate::fleet_config::{Backend, BackendStandIn, PlatformSpec};
use crate::node::PlatformAddresses;
use runtime::Executor;
use standins::{
    EngineStandin, HostListStandin, ObjectStoreStandin, ServiceStandin, StandinServer,
    TableStandin, WeightStoreStandin,
};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// Stand-ins of the platform's services.
#[derive(Debug)]
pub struct PlatformStandIns {
    /// Stand-in of the table service.
    pub table: StandinServer<TableStandin>,
    /// Stand-in of the object store.
    pub objects: StandinServer<ObjectStoreStandin>,
    /// Stand-in of the host list.
    pub hosts: StandinServer<HostListStandin>,
    /// Stand-in of the weight store.
    pub weights: StandinServer<WeightStoreStandin>,
}

/// Stand-ins of the backend servers, by server name.
#[derive(Debug, Default)]
pub struct BackendStandIns {
    /// Stand-ins of model engines.
    pub engines: BTreeMap<Box<str>, StandinServer<EngineStandin>>,
    /// Stand-ins of plain services.
    pub services: BTreeMap<Box<str>, StandinServer<ServiceStandin>>,
    /// Addresses of servers that are started elsewhere.
    pub others: BTreeMap<Box<str>, SocketAddr>,
}

impl PlatformStandIns {
    /// Starts the stand-ins on free ports of the loopback address.
    pub fn start(executor: &Executor, spec: &PlatformSpec) -> Result<Self, TrialError> {
        let table = TableStandin::bind_with(executor, any_address(), spec.table.clone());
        let objects = ObjectStoreStandin::bind(executor, any_address());
        let hosts = HostListStandin::bind(executor, any_address(), spec.host_lag);
        let weights = WeightStoreStandin::bind(executor, any_address(), spec.weights.clone());
        Ok(Self {
            table: table.map_err(start_error)?,
            objects: objects.map_err(start_error)?,
            hosts: hosts.map_err(start_error)?,
            weights: weights.map_err(start_error)?,
        })
    }

    /// Addresses on which they listen.
    pub fn addresses(&self) -> PlatformAddresses {
        PlatformAddresses {
            table: self.table.local_addr(),
            objects: self.objects.local_addr(),
            hosts: self.hosts.local_addr(),
        }
    }
}

impl BackendStandIns {
    /// Starts a stand-in for each backend server.
    pub fn start(
        executor: &Executor,
        platform: &PlatformStandIns,
        backends: &[Backend],
    ) -> Result<Self, TrialError> {
        let mut stand_ins = Self::default();
        for backend in backends {
            let name = backend.server.name.clone();
            match &backend.stand_in {
                BackendStandIn::Engine(spec) => {
                    let weights = Some(platform.weights.local_addr());
                    let standin =
                        EngineStandin::bind(executor, any_address(), spec.clone(), weights);
                    let standin = standin.map_err(start_error)?;
                    stand_ins.engines.insert(name, standin);
                }
                BackendStandIn::Service(spec) => {
                    let standin = ServiceStandin::bind(executor, any_address(), spec.clone());
                    let standin = standin.map_err(start_error)?;
                    stand_ins.services.insert(name, standin);
                }
                BackendStandIn::At(address) => {
                    stand_ins.others.insert(name, *address);
                }
            }
        }
        Ok(stand_ins)
    }

    /// Tokens of KV cache that an engine holds for requests; zero if there is no such engine.
    pub fn request_tokens(&self, engine: &str) -> u64 {
        let counts = self.engines.get(engine).map(StandinServer::counts);
        counts
            .and_then(|counts| counts["request_tokens"].as_u64())
            .unwrap_or(0)
    }

    /// Address of a backend server's stand-in. Fails if no stand-in has that name.
    pub fn address(&self, server: &str) -> Result<SocketAddr, TrialError> {
        let engine = self.engines.get(server).map(StandinServer::local_addr);
        let service = self.services.get(server).map(StandinServer::local_addr);
        engine
            .or(service)
            .or_else(|| self.others.get(server).copied())
            .ok_or_else(|| TrialError::StandIn("find a stand-in", server.into()))
    }
}

fn any_address() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn start_error(err: std::io::Error) -> TrialError {
    TrialError::StandIn("start a stand-in", err.to_string().into())
}
