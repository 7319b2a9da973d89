//! The check for requests that reach servers which they should not: what it must report, and what it must not.

use std::time::{Duration, Instant};
use trials::{
    ClientCall, ClientRequest, Ending, Upset, UpsetKind, Withdrawal, requests_after_withdrawal,
};

const BOUND: Duration = Duration::from_secs(2);

/// A request that reaches a server, which is withdrawn 20 s after the start of the soak.
struct Case {
    /// Seconds after the withdrawal.
    reached: f64,
    /// Whether it is the server that is withdrawn.
    is_withdrawn: bool,
    /// Seconds after the withdrawal at which it is taken back.
    taken_back: Option<f64>,
    /// A disturbance of the gateway, from and to these seconds after the withdrawal.
    upset: Option<(f64, f64)>,
}

const LATE: Case = Case {
    reached: 2.1,
    is_withdrawn: true,
    taken_back: None,
    upset: None,
};

fn violations(case: &Case) -> usize {
    let from = Instant::now() + Duration::from_secs(20);
    let after = |seconds: f64| {
        let base = from - Duration::from_secs(20);
        base + Duration::from_secs_f64(seconds + 20.0)
    };
    let at = after(case.reached);
    let request = ClientRequest {
        id: "probe-1".into(),
        path: "/lookup/x".into(),
        key: "key-1".into(),
        prompt: 10,
        last_event_id: None,
        time_limit: Duration::from_secs(2),
    };
    let call = ClientCall {
        request,
        gateway: 0,
        is_kept: false,
        connected_at: at,
        sent_at: at,
        ended_at: at,
        ending: Ending::NotSent,
    };
    let withdrawal = Withdrawal {
        rule: "DRAIN",
        servers: vec![1],
        bound: BOUND,
        from,
        until: case.taken_back.map(after),
    };
    let upsets = case.upset.map(|(from, until)| Upset {
        kind: UpsetKind::Process,
        from: after(from),
        until: Some(after(until)),
    });
    let mut received = vec![Vec::new(), Vec::new()];
    received[usize::from(case.is_withdrawn)].push(("probe-1".into(), at));
    let upsets = [upsets.into_iter().collect()];
    requests_after_withdrawal(&[withdrawal], &received, &[&call], &upsets).len()
}

macro_rules! reports {
    ($($name:ident: $expected:literal, $case:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(violations(&$case), $expected);
        }
    )*};
}

reports! {
    a_late_request: 1, LATE;
    a_request_within_the_bound: 0, Case { reached: 1.9, ..LATE };
    a_request_before_the_withdrawal: 0, Case { reached: -1.0, ..LATE };
    a_request_at_another_server: 0, Case { is_withdrawn: false, ..LATE };
    a_request_before_it_is_taken_back: 1, Case { reached: 8.0, taken_back: Some(8.5), ..LATE };
    a_request_after_it_was_taken_back: 0, Case { reached: 8.6, taken_back: Some(8.5), ..LATE };
    a_gateway_that_was_frozen: 0, Case { reached: 4.0, upset: Some((0.0, 1.5)), ..LATE };
    a_gateway_that_was_frozen_long_ago: 1, Case { reached: 6.0, upset: Some((0.0, 1.5)), ..LATE };
}
