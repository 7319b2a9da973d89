//! Until when a process that ends accepts, starts and answers requests.

mod engine;

use engine::model;
use policy::{CallTimes, Drain, LateCall, LateStream, PromptRequirements, QueuedPrompt};
use std::time::Duration;

const START: Duration = ms(60_000);
const GRACE: Duration = ms(8_000);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn drain() -> Drain {
    Drain::new(START, GRACE)
}

/// A call that may run until long after the process has ended.
fn call(expected: Duration, is_idempotent: bool) -> LateCall {
    LateCall {
        expected,
        deadline: START + ms(60_000),
        is_idempotent,
    }
}

fn times(taken: &[u64]) -> CallTimes {
    let mut times = CallTimes::default();
    for millis in taken {
        times.record("route", "service", ms(*millis));
    }
    times
}

fn prompt(expected_output_tokens: u64, deadline: Duration) -> QueuedPrompt {
    QueuedPrompt {
        id: 1,
        rank: 1,
        team: 0,
        is_retry: false,
        request: PromptRequirements {
            prompt_tokens: 10_000,
            expected_output_tokens,
            first_event_target: ms(300),
            event_gap_target: ms(200),
            waited: ms(0),
            remaining: deadline - START,
        },
        queued_at: START,
        deadline,
    }
}

macro_rules! cases {
    ($($name:ident => $test:expr;)*) => {
        $(
            #[test]
            fn $name() {
                $test
            }
        )*
    };
}

