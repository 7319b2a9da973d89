//! Settings of a gateway: the error lists all invalid settings at once.

use expect_test::{Expect, expect};
use gateway::{GatewaySettings, command};

fn assert_faults(args: &[&str], expected: Expect) {
    let all = ["bergamothold", "serve"].iter().chain(args);
    let matches = command().get_matches_from(all);
    let (_, serve) = matches.subcommand().unwrap();
    let faults = GatewaySettings::read(serve).unwrap_err();
    expected.assert_eq(&faults.to_string());
}

#[test]
fn every_missing_setting_is_listed() {
    assert_faults(
        &[],
        expect![[r#"
            10 settings are wrong:
              --listen: is missing
              --node: is missing
              --host: is missing
              --domain: is missing
              --table: is missing
              --objects: is missing
              --host-list: is missing
              --authority: is missing
              --certificate: is missing
              --key: is missing
        "#]],
    );
}

#[test]
fn every_wrong_setting_is_listed() {
    let file = file!();
    let file = file.strip_prefix("crates/gateway/").unwrap_or(file);
    let args = [
        "--listen=nowhere",
        "--node=gateway-1",
        "--host=host-1",
        "--domain=nitra-c",
        "--table=127.0.0.1:1",
        "--objects=127.0.0.1:2",
        "--host-list=127.0.0.1:99999",
        "--authority=no/such/file",
        &format!("--certificate={file}"),
        &format!("--key={file}"),
        "--threads=0",
        "--log-level=loud",
        "--body-memory-mib=many",
        "--default-time-seconds=10",
        "--longest-time-seconds=5",
    ];
    assert_faults(
        &args,
        expect![[r#"
            7 settings are wrong:
              --listen: "nowhere" does not serve: invalid socket address syntax
              --host-list: "127.0.0.1:99999" does not serve: invalid socket address syntax
              --authority: no/such/file: No such file or directory (os error 2)
              --log-level: "loud" is no level
              --threads: 0 is not from 1 to 256
              --body-memory-mib: "many" does not serve: invalid digit found in string
              --default-time-seconds: is over --longest-time-seconds
        "#]],
    );
}
