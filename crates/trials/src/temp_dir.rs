//! A temporary directory that is removed when it is dropped.

use crate::error::TrialError;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// A temporary directory that only this process uses.
#[derive(Debug)]
pub struct TempDir {
    is_kept: AtomicBool,
    path: PathBuf,
}

impl TempDir {
    /// Creates a new directory under the system's temporary directory.
    pub fn create() -> Result<Self, TrialError> {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("bergamothold-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).map_err(|err| TrialError::File(path.clone(), err))?;
        Ok(Self {
            path,
            is_kept: AtomicBool::new(false),
        })
    }

    /// Keeps the directory when this is dropped.
    pub fn keep(&self) {
        self.is_kept.store(true, Ordering::Relaxed);
    }

    /// Path of the directory, valid until this value is dropped.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes a file in the directory and returns its path.
    pub fn write(&self, name: &str, content: &str) -> Result<PathBuf, TrialError> {
        let path = self.path.join(name);
        write_atomically(&path, content)?;
        Ok(path)
    }
}

/// Replaces a file atomically: a concurrent reader sees either the old content or the new.
pub fn write_atomically(path: &Path, content: &str) -> Result<(), TrialError> {
    let partial = path.with_added_extension("partial");
    let written = fs::write(&partial, content).and_then(|()| fs::rename(&partial, path));
    written.map_err(|err| TrialError::File(path.to_owned(), err))
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if std::thread::panicking() || self.is_kept.load(Ordering::Relaxed) {
            eprintln!("logs of the failed run are kept in {}", self.path.display());
            return;
        }
        let _ = fs::remove_dir_all(&self.path);
    }
}
