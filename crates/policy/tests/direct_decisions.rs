//! Decisions of a gateway that sends to backend servers directly: routes, the queue of prompts,
//! load reports, server health, and the choice of plain servers.

mod engine;

use engine::model;
use policy::{
    AttemptResult, CallerIdentity, CallerLimits, FleetLoad, HerdAvoidance, JobLoad,
    KnownPlacements, PlainCandidate, PromptRequirements, QueuedPrompt, Route, RouteKind,
    RouteTable, ServerHealth, SuspectKind, TeamEntry, TeamsOverShare, choose_plain_server,
    next_check_after, sort_queue,
};
use proto::ServerUsage;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn route(prefix: &str, anonymous: bool) -> Route {
    Route {
        name: prefix.into(),
        host: "h".into(),
        prefix: prefix.into(),
        kind: RouteKind::Safe,
        timeout: ms(1_000),
        target_latency: ms(100),
        target_gap: ms(200),
        rank: 1,
        split: vec![("x".into(), 90), ("y".into(), 10)],
        max_attempts: 2,
        anonymous,
    }
}

fn table() -> RouteTable {
    let team = Arc::new(TeamEntry {
        name: "t".into(),
        rank: None,
    });
    let teams = HashMap::from([("k".into(), team)]);
    let routes = vec![route("/a/", false), route("/a/b/", true)];
    RouteTable::new(1, CallerLimits::default(), routes, Vec::new(), Some(teams))
}

#[test]
fn the_longest_prefix_wins() {
    let table = table();
    assert_eq!(&*table.route("h", "/a/b/c").unwrap().prefix, "/a/b/");
    assert_eq!(&*table.route("h", "/a/bc").unwrap().prefix, "/a/");
    assert!(table.route("h", "/b/").is_none() && table.route("i", "/a/").is_none());
}

/// A route whose host name has a capital letter never matched.
#[test]
fn host_names_are_compared_without_case() {
    let route = |prefix: &str, host: &str| Route {
        host: host.into(),
        ..route(prefix, true)
    };
    let routes = [
        route("/a/", "Consumer.Example"),
        route("/a/b/", "consumer.example"),
    ];
    let table = RouteTable::new(1, CallerLimits::default(), routes, Vec::new(), None);
    for host in ["consumer.example", "Consumer.Example", "CONSUMER.EXAMPLE"] {
        let prefix = |path| table.route(host, path).map(|route| &*route.prefix);
        assert_eq!(prefix("/a/x"), Some("/a/"), "{host}");
        assert_eq!(prefix("/a/b/x"), Some("/a/b/"), "{host}");
    }
    assert!(table.route("other.example", "/a/x").is_none());
}

#[test]
fn keys_name_teams_and_unknown_ones_are_told_from_none() {
    let table = table();
    let closed = table.route("h", "/a/x").unwrap();
    let open = table.route("h", "/a/b/x").unwrap();
    assert!(matches!(
        table.identify_caller(closed, Some("k")),
        CallerIdentity::Team(_)
    ));
    assert_eq!(
        table.identify_caller(closed, Some("other")),
        CallerIdentity::Unknown
    );
    assert_eq!(table.identify_caller(closed, None), CallerIdentity::Unknown);
    assert_eq!(table.identify_caller(open, None), CallerIdentity::Anonymous);
}

#[test]
fn weights_split_requests() {
    let route = route("/a/", false);
    let to_y = (0..1_000)
        .filter(|draw| &**route.service(*draw).unwrap() == "y")
        .count();
    assert_eq!(to_y, 100);
    let none = Route {
        split: Vec::new(),
        ..route
    };
    assert_eq!(none.service(1), None);
}

fn queued_prompt(id: u64, prompt: u64, since: Duration) -> QueuedPrompt {
    let need = PromptRequirements {
        prompt_tokens: prompt,
        expected_output_tokens: 800,
        first_event_target: ms(3_000),
        event_gap_target: ms(800),
        waited: ms(0),
        remaining: ms(12_000),
    };
    QueuedPrompt {
        id,
        rank: 1,
        team: 0,
        is_retry: false,
        request: need,
        queued_at: since,
        deadline: since + ms(12_000),
    }
}

