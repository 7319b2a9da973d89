//! The operator commands `check` and `apply` of the shipped binary.

use expect_test::expect;
use runtime::Executor;
use std::process::{Command, Output};
use trials::{Binaries, Fleet, FleetConfig, OPERATOR_KEY, TempDir, workspace};

fn run_bergamothold(args: &[&str]) -> Output {
    let binaries = Binaries::find().unwrap();
    Command::new(binaries.gateway).args(args).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn write_file(directory: &TempDir, name: &str, content: &str) -> String {
    let path = directory.path().join(name);
    std::fs::write(&path, content).unwrap();
    path.display().to_string()
}

#[test]
fn check_tells_all_faults_with_file_line_and_column() {
    let directory = TempDir::create().unwrap();
    let file = write_file(
        &directory,
        "faulty.toml",
        "[[domains]]\nname = 'a'\nregion = 7\n\n[[teans]]\nname = 'b'\n",
    );
    let output = run_bergamothold(&["check", &file]);
    assert!(!output.status.success());
    let errors = text(&output.stderr).replace(&file, "FILE");
    expect![[r#"
        FILE:3:10: domain: invalid type: integer `7`, expected a string
        FILE:5:3: unknown section `teans`, expected one of domains, models, servers, teams, routes, rules, operators
    "#]]
    .assert_eq(&errors);
}

#[test]
fn check_passes_the_examples() {
    for name in ["morska-stopa", "virtanen"] {
        let file = format!("crates/declarations/data/{name}.toml");
        let path = workspace().join(file);
        let output = run_bergamothold(&["check", &path.display().to_string()]);
        assert!(output.status.success(), "{}", text(&output.stderr));
    }
}

#[test]
fn apply_shows_commits_and_names_nodes_that_have_not_confirmed() {
    Executor::run(4, |executor| async move {
        let cfg = FleetConfig::with_engines(1);
        let mut fleet = Fleet::start(&executor, &cfg).await.unwrap();
        let directory = TempDir::create().unwrap();
        let key = write_file(&directory, "operator.key", OPERATOR_KEY);
        let mut declared = cfg.declarations();
        declared.teams[0].weight = 300;
        let file = write_file(
            &directory,
            "fleet.toml",
            &toml::to_string(&declared).unwrap(),
        );
        let gateway = fleet.gateways()[0].to_string();
        let apply = |file: &str, extra_args: &[&'static str]| {
            let (gateway, key) = (gateway.clone(), key.clone());
            let (file, extra_args) = (file.to_owned(), extra_args.to_vec());
            blocking::unblock(move || {
                let command = ["apply", &file, "--gateway", &gateway];
                let key = ["--operator-key-file", &key];
                run_bergamothold(&[&command[..], &key, &extra_args].concat())
            })
        };
        let dry_run = apply(&file, &["--dry-run"]).await;
        assert_eq!(
            text(&dry_run.stdout),
            "changes from version 1:\n~ team counter\n"
        );
        let applied = apply(&file, &[]).await;
        let stdout = text(&applied.stdout);
        assert!(
            applied.status.success(),
            "{stdout}{}",
            text(&applied.stderr)
        );
        assert!(
            stdout.contains("version 2 committed\nin force at all 6 nodes after"),
            "{stdout}"
        );
        let again = apply(&file, &[]).await;
        assert_eq!(text(&again.stdout), "no change from version 2\n");
        declared.teams[0].weight = 200;
        let file = write_file(
            &directory,
            "fleet.toml",
            &toml::to_string(&declared).unwrap(),
        );
        fleet.freeze("agent-engine-nitra-c-1").unwrap();
        let partial = apply(&file, &["--wait-seconds", "2"]).await;
        let stdout = text(&partial.stdout);
        assert!(!partial.status.success());
        let unconfirmed = "in force at 5 nodes; not confirmed by:\n  host-engine-nitra-c-1/agent (no answer, version -)\n";
        assert!(stdout.ends_with(unconfirmed), "{stdout}");
    });
}
