//! Choice of backend servers by a gateway.

use declarations::{Declarations, Rule};
use policy::prelude::*;
use policy::{Member, Members, Router, RouterConfig, RoutingRefusal, RoutingRequest};
use proto::{RefusalReason, Warmth};
use std::collections::BTreeMap;
use std::sync::Arc;

const DOMAINS: [&str; 3] = ["d0", "d1", "d2"];

fn declarations(servers: usize) -> Declarations {
    let mut text = String::new();
    for domain in DOMAINS {
        text += &format!("[[domains]]\nname = \"{domain}\"\nregion = \"r\"\n");
    }
    text += "[[models]]\nname = \"m\"\nkv_bytes_per_token = 1\n";
    for n in 0..servers {
        let domain = DOMAINS[n % 3];
        text += &format!(
            "[[servers]]\nname = \"s{n}\"\nkind = \"engine\"\nhost = \"h{n}\"\n\
             domain = \"{domain}\"\nmemory_bytes = 400000\n"
        );
    }
    Declarations::parse(&text).expect("declarations are valid")
}

fn members(declared: &Declarations) -> Members {
    let member = |n: usize, server: &declarations::Server| Member {
        node: format!("a{n}").into(),
        host: server.host.clone(),
        domain: server.domain.clone(),
        address: ([127, 0, 0, 1], 1).into(),
        server: Some(server.name.clone()),
        epoch: 1,
        leaving: false,
        down: false,
    };
    let all = declared.servers.iter().enumerate();
    Members {
        nodes: all
            .map(|(n, server)| (format!("a{n}").into(), member(n, server)))
            .collect(),
    }
}

fn router(declared: &Declarations) -> Router {
    let mut router = Router::new(RouterConfig {
        domain: "d0".into(),
        retry_after: Duration::from_secs(1),
        seed: 7,
    });
    let members = members(declared);
    router.configure(Arc::new(declared.clone()), Arc::new(members));
    router
}

fn hints(server: &str, sequence: u64) -> Hints {
    Hints {
        server: server.into(),
        epoch: 1,
        sequence,
        config: 1,
        warmth: Warmth::Warm,
        queue_delay: Duration::ZERO,
        outstanding: 0,
        limit: 64,
        queued_tokens: 0,
        free_tokens: 400_000,
        prefill_rate: 10_000.0,
        decode_interval: Duration::from_millis(20),
        draining: false,
    }
}

fn observe_all(router: &mut Router, declared: &Declarations, change: impl Fn(usize, &mut Hints)) {
    for (n, server) in declared.servers.iter().enumerate() {
        let mut hints = hints(&server.name, 1);
        change(n, &mut hints);
        router.observe(Duration::ZERO, &hints);
    }
}

const REQUEST: RoutingRequest<'_> = RoutingRequest {
    team: "t",
    model: Some("m"),
    service: None,
    prompt_tokens: 4000,
    output_tokens: 100,
    remaining: Duration::from_secs(30),
    prefixes: &[],
    tried: &[],
};

fn choose(router: &mut Router, request: &RoutingRequest<'_>) -> Result<ServerId, RoutingRefusal> {
    router.choose(Duration::ZERO, request)
}

#[test]
fn nearest_domain_first() {
    let declared = declarations(12);
    let mut router = router(&declared);
    observe_all(&mut router, &declared, |_, _| {});
    for _ in 0..4 {
        let server = choose(&mut router, &REQUEST).expect("a server");
        assert_eq!(&*declared.server(&server).expect("declared").domain, "d0");
    }
}

#[test]
fn spills_over_when_it_pays() {
    let declared = declarations(12);
    let mut router = router(&declared);
    observe_all(&mut router, &declared, |n, hints| {
        hints.queue_delay = Duration::from_millis(if n % 3 == 0 { 500 } else { 0 });
    });
    let server = choose(&mut router, &REQUEST).expect("a server");
    assert_ne!(&*declared.server(&server).expect("declared").domain, "d0");
}

#[test]
fn same_beginning_goes_to_one_server_of_every_gateway() {
    let declared = declarations(60);
    let mut chosen = BTreeMap::new();
    for key in 0..20_u64 {
        let prefixes = [key * 77 + 1, key * 78 + 2, key * 79 + 3];
        let request = RoutingRequest {
            prefixes: &prefixes,
            ..REQUEST
        };
        for _ in 0..2 {
            let mut router = router(&declared);
            observe_all(&mut router, &declared, |_, _| {});
            let first = choose(&mut router, &request).expect("a server");
            router.observe(Duration::ZERO, &hints(&first, 2));
            assert_eq!(choose(&mut router, &request).expect("a server"), first);
            *chosen.entry(first).or_insert(0) += 1;
        }
    }
    assert!(chosen.len() > 5, "{chosen:?}");
}

