//! The files that `bergamothold keys` writes: identity, permissions, and no overwriting by default.

use runtime::{Identity, Role, TlsFiles};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn keys(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bergamothold"))
        .arg("keys")
        .args(args)
        .output()
        .unwrap()
}

fn empty_directory(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn make_host(directory: &str, extra_args: &[&str]) -> Output {
    let mut args = vec!["host", "--authority", directory, "--role", "agent"];
    args.extend(["--node", "agent-1", "--out", directory]);
    args.extend(extra_args);
    keys(&args)
}

#[test]
fn made_certificate_names_its_process() {
    let path = empty_directory("made-keys").join("not-there-yet");
    let directory = path.to_str().unwrap();
    assert!(keys(&["authority", "--out", directory]).status.success());
    assert!(make_host(directory, &[]).status.success());
    let identity = Identity::load(&TlsFiles {
        authority: path.join("authority.pem"),
        certificate: path.join("agent-1.pem"),
        key: path.join("agent-1.key"),
    });
    let subject = identity.unwrap().subject().unwrap();
    assert_eq!((subject.role, &*subject.node), (Role::Agent, "agent-1"));
    let mode = path.join("agent-1.key").metadata().unwrap().permissions();
    assert_eq!(mode.mode() & 0o777, 0o600);
}

#[test]
fn keys_are_written_over_only_on_demand() {
    let path = empty_directory("kept-keys");
    let directory = path.to_str().unwrap();
    assert!(keys(&["authority", "--out", directory]).status.success());
    assert!(make_host(directory, &[]).status.success());
    let before = std::fs::read(path.join("agent-1.pem")).unwrap();
    let refused = make_host(directory, &[]);
    assert!(!refused.status.success());
    let text = String::from_utf8(refused.stderr).unwrap();
    assert!(text.contains("--replace writes over it"), "{text}");
    assert_eq!(std::fs::read(path.join("agent-1.pem")).unwrap(), before);
    assert!(make_host(directory, &["--replace"]).status.success());
    assert_ne!(std::fs::read(path.join("agent-1.pem")).unwrap(), before);
}