cases! {
    whole_answers_are_not_expected_to_take_as_long_as_streams => {
        let mut times = times(&[10]);
        times.record_stream("stream", ms(30_000));
        assert_eq!(times.expected_stream("stream"), Some(ms(90_000)));
        assert_eq!(times.expected("lookup", "service"), Some(ms(30)));
        assert_eq!(times.expected_stream("other"), None);
    };
    // SIGTERM was taken for one sent when it was handled, however long the process had stood still.
    a_signal_that_is_handled_late_was_sent_after_the_last_check => {
        let last_check = START - ms(1_000);
        assert_eq!(Drain::earliest_start(last_check, START, GRACE), last_check);
        for age in [0, 10, 250, 340] {
            assert_eq!(Drain::earliest_start(START - ms(age), START, GRACE), START, "{age}");
        }
    };
    // A process that had stood still for longer ended at once, with calls that had time left.
    a_signal_was_sent_within_the_grace_period => {
        for age in [GRACE, GRACE + ms(1), 3 * GRACE] {
            assert_eq!(Drain::earliest_start(START - age, START, GRACE), START, "{age:?}");
        }
        let last_check = START - GRACE + ms(1);
        assert_eq!(Drain::earliest_start(last_check, START, GRACE), last_check);
    };
    a_process_that_stood_still_at_its_end_has_time_for_what_was_due => {
        let drain = drain();
        assert_eq!(drain.overtime(drain.end), ms(0));
        assert_eq!(drain.overtime(drain.end + ms(50)), ms(0));
        let late = drain.end + ms(200);
        assert!(drain.overtime(late) >= ms(100), "{drain:?}");
        let kill = START + GRACE;
        assert!(late + drain.overtime(late) < kill, "{drain:?}");
        // Replies that are due are given for as long as SIGKILL has not come.
        for late in [ms(350), ms(400), ms(5_000)] {
            let overtime = drain.overtime(drain.end + late);
            assert!(overtime >= ms(100) && overtime < ms(200), "{late:?}: {overtime:?}");
        }
    };
    the_steps_of_a_drain_come_in_order => {
        for grace in [ms(100), ms(1_000), ms(6_000), GRACE, ms(60_000)] {
            let drain = Drain::new(START, grace);
            let steps = [START, drain.accept_end, drain.last_reply, drain.streams_end, drain.end];
            assert!(steps.is_sorted_by(|a, b| a < b), "{drain:?}");
            assert!(drain.end < START + grace, "{drain:?}");
        }
    };
    the_steps_of_a_drain_without_a_kill_come_in_order => {
        for (accept, time) in [(0, 2_000), (1_000, 601_000), (3_000, 2_000), (0, 1)] {
            let drain = Drain::within(START, ms(accept), ms(time));
            let steps = [START, drain.last_reply, drain.streams_end, drain.end];
            assert!(steps.is_sorted(), "{drain:?}");
            assert_eq!(drain.accept_end, START + ms(accept.min(time)));
            assert_eq!(drain.end, START + ms(time));
        }
    };
    accepting_lasts_until_the_load_balancer_has_seen_two_failed_probes => {
        assert!(drain().accept_end > START + ms(2_000));
    };
    there_is_time_to_send_last_replies => {
        let drain = drain();
        assert!(drain.end - drain.last_reply >= ms(200));
    };
    calls_start_only_if_they_can_end => {
        let drain = drain();
        let expected = ms(1_000);
        let latest = drain.last_reply - expected;
        assert!(drain.may_start(&call(expected, true), latest));
        assert!(!drain.may_start(&call(expected, true), latest + ms(1)));
    };
    calls_that_may_run_once_start_only_if_they_can_end_well_before => {
        let drain = drain();
        let expected = ms(1_000);
        assert!(!drain.may_start(&call(expected, false), drain.last_reply - ms(1_500)));
        assert!(drain.may_start(&call(expected, false), drain.last_reply - ms(2_500)));
    };
    calls_start_if_their_deadline_is_in_time => {
        let drain = drain();
        let call = LateCall { deadline: drain.last_reply, ..call(ms(9_000), false) };
        assert!(drain.may_start(&call, START));
        let call = LateCall { deadline: drain.last_reply + ms(1), ..call };
        assert!(!drain.may_start(&call, START));
    };
    nothing_is_expected_of_services_without_calls => {
        assert_eq!(times(&[10]).expected("other", "unknown"), None);
    };
    calls_of_routes_without_calls_are_expected_to_take_as_long_as_others_of_their_service => {
        let mut times = times(&[50; 50]);
        times.record("slow", "service", ms(5_000));
        let expected = |route| times.expected(route, "service").unwrap();
        assert!(expected("route") < ms(60), "its own calls count: {:?}", expected("route"));
        assert!(expected("other") > ms(4_000), "{:?}", expected("other"));
    };
    // All measurements were dropped as soon as there were more routes.
    routes_without_calls_for_long_make_room_for_others => {
        let mut times = times(&[10]);
        times.record("idle", "other", ms(10));
        for n in 0..5_000 {
            times.record(&format!("route-{n}"), "service", ms(10));
            times.record("route", "service", ms(10));
        }
        let is_kept = |route: &str| times.expected(route, "unknown").is_some();
        assert!(is_kept("route"));
        assert!(!is_kept("idle"));
        let kept = (0..5_000).map(|n| is_kept(&format!("route-{n}")));
        let kept: Vec<_> = kept.collect();
        assert!(kept.is_sorted(), "the first ones are gone");
        assert_eq!(kept.iter().filter(|kept| **kept).count(), 4_095);
    };
    calls_are_expected_to_take_longer_than_the_mean => {
        let expected = times(&[40, 60].repeat(50)).expected("route", "service").unwrap();
        assert!(expected > ms(60) && expected < ms(120), "{expected:?}");
    };
    calls_of_steady_length_are_expected_to_take_as_long => {
        let expected = times(&[50; 50]).expected("route", "service").unwrap();
        assert!(expected >= ms(49) && expected < ms(60), "{expected:?}");
    };
    calls_that_become_slow_are_expected_to_be_slow_at_once => {
        let expected = times(&[&[10; 50][..], &[5_000]].concat()).expected("route", "service").unwrap();
        assert!(expected > ms(4_000), "{expected:?}");
    };
    calls_that_become_fast_are_expected_to_be_fast_again => {
        let expected = times(&[&[5_000][..], &[10; 50]].concat()).expected("route", "service").unwrap();
        assert!(expected < ms(100), "{expected:?}");
    };
    a_prompt_has_to_start_so_early_that_its_answer_ends => {
        let limits = [100, 800, 4_000].map(|tokens| {
            let prompt = prompt(tokens, START + ms(15_000));
            let limited = drain().limit_prompt(&model(), &prompt);
            assert_eq!(limited.deadline, drain().streams_end - model().decode_time(&prompt.request));
            limited.deadline
        });
        assert!(limits.is_sorted_by(|a, b| a > b), "{limits:?}");
    };
    streams_start_only_if_they_can_end => {
        let (drain, forecast) = (drain(), ms(1_000));
        let stream = LateStream { forecast };
        let latest = drain.streams_end - forecast;
        assert!(drain.may_stream(&stream, latest));
        assert!(!drain.may_stream(&stream, latest + ms(1)));
    };
    // Those that were expected to take less than half of the time left were started, and cut at slow engines.
    streams_that_are_read_after_the_end_of_accepting_do_not_start => {
        let drain = drain();
        assert!(drain.takes_streams(START));
        assert!(drain.takes_streams(drain.accept_end));
        assert!(!drain.takes_streams(drain.accept_end + ms(1)));
    };
    an_answer_longer_than_the_drain_cannot_start => {
        let prompt = prompt(1_000_000, START + ms(15_000));
        let limited = drain().limit_prompt(&model(), &prompt);
        assert!(limited.would_miss_deadline(&model(), 16, START));
    };
    a_drain_gives_no_prompt_more_time => {
        let prompt = prompt(100, START + ms(500));
        assert_eq!(drain().limit_prompt(&model(), &prompt).deadline, prompt.deadline);
    };
}
