//! Which server of a plain service gets a request.

/// A server of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainCandidate {
    /// Requests of all gateways there, as far as is known.
    pub jobs: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it failed lately.
    pub suspect: bool,
    /// Whether it said just now that it is full.
    pub recently_full: bool,
    /// Whether it stands in the gateway's own failure domain.
    pub same_domain: bool,
    /// A draw, so that gateways that know the same do not choose the same.
    pub tie_break: u64,
}

/// The server to send to: one that works and has a free slot, with the least to do; the gateway's
/// own failure domain decides between equals.
///
/// Load pattern: a server that fails or slows while others are idle.
pub fn choose_plain_server(servers: &[PlainCandidate]) -> Option<usize> {
    let rank = |server: &PlainCandidate| {
        let crowded = server.jobs >= server.slots;
        (
            server.suspect,
            server.recently_full,
            crowded,
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
