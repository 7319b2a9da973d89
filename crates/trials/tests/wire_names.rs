//! Names of the platform's wire protocol appear only in its adapter and in the stand-ins.

use std::fs;
use std::path::{Path, PathBuf};
use trials::workspace;

const PLATFORM_NAMES: [&str; 21] = [
    "x-token-usage",
    "x-prompt-prefix",
    "x-response-seal",
    "x-not-executed",
    "x-expect-instance",
    "x-helpers",
    "x-length-hint",
    "x-cold-ms",
    "server-limit",
    "x-tenant-id",
    "x-deadline-ms",
    "x-request-priority",
    "rows-tx",
    "rows-get",
    "rows-feed",
    "kvcapacitytokens",
    "retrybudgetratio",
    "internalportrange",
    "bergamothold_boot",
    "\"prefill_decode\"",
    "expectedrevision",
];
/// Files and directories that speak the platform's protocol or emulate the platform.
const EXEMPT_PATHS: [&str; 4] = ["standins", "direct_rig.rs", "direct_gateway.rs", "tests"];

fn collect_sources(directory: &Path, sources: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        if EXEMPT_PATHS.contains(&&*name) {
            continue;
        }
        if path.is_dir() {
            collect_sources(&path, sources);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            sources.push(path);
        }
    }
}

#[test]
fn wire_names_stay_in_the_adapter() {
    let mut sources = Vec::new();
    collect_sources(&workspace().join("crates"), &mut sources);
    for path in sources {
        let text = fs::read_to_string(&path).unwrap().to_lowercase();
        for name in PLATFORM_NAMES {
            assert!(!text.contains(name), "{name} stands in {}", path.display());
        }
    }
}
