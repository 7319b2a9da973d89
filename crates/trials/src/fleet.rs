//! A local fleet on the loopback interface: stand-ins in the test process, and the shipped binaries
//! as child processes.

use crate::binaries::Binaries;
use crate::error::TrialError;
use crate::fleet_config::FleetConfig;
use crate::node::{AUTHORITY_FILE, Node, NodeConfig};
use crate::platform_stand_ins::{BackendStandIns, PlatformStandIns};
use crate::process::{Process, ResourceUsage};
use crate::temp_dir::TempDir;
use async_io::Timer;
use declarations::Declarations;
use hyper::Request;
use hyper::header::HOST;
use node::run_command;
use platform::{HostState, HttpPlatform, PlatformConfig, TableService};
use policy::{CONFIG_KEY, CommandOutcome, CommandRequest, ConfigCommand, ConfigRow};
use runtime::{Authority, Body, Executor, HttpClient, Role};
use standins::HostList;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const CERTIFICATE_VALIDITY: Duration = Duration::from_secs(7 * 86_400);
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
const PAGE_TIMEOUT: Duration = Duration::from_secs(1);
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_PAGE_BYTES: usize = 16 << 20;
/// Part of the line that gateways and agents log once they have bound their port.
const LISTENING_LOG: &str = ": listening";
const PORT_ATTEMPTS: usize = 5;

/// A local fleet. Dropping it kills its processes and deletes its files.
#[derive(Debug)]
pub struct Fleet {
    /// Stand-ins of the platform's services.
    pub platform: PlatformStandIns,
    /// Stand-ins of the backend servers.
    pub backends: BackendStandIns,
    nodes: BTreeMap<Box<str>, Node>,
    binaries: Binaries,
    authority: Authority,
    client: HttpClient,
    directory: TempDir,
}

impl Fleet {
    /// Starts a fleet and waits until all of its processes are ready. Fails if one exits or is not
    /// ready in time.
    pub async fn start(executor: &Executor, cfg: &FleetConfig) -> Result<Self, TrialError> {
        let platform = PlatformStandIns::start(executor, &cfg.platform)?;
        let backends = BackendStandIns::start(executor, &platform, &cfg.backends)?;
        let mut fleet = Self {
            platform,
            backends,
            nodes: BTreeMap::new(),
            binaries: Binaries::find()?,
            authority: Authority::generate("bergamothold trial", CERTIFICATE_VALIDITY)?,
            client: HttpClient::new(executor.clone()),
            directory: TempDir::create()?,
        };
        fleet.write_config(cfg.declarations()).await?;
        fleet.prepare_nodes(cfg)?;
        fleet.publish_host_list();
        let names = fleet.names();
        for name in &names {
            fleet.start_process(name)?;
        }
        for name in &names {
            fleet.wait_until_ready(name).await?;
        }
        Ok(fleet)
    }

    /// Names of all nodes, sorted.
    pub fn names(&self) -> Vec<Box<str>> {
        self.nodes.keys().cloned().collect()
    }

    /// Returns the node `name`.
    ///
    /// # Panics
    ///
    /// Panics if there is no such node.
    pub fn node(&mut self, name: &str) -> &mut Node {
        self.nodes
            .get_mut(name)
            .unwrap_or_else(|| panic!("no node {name}"))
    }

    /// Node name of a backend server's agent.
    pub fn agent_of(&self, server: &str) -> Box<str> {
        format!("agent-{server}").into()
    }

    /// Addresses of the gateways whose process runs.
    pub fn gateways(&self) -> Vec<SocketAddr> {
        self.running(Role::Gateway)
            .map(|node| node.address)
            .collect()
    }

    /// Addresses of the agents whose process runs.
    pub fn agents(&self) -> Vec<SocketAddr> {
        self.running(Role::Agent).map(|node| node.address).collect()
    }

    /// Authority that issued the nodes' certificates.
    pub fn authority(&self) -> &Authority {
        &self.authority
    }

    /// Replaces the file of trusted authorities. Nodes trust the new ones once they have read it.
    pub fn trust_authorities(&self, authorities: &[&Authority]) -> Result<(), TrialError> {
        let certificates = authorities.iter().map(|authority| authority.certificate());
        let text: String = certificates.collect();
        self.directory.write(AUTHORITY_FILE, &text).map(|_| ())
    }

