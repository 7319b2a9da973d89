//! The first frame of a stream.

use crate::control::{ConfigMessage, LendRequest, QueryRequest};
use crate::request::Offer;
use crate::span::SpanRequest;
use crate::timeline::Stamp;
use serde::{Deserialize, Serialize};

/// First frame of a stream, which states its purpose.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StreamOpening {
    /// An attempt at a request. [`crate::RequestFrame`]s follow, [`crate::AnswerFrame`]s come back.
    Request {
        /// Clock of the sender.
        stamp: Stamp,
        /// Attempt that is offered.
        offer: Box<Offer>,
    },
    /// Gossip of configuration and membership. One [`ConfigMessage`] comes back.
    Config {
        /// Clock of the sender.
        stamp: Stamp,
        /// The sender's gossip message.
        message: ConfigMessage,
    },
    /// A request for tokens of a team's limit. One [`crate::LendAnswer`] comes back.
    Lend {
        /// Clock of the sender.
        stamp: Stamp,
        /// Tokens that are requested and returned.
        request: LendRequest,
    },
    /// A step of a prompt that spans several engines. One [`crate::SpanAnswer`] comes back.
    Span {
        /// Clock of the sender.
        stamp: Stamp,
        /// Step to carry out.
        request: SpanRequest,
    },
    /// A query about the receiving node. One [`crate::QueryAnswer`] comes back.
    Query {
        /// Clock of the sender.
        stamp: Stamp,
        /// Query to answer.
        request: QueryRequest,
    },
    /// The load that the sender has placed on backend servers. [`crate::LoadFrame`]s follow,
    /// nothing comes back.
    Load,
    /// A request for store content that is newer than these versions, which the sender has. One
    /// [`crate::StoreSnapshot`] comes back.
    #[serde(rename = "Knowledge")]
    StoreSnapshot(crate::StoreVersions),
    /// Request limits that backend servers state to the sender. [`crate::RequestLimitFrame`]s follow,
    /// nothing comes back.
    RequestLimits,
    /// Opened by earlier builds only, and refused.
    PromptCrashes,
    /// Crashes of servers under the sender's requests, and what crashes servers.
    /// [`crate::CrashFrame`]s follow, nothing comes back.
    Crashes,
    /// Backend servers that refuse the sender's connections, or that other servers name as at fault.
    /// [`crate::ServerFailureFrame`]s follow, nothing comes back.
    ServerFailures,
    /// Prompts that wait for engines at the sender. [`crate::WaitingFrame`]s follow, nothing comes back.
    Waiting,
    /// A request for store content that is newer than what the sender has. [`crate::ContentFrame`]s come
    /// back. Earlier builds refuse it and know [`Self::StoreSnapshot`] only.
    StoreContent(crate::ContentRequest),
}
