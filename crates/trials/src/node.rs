//! A gateway or agent of a fleet: its settings, files and process.

use crate::binaries::Binaries;
use crate::error::TrialError;
use crate::loopback::{free_port, loopback};
use crate::process::Process;
use crate::temp_dir::{TempDir, write_atomically};
use platform::HostState;
use runtime::{Authority, HostCertificate, Role};
use standins::ListedHost;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Name of the file with the certificates of the trusted authorities.
pub(crate) const AUTHORITY_FILE: &str = "authority.pem";
const CERTIFICATE_VALIDITY: Duration = Duration::from_secs(86_400);

/// Addresses of the platform's services.
#[derive(Debug, Clone, Copy)]
pub struct PlatformAddresses {
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Address of the host list.
    pub hosts: SocketAddr,
}

/// Settings of one gateway or agent.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    /// Node name, also the subject of its certificate and the stem of its file names.
    pub name: Box<str>,
    /// Whether it is a gateway or an agent.
    pub role: Role,
    /// Host on which it runs, as the host list names it.
    pub host: Box<str>,
    /// Failure domain of the host.
    pub domain: Box<str>,
    /// Backend server and its address; only for an agent.
    pub backend: Option<(Box<str>, SocketAddr)>,
    /// Additional command-line flags.
    pub flags: Vec<Box<str>>,
}

/// A gateway or agent.
#[derive(Debug)]
pub struct Node {
    /// Settings that it is started with.
    pub cfg: NodeConfig,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// State with which it is on the host list.
    pub state: HostState,
    /// Its process; absent if it was not started or has ended.
    pub process: Option<Process>,
    platform: PlatformAddresses,
    certificate: PathBuf,
    key: PathBuf,
    authority: PathBuf,
    log: PathBuf,
}

impl Node {
    /// Chooses an address and writes the certificate files, without starting the process.
    pub fn prepare(
        cfg: NodeConfig,
        platform: PlatformAddresses,
        authority: &Authority,
        directory: &TempDir,
    ) -> Result<Self, TrialError> {
        let authority_file = directory.write(AUTHORITY_FILE, authority.certificate())?;
        let issued = authority.issue(cfg.role, &cfg.name, CERTIFICATE_VALIDITY)?;
        let certificate = directory.write(&format!("{}.pem", cfg.name), &issued.certificate)?;
        let key = directory.write(&format!("{}.key", cfg.name), &issued.key)?;
        let log = directory.path().join(format!("{}.log", cfg.name));
        Ok(Self {
            address: loopback(free_port()),
            state: HostState::Live,
            process: None,
            platform,
            certificate,
            key,
            authority: authority_file,
            log,
            cfg,
        })
    }

    /// Starts its process. An earlier process is killed.
    pub fn start(&mut self, binaries: &Binaries) -> Result<(), TrialError> {
        let program = match self.cfg.role {
            Role::Gateway => &binaries.gateway,
            Role::Agent => &binaries.agent,
        };
        let process = Process::start(&self.cfg.name, program, &self.args(), self.log.clone())?;
        self.process = Some(process);
        Ok(())
    }

    /// Chooses another address, for when another program has bound the first one in the meantime.
    pub fn choose_new_address(&mut self) {
        self.address = loopback(free_port());
    }

    /// Replaces the certificate and the key in its files, which a running process reads again.
    pub fn replace_certificate(&self, issued: &HostCertificate) -> Result<(), TrialError> {
        for (path, text) in [
            (&self.certificate, &issued.certificate),
            (&self.key, &issued.key),
        ] {
            write_atomically(path, text)?;
        }
        Ok(())
    }

    /// Its entry of the host list.
    pub fn host_list_entry(&self) -> ListedHost {
        let state = match self.state {
            HostState::Live => "live",
            HostState::Leaving => "leaving",
        };
        ListedHost {
            host: self.cfg.host.clone(),
            domain: self.cfg.domain.clone(),
            role: self.cfg.role.to_string().into(),
            address: self.address,
            state: state.into(),
        }
    }

    fn args(&self) -> Vec<Box<str>> {
        let mut args: Vec<Box<str>> = Vec::new();
        if self.cfg.role == Role::Gateway {
            args.push("serve".into());
        }
        let mut flag = |name: &str, value: String| {
            args.push(format!("--{name}").into());
            args.push(value.into());
        };
        flag("listen", self.address.to_string());
        flag("node", self.cfg.name.to_string());
        flag("host", self.cfg.host.to_string());
        flag("domain", self.cfg.domain.to_string());
        flag("table", self.platform.table.to_string());
        flag("objects", self.platform.objects.to_string());
        flag("host-list", self.platform.hosts.to_string());
        flag("authority", self.authority.display().to_string());
        flag("certificate", self.certificate.display().to_string());
        flag("key", self.key.display().to_string());
        if let Some((server, backend)) = &self.cfg.backend {
            flag("server", server.to_string());
            flag("backend", backend.to_string());
        }
        args.extend(self.cfg.flags.iter().cloned());
        args
    }
}
