//! The row that holds a claim in the table service.

use bytes::Bytes;
use proto::NodeId;
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use xxhash_rust::xxh3::xxh3_128;

/// Prefix of the keys of all claims.
pub const CLAIM_PREFIX: &str = "claim/";

/// A whole answer of a backend server, as a repeat gets it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Option<Box<str>>,
    /// Body.
    pub body: Bytes,
}

/// What a claim's row says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimRow {
    /// Agent that wrote it.
    pub(crate) node: NodeId,
    /// Attempt that it was written for.
    pub(crate) attempt: Box<str>,
    /// Tells this claim from every other, of the same attempt too.
    pub(crate) nonce: u64,
    /// Hash of the request's content.
    pub(crate) content: u64,
    /// When it was written, in seconds since the Unix epoch.
    pub(crate) at: u64,
    pub(crate) state: ClaimState,
}

/// How far a claim has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ClaimState {
    /// The attempt runs, or may have run.
    Claimed,
    /// The attempt was given up before it ran; the key is free.
    Void,
    /// The attempt may have run, and its answer is lost.
    Broken,
    /// The attempt ran, and this is its whole answer.
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

/// Key of a claim's row.
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

    /// The answer, or none where the row is damaged.
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
