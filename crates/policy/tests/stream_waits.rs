//! How long the events of a stream are waited for.

use policy::{Route, RouteKind, first_event_wait, silence_limit};
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn route(target_latency: Duration, target_gap: Duration) -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/r/".into(),
        kind: RouteKind::Stream { resumable: true },
        timeout: ms(10_000),
        target_latency,
        target_gap,
        rank: 1,
        split: vec![("x".into(), 1)],
        max_attempts: 2,
        anonymous: false,
    }
}

/// Callers leave after 2 s, four targets or eight gaps; another server needs half of that.
#[test]
fn a_server_without_figures_has_half_of_the_callers_patience() {
    assert_eq!(first_event_wait(&route(ms(300), ms(200)), None), ms(1_000));
    assert_eq!(
        first_event_wait(&route(ms(3_000), ms(200)), None),
        ms(6_000)
    );
    assert_eq!(first_event_wait(&route(ms(300), ms(800)), None), ms(3_200));
}

#[test]
fn an_engine_has_a_multiple_of_its_forecast() {
    let route = route(ms(1_000), ms(200));
    assert_eq!(first_event_wait(&route, Some(ms(100))), ms(1_700));
    assert_eq!(first_event_wait(&route, Some(ms(500))), ms(1_950));
    assert_eq!(first_event_wait(&route, Some(ms(5_000))), ms(2_000));
}

#[test]
fn silence_follows_the_gaps_of_the_route() {
    assert_eq!(silence_limit(&route(ms(300), ms(200))), ms(900));
    assert_eq!(silence_limit(&route(ms(300), ms(800))), ms(2_400));
}
