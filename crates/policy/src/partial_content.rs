//! The first part of declarations of which a transfer broke off, which any peer can continue.

use proto::{ContentDigest, PartialDeclarations};

/// Number of bytes at the start of declarations that a sender leaves out, as the receiver has them.
pub fn continued_offset(
    partial: Option<PartialDeclarations>,
    digest: ContentDigest,
    length: usize,
) -> usize {
    let partial = partial.filter(|partial| partial.digest == digest);
    let bytes = partial.map_or(0, |partial| {
        usize::try_from(partial.bytes).unwrap_or(length)
    });
    bytes.min(length)
}

/// The part that a receiver keeps; it is the only one, so that it takes no more than one content.
#[derive(Debug, Default)]
pub struct PartialContent(Option<ContentPart>);

/// The first bytes of the declarations with a digest.
#[derive(Debug, PartialEq, Eq)]
pub struct ContentPart {
    /// Digest of the whole.
    pub digest: ContentDigest,
    /// The first bytes.
    pub bytes: Vec<u8>,
}

impl PartialContent {
    /// What is kept, to tell a sender.
    pub fn known(&self) -> Option<PartialDeclarations> {
        self.0.as_ref().map(|part| PartialDeclarations {
            digest: part.digest,
            bytes: part.bytes.len() as u64,
        })
    }

    /// Frees the part if the whole is there, from somewhere else.
    pub fn discard_if_known(&mut self, declarations: Option<ContentDigest>) {
        self.0.take_if(|part| Some(part.digest) == declarations);
    }

    /// Takes out the part up to `offset` of the declarations with this digest, or frees another one;
    /// `None` if so many bytes are not kept.
    pub fn take(&mut self, digest: ContentDigest, offset: u64) -> Option<ContentPart> {
        let kept = self.0.take().filter(|part| part.digest == digest);
        let mut bytes = kept.map_or(Vec::new(), |part| part.bytes);
        let offset = usize::try_from(offset).ok()?;
        bytes.truncate(offset);
        (bytes.len() == offset).then_some(ContentPart { digest, bytes })
    }

    /// Keeps the part of a transfer that broke off.
    pub fn keep(&mut self, part: ContentPart) {
        self.0 = Some(part);
    }
}
