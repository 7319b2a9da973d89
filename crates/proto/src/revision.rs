//! Versions of the store, ordered over its eras.

/// A version of the store or of a row, with the era in which it was given out; 0 for none. All revisions of
/// an era are greater than those of the eras before.
pub type Revision = u64;

/// Bits of a revision that hold the version.
const VERSION_BITS: u32 = u64::BITS - 16;
/// The greatest version within an era. The store gives out no such version.
pub const MAX_VERSION: u64 = (1 << VERSION_BITS) - 1;
/// The latest era that revisions tell from others.
pub const MAX_ERA: u64 = u64::MAX >> VERSION_BITS;

/// The revision of a version in an era; greater ones count as the greatest that there are.
pub fn revision(era: u64, version: u64) -> Revision {
    match version {
        0 => 0,
        version => era.min(MAX_ERA) << VERSION_BITS | version.min(MAX_VERSION),
    }
}

/// Era of a revision.
pub fn era(revision: Revision) -> u64 {
    revision >> VERSION_BITS
}

/// Version of a revision within its era.
pub fn version(revision: Revision) -> u64 {
    revision & MAX_VERSION
}
