//! Planning of spans, placement of models and staggering of their loads.

use declarations::Declarations;
use policy::*;
use proto::RefusalReason;
use proto::prelude::*;
use std::collections::BTreeSet;

const DOMAINS: usize = 3;

fn declared(servers: usize) -> Declarations {
    let mut text = String::from(
        "teams = [{name = 't', key_hashes = ['sha256:KEY']}]\n\
         models = [{name = 'm', version = '1', replicas = 6, weight_bytes = 1000},\
                   {name = 'n', version = '1', replicas = 3, weight_bytes = 500}]\n\
         rules = [{name = 'near', teams = ['t'], domains = ['d0', 'd1']}]\n",
    );
    for domain in 0..DOMAINS {
        text += &format!("[[domains]]\nname = 'd{domain}'\nregion = 'r'\n");
    }
    for server in 0..servers {
        let domain = server % DOMAINS;
        text += &format!(
            "[[servers]]\nname = 's{server}'\nkind = 'engine'\nhost = 'h{server}'\n\
             domain = 'd{domain}'\nmemory_bytes = 1024000\n"
        );
    }
    let text = text.replace("KEY", &"0".repeat(64));
    Declarations::parse(&text).unwrap()
}

fn hosts(declared: &Declarations) -> BTreeSet<HostId> {
    declared
        .servers
        .iter()
        .map(|server| server.host.clone())
        .collect()
}

fn members(declared: &Declarations) -> Members {
    let nodes = declared.servers.iter().map(|server| {
        let member = Member {
            node: server.name.clone(),
            host: server.host.clone(),
            domain: server.domain.clone(),
            address: ([127, 0, 0, 1], 1).into(),
            server: Some(server.name.clone()),
            epoch: 1,
            leaving: false,
            down: false,
        };
        (server.name.clone(), member)
    });
    Members {
        nodes: nodes.collect(),
    }
}

fn ask(prompt_tokens: Tokens, leader: &str) -> SpanPlanRequest<'_> {
    SpanPlanRequest {
        team: "t",
        model: "m",
        leader,
        prompt_tokens,
        output_tokens: 100,
        excluded: &[],
        seed: 1,
    }
}

#[test]
fn plan_covers_the_prompt_with_allowed_engines_only() {
    let declared = declared(12);
    let members = members(&declared);
    assert!(needs_span(&declared, "m", "s1", 876));
    assert!(!needs_span(&declared, "m", "s1", 875));
    for prompt in [1100, 2200, 3000] {
        let plan = plan_span(&declared, &members, &ask(prompt, "s1")).unwrap();
        let mut next = 0;
        for segment in &plan.segments {
            assert_eq!(segment.from, next);
            assert!(segment.tokens <= 750);
            let server = declared.server(&segment.server).unwrap();
            assert_ne!(&*server.domain, "d2");
            next = segment.to;
        }
        assert_eq!(next, prompt);
        let last = plan.segments.last().unwrap();
        assert_eq!(
            (&*last.server, last.tokens),
            ("s1", last.to - last.from + 100)
        );
    }
}

#[test]
fn prompt_that_no_set_of_engines_could_hold_is_refused_at_once() {
    let declared = declared(6);
    let mut members = members(&declared);
    let too_large = plan_span(&declared, &members, &ask(2950, "s0"));
    assert_eq!(too_large, Err(RefusalReason::NoMemory));
    assert!(plan_span(&declared, &members, &ask(2850, "s0")).is_ok());
    members.nodes.get_mut("s1").unwrap().down = true;
    let too_few_now = plan_span(&declared, &members, &ask(2850, "s0"));
    assert_eq!(too_few_now, Err(RefusalReason::NoServer));
}

fn placed_models(
    declared: &Declarations,
    live: &BTreeSet<HostId>,
) -> Vec<(ServerId, ModelVersion)> {
    let placement = Placement {
        declared,
        live_hosts: live,
        weight_store_bytes_per_second: 100.0,
    };
    let mut pairs = Vec::new();
    for server in &declared.servers {
        let wanted = placement.desired_state(&server.name, &LoadedModels::new(), Duration::ZERO);
        let models = wanted.models.into_keys();
        pairs.extend(models.map(|model| (server.name.clone(), model)));
    }
    pairs
}

#[test]
fn replicas_span_domains_and_few_move_when_a_host_goes() {
    let declared = declared(30);
    let mut live = hosts(&declared);
    let before = placed_models(&declared, &live);
    assert_eq!(before.len(), 9);
    for domain in 0..DOMAINS {
        let name = format!("d{domain}");
        let here = |server: &str| *declared.server(server).unwrap().domain == *name;
        assert_eq!(before.iter().filter(|(server, _)| here(server)).count(), 3);
    }
    let removed = before[0].0.clone();
    live.remove(&declared.server(&removed).unwrap().host);
    let after = placed_models(&declared, &live);
    let lost = before
        .iter()
        .filter(|(server, _)| *server == removed)
        .count();
    let moved = before.iter().filter(|pair| !after.contains(pair)).count();
    assert_eq!((moved, after.len()), (lost, before.len()));
}

#[test]
fn returning_domain_keeps_to_the_rate_of_the_weight_store() {
    let declared = declared(30);
    let live = hosts(&declared);
    let placement = Placement {
        declared: &declared,
        live_hosts: &live,
        weight_store_bytes_per_second: 100.0,
    };
    let mut loads = Vec::new();
    for server in &declared.servers {
        let wanted = placement.desired_state(&server.name, &LoadedModels::new(), Duration::ZERO);
        loads.extend(wanted.models.into_iter().map(|(model, at)| (at, model)));
    }
    loads.sort();
    let mut free_at = Duration::ZERO;
    for (at, model) in loads {
        assert_eq!(at, free_at, "one load begins as the one before ends");
        free_at += Duration::from_secs(if model.starts_with('m') { 10 } else { 5 });
    }
    assert_eq!(free_at, Duration::from_secs(75));
}

#[test]
fn model_is_kept_until_all_its_replicas_hold_the_declared_version() {
    let declared = declared(30);
    let live = hosts(&declared);
    let placement = Placement {
        declared: &declared,
        live_hosts: &live,
        weight_store_bytes_per_second: 100.0,
    };
    let model = declared.model("n").unwrap();
    let replicas = placement.replicas(model);
    let old = "n@0".into();
    let mut loaded = LoadedModels::new();
    let server = &replicas[0].name;
    loaded.entry(server.clone()).or_default().insert(old);
    for replica in &replicas {
        let wanted = placement.desired_state(server, &loaded, Duration::ZERO);
        assert!(wanted.unloadable.is_empty());
        let held = loaded.entry(replica.name.clone()).or_default();
        held.insert(model_version(model));
    }
    let wanted = placement.desired_state(server, &loaded, Duration::ZERO);
    assert!(wanted.unloadable.contains("n@0"));
    assert!(wanted.models.contains_key("n@1"));
}
