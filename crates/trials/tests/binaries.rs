//! How trials build the shipped binaries.

use std::env;
use std::path::Path;
use trials::build_command;

/// Guards against a build of `ring`, and of all that uses it, by each test that finds the binaries out of
/// date, and again by the next `cargo test`: this took 14 to 22 s within the time of the test.
#[test]
fn the_build_does_not_depend_on_the_package_of_the_test() {
    let command = build_command(Path::new("target/debug"));
    let passed_on = |name: &str| {
        let changed = command.get_envs().find(|(changed, _)| *changed == name);
        changed.is_none_or(|(_, value)| value.is_some())
    };
    let names = env::vars().map(|(name, _)| name);
    let of_package: Vec<_> = names
        .filter(|name| name.starts_with("CARGO_PKG_") || name.starts_with("CARGO_MANIFEST_"))
        .collect();
    assert!(of_package.iter().any(|name| name == "CARGO_PKG_NAME"));
    assert!(of_package.iter().all(|name| !passed_on(name)));
    assert!(passed_on("PATH"));
}
