//! Tests of the simulated engine in virtual time.

use standins::{
    EngineOrder, EngineOutput, EngineRefusal, EngineRequest, EngineSegment, EngineSim, EngineSpec,
    PromptPrefix,
};
use std::time::Duration;

const HOUR: Duration = Duration::from_secs(3600);

fn request(attempt: &str, priority: u8, prompt_tokens: u64, max_tokens: u64) -> EngineRequest {
    EngineRequest {
        attempt: attempt.into(),
        model: None,
        priority,
        prompt_tokens,
        max_tokens,
        prefixes: Vec::new(),
        grant: None,
    }
}

fn warm_spec() -> EngineSpec {
    EngineSpec {
        starts_cold: false,
        ..EngineSpec::default()
    }
}

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Runs the engine until it is idle; returns each output with its time.
fn drain(engine: &mut EngineSim) -> Vec<(Duration, EngineOutput)> {
    let mut all = Vec::new();
    while let Some(at) = engine.next_wakeup() {
        assert!(at < HOUR);
        let mut out = Vec::new();
        engine.advance(at, &mut out);
        all.extend(out.into_iter().map(|output| (at, output)));
    }
    all
}

fn first_token(outputs: &[(Duration, EngineOutput)], name: &str) -> Duration {
    let is_first = |output: &EngineOutput| matches!(output, EngineOutput::Token { attempt, index: 0 } if &**attempt == name);
    outputs
        .iter()
        .find(|(_, output)| is_first(output))
        .unwrap()
        .0
}

#[test]
fn prefill_and_decode_take_the_time_of_the_spec() {
    let mut engine = EngineSim::new(warm_spec());
    engine
        .submit(Duration::ZERO, request("a", 5, 20_000, 11))
        .unwrap();
    let outputs = drain(&mut engine);
    let first = first_token(&outputs, "a");
    assert!((first.as_secs_f64() - 1.0).abs() < 0.01, "{first:?}");
    let last = outputs.last().unwrap();
    let decode = (last.0 - first).as_secs_f64();
    assert!((decode - 10.0 * 0.0153).abs() < 0.001, "{decode}");
    assert_eq!(
        last.1,
        EngineOutput::Done {
            attempt: "a".into()
        }
    );
    assert_eq!(engine.counts().request_tokens, 0);
}

#[test]
fn an_urgent_prompt_passes_a_long_one() {
    let mut engine = EngineSim::new(warm_spec());
    engine
        .submit(Duration::ZERO, request("long", 9, 300_000, 4))
        .unwrap();
    engine
        .submit(secs(1), request("short", 0, 1_000, 4))
        .unwrap();
    let outputs = drain(&mut engine);
    assert!(first_token(&outputs, "short") < Duration::from_millis(1200));
    assert!(first_token(&outputs, "long") > secs(15));
}

#[test]
fn suspend_keeps_memory_and_cancel_frees_it() {
    let mut engine = EngineSim::new(warm_spec());
    engine
        .submit(Duration::ZERO, request("a", 5, 50_000, 10))
        .unwrap();
    engine.suspend(secs(1), "a").unwrap();
    let mut out = Vec::new();
    engine.advance(secs(60), &mut out);
    assert_eq!(out, []);
    assert_eq!(engine.reservations(secs(60))[0].tokens, 50_010);
    engine.resume(secs(60), "a").unwrap();
    engine.cancel(secs(61), "a");
    engine.cancel(secs(61), "a");
    assert_eq!(engine.reservations(secs(61)), []);
    assert_eq!(engine.counts().cancelled, 1);
}

#[test]
fn one_request_too_many_in_cold_start_makes_it_fall_over() {
    let mut engine = EngineSim::new(EngineSpec::default());
    engine
        .submit(Duration::ZERO, request("a", 5, 1_000, 100))
        .unwrap();
    engine
        .submit(Duration::ZERO, request("b", 5, 1_000, 100))
        .unwrap();
    engine
        .submit(Duration::ZERO, request("c", 5, 1_000, 100))
        .unwrap();
    let mut out = Vec::new();
    engine.advance(secs(1), &mut out);
    let failed = |output: &&EngineOutput| matches!(output, EngineOutput::Failed { .. });
    assert_eq!(out.iter().filter(failed).count(), 3);
    assert_eq!(
        (engine.counts().over_cold_limit, engine.counts().crashes),
        (1, 1)
    );
    let refused = engine.submit(secs(1), request("d", 5, 1_000, 1));
    assert_eq!(refused, Err(EngineRefusal::Down));
    engine.submit(secs(6), request("e", 5, 1_000, 1)).unwrap();
}

