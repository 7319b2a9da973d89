//! Messages with which a gateway gets the content of the store from a peer: rows of servers in pages, and
//! declarations in pieces or as differences.

use crate::codec::CodecError;
use crate::crash::CrashFrame;
use crate::load::{BackendRow, RequestLimitFrame, StoreVersions};
use crate::revision::Revision;
use crate::writer_count::WriterCount;
use serde::{Deserialize, Deserializer, Serialize};
use xxhash_rust::xxh3::xxh3_128;

/// Digest of the bytes of declarations.
pub type ContentDigest = u128;
/// Row of a backend server: its id, content and version.
pub type ServerRow = (Box<str>, BackendRow, u64);

/// Size of the pieces in which declarations are sent, in bytes.
pub const CONTENT_PIECE_BYTES: usize = 64 << 10;
/// Number of rows of servers in a page.
pub const CONTENT_PAGE_ROWS: usize = 200;

/// Digest of the bytes of declarations. It guards against damage, not against a peer, which is trusted.
pub fn content_digest(bytes: &[u8]) -> ContentDigest {
    xxh3_128(bytes)
}

/// What a gateway has of the content that it asks a peer for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentRequest {
    /// Versions of the tables that it has.
    pub versions: StoreVersions,
    /// Digest of its declarations; `None` if it has none.
    pub declarations: Option<ContentDigest>,
    /// Declarations of which it has the first part, from a transfer that broke off.
    pub partial: Option<PartialDeclarations>,
    /// Whether it asks for all that the peer knows, also of what servers and prompts did. Frames of earlier builds
    /// end before it.
    #[serde(deserialize_with = "false_if_absent")]
    pub is_first: bool,
}

fn false_if_absent<'de, D: Deserializer<'de>>(deserializer: D) -> Result<bool, D::Error> {
    Ok(bool::deserialize(deserializer).unwrap_or_default())
}

/// The first part of some declarations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialDeclarations {
    /// Digest of the whole.
    pub digest: ContentDigest,
    /// Number of bytes of the first part.
    pub bytes: u64,
}

/// A frame of the answer to a [`ContentRequest`]: the head, pages of rows, pieces of declarations.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ContentFrame {
    /// What follows.
    Head(ContentHead),
    /// A page of rows of servers.
    Rows(Vec<ServerRow>),
    /// A piece of the declarations, or of the scripts that lead to them.
    Piece(Vec<u8>),
    /// The sender sends to as many peers as it can; instead of the declarations, which are asked for again
    /// later or elsewhere.
    Busy,
    /// All request limits that the sender knows, after the head of an answer to one who asks for all.
    Limits(RequestLimitFrame),
    /// The same for prompts and requests that crash servers, after the limits.
    Crashes(CrashFrame),
}

/// What a peer sends in answer to a [`ContentRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ContentHead {
    /// Versions of the tables at the peer.
    pub versions: StoreVersions,
    /// Failure domains that operators have ordered to be evacuated.
    pub evacuated: Vec<Box<str>>,
    /// Number of rows that follow.
    pub rows: u64,
    /// Whether only rows follow, also of removed servers, that are newer than what the requester has.
    pub is_difference: bool,
    /// Declarations that follow the rows; `None` if the requester has the latest or there are none.
    pub declarations: Option<DeclarationsHead>,
    /// Orders of evacuation with their revisions, also removed ones. Frames of earlier builds end before them.
    #[serde(deserialize_with = "none_if_absent")]
    pub orders: Option<Vec<EvacuationOrder>>,
    /// What the server of each of the rows that follow counted when it wrote it, in their order. Frames of earlier builds end
    /// before it.
    #[serde(deserialize_with = "none_if_absent")]
    pub counts: Option<Vec<Option<WriterCount>>>,
    /// Whether the sender has just started, and knows no more than the store has told it. Frames of earlier builds
    /// end before it.
    #[serde(deserialize_with = "none_if_absent")]
    pub is_starting: Option<bool>,
}

/// An order of operators to evacuate a failure domain, or its removal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationOrder {
    /// The failure domain.
    pub domain: Box<str>,
    /// Whether it is evacuated.
    pub is_active: bool,
    /// Revision of the store's row, or of its removal.
    pub version: Revision,
}

/// How declarations are sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclarationsHead {
    /// Digest of the declarations.
    pub digest: ContentDigest,
    /// Form of the bytes that follow.
    pub form: DeclarationsForm,
    /// Number of bytes that follow.
    pub bytes: u64,
    /// Version of the store's row that holds them. Frames of earlier builds end before it.
    #[serde(deserialize_with = "none_if_absent")]
    pub row: Option<u64>,
}

fn none_if_absent<'de, D: Deserializer<'de>, T: Deserialize<'de>>(
    deserializer: D,
) -> Result<Option<T>, D::Error> {
    Ok(Option::deserialize(deserializer).unwrap_or_default())
}

/// Form in which declarations are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeclarationsForm {
    /// The declarations, without the given number of bytes at their start, which the requester has.
    Whole {
        /// Number of bytes that are left out.
        offset: u64,
    },
    /// A list of [`EditScript`]s that lead from the requester's declarations to the present ones, in the
    /// encoding of the frames.
    Scripts,
}

/// Steps that build some bytes from older ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditScript {
    /// Digest of the older bytes.
    pub from: ContentDigest,
    /// Digest of the bytes that it builds.
    pub to: ContentDigest,
    /// The steps, in the order of the bytes that they build.
    pub edits: Vec<Edit>,
}

/// A step of an [`EditScript`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Edit {
    /// Append a range of the older bytes.
    Copy {
        /// Start of the range.
        start: u64,
        /// Length of the range.
        bytes: u64,
    },
    /// Append these bytes.
    Insert(Vec<u8>),
}

/// Encodes scripts as the bytes of [`DeclarationsForm::Scripts`].
pub fn encode_scripts<'a>(
    scripts: impl IntoIterator<Item = &'a EditScript>,
) -> Result<Vec<u8>, CodecError> {
    let scripts: Vec<&EditScript> = scripts.into_iter().collect();
    Ok(postcard::to_extend(&scripts, Vec::new())?)
}

/// Decodes the bytes of [`DeclarationsForm::Scripts`].
pub fn decode_scripts(bytes: &[u8]) -> Result<Vec<EditScript>, CodecError> {
    Ok(postcard::from_bytes(bytes)?)
}
