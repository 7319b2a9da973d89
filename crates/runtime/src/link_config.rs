//! Settings of links.

use crate::tls::{Identity, TlsError};
use quinn::{ClientConfig, ServerConfig, TransportConfig, VarInt};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const INITIAL_MAX_STREAMS: u32 = 64;
/// Assumed round trip before the first measurement. A lost first packet is sent again after three
/// of these, so that a connect survives it within its time limit.
const INITIAL_RTT: Duration = Duration::from_millis(50);

/// Settings of a [`LinkEndpoint`](crate::LinkEndpoint); [`LinkConfig::new`] gives the defaults.
#[derive(Debug, Clone)]
pub struct LinkConfig {
    /// UDP address to listen on.
    pub listen: SocketAddr,
    /// Time limit for opening a connection, and for [`LinkEndpoint::close`](crate::LinkEndpoint::close) to finish.
    pub connect_timeout: Duration,
    /// Time without traffic after which a connection is closed.
    pub idle_timeout: Duration,
    /// Upper limit on the streams that one peer may have open at one time. Each allowed stream
    /// costs about 70 bytes per connection, whether it is used or not.
    pub max_streams_per_peer: u32,
    /// Receive window of a stream: bytes that the peer may have in flight to this process.
    pub stream_window_bytes: u32,
}

impl LinkConfig {
    /// The default settings, listening on `listen`.
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(30),
            max_streams_per_peer: 1024,
            stream_window_bytes: 1 << 20,
        }
    }

    /// Streams that a peer may have open when a connection starts. Each allowed stream takes memory
    /// on both sides of the connection even before it is opened, so the limit grows with use.
    pub(crate) fn initial_max_streams(&self) -> u32 {
        self.max_streams_per_peer.min(INITIAL_MAX_STREAMS)
    }

    /// QUIC settings for connections that peers open.
    pub(crate) fn server(&self, identity: &Identity) -> Result<ServerConfig, TlsError> {
        let mut server = ServerConfig::with_crypto(identity.quic_server_config()?);
        server.transport_config(self.transport());
        Ok(server)
    }

    /// QUIC settings for connections to peers.
    pub(crate) fn client(&self, identity: &Identity) -> Result<ClientConfig, TlsError> {
        let mut client = ClientConfig::new(identity.quic_client_config()?);
        client.transport_config(self.transport());
        Ok(client)
    }

    fn transport(&self) -> Arc<TransportConfig> {
        let mut transport = TransportConfig::default();
        let idle = VarInt::try_from(self.idle_timeout.as_millis() as u64).unwrap_or(VarInt::MAX);
        transport
            .max_idle_timeout(Some(idle.into()))
            .initial_rtt(INITIAL_RTT)
            .max_concurrent_bidi_streams(VarInt::from_u32(self.initial_max_streams()))
            .max_concurrent_uni_streams(VarInt::from_u32(0))
            .stream_receive_window(VarInt::from_u32(self.stream_window_bytes))
            .datagram_receive_buffer_size(None);
        Arc::new(transport)
    }
}
