//! What the crash guard takes and decides.

use crate::blocked_suspects::RowChange;
use crate::send_shares::SendShares;
use proto::Suspect;

/// Whether a request may be sent to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GuardVerdict {
    /// It may.
    Allowed,
    /// It has this blocked suspect.
    Blocked(Suspect),
    /// It may once these rows are written, as a trial whether its blocked suspects still crash servers.
    Trial(Vec<RowChange>),
}

/// Why a suspect was blocked or released, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GuardReason {
    /// Servers crashed under it, or were seen not to.
    Evidence,
    /// A peer says so.
    Peer,
    /// Its row in the store was found or removed.
    Row,
}

/// A suspect that was blocked or released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GuardChange {
    /// The suspect.
    pub suspect: Suspect,
    /// Whether it is blocked now.
    pub is_blocked: bool,
    /// Why.
    pub reason: GuardReason,
    /// Crashes that it may have caused, as far as this gateway knows.
    pub crashes: usize,
}

/// What keeps gateways from doing the same at the same time.
#[derive(Debug, Clone, Copy)]
pub struct Spread<'a> {
    /// The gateways, of which a few act first.
    pub shares: &'a SendShares,
    /// Random number between 0 and 1.
    pub jitter: f64,
}
