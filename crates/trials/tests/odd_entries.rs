//! Entries of another writer among those of the servers, and prompts of an absurd size, before a direct
//! gateway as a process.

use runtime::Executor;
use serde_json::{Value, json};
use standins::ServerKind;
use trials::DirectRig;

const KEY: Option<&str> = Some("key-1");

fn entry(address: &str, slots: &Value) -> Value {
    json!({
        "Service": "engines", "Address": address, "Zone": "a", "Version": "v1", "Slots": slots,
        "State": "ready", "ColdRemainingMs": 0, "Sequence": 1
    })
}

fn odd_entries() -> Vec<(&'static str, Vec<u8>)> {
    let sound = entry("127.0.0.1:9", &json!(4)).to_string();
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let with = |from: &str, to: &str| sound.replace(from, to).into_bytes();
    let slots = "\"Slots\":4";
    vec![
        ("nested", nested.clone().into_bytes()),
        ("nested-field", with(slots, &format!("\"Slots\":{nested}"))),
        (
            "nested-extra",
            with(slots, &format!("\"Slots\":4,\"More\":{nested}")),
        ),
        (
            "nested-start",
            with(slots, &format!("\"Slots\":4,\"born\":{nested}")),
        ),
        ("large-number", with(slots, "\"Slots\":1e999")),
        (
            "large-integer",
            with(slots, "\"Slots\":99999999999999999999999"),
        ),
        (
            "large-start",
            with(slots, "\"Slots\":4,\"born\":18446744073709551615"),
        ),
        ("most-slots", with(slots, "\"Slots\":4294967295")),
        ("no-slots", with(slots, "\"Slots\":0")),
        ("large-port", with("127.0.0.1:9", "127.0.0.1:99999")),
        ("negative-port", with("127.0.0.1:9", "127.0.0.1:-1")),
        ("port-zero", with("127.0.0.1:9", "127.0.0.1:0")),
        ("no-text", vec![0xff, 0xfe, 0x00]),
    ]
}

/// Odd entries ended the processes that read the list of servers, or these no longer followed it.
fn odd_entries_are_passed_over(service: &'static str, path: &'static str, kind: ServerKind) {
    Executor::run(2, |executor| async move {
        let rig = DirectRig::start(&executor).unwrap();
        rig.write_declarations(3, &["key-1"]);
        for (name, entry) in odd_entries() {
            let entry = String::from_utf8_lossy(&entry).replace("engines", service);
            let bytes = if name == "no-text" {
                vec![0xff, 0xfe, 0x00]
            } else {
                entry.into_bytes()
            };
            rig.store.standin().put_bytes("servers", name, bytes);
        }
        let _server = rig.add_server("sound-1", service, kind).unwrap();
        let mut sent = 0;
        let served = rig.wait_until(async || {
            sent += 1;
            let answer = rig.call(&format!("call-{sent}"), path, KEY).await;
            answer.status.is_success() && answer.body.is_some()
        });
        assert!(served.await, "{}", rig.gateway.process.log_tail());
        rig.store.standin().remove("servers", "sound-1");
        let removed = rig.wait_until(async || {
            sent += 1;
            let answer = rig.call(&format!("call-{sent}"), path, KEY).await;
            !answer.status.is_success()
        });
        assert!(removed.await, "it still follows the list");
        let log = rig.gateway.process.log();
        assert_eq!(log.matches("process: starting").count(), 1, "{log}");
    });
}

#[test]
fn an_odd_entry_of_an_engine_is_passed_over() {
    odd_entries_are_passed_over("engines", "/stream/x", ServerKind::Engine);
}

#[test]
fn an_odd_entry_of_a_plain_server_is_passed_over() {
    odd_entries_are_passed_over("registry", "/lookup/x", ServerKind::Plain);
}

/// A prompt of an absurd size closed its connection without an answer.
#[test]
fn a_prompt_of_an_absurd_size_is_answered() {
    Executor::run(2, |executor| async move {
        let mut rig = DirectRig::start(&executor).unwrap();
        rig.write_declarations(3, &["key-1"]);
        let _engine = rig
            .add_server("engine-1", "engines", ServerKind::Engine)
            .unwrap();
        let mut sent = 0;
        let served = rig.wait_until(async || {
            sent += 1;
            let answer = rig.call(&format!("call-{sent}"), "/stream/x", KEY).await;
            answer.status.is_success()
        });
        assert!(served.await, "{}", rig.gateway.process.log_tail());
        for prompt in [1_000_000_000_000_000, u64::MAX] {
            rig.prompt = prompt;
            let answer = rig
                .call(&format!("absurd-{prompt}"), "/stream/x", KEY)
                .await;
            assert_eq!(answer.status.as_u16(), 503, "{prompt}: {answer:?}");
        }
    });
}
