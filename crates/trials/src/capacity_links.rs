//! Measures the memory that a link takes at each of its two ends, with both ends in this process.

use crate::error::TrialError;
use crate::process::ResourceUsage;
use crate::slope::Series;
use crate::temp_dir::TempDir;
use proto::{QueryRequest, Stamp, StreamOpening};
use runtime::{
    Authority, Executor, FrameReceiver, FrameSender, Identity, LinkConfig, LinkEndpoint, LinkError,
    Peer, Role, StreamHandler, TlsFiles,
};
use slog::{Discard, Logger, o};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

const LINKS: [usize; 4] = [100, 200, 300, 400];
const DAY: Duration = Duration::from_secs(86_400);
const KIB: f64 = 1_024.0;
const ENDPOINTS_PER_LINK: f64 = 2.0;

/// Replies to each stream with the name of the peer's node.
struct NodeNameReply;

impl StreamHandler for NodeNameReply {
    async fn handle(&self, peer: Peer, _: StreamOpening, mut tx: FrameSender, _: FrameReceiver) {
        let _ = tx.send(&peer.node).await;
        tx.finish();
    }
}

/// Opens links that each carry one stream, and measures the memory of one end per link.
pub async fn measure(executor: &Executor) -> Result<Series, TrialError> {
    let mut series = Series::new("memory of a process", "KiB", "link");
    let directory = TempDir::create()?;
    let authority = Authority::generate("capacity", DAY)?;
    let agent = identity(&authority, &directory, Role::Agent)?;
    let gateway = identity(&authority, &directory, Role::Gateway)?;
    let server = bind(executor, &agent)?;
    executor.detach(server.clone().serve(Arc::new(NodeNameReply)));
    let max_links = LINKS[LINKS.len() - 1];
    let clients: Result<Vec<_>, _> = (0..max_links).map(|_| bind(executor, &gateway)).collect();
    let clients = clients?;
    let before = resident_kib();
    for (index, client) in clients.iter().enumerate() {
        open_link(client, &server)
            .await
            .map_err(|err| TrialError::Operation("open a link", err.to_string().into()))?;
        if LINKS.contains(&(index + 1)) {
            series.push(
                (index + 1) as f64,
                (resident_kib() - before) / ENDPOINTS_PER_LINK,
            );
        }
    }
    Ok(series)
}

async fn open_link(
    client: &LinkEndpoint,
    server: &LinkEndpoint,
) -> Result<Option<Box<str>>, LinkError> {
    let request = QueryRequest::Timeline {
        since: Duration::ZERO,
    };
    let opening = StreamOpening::Query {
        stamp: Stamp::default(),
        request,
    };
    let (_tx, mut rx) = client
        .open(server.local_addr(), Role::Agent, &opening)
        .await?;
    rx.receive().await
}

fn bind(executor: &Executor, identity: &Identity) -> Result<Arc<LinkEndpoint>, TrialError> {
    let cfg = LinkConfig::new((Ipv4Addr::LOCALHOST, 0).into());
    let log = Logger::root(Discard, o!());
    LinkEndpoint::bind(executor.clone(), cfg, identity, log)
        .map(Arc::new)
        .map_err(|err| TrialError::Operation("bind a link", err.to_string().into()))
}

fn identity(
    authority: &Authority,
    directory: &TempDir,
    role: Role,
) -> Result<Identity, TrialError> {
    let issued = authority.issue(role, "capacity", DAY)?;
    let files = TlsFiles {
        authority: directory.write("authority.pem", authority.certificate())?,
        certificate: directory.write("certificate.pem", &issued.certificate)?,
        key: directory.write("key.pem", &issued.key)?,
    };
    Ok(Identity::load(&files)?)
}

fn resident_kib() -> f64 {
    ResourceUsage::of(std::process::id()).resident_bytes as f64 / KIB
}
