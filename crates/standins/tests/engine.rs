//! Tests of the engine stand-in through its HTTP API.

use http_body_util::BodyExt;
use hyper::Request;
use runtime::{Body, Executor, HttpClient};
use serde_json::{Value, json};
use standins::{
    Completion, CompletionApi, EngineSpec, EngineStandin, FaultChange, StandinServer,
    WeightStoreSpec, WeightStoreStandin,
};
use std::net::SocketAddr;
use std::time::Duration;

const MAX_RESPONSE_BYTES: usize = 8 << 20;
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn fast_spec() -> EngineSpec {
    EngineSpec {
        prefill_rate: 20_000_000.0,
        prefill_chunk_tokens: 100_000,
        decode_base: Duration::from_micros(200),
        decode_per_request: Duration::ZERO,
        memory_tokens: 2_000_000,
        warm_limit: 512,
        starts_cold: false,
        ..EngineSpec::default()
    }
}

fn engine(executor: &Executor, spec: EngineSpec) -> StandinServer<EngineStandin> {
    EngineStandin::bind(executor, any_port(), spec, None).unwrap()
}

fn request(path: &str, attempt: &str, body: String) -> Request<Body> {
    Request::post(path)
        .header("host", "engine")
        .header("x-attempt-id", attempt)
        .body(Body::full(body))
        .unwrap()
}

async fn post(
    client: &HttpClient,
    peer: SocketAddr,
    path: &str,
    attempt: &str,
    body: Value,
) -> Option<(u16, String)> {
    let req = request(path, attempt, body.to_string());
    let (status, body) = client
        .fetch(peer, req, MAX_RESPONSE_BYTES, CALL_TIMEOUT)
        .await
        .ok()?;
    Some((status.as_u16(), String::from_utf8(body.to_vec()).unwrap()))
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        futures_lite::future::yield_now().await;
    }
}

#[test]
fn answers_follow_from_the_prompt_in_all_forms() {
    Executor::run(2, |executor| async move {
        let client = HttpClient::new(executor.clone());
        let engine = engine(&executor, fast_spec());
        let peer = engine.local_addr();
        let body = json!({"prompt": "hake", "max_tokens": 5});
        let full_response = post(&client, peer, "/v1/completions", "a", body)
            .await
            .unwrap();
        let expected = Completion::new(CompletionApi::Text, "hake", 5);
        assert_eq!(full_response, (200, expected.body()));
        let chat = json!({"messages": [{"role": "user", "content": "hake"}], "max_tokens": 5, "stream": true});
        let stream_response = post(&client, peer, "/v1/chat/completions", "b", chat)
            .await
            .unwrap();
        let expected = Completion::new(CompletionApi::Chat, "hake", 5);
        assert_eq!(stream_response, (200, expected.stream_body()));
        assert!(serde_json::from_str::<Value>(&full_response.1).is_ok());
    });
}

#[test]
fn a_million_tokens_and_hundreds_at_once() {
    Executor::run(4, |executor| async move {
        let client = HttpClient::new(executor.clone());
        let engine = engine(&executor, fast_spec());
        let peer = engine.local_addr();
        let long = "x".repeat(4_000_000);
        let body = json!({"prompt": long, "max_tokens": 2});
        assert_eq!(
            post(&client, peer, "/v1/completions", "long", body)
                .await
                .unwrap()
                .0,
            200
        );
        let calls: Vec<_> = (0..400)
            .map(|n| {
                let client = client.clone();
                let body = json!({"prompt": format!("p{n}"), "max_tokens": 20, "stream": true});
                executor.spawn(async move {
                    post(&client, peer, "/v1/completions", &format!("s{n}"), body).await
                })
            })
            .collect();
        for (n, call) in calls.into_iter().enumerate() {
            let expected = Completion::new(CompletionApi::Text, &format!("p{n}"), 20);
            assert_eq!(call.await, Some((200, expected.stream_body())));
        }
        assert_eq!(engine.counts()["finished"], 401);
        assert_eq!(engine.counts()["request_tokens"], 0);
    });
}

