//! Tests of the table and service stand-ins through their HTTP APIs, with injected faults.

use hyper::Request;
use runtime::{Body, Executor, HttpClient};
use standins::{
    FaultChange, ServiceSpec, ServiceStandin, Standin, StandinServer, TableRefusal, TableSim,
    TableSpec, TableStandin, TableWrite,
};
use std::net::SocketAddr;
use std::time::Duration;

const MAX_RESPONSE_BYTES: usize = 1 << 20;
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

async fn post(
    client: &HttpClient,
    peer: SocketAddr,
    path: &str,
    body: &str,
) -> Option<(u16, String)> {
    let req = Request::post(path)
        .header("host", "standin")
        .header("idempotency-key", "k")
        .body(Body::full(body.to_owned()))
        .unwrap();
    let (status, body) = client
        .fetch(peer, req, MAX_RESPONSE_BYTES, CALL_TIMEOUT)
        .await
        .ok()?;
    Some((status.as_u16(), String::from_utf8(body.to_vec()).unwrap()))
}

fn change_faults<S: Standin>(server: &StandinServer<S>, change: FaultChange) {
    server.change_faults(&change);
}

#[test]
fn table_commits_and_keeps_conditions() {
    Executor::run(2, |executor| async move {
        let client = HttpClient::new(executor.clone());
        let table = TableStandin::bind(&executor, any_port()).unwrap();
        let peer = table.local_addr();
        let insert =
            r#"{"conditions":[{"key":"a","version":0}],"writes":[{"key":"a","value":"x"}]}"#;
        let first = post(&client, peer, "/v1/commit", insert).await.unwrap();
        let second = post(&client, peer, "/v1/commit", insert).await.unwrap();
        assert_eq!(first, (200, r#"{"versions":[1]}"#.into()));
        assert_eq!(second, (409, r#"{"conflict":"a"}"#.into()));
        let rows = post(&client, peer, "/v1/read", r#"{"keys":["a","b"]}"#)
            .await
            .unwrap();
        assert_eq!(rows.1, r#"{"rows":[{"key":"a","value":"x","version":1}]}"#);
    });
}

#[test]
fn lost_answer_takes_effect_and_a_cut_does_not() {
    Executor::run(2, |executor| async move {
        let client = HttpClient::new(executor.clone());
        let service = ServiceStandin::bind(&executor, any_port(), ServiceSpec::default()).unwrap();
        let peer = service.local_addr();
        change_faults(
            &service,
            FaultChange {
                cut: Some(true),
                ..FaultChange::default()
            },
        );
        assert_eq!(post(&client, peer, "/labels", "{}").await, None);
        assert_eq!(service.standin().service_counts().calls, 0);
        let lose = FaultChange {
            cut: Some(false),
            lose_answers: Some(true),
            ..FaultChange::default()
        };
        change_faults(&service, lose);
        assert_eq!(post(&client, peer, "/labels", "{}").await, None);
        change_faults(
            &service,
            FaultChange {
                lose_answers: Some(false),
                ..FaultChange::default()
            },
        );
        assert!(post(&client, peer, "/labels", "{}").await.is_some());
        assert_eq!(service.standin().service_counts().duplicate_runs, 1);
    });
}

#[test]
fn frozen_call_waits_for_the_thaw_and_faults_switch_over_http() {
    Executor::run(2, |executor| async move {
        let client = HttpClient::new(executor.clone());
        let table = TableStandin::bind(&executor, any_port()).unwrap();
        let peer = table.local_addr();
        let frozen = post(&client, peer, "/standin/faults", r#"{"frozen":true}"#).await;
        assert_eq!(frozen.unwrap().0, 200);
        let caller = client.clone();
        let call = executor
            .spawn(async move { post(&caller, peer, "/v1/read", r#"{"keys":["a"]}"#).await });
        assert_eq!(table.standin().table().counts().reads, 0);
        post(&client, peer, "/standin/faults", r#"{"frozen":false}"#)
            .await
            .unwrap();
        assert_eq!(call.await.unwrap().0, 200);
        post(&client, peer, "/standin/faults", r#"{"down":true}"#)
            .await
            .unwrap();
        assert_eq!(
            post(&client, peer, "/v1/read", r#"{"keys":["a"]}"#)
                .await
                .unwrap()
                .0,
            503
        );
    });
}

#[test]
fn table_model_throttles_and_never_reuses_a_version() {
    let spec = TableSpec {
        writes_per_second: 2.0,
        ..TableSpec::default()
    };
    let mut table = TableSim::new(spec);
    let set = |value: Option<&str>| {
        [TableWrite {
            key: "a".into(),
            value: value.map(Into::into),
        }]
    };
    assert_eq!(
        table.commit(Duration::ZERO, &[], &set(Some("x"))),
        Ok(vec![1])
    );
    assert_eq!(table.commit(Duration::ZERO, &[], &set(None)), Ok(vec![0]));
    assert_eq!(
        table.commit(Duration::ZERO, &[], &set(Some("y"))),
        Err(TableRefusal::RateLimited)
    );
    let later = Duration::from_secs(1);
    assert_eq!(table.commit(later, &[], &set(Some("y"))), Ok(vec![2]));
    assert_eq!(table.counts().throttled, 1);
}
