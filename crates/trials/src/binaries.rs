//! Finds the shipped binaries, and builds them if they are missing or older than the sources.

use crate::error::TrialError;
use std::env;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Mutex, PoisonError};
use std::time::{Instant, SystemTime};

const GATEWAY: &str = "bergamothold";
const AGENT: &str = "bergamothold-agent";
const RELEASE_DIRECTORY: &str = "release";
/// Prefixes of the variables in which cargo tells a program about its package.
const PACKAGE_VARIABLES: [&str; 2] = ["CARGO_MANIFEST_", "CARGO_PKG_"];

/// Paths of the shipped binaries.
#[derive(Debug, Clone)]
pub struct Binaries {
    /// Program of the gateway, the direct gateway and the operator's commands.
    pub gateway: PathBuf,
    /// Program of the agent.
    pub agent: PathBuf,
}

impl Binaries {
    /// Finds the binaries of the build profile of the running program, and builds them if needed.
    ///
    /// They are checked once in each process. A change of a source that they do not depend on leaves
    /// them older than it, so that a check at each start of a gateway would run cargo each time.
    pub fn find() -> Result<Self, TrialError> {
        static IS_CHECKED: Mutex<bool> = Mutex::new(false);
        let directory = profile_directory()?;
        let binaries = Self {
            gateway: directory.join(GATEWAY),
            agent: directory.join(AGENT),
        };
        // Others wait for the build.
        let mut is_checked = IS_CHECKED.lock().unwrap_or_else(PoisonError::into_inner);
        if !*is_checked && !binaries.are_up_to_date() {
            let start = Instant::now();
            build(&directory)?;
            let took = start.elapsed().as_secs_f64();
            eprintln!("the shipped binaries were built within the test, in {took:.1} s");
        }
        *is_checked = true;
        Ok(binaries)
    }

    fn are_up_to_date(&self) -> bool {
        let sources =
            ["crates", "platform"].map(|part| latest_source_change(&workspace().join(part)));
        let newest = sources.into_iter().max().unwrap_or(SystemTime::UNIX_EPOCH);
        [&self.gateway, &self.agent]
            .into_iter()
            .all(|path| modified_time(path) > newest)
    }
}

/// Root directory of the workspace.
pub fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn profile_directory() -> Result<PathBuf, TrialError> {
    let exe = env::current_exe().map_err(|err| TrialError::File("current program".into(), err))?;
    let directory = exe
        .ancestors()
        .skip(1)
        .find(|path| !path.ends_with("deps") && !path.ends_with("examples"));
    directory
        .map(Path::to_owned)
        .ok_or_else(|| TrialError::Build("the program has no directory".into()))
}

fn build(directory: &Path) -> Result<(), TrialError> {
    let status = build_command(directory)
        .status()
        .map_err(|err| TrialError::Build(err.to_string().into()))?;
    if status.success() {
        Ok(())
    } else {
        Err(TrialError::Build(status.to_string().into()))
    }
}

/// Command that builds the binaries into the directory of a build profile.
///
/// It leaves out what `cargo test` tells a test about its package. Build scripts of dependencies depend
/// on variables of these names, so that `ring` and all that uses it would be built anew, and once more by
/// the next `cargo test`.
pub fn build_command(directory: &Path) -> Command {
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command
        .current_dir(workspace())
        .args(["build", "--quiet", "--workspace", "--bins"]);
    if let Some(target) = directory.parent() {
        command.arg("--target-dir").arg(target);
    }
    if directory.ends_with(RELEASE_DIRECTORY) {
        command.arg("--release");
    }
    for (name, _) in env::vars_os() {
        let text = name.to_string_lossy();
        if PACKAGE_VARIABLES
            .iter()
            .any(|prefix| text.starts_with(prefix))
        {
            command.env_remove(name);
        }
    }
    command
}

fn latest_source_change(directory: &Path) -> SystemTime {
    let Ok(entries) = fs::read_dir(directory) else {
        return SystemTime::UNIX_EPOCH;
    };
    let newest = entries.filter_map(Result::ok).map(|entry| {
        let path = entry.path();
        let name = entry.file_name();
        if path.is_dir() && name != "tests" && name != "examples" && name != "trials" {
            latest_source_change(&path)
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            modified_time(&path)
        } else {
            SystemTime::UNIX_EPOCH
        }
    });
    newest.max().unwrap_or(SystemTime::UNIX_EPOCH)
}

fn modified_time(path: &Path) -> SystemTime {
    fs::metadata(path)
        .and_then(|metadata| metadata.modified())
        .unwrap_or(SystemTime::UNIX_EPOCH)
}
