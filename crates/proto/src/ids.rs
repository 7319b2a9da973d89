//! Identifiers, as aliases of standard types.

use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};

/// Name of a host.
pub type HostId = Box<str>;
/// Name of a failure domain.
pub type DomainId = Box<str>;
/// Name of a team.
pub type TeamId = Box<str>;
/// Name of a backend server.
pub type ServerId = Box<str>;
/// Name of a model.
pub type ModelId = Box<str>;
/// Path of a route to a plain service, which serves no model.
pub type RouteId = Box<str>;
/// Name of an operator.
pub type OperatorId = Box<str>;
/// Name of a process of bergamothold, which is a gateway or an agent.
pub type NodeId = Box<str>;
/// Id of a request, chosen at random by the gateway that received it.
pub type RequestId = u128;
/// Id of a grant of engine memory.
pub type GrantId = u128;
/// Version of the configuration, which never decreases.
pub type ConfigVersion = u64;
/// Epoch of a backend server's lease. It increases with each new holder and is the fencing number
/// of the holder's orders.
pub type Epoch = u64;
/// Number of tokens of a language model.
pub type Tokens = u64;

/// One attempt at a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// Request to which the attempt belongs.
    pub request: RequestId,
    /// Number of the attempt within its request, starting from 1.
    pub number: u32,
}

impl Display for AttemptId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}-{}", self.request, self.number)
    }
}
