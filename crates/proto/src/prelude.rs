//! Types that most modules need.

pub use crate::{
    AttemptId, ConfigVersion, DomainId, Epoch, Hints, HostId, ModelId, NodeId, RequestId, RouteId,
    ServerId, TeamId, Tokens,
};
pub use std::time::Duration;