#[test]
fn leaving_frees_the_memory() {
    Executor::run(2, |executor| async move {
        let client = HttpClient::new(executor.clone());
        let spec = EngineSpec {
            decode_base: Duration::from_millis(5),
            ..fast_spec()
        };
        let engine = engine(&executor, spec);
        let peer = engine.local_addr();
        let body = json!({"prompt": "hake", "max_tokens": 100_000, "stream": true}).to_string();
        let response = client
            .send(peer, request("/v1/completions", "a", body))
            .await
            .unwrap();
        let mut stream = response.into_body();
        assert!(stream.frame().await.is_some());
        assert_eq!(engine.counts()["request_tokens"], 100_001);
        drop(stream);
        wait_until(|| engine.counts()["request_tokens"] == 0).await;
        let unstreamed = json!({"prompt": "cod", "max_tokens": 100_000}).to_string();
        let call = executor.spawn({
            let client = client.clone();
            async move {
                client
                    .send(peer, request("/v1/completions", "b", unstreamed))
                    .await
                    .is_ok()
            }
        });
        wait_until(|| engine.counts()["request_tokens"] == 100_001).await;
        drop(call);
        wait_until(|| engine.counts()["cancelled"] == 2).await;
    });
}

#[test]
fn a_cut_and_a_fall_break_answers_off() {
    Executor::run(2, |executor| async move {
        let client = HttpClient::new(executor.clone());
        let spec = EngineSpec {
            decode_base: Duration::from_millis(5),
            ..fast_spec()
        };
        let engine = engine(&executor, spec);
        let peer = engine.local_addr();
        let changes = [
            FaultChange {
                cut: Some(true),
                ..FaultChange::default()
            },
            FaultChange {
                cut: Some(false),
                down: Some(true),
                ..FaultChange::default()
            },
        ];
        for (n, change) in changes.into_iter().enumerate() {
            let body = json!({"prompt": "hake", "max_tokens": 100_000, "stream": true}).to_string();
            let response = client
                .send(peer, request("/v1/completions", &n.to_string(), body))
                .await;
            let mut stream = response.unwrap().into_body();
            assert!(stream.frame().await.unwrap().is_ok());
            engine.change_faults(&change);
            let mut frame = stream.frame().await.unwrap();
            while frame.is_ok() {
                frame = stream.frame().await.unwrap();
            }
            engine.change_faults(&FaultChange {
                cut: Some(false),
                ..FaultChange::default()
            });
        }
        let refused = post(&client, peer, "/v1/completions", "c", json!({"prompt": ""})).await;
        assert_eq!(
            refused,
            Some((503, r#"{"error":"down","ran":false}"#.into()))
        );
    });
}

#[test]
fn segments_import_and_orders_load_through_the_weight_store() {
    Executor::run(2, |executor| async move {
        let client = HttpClient::new(executor.clone());
        let first = engine(&executor, fast_spec());
        let spec = WeightStoreSpec {
            bytes: 1,
            ..WeightStoreSpec::default()
        };
        let weights = WeightStoreStandin::bind(&executor, any_port(), spec).unwrap();
        let second = EngineStandin::bind(
            &executor,
            any_port(),
            fast_spec(),
            Some(weights.local_addr()),
        )
        .unwrap();
        for (engine, grant) in [(&first, "g0"), (&second, "g1")] {
            let body = json!({"grant": grant, "tokens": 1000});
            let reserved = post(&client, engine.local_addr(), "/engine/reserve", "", body).await;
            assert_eq!(reserved.unwrap().0, 200);
        }
        let first_segment = json!({"grant": "g0", "segment": 0, "from": 0, "to": 1000, "import_from": null, "import_grant": null});
        assert_eq!(
            post(
                &client,
                first.local_addr(),
                "/engine/segment",
                "",
                first_segment
            )
            .await
            .unwrap()
            .0,
            200
        );
        let second_segment = json!({"grant": "g1", "segment": 1, "from": 1000, "to": 2000,
            "import_from": first.local_addr(), "import_grant": "g0"});
        assert_eq!(
            post(
                &client,
                second.local_addr(),
                "/engine/segment",
                "",
                second_segment
            )
            .await
            .unwrap()
            .0,
            200
        );
        let order = json!({"fence": 3, "by": "agent", "order": {"load": "drafting@2"}});
        let peer = second.local_addr();
        assert_eq!(
            post(&client, peer, "/engine/order", "", order)
                .await
                .unwrap()
                .0,
            200
        );
        wait_until(|| weights.counts()["reads"] == 1).await;
        let stale_order = json!({"fence": 2, "by": "agent", "order": {"role": "prefill"}});
        assert_eq!(
            post(&client, peer, "/engine/order", "", stale_order)
                .await
                .unwrap()
                .0,
            412
        );
    });
}
