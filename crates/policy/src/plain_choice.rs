//! Chooses the server for a request to a plain service, which is one without model engines.

/// A server of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainCandidate {
    /// Requests of all gateways there, as far as this gateway knows.
    pub jobs: u32,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it failed recently.
    pub suspect: bool,
    /// Whether it recently reported that it is full.
    pub recently_full: bool,
    /// Whether it is in the gateway's own failure domain.
    pub same_domain: bool,
    /// Random number, so that gateways with the same information do not all choose the same server.
    pub tie_break: u64,
}

/// Returns the index of the server to send to: one that works and has a free slot, with the fewest
/// requests. Among equals, a server in the gateway's own failure domain is preferred.
///
/// This guards against sending requests to a server that fails or slows down while others are idle.
pub fn choose_plain_server(servers: &[PlainCandidate]) -> Option<usize> {
    let rank = |server: &PlainCandidate| {
        let all_slots_taken = server.jobs >= server.slots;
        (
            server.suspect,
            server.recently_full,
            all_slots_taken,
            server.jobs,
            !server.same_domain,
            server.tie_break,
        )
    };
    let servers = servers.iter().enumerate();
    servers
        .min_by_key(|(_, server)| rank(server))
        .map(|(index, _)| index)
}
