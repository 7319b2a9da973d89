//! Checks that merging the timelines of several processes keeps the order of each process and puts
//! the sending of each message before its receipt, even if the wall clocks differ by seconds.

use proptest::test_runner::{Config, RngSeed, TestRunner};
use proto::{AttemptId, Event, EventKind, HybridClock, Stamp};
use query::{Statement, events_table, merge_events, parse, select_events, timeline_page};
use std::time::Duration;

const NODES: usize = 4;

/// Simulates messages, given as sender and receiver, between processes whose wall clocks differ by
/// seconds. Returns the events in the order in which they occurred.
fn history(steps: &[(usize, usize)]) -> Vec<(usize, Event)> {
    let skew = [0, 3_000_000, 7_000_000, 500_000];
    let mut clocks: [HybridClock; NODES] = Default::default();
    let mut events = Vec::new();
    for (index, (from, to)) in steps.iter().enumerate() {
        let wall = |node: usize| Duration::from_micros(skew[node] + index as u64 * 10);
        let sent = clocks[*from].tick(wall(*from));
        let received = clocks[*to].receive(wall(*to), sent);
        for (node, stamp) in [(*from, sent), (*to, received)] {
            events.push((node, event(node, stamp, index)));
        }
    }
    events
}

fn event(node: usize, stamp: Stamp, index: usize) -> Event {
    let attempt = AttemptId {
        request: index as u128,
        number: 1,
    };
    Event {
        stamp,
        node: format!("node-{node}").into(),
        kind: EventKind::Offered(attempt),
        request: Some(attempt.request),
        team: Some("a".into()),
        server: None,
        detail: format!("step {index} <&>").into(),
    }
}

#[test]
fn order_of_each_process_and_message_is_kept() {
    let cfg = Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(6),
        ..Config::default()
    };
    let steps = proptest::collection::vec((0..NODES, 0..NODES), 1..60);
    let property = |steps: Vec<(usize, usize)>| {
        let events = history(&steps);
        let timelines = (0..NODES).map(|process| {
            let local = events.iter().filter(|(node, _)| *node == process);
            local.map(|(_, event)| event.clone()).collect()
        });
        let merged = merge_events(timelines.collect());
        assert_eq!(merged.len(), events.len());
        let position = |event: &Event| merged.iter().position(|other| other == event).unwrap();
        for pair in events.chunks(2) {
            assert!(
                position(&pair[0].1) < position(&pair[1].1),
                "sent before received"
            );
        }
        for (index, (node, event)) in events.iter().enumerate() {
            let next = events[index + 1..].iter().find(|(other, _)| other == node);
            assert!(
                next.is_none_or(|(_, next)| position(event) < position(next)),
                "order of a process"
            );
        }
        Ok(())
    };
    TestRunner::new(cfg).run(&steps, property).unwrap();
}

#[test]
fn events_are_filtered_and_the_newest_kept() {
    let events: Vec<Event> = history(&[(0, 1), (1, 2), (2, 3), (3, 0)])
        .into_iter()
        .map(|(_, event)| event)
        .collect();
    let now = Stamp {
        micros: 8_000_000,
        counter: 0,
    };
    let select = |text: &str| {
        let Ok(Statement::Show(show)) = parse(text) else {
            panic!("{text} must parse")
        };
        select_events(merge_events(vec![events.clone()]), &show, now)
    };
    let of_request = select("show timeline where request ~ 2");
    assert_eq!(of_request.len(), 2);
    assert_eq!(of_request[0].request, Some(2));
    assert_eq!(select("show timeline where team = b").len(), 0);
    let newest = select("show timeline where node = node-0 limit 1");
    assert_eq!((newest.len(), newest[0].request), (1, Some(3)));
    assert_eq!(select("show timeline since 500ms").len(), 0);
    let table = events_table(&newest, now).to_string();
    assert!(
        table.contains("00:00:07.000") && table.contains("step 3"),
        "{table}"
    );
}

#[test]
fn page_has_a_mark_for_each_event_and_escapes_text() {
    let events: Vec<Event> = history(&[(0, 1), (1, 2)])
        .into_iter()
        .map(|(_, event)| event)
        .collect();
    let page = timeline_page(&events);
    assert_eq!(page.matches("<circle").count(), events.len());
    assert_eq!(page.matches("<tr><td>").count(), events.len());
    assert_eq!(page.matches("<polyline").count(), 2);
    assert!(!page.contains("<&>") && page.contains("&lt;&amp;&gt;"));
}
