//! Reloads certificate files when they change, without closing connections.

use crate::caller_tls::CallerTls;
use crate::link::LinkEndpoint;
use crate::tls::{Identity, TlsFiles};
use async_io::Timer;
use slog::{Logger, info, warn};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_128;

/// Checks the files of a link every `interval` and reloads them when their content changes. Runs
/// for as long as it is polled.
pub async fn watch_link_tls(
    link: Arc<LinkEndpoint>,
    files: TlsFiles,
    interval: Duration,
    log: Logger,
) {
    let paths = [
        files.authority.clone(),
        files.certificate.clone(),
        files.key.clone(),
    ];
    watch(&paths, interval, &log, || {
        let identity = Identity::load(&files).map_err(|err| err.to_string())?;
        link.reload(&identity).map_err(|err| err.to_string())
    })
    .await;
}

/// Checks the files of the certificate presented to callers every `interval` and reloads them when
/// their content changes. Runs for as long as it is polled.
pub async fn watch_caller_tls(tls: Arc<CallerTls>, interval: Duration, log: Logger) {
    let files = tls.files();
    let paths = [files.certificate.clone(), files.key.clone()];
    watch(&paths, interval, &log, || {
        tls.reload().map_err(|err| err.to_string())
    })
    .await;
}

async fn watch(
    paths: &[PathBuf],
    interval: Duration,
    log: &Logger,
    reload: impl Fn() -> Result<(), String>,
) {
    let mut loaded = fingerprint(paths);
    loop {
        Timer::after(interval).await;
        let found = fingerprint(paths);
        if found == loaded {
            continue;
        }
        // The certificate and its key are separate files: until both have been replaced, the reload
        // fails and the old pair stays in use.
        match reload() {
            Ok(()) => {
                loaded = found;
                info!(log, "tls: new certificate in use"; "file" => %paths[0].display());
            }
            Err(err) => warn!(log, "tls: changed files cannot be used"; "err" => err),
        }
    }
}

fn fingerprint(paths: &[PathBuf]) -> Vec<Option<u128>> {
    paths.iter().map(|path| file_hash(path)).collect()
}

fn file_hash(path: &Path) -> Option<u128> {
    std::fs::read(path).ok().map(|content| xxh3_128(&content))
}