/// A burst of long prompts: those that can still meet their target go first, and among them those
/// that must start earliest.
#[test]
fn prompts_that_can_be_on_time_go_first() {
    let mut prompts = [
        queued_prompt(1, 200_000, ms(0)),
        queued_prompt(2, 200_000, ms(4_000)),
        queued_prompt(3, 300_000, ms(4_000)),
    ];
    let over_share = TeamsOverShare::default();
    sort_queue(&mut prompts, &model(), 14, &over_share, ms(4_500));
    assert_eq!(prompts.map(|prompt| prompt.id), [3, 2, 1]);
}

/// A prompt that the engines cannot serve before its deadline is refused at once, not at the
/// deadline.
#[test]
fn hopeless_prompts_are_known_early() {
    let queued_prompt = queued_prompt(1, 1_000_000, ms(0));
    assert!(!queued_prompt.would_miss_deadline(&model(), 14, ms(0)));
    assert!(queued_prompt.would_miss_deadline(&model(), 2, ms(0)));
}

fn part(server: u64, read: Duration) -> JobLoad {
    JobLoad {
        server,
        prefill_time: read,
        kv_tokens: 100,
        decodes: true,
        event_gap_target: ms(200),
        is_long: true,
    }
}

#[test]
fn load_of_peers_adds_up_and_grows_old() {
    let mut load = FleetLoad::default();
    load.start(1, &[part(7, ms(100))], ms(0));
    let reported = ServerUsage {
        jobs: 2,
        prefill_remaining: ms(300),
        tokens: 50,
        ..ServerUsage::default()
    };
    load.on_peer_report("p", vec![(7, reported)], ms(0));
    let now = load.total(7, ms(40));
    assert_eq!((now.jobs, now.tokens, now.long_prefills), (3, 150, 1));
    assert_eq!(now.prefill_remaining, ms(60 + 260));
    assert_eq!(
        load.total(7, ms(3_000)).jobs,
        1,
        "a silent peer counts no more"
    );
    load.on_prefilled(1, &[part(7, ms(100))]);
    assert_eq!(load.total(7, ms(3_000)).prefill_remaining, ms(0));
    load.end(1, &[part(7, ms(100))]);
    assert_eq!(load.total(7, ms(3_000)), ServerUsage::default());
}

/// A burst begins. The rate at which this gateway itself gets prompts says nothing for seconds; the
/// new jobs in the reports of its peers show it.
#[test]
fn a_burst_shows_in_the_reports_of_peers() {
    let usage = |jobs| ServerUsage {
        jobs,
        ..ServerUsage::default()
    };
    let mut load = FleetLoad::default();
    let peers: Vec<_> = (0..100).map(|peer: u32| peer.to_string()).collect();
    for peer in &peers {
        load.on_peer_report(peer, vec![(7, usage(3))], ms(0));
    }
    assert_eq!(load.peer_placements(7, ms(10)), 0, "they are not new");
    for peer in &peers {
        load.on_peer_report(peer, vec![(8, usage(2))], ms(300));
        load.on_peer_report(peer, vec![(7, usage(1)), (8, usage(1))], ms(600));
    }
    assert_eq!(load.peer_placements(7, ms(700)), 100);
    assert_eq!(load.peer_placements(8, ms(700)), 200);
    assert_eq!(load.total(8, ms(700)).jobs, 100);
    assert_eq!(load.peer_placements(8, ms(1_400)), 0);
    let estimate = |reported_rate| {
        let known = KnownPlacements {
            peers: 100,
            hears_peers: true,
            reported_rate,
            own: 0,
            report_interval: ms(400),
            silence: ms(0),
        };
        HerdAvoidance::estimate(&known, 1.0, 0)
    };
    assert_eq!(estimate(300.0).unseen_placements, 60.0);
    assert_eq!(
        estimate(0.0).unseen_placements,
        10.0,
        "a burst may begin now"
    );
}

#[test]
fn a_read_that_takes_longer_than_foreseen_still_counts() {
    let mut load = FleetLoad::default();
    load.start(1, &[part(7, ms(800))], ms(0));
    assert_eq!(load.total(7, ms(5_000)).prefill_remaining, ms(100));
    assert_eq!(load.total(7, ms(5_000)).long_prefills, 1);
}

