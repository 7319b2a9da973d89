//! Time of one routing decision as the fleet grows.

#![allow(
    missing_docs,
    reason = "criterion_group makes an undocumented function"
)]

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use declarations::Declarations;
use policy::prelude::*;
use policy::{Member, Members, Router, RouterConfig, RoutingRequest};
use proto::Warmth;
use std::hint::black_box;
use std::sync::Arc;

const DOMAINS: usize = 6;
const SERVER_COUNTS: [usize; 3] = [20, 200, 600];

fn declarations(servers: usize) -> Declarations {
    let mut text = String::new();
    for n in 0..DOMAINS {
        text += &format!("[[domains]]\nname = \"d{n}\"\nregion = \"r{}\"\n", n / 3);
    }
    text += "[[models]]\nname = \"m\"\nkv_bytes_per_token = 1\n";
    for n in 0..servers {
        let domain = n % DOMAINS;
        text += &format!(
            "[[servers]]\nname = \"s{n}\"\nkind = \"engine\"\nhost = \"h{n}\"\n\
             domain = \"d{domain}\"\nmemory_bytes = 400000\n"
        );
    }
    Declarations::parse(&text).expect("declarations are valid")
}

fn members(declared: &Declarations) -> Members {
    let member = |server: &declarations::Server| Member {
        node: server.name.clone(),
        host: server.host.clone(),
        domain: server.domain.clone(),
        address: ([127, 0, 0, 1], 1).into(),
        server: Some(server.name.clone()),
        epoch: 1,
        leaving: false,
        down: false,
    };
    let all = declared.servers.iter();
    Members {
        nodes: all.map(|s| (s.name.clone(), member(s))).collect(),
    }
}

fn hints(server: &str, n: u64) -> Hints {
    Hints {
        server: server.into(),
        epoch: 1,
        sequence: n,
        config: 1,
        warmth: Warmth::Warm,
        queue_delay: Duration::from_millis(n * 37 % 200),
        outstanding: n as u32 % 40,
        limit: 64,
        queued_tokens: 0,
        free_tokens: 300_000,
        prefill_rate: 12_000.0,
        decode_interval: Duration::from_millis(20),
        draining: false,
    }
}

fn router(servers: usize) -> Router {
    let declared = declarations(servers);
    let mut router = Router::new(RouterConfig {
        domain: "d0".into(),
        retry_after: Duration::from_secs(1),
        seed: 7,
    });
    let members = members(&declared);
    router.configure(Arc::new(declared.clone()), Arc::new(members));
    for (server, n) in declared.servers.iter().zip(1..) {
        router.observe(Duration::ZERO, &hints(&server.name, n));
    }
    router
}

fn routing(c: &mut Criterion) {
    let mut group = c.benchmark_group("choose");
    for servers in SERVER_COUNTS {
        let mut router = router(servers);
        let mut n = 0_u64;
        group.bench_function(BenchmarkId::from_parameter(servers), |b| {
            b.iter(|| {
                n += 1;
                let prefixes = [n % 5000, n % 7919 + 10_000, n % 9973 + 30_000];
                let request = RoutingRequest {
                    team: "t",
                    model: Some("m"),
                    service: None,
                    prompt_tokens: 4000,
                    output_tokens: 200,
                    remaining: Duration::from_secs(30),
                    prefixes: &prefixes,
                    tried: &[],
                };
                black_box(router.choose(Duration::from_micros(n), &request))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, routing);
criterion_main!(benches);
