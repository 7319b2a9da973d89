//! The row of the table service that stores a claim.

use bytes::Bytes;
use proto::NodeId;
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use xxhash_rust::xxh3::xxh3_128;

/// Prefix of the keys of all claims.
pub const CLAIM_PREFIX: &str = "claim/";

/// A complete answer of a backend server, which is stored for repeats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header, if there was one.
    pub content_type: Option<Box<str>>,
    /// Whole body.
    pub body: Bytes,
}

/// Value of a claim's row, stored as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimRow {
    /// Agent that wrote the claim.
    pub(crate) node: NodeId,
    /// Attempt for which it was written.
    pub(crate) attempt: Box<str>,
    /// Distinguishes this claim from all others, including those of the same attempt.
    pub(crate) nonce: u64,
    /// Hash of the request's content.
    pub(crate) content: u64,
    /// When it was written, in seconds since the Unix epoch.
    pub(crate) at: u64,
    pub(crate) state: ClaimState,
}

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ClaimState {
    /// The attempt is running, or may have run.
    Claimed,
    /// The attempt did not run; the key may be claimed again.
    Void,
    /// The attempt may have run, and its answer is lost.
    Broken,
    /// The attempt ran and got this complete answer.
    Finished(StoredAnswer),
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredAnswer {
    status: u16,
    content_type: Option<Box<str>>,
    body: StoredBody,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum StoredBody {
    Text(Box<str>),
    Hex(Box<str>),
}

/// Key of a claim's row. The caller's key is hashed, as it may be of any length and content.
pub(crate) fn row_key(team: &str, key: &str) -> Box<str> {
    format!("{CLAIM_PREFIX}{team}/{:032x}", xxh3_128(key.as_bytes())).into()
}

impl ClaimRow {
    /// The same claim in another state.
    pub(crate) fn with(&self, state: ClaimState) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }

    pub(crate) fn parse(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    pub(crate) fn to_value(&self) -> Box<str> {
        serde_json::to_string(self).unwrap_or_default().into()
    }
}

impl StoredAnswer {
    pub(crate) fn new(answer: &CompleteAnswer) -> Self {
        let body = match std::str::from_utf8(&answer.body) {
            Ok(text) => StoredBody::Text(text.into()),
            Err(_) => StoredBody::Hex(to_hex(&answer.body)),
        };
        Self {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body,
        }
    }

    /// Decodes the answer; `None` if the row is corrupt.
    pub(crate) fn restore(&self) -> Option<CompleteAnswer> {
        let body = match &self.body {
            StoredBody::Text(text) => Bytes::copy_from_slice(text.as_bytes()),
            StoredBody::Hex(hex) => from_hex(hex)?.into(),
        };
        Some(CompleteAnswer {
            status: self.status,
            content_type: self.content_type.clone(),
            body,
        })
    }
}

fn to_hex(data: &[u8]) -> Box<str> {
    let mut hex = String::with_capacity(data.len() * 2);
    for byte in data {
        let _ = write!(hex, "{byte:02x}");
    }
    hex.into()
}

fn from_hex(hex: &str) -> Option<Vec<u8>> {
    let digits = hex.as_bytes().chunks(2);
    digits
        .map(|pair| {
            let pair = std::str::from_utf8(pair).ok()?;
            u8::from_str_radix(pair, 16).ok()
        })
        .collect()
}
