//! The platform's names on the wire stand in its adapter and in the stand-ins alone.

use std::fs;
use std::path::{Path, PathBuf};
use trials::workspace;

const NAMES: [&str; 20] = [
    "x-token-usage",
    "x-prompt-prefix",
    "x-response-seal",
    "x-not-executed",
    "x-expect-instance",
    "x-helpers",
    "x-length-hint",
    "x-cold-ms",
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
/// What speaks to the platform, or stands in for it.
const SPEAKERS: [&str; 4] = ["standins", "direct_rig.rs", "direct_gateway.rs", "tests"];

fn sources(directory: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        if SPEAKERS.contains(&&*name) {
            continue;
        }
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn wire_names_stay_in_the_adapter() {
    let mut found = Vec::new();
    sources(&workspace().join("crates"), &mut found);
    for path in found {
        let text = fs::read_to_string(&path).unwrap().to_lowercase();
        for name in NAMES {
            assert!(!text.contains(name), "{name} stands in {}", path.display());
        }
    }
}
