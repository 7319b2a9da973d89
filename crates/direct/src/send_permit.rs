//! Permits to send one request to a backend server.

use crate::shared::Shared;
use policy::{BackendId, ServiceSpec};
use std::sync::Arc;

/// Right to send one request to a server. Until the request is sent, or this is dropped, it counts
/// towards the limits on the requests to the server, so that no other request takes its place.
#[derive(Debug)]
pub struct SendPermit {
    shared: Arc<Shared>,
    service: Arc<ServiceSpec>,
    server: BackendId,
    is_used: bool,
}

impl SendPermit {
    /// Takes a permit; `None` if this gateway's shares of the server's limits are used up.
    pub fn take(shared: &Arc<Shared>, service: &Arc<ServiceSpec>, server: &str) -> Option<Self> {
        let now = shared.clock.now();
        shared
            .fleet
            .reserve_send(service, server, now)
            .then(|| Self {
                shared: shared.clone(),
                service: service.clone(),
                server: server.into(),
                is_used: false,
            })
    }

    /// Counts the request as sent now; returns `false`, and counts nothing, if the limits were
    /// lowered meanwhile and do not allow it any more.
    pub fn start_send(&mut self) -> bool {
        self.is_used = true;
        let fleet = &self.shared.fleet;
        fleet.cancel_send(&self.server);
        fleet.start_send(&self.service, &self.server, self.shared.clock.now())
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        if !self.is_used {
            self.shared.fleet.cancel_send(&self.server);
        }
    }
}
