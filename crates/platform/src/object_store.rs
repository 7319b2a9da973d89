//! Interface of the object store.

use crate::error::PlatformError;
use bytes::Bytes;
use std::future::Future;

/// Stores named objects.
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads an object; `None` if there is none of this name.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>, PlatformError>> + Send;

    /// Writes an object; replaces one of the same name.
    fn put(
        &self,
        name: &str,
        data: Bytes,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;
}