/// A server fails some of its requests while it reports itself healthy. It is avoided after a
/// failure and used again later.
#[test]
fn grey_servers_are_avoided_and_forgiven() {
    let mut health = ServerHealth::default();
    health.on_result(AttemptResult::Failed, ms(0));
    assert!(health.is_suspect(ms(1)));
    assert!(!health.is_suspect(ms(700)));
    for n in 0..20 {
        health.on_result(AttemptResult::Answered, ms(700 + n));
    }
    health.on_result(AttemptResult::Full, ms(800));
    assert!(health.is_full(ms(801)) && !health.is_suspect(ms(801)) && !health.is_full(ms(900)));
}

/// A server that fails answers is told from one that cannot be reached, until it answers again.
#[test]
fn failing_servers_are_told_from_unreachable_ones() {
    let mut health = ServerHealth::default();
    assert_eq!(health.suspect_kind(ms(0)), None);
    for (result, kind) in [
        (AttemptResult::Failed, SuspectKind::Failing),
        (AttemptResult::Silent, SuspectKind::Unreachable),
        (AttemptResult::Full, SuspectKind::Unreachable),
        (AttemptResult::Answered, SuspectKind::Failing),
    ] {
        health.on_result(result, ms(0));
        assert_eq!(health.suspect_kind(ms(1)), Some(kind), "{result:?}");
    }
    assert_eq!(health.suspect_kind(ms(5_000)), None);
}

#[test]
fn plain_servers_are_chosen_by_health_then_load_then_nearness() {
    let idle = PlainCandidate {
        jobs: 0,
        slots: 6,
        suspect: false,
        recently_full: false,
        same_domain: false,
        tie_break: 0,
    };
    let busy = PlainCandidate {
        jobs: 3,
        same_domain: true,
        ..idle.clone()
    };
    let suspect = PlainCandidate {
        suspect: true,
        same_domain: true,
        ..idle.clone()
    };
    let same_domain = PlainCandidate {
        same_domain: true,
        tie_break: 9,
        ..idle.clone()
    };
    assert_eq!(
        choose_plain_server(&[suspect.clone(), busy.clone(), idle.clone()]),
        Some(2)
    );
    assert_eq!(choose_plain_server(&[idle, same_domain]), Some(1));
    assert_eq!(choose_plain_server(&[suspect]), Some(0));
    assert_eq!(choose_plain_server(&[]), None);
}

/// Unreported work delays one prefill. While the server is avoided for it, no request can show that
/// it is fast again, so the estimated slowdown must fade by itself.
#[test]
fn a_slow_read_does_not_brand_a_server() {
    let mut health = ServerHealth::default();
    health.on_latency(ms(50), ms(6_000), ms(0));
    assert!(health.slowdown(ms(0)) > 3.0);
    assert!(health.slowdown(ms(3_000)) < 1.5);
}

#[test]
fn a_server_that_stays_slow_is_known_to_be() {
    let mut health = ServerHealth::default();
    for n in 0..20 {
        health.on_latency(ms(50), ms(200), ms(100 * n));
    }
    let slowdown = health.slowdown(ms(1_900));
    assert!((3.5..=4.0).contains(&slowdown), "{slowdown}");
}

/// A long prompt waits at each of three gateways, and engines for one become free at a time. A gateway
/// that starts on them is heard of by the others 15 ms later. Those that start before they hear of
/// it share the engines, and all of them are late.
#[test]
fn gateways_with_waiting_prompts_do_not_start_on_the_same_engines() {
    const GATEWAYS: usize = 103;
    const REPORT_DELAY: Duration = ms(15);
    const MAX_SHARED: usize = 20;
    let mut rng = SmallRng::seed_from_u64(1);
    let mut shared = 0;
    for round in 0..100 {
        let freed_at = ms(10_000 + round);
        let mut first_checks: Vec<_> = (0..3)
            .map(|_| {
                let mut checked_at = Duration::ZERO;
                while checked_at < freed_at {
                    checked_at += next_check_after(GATEWAYS, ms(4_000), rng.random());
                }
                checked_at
            })
            .collect();
        first_checks.sort();
        shared += usize::from(first_checks[1] < first_checks[0] + REPORT_DELAY);
    }
    assert!(shared <= MAX_SHARED, "{shared} of 100 starts are shared");
    assert!(next_check_after(4, ms(4_000), u64::MAX) <= ms(28));
    assert!(next_check_after(GATEWAYS, ms(300), u64::MAX) <= ms(40));
}