    /// Replaces the certificates of all nodes by new ones that `authority` issues.
    pub fn replace_certificates(&self, authority: &Authority) -> Result<(), TrialError> {
        for node in self.nodes.values() {
            let issued = authority.issue(node.cfg.role, &node.cfg.name, CERTIFICATE_VALIDITY)?;
            node.replace_certificate(&issued)?;
        }
        Ok(())
    }

    /// HTTP client that the fleet uses for its own requests.
    pub fn client(&self) -> &HttpClient {
        &self.client
    }

    /// Kills a node's process with SIGKILL.
    pub fn kill(&mut self, name: &str) {
        self.node(name).process = None;
    }

    /// Stops a node's process with SIGSTOP until [`Fleet::thaw`].
    pub fn freeze(&mut self, name: &str) -> Result<(), TrialError> {
        self.process(name)?.freeze()
    }

    /// Continues a process after [`Fleet::freeze`].
    pub fn thaw(&mut self, name: &str) -> Result<(), TrialError> {
        self.process(name)?.thaw()
    }

    /// Asks a node's process with SIGTERM to drain and exit, and waits for that; false if `limit`
    /// passes first.
    pub async fn terminate(&mut self, name: &str, limit: Duration) -> Result<bool, TrialError> {
        let process = self.process(name)?;
        process.terminate()?;
        let ended = process.wait_exit(limit).await;
        if ended {
            self.node(name).process = None;
        }
        Ok(ended)
    }

    /// Starts a node that was killed or terminated and waits until it is ready. It keeps its
    /// address unless another program has bound it in the meantime.
    pub async fn restart(&mut self, name: &str) -> Result<(), TrialError> {
        self.start_process(name)?;
        self.wait_until_ready(name).await
    }

    /// A node's process. Fails if it does not run.
    pub fn process(&mut self, name: &str) -> Result<&mut Process, TrialError> {
        let missing = TrialError::Process(name.into(), "find", "it does not run".into());
        self.node(name).process.as_mut().ok_or(missing)
    }

    /// Resources that a node's process has used. Fails if it does not run.
    pub fn usage(&mut self, name: &str) -> Result<ResourceUsage, TrialError> {
        Ok(self.process(name)?.usage())
    }

    /// Sets a node's state on the host list.
    pub fn set_host_state(&mut self, name: &str, state: HostState) {
        self.node(name).state = state;
        self.publish_host_list();
    }

    /// Changes the declarations in the table service and returns the new configuration version.
    pub async fn update_config(
        &self,
        change: impl FnOnce(&mut Declarations),
    ) -> Result<u64, TrialError> {
        let rows = self.table_client().read(&[CONFIG_KEY]).await;
        let rows = rows.map_err(|err| config_error(&err.to_string()))?;
        let row = rows.first().ok_or_else(|| config_error("none there"))?;
        let mut current: ConfigRow =
            serde_json::from_str(&row.value).map_err(|err| config_error(&err.to_string()))?;
        change(&mut current.declarations);
        self.write_config(current.declarations).await
    }

    /// Fetches a page of a node, such as `/metrics`; returns its status and text.
    pub async fn get_page(&mut self, name: &str, path: &str) -> Result<(u16, String), TrialError> {
        let address = self.node(name).address;
        get_page(&self.client, address, path).await
    }

    fn running(&self, role: Role) -> impl Iterator<Item = &Node> {
        self.nodes
            .values()
            .filter(move |node| node.cfg.role == role && node.process.is_some())
    }

    fn prepare_nodes(&mut self, cfg: &FleetConfig) -> Result<(), TrialError> {
        for (index, domain) in cfg.gateways.iter().enumerate() {
            let name = format!("gateway-{}", index + 1);
            self.add_node(NodeConfig {
                host: format!("host-{name}").into(),
                name: name.into(),
                role: Role::Gateway,
                domain: domain.clone(),
                backend: None,
                flags: cfg.gateway_flags.clone(),
            })?;
        }
        for backend in &cfg.backends {
            let server = &backend.server;
            self.add_node(NodeConfig {
                name: self.agent_of(&server.name),
                role: Role::Agent,
                host: server.host.clone(),
                domain: server.domain.clone(),
                backend: Some((server.name.clone(), self.backends.address(&server.name)?)),
                flags: cfg.agent_flags.clone(),
            })?;
        }
        Ok(())
    }

