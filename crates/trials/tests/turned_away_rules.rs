//! The checker of the soak of a store that turns gateways away: broken guarantees, which it must report, and
//! what it must not.

use std::time::{Duration, Instant};
use trials::{
    APPLY_BOUND, AnsweredProbe, ClientCall, ClientRequest, ClientResponse, Ending, Part, Probe,
    TurnedAwayTally, Upset, UpsetKind,
};

/// Probes of each kind in a case.
const PROBES: usize = 100;

/// What a gateway answers, and how it and another one are disturbed.
#[derive(Default)]
struct Case {
    /// Status of confirmed routes and standing ones.
    confirmed: u16,
    /// Status of unknown routes; unknown keys get 401 instead of 404.
    unknown: u16,
    /// Status of a route that was removed.
    removed: u16,
    /// Whether a 503 says when to come back.
    has_no_retry_after: bool,
    /// A disturbance of the gateway, which ends so many seconds before the probes.
    own: Option<(UpsetKind, f64)>,
    /// A disturbance of another gateway, during the probes.
    other: Option<UpsetKind>,
}

fn probe_of(probe: Probe, status: u16, at: Instant, case: &Case) -> (Probe, ClientCall) {
    let request = ClientRequest {
        id: "probe-1".into(),
        path: "/new-0/x".into(),
        key: "key-1".into(),
        prompt: 10,
        last_event_id: None,
        time_limit: Duration::from_secs(2),
    };
    let response = ClientResponse {
        status,
        retry_after: (!case.has_no_retry_after).then_some(0.5),
        ..ClientResponse::default()
    };
    let call = ClientCall {
        request,
        gateway: 0,
        is_kept: false,
        connected_at: at,
        sent_at: at,
        ended_at: at + Duration::from_millis(5),
        ending: Ending::Answered(response),
    };
    (probe, call)
}

fn violations(case: &Case) -> Vec<String> {
    let start = Instant::now() + Duration::from_secs(100);
    let long_ago = start - Duration::from_secs(60);
    let part = |number, removed| Part {
        number,
        added_at: start - APPLY_BOUND - Duration::from_millis(1),
        removed,
    };
    let parts = [part(0, None), part(1, Some((long_ago, long_ago)))];
    let own = case.own.map(|(kind, seconds)| Upset {
        kind,
        from: start - Duration::from_secs(20),
        until: Some(start - Duration::from_secs_f64(seconds)),
    });
    let other = case.other.map(|kind| Upset {
        kind,
        from: start,
        until: None,
    });
    let upsets = [
        own.into_iter().collect::<Vec<_>>(),
        other.into_iter().collect(),
    ];
    let unknown_key = if case.unknown == 404 {
        401
    } else {
        case.unknown
    };
    let kinds = [
        (Probe::Route(0), case.confirmed),
        (Probe::Standing, case.confirmed),
        (Probe::UnknownRoute, case.unknown),
        (Probe::UnknownKey, unknown_key),
        (Probe::Route(1), case.removed),
    ];
    let mut probes = Vec::new();
    for (probe, status) in kinds {
        probes.extend((0..PROBES).map(|_| probe_of(probe, status, start, case)));
    }
    let mut tally = TurnedAwayTally::new(&parts, &upsets, APPLY_BOUND);
    for (probe, call) in &probes {
        tally.record(AnsweredProbe {
            probe: *probe,
            call,
            runs: 0,
        });
    }
    tally.violations(case.own.is_none() && case.other.is_none())
}

fn check(case: &Case, expected: &[&str]) {
    let found = violations(case);
    assert_eq!(found.len(), expected.len(), "{found:?}");
    for (text, expected) in found.iter().zip(expected) {
        assert!(text.contains(expected), "{found:?}");
    }
}

const SOUND: Case = Case {
    confirmed: 200,
    unknown: 404,
    removed: 404,
    has_no_retry_after: false,
    own: None,
    other: None,
};
const AWAY: Option<(UpsetKind, f64)> = Some((UpsetKind::Link, 1.0));
const STARTED: Option<(UpsetKind, f64)> = Some((UpsetKind::Process, 1.0));

macro_rules! verdicts {
    ($($name:ident: $case:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                check(&$case, &$expected);
            }
        )*
    };
}

verdicts! {
    answers_of_a_calm_gateway_are_sound: SOUND => [];
    refusals_in_calm_were_not_reported: Case { confirmed: 404, ..SOUND }
        => ["requests for confirmed parts", "for what all versions allow", "confirmed parts in calm"];
    a_503_for_all_in_calm_was_not_reported: Case { confirmed: 503, unknown: 503, removed: 503, ..SOUND }
        => ["confirmed parts in calm", "unknown parts in calm"];
    a_503_for_unknown_parts_in_calm_was_not_reported: Case { unknown: 503, ..SOUND }
        => ["unknown parts in calm"];
    unknown_parts_that_are_served_were_not_reported: Case { unknown: 200, ..SOUND }
        => ["served, though no version has it", "unknown parts in calm"];
    removed_parts_that_run_in_touch_were_not_reported: Case { removed: 200, ..SOUND }
        => ["run by a route removed"];
    refusals_of_a_gateway_that_was_turned_away_were_not_reported: Case { confirmed: 404, own: AWAY, ..SOUND }
        => ["requests for confirmed parts", "for what all versions allow"];
    a_503_of_a_gateway_that_was_turned_away_is_sound:
        Case { confirmed: 503, unknown: 503, removed: 503, own: AWAY, ..SOUND } => [];
    a_503_without_a_time_to_come_back_was_not_reported:
        Case { unknown: 503, has_no_retry_after: true, own: AWAY, ..SOUND } => ["without a retry-after"];
    removed_parts_that_run_out_of_touch_are_counted_only: Case { removed: 200, own: AWAY, ..SOUND } => [];
    newest_parts_that_are_not_served_after_the_return_were_not_reported:
        Case { confirmed: 503, own: Some((UpsetKind::Link, 2.5)), ..SOUND }
        => ["newest parts after the store's return"];
    added_parts_that_are_refused_right_after_a_start_are_sound:
        Case { confirmed: 503, unknown: 503, own: STARTED, ..SOUND } => [];
    refusals_of_what_all_versions_allow_right_after_a_start_were_not_reported:
        Case { confirmed: 404, own: STARTED, ..SOUND } => ["for what all versions allow"];
    a_503_for_unknown_parts_while_another_is_disturbed_is_sound:
        Case { unknown: 503, other: Some(UpsetKind::Link), ..SOUND } => [];
}
