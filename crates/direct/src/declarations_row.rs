//! Decoding of the store's row with the declarations.

use adapter::{DeclarationError, StoreRow, decode_declarations};
use policy::{RouteTable, edit_script};
use proto::{ContentDigest, EditScript, content_digest};
use quick_error::quick_error;
use runtime::offload;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Declarations of more bytes than this take so long to decode that other tasks would wait.
const MAX_INLINE_BYTES: usize = 128 << 10;

quick_error! {
    /// Why the declarations of a row are refused as a whole.
    #[derive(Debug)]
    pub enum DeclarationsRefusal {
        /// They exceed the limit on their size.
        TooLarge {
            display("they exceed the limit on the size of declarations")
        }
        /// The row was removed, or its content is not valid base64.
        NoContent {
            display("the row has no content that can be read")
        }
        /// The content is not of the expected form.
        Invalid(err: DeclarationError) {
            display("{err}")
            from()
        }
        /// Their version is lower than that of the ones in force.
        Lowered(version: u64, in_force: u64) {
            display("version {version} is lower than version {in_force}, which is in force")
        }
    }
}

impl DeclarationsRefusal {
    /// Label of the reason in metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::TooLarge => "too-large",
            Self::NoContent => "no-content",
            Self::Invalid(_) => "invalid",
            Self::Lowered(..) => "lowered",
        }
    }
}

/// Declarations in their stored form.
#[derive(Debug, Clone)]
pub struct StoredDeclarations {
    /// Their bytes.
    pub body: Arc<Vec<u8>>,
    /// Digest of the bytes.
    pub digest: ContentDigest,
    /// Version of the store's row that holds them; 0 until they are in force, or where it is not known.
    pub row: u64,
}

/// Declarations that can be put in force.
#[derive(Debug)]
pub struct DecodedDeclarations {
    /// Lookup table of the routes.
    pub table: RouteTable,
    /// The text from which it was decoded.
    pub stored: StoredDeclarations,
    /// What has changed since the declarations that were in force when these were decoded, if any were.
    pub script: Option<EditScript>,
    /// A message for each entry that is invalid and was left out.
    pub skipped: Vec<Box<str>>,
    /// Time that decoding took, with the wait for a thread.
    pub took: Duration,
}

impl DecodedDeclarations {
    /// Decodes the text of declarations, which may follow `old`.
    fn decode(body: Vec<u8>, old: Option<StoredDeclarations>) -> Result<Self, DeclarationError> {
        let (table, skipped) = decode_declarations(&body)?;
        let digest = content_digest(&body);
        let script = old.map(|old| edit_script((&old.body, old.digest), (&body, digest)));
        let body = Arc::new(body);
        Ok(Self {
            table,
            stored: StoredDeclarations {
                body,
                digest,
                row: 0,
            },
            script,
            skipped,
            took: Duration::ZERO,
        })
    }
}

/// Decodes the declarations of a row, which may follow `old`; large ones on another thread.
pub async fn decode_row(
    row: StoreRow,
    old: Option<StoredDeclarations>,
) -> Result<DecodedDeclarations, DeclarationsRefusal> {
    if row.oversized {
        return Err(DeclarationsRefusal::TooLarge);
    }
    let body = row.value.ok_or(DeclarationsRefusal::NoContent)?;
    Ok(decode_body(body, old).await?)
}

/// Decodes the text of declarations, which may follow `old`; large ones on another thread.
pub async fn decode_body(
    body: Vec<u8>,
    old: Option<StoredDeclarations>,
) -> Result<DecodedDeclarations, DeclarationError> {
    let started = Instant::now();
    let decoded = if body.len() > MAX_INLINE_BYTES {
        offload(move || DecodedDeclarations::decode(body, old)).await
    } else {
        DecodedDeclarations::decode(body, old)
    };
    decoded.map(|decoded| DecodedDeclarations {
        took: started.elapsed(),
        ..decoded
    })
}
