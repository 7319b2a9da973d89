//! The first frame of a stream.

use crate::control::{ConfigMessage, LendRequest, QueryRequest};
use crate::request::Offer;
use crate::span::SpanRequest;
use crate::timeline::Stamp;
use serde::{Deserialize, Serialize};

/// What a stream is for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StreamOpening {
    /// One attempt; [`crate::RequestFrame`]s follow, [`crate::AnswerFrame`]s come back.
    Request {
        /// Sender's clock.
        stamp: Stamp,
        /// The attempt.
        offer: Box<Offer>,
    },
    /// Configuration and membership; one [`ConfigMessage`] comes back.
    Config {
        /// Sender's clock.
        stamp: Stamp,
        /// What the sender knows.
        message: ConfigMessage,
    },
    /// Tokens of a team's limit; one [`crate::LendAnswer`] comes back.
    Lend {
        /// Sender's clock.
        stamp: Stamp,
        /// What is asked.
        request: LendRequest,
    },
    /// A step of a prompt that spans several engines; one [`crate::SpanAnswer`] comes back.
    Span {
        /// Sender's clock.
        stamp: Stamp,
        /// What is asked.
        request: SpanRequest,
    },
    /// A question about this node; one [`crate::QueryAnswer`] comes back.
    Query {
        /// Sender's clock.
        stamp: Stamp,
        /// What is asked.
        request: QueryRequest,
    },
    /// Work given to backend servers; [`crate::LoadFrame`]s follow, none come back.
    Load,
    /// What the store holds beyond what the sender knows; one [`crate::StoreSnapshot`] comes back.
    #[serde(rename = "Knowledge")]
    StoreSnapshot(crate::StoreVersions),
}
