//! Limit on the transfers of declarations that a gateway sends to peers at one time.

/// Transfers at one time. Gateways that are refused get the content from those that were not, so that the
/// link of the first one with new content is not shared by all others.
pub const MAX_CONTENT_SENDS: usize = 4;
/// Transfers up to this size, such as the scripts of a changed entry, need no turn.
const UNLIMITED_BYTES: usize = 16 << 10;

/// Whether a transfer of so many bytes is one of the [`MAX_CONTENT_SENDS`].
pub const fn needs_send_slot(bytes: usize) -> bool {
    bytes > UNLIMITED_BYTES
}
