//! How a stand-in of a backend server handles requests.

use std::net::SocketAddr;

/// How a server responds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerKind {
    /// With streams of server-sent events.
    Engine,
    /// With one response body, not streamed.
    Plain,
}

/// How a server handles requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ServerBehaviour {
    /// It runs them and responds.
    #[default]
    Normal,
    /// It responds that it is full, and does not run them.
    Full,
    /// It names the server at this address as at fault for one request, which it does not run, and
    /// then is normal.
    NameAtFault(SocketAddr),
    /// It runs them, and aborts the connection before the response.
    Cut,
    /// It aborts a stream in the middle of the event after the one with this id.
    BreakAfter(u64),
    /// It runs them, and never responds.
    Hang,
    /// It runs them, and responds two seconds late.
    LateResponse,
    /// It sends the head of a stream at once, and the first event two seconds later.
    LateEvents,
    /// It responds with the id of another request.
    WrongId,
    /// It pauses a stream for two seconds after the event with this id.
    PauseAfter(u64),
    /// After the event with this id it sends a byte of a comment now and then, and no event, until the
    /// caller disconnects.
    DripAfter(u64),
    /// It sends nothing more after the event with this id, but keeps the stream open until the
    /// caller disconnects.
    StallAfter(u64),
}
