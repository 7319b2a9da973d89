//! Finds the shipped binaries, and builds them if they are missing or older than the sources.

use crate::error::TrialError;
use std::env;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::SystemTime;

const GATEWAY: &str = "bergamothold";
const AGENT: &str = "bergamothold-agent";
const RELEASE_DIRECTORY: &str = "release";

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
    pub fn find() -> Result<Self, TrialError> {
        let directory = profile_directory()?;
        let binaries = Self {
            gateway: directory.join(GATEWAY),
            agent: directory.join(AGENT),
        };
        if !binaries.are_up_to_date() {
            build(&directory)?;
        }
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
    let status = command
        .status()
        .map_err(|err| TrialError::Build(err.to_string().into()))?;
    if status.success() {
        Ok(())
    } else {
        Err(TrialError::Build(status.to_string().into()))
    }
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
