//! A local fleet of the shipped binaries serves requests and stops its processes when dropped.

use runtime::Executor;
use std::path::Path;
use std::time::{Duration, Instant};
use trials::{Call, Fleet, FleetConfig, MODEL, SERVICE_PATH, TEAM_KEY};

fn is_running(pid: u32) -> bool {
    Path::new(&format!("/proc/{pid}")).exists()
}

#[test]
fn fleet_serves_and_ends_what_it_started() {
    let pids = Executor::run(4, |executor| async move {
        let mut fleet = Fleet::start(&executor, &FleetConfig::small())
            .await
            .unwrap();
        let calls = [
            Call::completion(MODEL, 1, 1_000, 4),
            Call::plain(SERVICE_PATH, "{}").header("idempotency-key", "one"),
        ];
        for gateway in fleet.gateways() {
            for call in calls.clone() {
                let call = call.key(TEAM_KEY);
                let outcome = call.run(&executor, fleet.client(), gateway, Instant::now());
                assert!(outcome.await.end.is_whole());
            }
        }
        let pid = |name: Box<str>| fleet.process(&name).unwrap().pid();
        let pids: Vec<u32> = process_names().into_iter().map(pid).collect();
        assert!(pids.iter().copied().all(is_running));
        pids
    });
    assert!(!pids.into_iter().any(is_running));
}

fn process_names() -> Vec<Box<str>> {
    ["gateway-1", "gateway-2", "agent-registry-1"]
        .map(Into::into)
        .into()
}

/// Between the choice of a free port and the bind, another process can take the port. What answers
/// there is then no sign that the node runs.
#[test]
fn a_node_whose_port_another_process_has_taken_gets_another_one() {
    const BIND_TIMEOUT: Duration = Duration::from_millis(500);
    Executor::run(4, |executor| async move {
        let cfg = FleetConfig::single();
        let other = Fleet::start(&executor, &cfg).await.unwrap();
        let mut fleet = Fleet::start(&executor, &cfg).await.unwrap();
        let agent = fleet.agent_of(&cfg.backends[0].server.name);
        for (name, taken) in [
            ("gateway-1".into(), other.gateways()[0]),
            (agent, other.agents()[0]),
        ] {
            fleet.kill(&name);
            fleet.node(&name).address = taken;
            fleet.restart(&name).await.unwrap();
            assert_ne!(fleet.node(&name).address, taken, "{name}");
            let process = fleet.process(&name).unwrap();
            assert!(!process.wait_exit(BIND_TIMEOUT).await, "{name} has exited");
        }
    });
}