#[test]
fn a_popular_beginning_makes_no_hot_spot() {
    let declared = declarations(60);
    let mut router = router(&declared);
    observe_all(&mut router, &declared, |_, _| {});
    let mut counts: BTreeMap<ServerId, u32> = BTreeMap::new();
    for _ in 0..300 {
        let request = RoutingRequest {
            prefixes: &[42],
            ..REQUEST
        };
        let server = choose(&mut router, &request).expect("a server");
        router.on_offered(&server);
        *counts.entry(server).or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or_default();
    assert!(most <= 30, "{most} of 300 at one server");
}

#[test]
fn rules_are_always_kept() {
    let names = |names: &[&str]| names.iter().map(|name| Box::from(*name)).collect();
    let rule = |teams: &[&str], domains: &[&str], servers: &[&str]| Rule {
        name: "rule".into(),
        teams: names(teams),
        models: Vec::new(),
        regions: Vec::new(),
        domains: names(domains),
        servers: names(servers),
    };
    let mut declared = declarations(12);
    declared.rules = vec![
        rule(&["t"], &["d1"], &[]),
        rule(&["t", "u"], &[], &["s0", "s4", "s7", "s10"]),
    ];
    let mut router = router(&declared);
    observe_all(&mut router, &declared, |n, hints| {
        hints.queue_delay = Duration::from_secs(if n == 0 { 0 } else { 9 });
    });
    let mut tried = Vec::new();
    while let Ok(server) = choose(
        &mut router,
        &RoutingRequest {
            tried: &tried,
            ..REQUEST
        },
    ) {
        tried.push(server);
    }
    tried.sort();
    let expected: Vec<ServerId> = ["s10", "s4", "s7"].into_iter().map(Into::into).collect();
    assert_eq!(tried, expected);
    let other_team = choose(
        &mut router,
        &RoutingRequest {
            team: "u",
            ..REQUEST
        },
    );
    assert_eq!(other_team.as_deref(), Ok("s0"));
}

#[test]
fn domain_out_and_drained_servers_get_nothing() {
    let mut declared = declarations(6);
    declared.domains[0].out = true;
    declared.servers[1].drained = true;
    let mut router = router(&declared);
    for _ in 0..50 {
        let server = choose(&mut router, &REQUEST).expect("a server");
        assert!(!["s0", "s3", "s1"].contains(&&*server), "{server}");
    }
}

#[test]
fn unreachable_and_cold_servers_are_avoided() {
    let declared = declarations(3);
    let mut router = router(&declared);
    observe_all(&mut router, &declared, |n, hints| {
        if n == 1 {
            (hints.warmth, hints.limit, hints.outstanding) = (Warmth::Cold, 2, 2);
        }
    });
    router.on_unreachable(Duration::ZERO, "s0");
    assert_eq!(choose(&mut router, &REQUEST).as_deref(), Ok("s2"));
}

#[test]
fn too_long_for_every_server() {
    let declared = declarations(3);
    let mut router = router(&declared);
    let span_request = RoutingRequest {
        prompt_tokens: 890_000,
        ..REQUEST
    };
    assert!(choose(&mut router, &span_request).is_ok());
    let request = RoutingRequest {
        prompt_tokens: 910_000,
        ..REQUEST
    };
    let refused = choose(&mut router, &request).expect_err("no servers hold it together");
    assert_eq!(refused.reason, RefusalReason::NoMemory);
}

#[test]
fn hints_of_an_agent_that_counts_anew_are_taken() {
    let declared = declarations(2);
    let mut router = router(&declared);
    router.observe(Duration::ZERO, &hints("s0", 900));
    let mut restarted = hints("s0", 1);
    restarted.queue_delay = Duration::from_secs(9);
    let later = Duration::from_secs(3);
    router.observe(later, &restarted);
    router.observe(later, &hints("s1", 1));
    assert_eq!(router.choose(later, &REQUEST).as_deref(), Ok("s1"));
}

/// Guards against a server that stays unused after a drain: its last hints say that it is draining,
/// and no newer ones arrive while it is avoided. A new configuration drops those hints.
#[test]
fn returned_server_takes_part_without_new_hints() {
    let declared = declarations(3);
    let mut router = router(&declared);
    observe_all(&mut router, &declared, |n, hints| hints.draining = n == 0);
    let first = choose(&mut router, &REQUEST).expect("a server");
    assert_ne!(&*first, "s0", "a draining server is avoided");
    let members = members(&declared);
    router.configure(Arc::new(declared), Arc::new(members));
    let now = Duration::from_secs(10);
    assert_eq!(router.choose(now, &REQUEST).as_deref(), Ok("s0"));
}
