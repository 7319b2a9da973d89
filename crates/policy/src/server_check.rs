//! Whether a server that failed is gone, by connections that are made to it.

use crate::server_set::BackendId;
use std::collections::HashMap;
use std::time::Duration;

/// Connections without a reply, and the pause between them, after which a server counts as gone. On
/// the first of them a lost packet is sent again within this time, which the kernel does after a second.
const UNANSWERED_CONNECTIONS: u32 = 8;
const CONNECT_INTERVAL: Duration = Duration::from_millis(150);
/// Time that the last connection gets for a reply.
const REPLY_TIME: Duration = Duration::from_millis(200);

/// What came of a connection that a check made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckReply {
    /// The server accepted it, as a running one does.
    Accepted,
    /// The server's host refused it: the process has ended.
    Refused,
    /// It could not be made for a reason that says nothing of the server.
    Failed,
}

/// What a check has found out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerFate {
    /// Nothing shows that it is gone.
    Lives,
    /// It accepts no connections any more. Those of a process that has ended are closed by its host.
    Ended,
    /// Its host is down, or it is cut off, so that its connections stay open without a sign.
    CutOff,
}

/// What to do next in a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckStep {
    /// Make one more connection, besides those that have no reply yet.
    Connect,
    /// Wait for replies for this time.
    Wait(Duration),
    /// The check has ended.
    Ended(ServerFate),
}

/// Finds out whether a server is gone.
///
/// Load pattern: a link that loses packets swallows the only packet of a connection, and a server that
/// works is taken for one that is gone. Connections are therefore made for longer than a lost packet
/// takes to be sent again, and a connection that the gateway cannot make is no evidence.
#[derive(Debug)]
pub struct ServerCheck {
    connections: u32,
    last_connection: Duration,
    fate: Option<ServerFate>,
}

impl ServerCheck {
    /// Longest time that a check takes, where the process runs all the while.
    pub const MAX_TIME: Duration = CONNECT_INTERVAL
        .saturating_mul(UNANSWERED_CONNECTIONS - 1)
        .saturating_add(REPLY_TIME);

    /// A check that begins with a connection made at `now`.
    pub fn new(now: Duration) -> Self {
        Self {
            connections: 1,
            last_connection: now,
            fate: None,
        }
    }

    /// Records what came of a connection. One without a reply is not reported.
    pub fn on_reply(&mut self, reply: CheckReply) {
        let fate = match reply {
            CheckReply::Accepted | CheckReply::Failed => ServerFate::Lives,
            CheckReply::Refused => ServerFate::Ended,
        };
        self.fate.get_or_insert(fate);
    }

    /// What to do at `now`; all replies until then have to be recorded.
    pub fn next_step(&mut self, now: Duration) -> CheckStep {
        if let Some(fate) = self.fate {
            return CheckStep::Ended(fate);
        }
        let is_last = self.connections == UNANSWERED_CONNECTIONS;
        let pause = if is_last {
            REPLY_TIME
        } else {
            CONNECT_INTERVAL
        };
        let left = (self.last_connection + pause).saturating_sub(now);
        if !left.is_zero() {
            return CheckStep::Wait(left);
        }
        if is_last {
            self.fate = Some(ServerFate::CutOff);
            return CheckStep::Ended(ServerFate::CutOff);
        }
        self.connections += 1;
        self.last_connection = now;
        CheckStep::Connect
    }
}

/// Checks that run, one for each server, and the calls that wait for them.
///
/// Load pattern: a host goes dark while hundreds of calls run on its servers, and each of them would
/// make connections of its own.
#[derive(Debug)]
pub struct RunningChecks<W> {
    waiters: HashMap<BackendId, Vec<W>>,
}

impl<W> Default for RunningChecks<W> {
    fn default() -> Self {
        Self {
            waiters: HashMap::new(),
        }
    }
}

impl<W> RunningChecks<W> {
    /// Adds a call that waits for the check of a server. Returns whether the check has to be started.
    pub fn join(&mut self, server: &BackendId, waiter: W) -> bool {
        let waiters = self.waiters.entry(server.clone()).or_default();
        waiters.push(waiter);
        waiters.len() == 1
    }

    /// Ends the check of a server, and returns the calls that wait for it.
    pub fn end(&mut self, server: &BackendId) -> Vec<W> {
        self.waiters.remove(server).unwrap_or_default()
    }
}

/// Checks of the servers that may have run a call, and those of them that are gone.
#[derive(Debug, Default)]
pub struct CallChecks {
    /// Servers that are checked, and when their checks have ended.
    pending: Vec<(BackendId, Duration)>,
    gone: Vec<BackendId>,
    cut_off: Vec<BackendId>,
}

impl CallChecks {
    /// Records that a check of a server begins at `now`. Returns `false` if it is being checked or
    /// known to be gone.
    pub fn start(&mut self, server: &BackendId, now: Duration) -> bool {
        if self.is_gone(server) || self.pending.iter().any(|(id, _)| id == server) {
            return false;
        }
        self.pending
            .push((server.clone(), now + ServerCheck::MAX_TIME));
        true
    }

    /// Records what is known of a server, which ends its check.
    pub fn on_fate(&mut self, server: &BackendId, fate: ServerFate) {
        self.pending.retain(|(id, _)| id != server);
        if fate != ServerFate::Lives && !self.is_gone(server) {
            self.gone.push(server.clone());
        }
        if fate == ServerFate::CutOff && !self.is_cut_off(server) {
            self.cut_off.push(server.clone());
        }
    }

    /// Whether a server is known to be gone.
    pub fn is_gone(&self, server: &BackendId) -> bool {
        self.gone.contains(server)
    }

    /// Whether a server is known to be cut off, so that nothing more comes from it.
    pub fn is_cut_off(&self, server: &BackendId) -> bool {
        self.cut_off.contains(server)
    }

    /// Number of servers that are gone.
    pub fn gone(&self) -> u32 {
        self.gone.len() as u32
    }

    /// Whether a check ends before `deadline`, so that its result leaves time to run the call again.
    pub fn is_worth_waiting(&self, deadline: Duration) -> bool {
        self.pending.iter().any(|(_, end)| *end < deadline)
    }
}
