//! Differences between consecutive contents as scripts of copied ranges and new bytes.

use proto::{ContentDigest, Edit, EditScript, content_digest};
use std::collections::HashMap;
use std::ops::Range;
use xxhash_rust::xxh3::xxh3_64;

/// Sizes of the chunks into which contents are cut at boundaries that depend on the bytes alone. An entry of
/// declarations has about 200 bytes.
const MIN_CHUNK_BYTES: usize = 64;
const MAX_CHUNK_BYTES: usize = 4 << 10;
/// A boundary is where these bits of the rolling hash are zero, after 512 bytes on average.
const BOUNDARY_MASK: u64 = 0x1ff << 55;
const GEAR: [u64; 256] = gear();

/// Builds the script that leads from `old`, with the digest `from`, to `new`, with the digest `to`.
pub fn edit_script(
    (old, from): (&[u8], ContentDigest),
    (new, to): (&[u8], ContentDigest),
) -> EditScript {
    let prefix = common_prefix(old.iter(), new.iter());
    let (old_rest, new_rest) = (&old[prefix..], &new[prefix..]);
    let suffix = common_prefix(old_rest.iter().rev(), new_rest.iter().rev());
    let old_middle = prefix..old.len() - suffix;
    let new_middle = prefix..new.len() - suffix;
    let mut known = HashMap::new();
    for chunk in chunks(old, old_middle.clone()) {
        known.entry(xxh3_64(&old[chunk.clone()])).or_insert(chunk);
    }
    let mut edits = Vec::new();
    push_copy(&mut edits, 0..prefix);
    for chunk in chunks(new, new_middle) {
        let found = known.get(&xxh3_64(&new[chunk.clone()]));
        match found.filter(|range| old[(*range).clone()] == new[chunk.clone()]) {
            Some(range) => push_copy(&mut edits, range.clone()),
            None => push_insert(&mut edits, &new[chunk]),
        }
    }
    push_copy(&mut edits, old_middle.end..old.len());
    EditScript { from, to, edits }
}

/// Number of bytes that a script takes on a link, about.
pub fn script_bytes(script: &EditScript) -> usize {
    const EDIT_BYTES: usize = 8;
    let edits = script.edits.iter().map(|edit| match edit {
        Edit::Copy { .. } => EDIT_BYTES,
        Edit::Insert(bytes) => EDIT_BYTES + bytes.len(),
    });
    edits.sum()
}

/// Builds the newer bytes from the older ones; `None` if the script does not fit them or the result has
/// another digest than it states.
pub fn apply_script(old: &[u8], script: &EditScript) -> Option<Vec<u8>> {
    let mut new = Vec::new();
    for edit in &script.edits {
        match edit {
            Edit::Copy { start, bytes } => {
                let start = usize::try_from(*start).ok()?;
                let end = start.checked_add(usize::try_from(*bytes).ok()?)?;
                new.extend_from_slice(old.get(start..end)?);
            }
            Edit::Insert(bytes) => new.extend_from_slice(bytes),
        }
    }
    (content_digest(&new) == script.to).then_some(new)
}

fn push_copy(edits: &mut Vec<Edit>, range: Range<usize>) {
    let (start, length) = (range.start as u64, range.len() as u64);
    match edits.last_mut() {
        _ if length == 0 => {}
        Some(Edit::Copy { start: last, bytes }) if *last + *bytes == start => *bytes += length,
        _ => edits.push(Edit::Copy {
            start,
            bytes: length,
        }),
    }
}

fn push_insert(edits: &mut Vec<Edit>, new: &[u8]) {
    match edits.last_mut() {
        Some(Edit::Insert(bytes)) => bytes.extend_from_slice(new),
        _ => edits.push(Edit::Insert(new.to_vec())),
    }
}

fn common_prefix<'a>(a: impl Iterator<Item = &'a u8>, b: impl Iterator<Item = &'a u8>) -> usize {
    a.zip(b).take_while(|(a, b)| a == b).count()
}

/// Cuts a part of the bytes into chunks.
fn chunks(bytes: &[u8], part: Range<usize>) -> impl Iterator<Item = Range<usize>> {
    let mut start = part.start;
    std::iter::from_fn(move || {
        let rest = &bytes[start..part.end];
        let chunk = start..start + chunk_length(rest);
        start = chunk.end;
        (!chunk.is_empty()).then_some(chunk)
    })
}

fn chunk_length(bytes: &[u8]) -> usize {
    let mut hash = 0_u64;
    let limit = bytes.len().min(MAX_CHUNK_BYTES);
    for (index, byte) in bytes[..limit].iter().enumerate() {
        hash = (hash << 1).wrapping_add(GEAR[usize::from(*byte)]);
        if index >= MIN_CHUNK_BYTES && hash & BOUNDARY_MASK == 0 {
            return index + 1;
        }
    }
    limit
}

/// A random number for each byte.
const fn gear() -> [u64; 256] {
    let mut table = [0; 256];
    let mut state = 0_u64;
    let mut index = 0;
    while index < 256 {
        state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        table[index] = mixed ^ (mixed >> 31);
        index += 1;
    }
    table
}
