//! A trace recorded by a gateway replays in virtual time with the same outcomes.

use policy::{Trace, TraceEnd, TraceEvent, TraceLine, TraceServer};
use replay::replay;
use runtime::Executor;
use std::fs;
use std::time::{Duration, Instant};
use trials::{Call, Fleet, FleetConfig, MODEL, TEAM_KEY, TempDir};

const REQUEST_COUNT: u64 = 6;

#[test]
fn a_recorded_trace_replays_to_the_recorded_outcomes() {
    Executor::run(4, |executor| async move {
        let directory = TempDir::create().unwrap();
        let path = directory.path().join("trace.jsonl");
        let mut cfg = FleetConfig::single();
        cfg.gateway_flags = vec!["--record".into(), path.display().to_string().into()];
        let mut fleet = Fleet::start(&executor, &cfg).await.unwrap();
        for seed in 0..REQUEST_COUNT {
            let call = Call::completion(MODEL, seed, 1_000, 4).key(TEAM_KEY);
            let gateway = fleet.gateways()[0];
            let outcome = call
                .run(&executor, fleet.client(), gateway, Instant::now())
                .await;
            assert!(outcome.end.is_whole(), "{outcome:?}");
        }
        let ended = fleet.terminate("gateway-1", Duration::from_secs(30)).await;
        assert!(ended.unwrap());
        let mut trace = Trace::parse(&fs::read_to_string(&path).unwrap()).unwrap();
        let server = TraceServer {
            name: "engine".into(),
            domain: "bratislava-a".into(),
            prefill_rate: 20_000.0,
            memory_tokens: 400_000,
            warm_limit: 16,
            cold_limit: 2,
            cold: false,
            says_cold: true,
        };
        let what = TraceEvent::Server(server);
        trace.lines.push(TraceLine { at_ms: 0, what });
        let report = replay(&trace);
        assert_eq!(report.outcomes.count(TraceEnd::Finished), REQUEST_COUNT);
        assert_eq!((report.changed_outcomes, report.violations.len()), (0, 0));
    });
}