#[test]
fn work_ends_a_cold_start_and_the_report_lags() {
    let mut engine = EngineSim::new(EngineSpec::default());
    engine
        .submit(Duration::ZERO, request("a", 5, 100_000, 1))
        .unwrap();
    let done = drain(&mut engine).last().unwrap().0;
    assert!(!engine.is_cold());
    assert!(done > secs(10) && done < secs(20), "{done:?}");
    engine.return_to_cold_start(done);
    let soon = done + Duration::from_millis(100);
    assert_eq!(engine.load_report(soon).cold, Some(false));
    assert_eq!(engine.load_report(done + secs(1)).cold, Some(true));
}

#[test]
fn prefix_cache_saves_prefill_and_its_events_are_late_with_gaps() {
    let spec = EngineSpec {
        dropped_event_interval: 2,
        ..warm_spec()
    };
    let mut engine = EngineSim::new(spec);
    let blocks = |n: u64| {
        (1..=n)
            .map(|hash| PromptPrefix {
                hash,
                tokens: hash * 1024,
            })
            .collect()
    };
    let with_prefix = |attempt: &str| EngineRequest {
        prefixes: blocks(8),
        ..request(attempt, 5, 10_000, 1)
    };
    engine.submit(Duration::ZERO, with_prefix("a")).unwrap();
    let first = drain(&mut engine).last().unwrap().0;
    assert_eq!(engine.cache_events(first, 0).events, []);
    engine.submit(secs(5), with_prefix("b")).unwrap();
    let second = drain(&mut engine).last().unwrap().0 - secs(5);
    assert!(second * 3 < first);
    let events = engine.cache_events(secs(6), 0);
    let numbers: Vec<u64> = events.events.iter().map(|event| event.seq).collect();
    assert_eq!((numbers, events.last_seq), (vec![1, 3, 5, 7], 8));
}

#[test]
fn grants_hold_memory_until_released_and_segments_save_prefill() {
    let mut engine = EngineSim::new(warm_spec());
    engine.reserve(Duration::ZERO, "g", 300_000).unwrap();
    engine.reserve(Duration::ZERO, "g", 300_000).unwrap();
    assert_eq!(
        engine.reserve(Duration::ZERO, "h", 300_000),
        Err(EngineRefusal::NoMemory)
    );
    let segment = EngineSegment {
        grant: "g".into(),
        segment: 1,
        from: 700_000,
        to: 1_000_000,
        import_tokens: 700_000,
    };
    engine.prefill_segment(Duration::ZERO, segment).unwrap();
    let (at, done) = drain(&mut engine).pop().unwrap();
    assert_eq!(
        done,
        EngineOutput::SegmentDone {
            grant: "g".into(),
            segment: 1
        }
    );
    assert!(at > secs(15) && at < secs(16), "{at:?}");
    let request_with_grant = EngineRequest {
        grant: Some("g".into()),
        ..request("a", 5, 1_000_000, 2)
    };
    engine.submit(at, request_with_grant).unwrap();
    let ended = drain(&mut engine).last().unwrap().0;
    assert!(ended - at < secs(1));
    assert_eq!(engine.counts().grant_tokens, 300_000);
    engine.release(ended, "g");
    engine.release(ended, "g");
    assert_eq!(engine.counts().grant_tokens, 0);
}

#[test]
fn orders_are_fenced_only_where_the_engine_checks() {
    for (checks_fencing, expected, stale_orders) in [
        (true, Err(EngineRefusal::StaleFence), 0),
        (false, Ok(None), 1),
    ] {
        let mut engine = EngineSim::new(EngineSpec {
            checks_fencing,
            ..warm_spec()
        });
        let load = EngineOrder::Load("m@2".into());
        engine
            .apply_order(Duration::ZERO, 2, "agent", &load)
            .unwrap();
        let old = engine.apply_order(secs(1), 1, "agent", &EngineOrder::Unload("m@2".into()));
        assert_eq!(old, expected);
        assert_eq!(engine.counts().stale_orders, stale_orders);
    }
}

#[test]
fn a_frozen_engine_goes_on_where_it_stopped() {
    let mut engine = EngineSim::new(warm_spec());
    engine
        .submit(Duration::ZERO, request("a", 5, 20_000, 1))
        .unwrap();
    engine.set_frozen(Duration::from_millis(500), true);
    assert_eq!(engine.next_wakeup(), None);
    engine.set_frozen(secs(10), false);
    let done = drain(&mut engine).last().unwrap().0;
    assert!((done.as_secs_f64() - 10.5).abs() < 0.03, "{done:?}");
}