    fn add_node(&mut self, cfg: NodeConfig) -> Result<(), TrialError> {
        let name = cfg.name.clone();
        let platform = self.platform.addresses();
        let node = Node::prepare(cfg, platform, &self.authority, &self.directory)?;
        self.nodes.insert(name, node);
        Ok(())
    }

    fn start_process(&mut self, name: &str) -> Result<(), TrialError> {
        let binaries = self.binaries.clone();
        self.node(name).start(&binaries)
    }

    async fn wait_until_ready(&mut self, name: &str) -> Result<(), TrialError> {
        for _ in 0..PORT_ATTEMPTS {
            if self.is_started(name).await? {
                return Ok(());
            }
            self.node(name).choose_new_address();
            self.start_process(name)?;
            self.publish_host_list();
        }
        let log = self.process(name)?.log_tail();
        Err(TrialError::Process(name.into(), "start", log.into()))
    }

    /// Waits until a node is ready; false if it exited because its port was in use.
    async fn is_started(&mut self, name: &str) -> Result<bool, TrialError> {
        let start = Instant::now();
        loop {
            let (status, text) = self.get_page(name, "/healthz").await.unwrap_or_default();
            let process = self.process(name)?;
            if process.has_exited() {
                let log = process.log_tail();
                if log.contains("bind") {
                    return Ok(false);
                }
                return Err(TrialError::Process(name.into(), "start", log.into()));
            }
            // A process of another fleet may answer where this one could not bind its port.
            if status == 200 && process.has_logged(LISTENING_LOG) {
                return Ok(true);
            }
            if start.elapsed() > READY_TIMEOUT {
                let reason = format!("healthz {status} {text}; {}", process.log_tail());
                return Err(TrialError::Process(name.into(), "await", reason.into()));
            }
            Timer::after(READY_POLL_INTERVAL).await;
        }
    }

    fn publish_host_list(&self) {
        let hosts = self.nodes.values().map(Node::host_list_entry).collect();
        self.platform.hosts.standin().set_hosts(HostList { hosts });
    }

    async fn write_config(&self, declarations: Declarations) -> Result<u64, TrialError> {
        let request = CommandRequest {
            id: format!("{:032x}", rand::random::<u128>()).into(),
            operator: "trial".into(),
            text: "apply".into(),
            command: ConfigCommand::Replace(Box::new(declarations)),
            if_version: None,
            known_version: 0,
        };
        match run_command(&self.table_client(), request).await {
            CommandOutcome::Committed { version, .. } | CommandOutcome::Unchanged { version } => {
                Ok(version)
            }
            outcome => Err(config_error(&format!("{outcome:?}"))),
        }
    }

    fn table_client(&self) -> HttpPlatform {
        let addresses = self.platform.addresses();
        let cfg = PlatformConfig {
            table: addresses.table,
            objects: addresses.objects,
            hosts: addresses.hosts,
            call_timeout: PLATFORM_TIMEOUT,
        };
        HttpPlatform::new(cfg, self.client.clone())
    }
}

/// Fetches a page; returns its status and text.
pub async fn get_page(
    client: &HttpClient,
    peer: SocketAddr,
    path: &str,
) -> Result<(u16, String), TrialError> {
    let req = Request::get(path)
        .header(HOST, peer.to_string())
        .body(Body::empty())
        .map_err(|err| TrialError::Operation("get a page", err.to_string().into()))?;
    let response = client.fetch(peer, req, MAX_PAGE_BYTES, PAGE_TIMEOUT).await;
    let (status, body) =
        response.map_err(|err| TrialError::Operation("get a page", err.to_string().into()))?;
    Ok((status.as_u16(), String::from_utf8_lossy(&body).into()))
}

fn config_error(reason: &str) -> TrialError {
    TrialError::StandIn("write the configuration", reason.into())
}
