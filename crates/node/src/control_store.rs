//! Reads of the configuration and the host list from the platform.

use crate::control_plane::ControlPlane;
use async_io::Timer;
use platform::{HostEntry, HostList, HostRole, HostState, TableService};
use policy::{
    CONFIG_HEAD_KEY, CONFIG_KEY, ConfigHead, ConfigRow, GossipEvent, HostRecord, MembershipEvent,
    RequestSeq,
};
use rand::Rng;
use runtime::Role;
use slog::warn;
use std::sync::Arc;
use std::time::Duration;

const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(250);
const MAX_STARTUP_POLLS: u32 = 20;

impl<P: TableService + HostList> ControlPlane<P> {
    pub(crate) async fn read_head(self: Arc<Self>, seq: RequestSeq) {
        self.metrics.store_reads.inc();
        let rows = self.parts.platform.read(&[CONFIG_HEAD_KEY]).await;
        let event = match rows {
            Ok(rows) => match rows.first() {
                Some(row) => serde_json::from_str::<ConfigHead>(&row.value)
                    .ok()
                    .map(|head| {
                        let version = head.version;
                        GossipEvent::StoreHead { seq, version }
                    }),
                None => return self.read_content(seq).await,
            },
            Err(err) => {
                warn!(self.parts.log, "config: poll failed"; "err" => %err);
                None
            }
        };
        self.handle(event.unwrap_or(GossipEvent::StoreFailed));
    }

    pub(crate) async fn read_content(self: Arc<Self>, seq: RequestSeq) {
        self.metrics.store_reads.inc();
        let event = match self.parts.platform.read(&[CONFIG_KEY]).await {
            Ok(rows) => match rows
                .first()
                .map(|row| serde_json::from_str::<ConfigRow>(&row.value))
            {
                Some(Ok(row)) => GossipEvent::StoreContent {
                    seq,
                    version: row.version,
                    declared: Box::new(row.declarations),
                },
                Some(Err(err)) => {
                    warn!(self.parts.log, "config: row cannot be parsed"; "err" => %err);
                    GossipEvent::StoreFailed
                }
                None => GossipEvent::StoreHead { seq, version: 0 },
            },
            Err(err) => {
                warn!(self.parts.log, "config: read failed"; "err" => %err);
                GossipEvent::StoreFailed
            }
        };
        self.handle(event);
    }

    /// Polls the host list, at a short interval until it lists this node or
    /// [`MAX_STARTUP_POLLS`] short polls were made. Never returns.
    pub(crate) async fn poll_host_list(self: Arc<Self>) {
        let mut startup_polls_left = MAX_STARTUP_POLLS;
        loop {
            self.metrics.host_list_reads.inc();
            match self.parts.platform.hosts().await {
                Ok(listing) => {
                    if listing.skipped > 0 {
                        warn!(self.parts.log, "members: hosts cannot be decoded, the others are used";
                            "hosts" => listing.skipped);
                    }
                    let records = listing.hosts.iter().map(host_record).collect();
                    self.update_membership(MembershipEvent::Listed(records));
                }
                Err(err) => warn!(self.parts.log, "members: poll failed"; "err" => %err),
            }
            let members = self.parts.view.get().members.clone();
            let is_listed = members.nodes.contains_key(self.node());
            let mean = if is_listed || startup_polls_left == 0 {
                self.cfg.poll_interval(members.nodes.len())
            } else {
                startup_polls_left -= 1;
                STARTUP_POLL_INTERVAL
            };
            let jitter = rand::rng().random_range(0.5..1.5);
            Timer::after(mean.mul_f64(jitter)).await;
        }
    }
}

fn host_record(host: &HostEntry) -> HostRecord {
    let is_agent = host.role == HostRole::Agent;
    let role = if is_agent { Role::Agent } else { Role::Gateway };
    HostRecord {
        node: format!("{}/{role}", host.host).into(),
        host: host.host.clone(),
        domain: host.domain.clone(),
        address: host.address,
        is_agent,
        leaving: host.state == HostState::Leaving,
    }
}
