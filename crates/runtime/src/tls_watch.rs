//! Takes new certificate files into use when they change, without a cut.

use crate::caller_tls::CallerTls;
use crate::link::LinkEndpoint;
use crate::tls::{Identity, TlsFiles};
use async_io::Timer;
use slog::{Logger, info, warn};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_128;

/// Watches the files of a link, for as long as it is polled.
pub async fn watch_link_tls(
    link: Arc<LinkEndpoint>,
    files: TlsFiles,
    every: Duration,
    log: Logger,
) {
    let paths = [
        files.authority.clone(),
        files.certificate.clone(),
        files.key.clone(),
    ];
    watch(&paths, every, &log, || {
        let identity = Identity::load(&files).map_err(|err| err.to_string())?;
        link.reload(&identity).map_err(|err| err.to_string())
    })
    .await;
}

/// Watches the files of the certificate that callers are shown, for as long as it is polled.
pub async fn watch_caller_tls(tls: Arc<CallerTls>, every: Duration, log: Logger) {
    let files = tls.files();
    let paths = [files.certificate.clone(), files.key.clone()];
    watch(&paths, every, &log, || {
        tls.reload().map_err(|err| err.to_string())
    })
    .await;
}

async fn watch(
    paths: &[PathBuf],
    every: Duration,
    log: &Logger,
    reload: impl Fn() -> Result<(), String>,
) {
    let mut in_use = fingerprint(paths);
    loop {
        Timer::after(every).await;
        let found = fingerprint(paths);
        if found == in_use {
            continue;
        }
        // A certificate and its key are two files: until both are there, the old ones stay in use.
        match reload() {
            Ok(()) => {
                in_use = found;
                info!(log, "tls: new certificate in use"; "file" => %paths[0].display());
            }
            Err(err) => warn!(log, "tls: changed files do not serve"; "err" => err),
        }
    }
}

fn fingerprint(paths: &[PathBuf]) -> Vec<Option<u128>> {
    paths.iter().map(|path| file_hash(path)).collect()
}

fn file_hash(path: &Path) -> Option<u128> {
    std::fs::read(path).ok().map(|content| xxh3_128(&content))
}
