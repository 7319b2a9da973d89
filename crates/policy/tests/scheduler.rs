//! Decisions of a backend server's scheduler.

use policy::prelude::*;
use policy::{
    AbortReason, EngineReport, Scheduler, SchedulerAction, SchedulerConfig, SchedulerEvent,
    ServerSettings,
};
use proto::{RefusalReason, Warmth};

/// Time at which [`Harness::warm`] has finished warming up.
const WARM_AT: Duration = Duration::from_secs(15);
const SECOND: Duration = Duration::from_secs(1);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn settings() -> ServerSettings {
    ServerSettings {
        config: 1,
        epoch: 1,
        warm_limit: 32,
        cold_limit: 2,
        prefill_rate: None,
        decode_interval: None,
        memory_tokens: Some(400_000),
        can_suspend: true,
        ..ServerSettings::default()
    }
}

fn job(n: u128, team: &str, prompt_tokens: u64) -> Job {
    Job {
        attempt: AttemptId {
            request: n,
            number: 1,
        },
        team: team.into(),
        weight: 100,
        model: Some("m".into()),
        prompt_tokens,
        output_tokens: 100,
        cached_tokens: 0,
        has_span_grant: false,
        deadline: Duration::from_secs(75),
    }
}

struct Harness {
    scheduler: Scheduler,
}

impl Harness {
    fn cold() -> Self {
        let cfg = SchedulerConfig::for_server("s");
        let mut harness = Self {
            scheduler: Scheduler::new(cfg),
        };
        harness.send(Duration::ZERO, SchedulerEvent::SettingsChanged(settings()));
        harness
    }

    /// A server that has reached its warm limit with answers of normal latency.
    fn warm() -> Self {
        let mut harness = Self::cold();
        for n in 0..200 {
            harness.offer(Duration::ZERO, job(1_000_000 + n, "warm-up", 1000));
        }
        for step in 0..200 {
            let attempt = job(1_000_000 + step, "", 0).attempt;
            let now = at(100 + step as u64 * 50);
            harness.send(now, SchedulerEvent::FirstToken(attempt));
            if step >= 30 {
                let attempt = job(1_000_000 + step - 30, "", 0).attempt;
                harness.send(now, SchedulerEvent::Ended { attempt, ok: true });
            }
        }
        for step in 170..200 {
            let attempt = job(1_000_000 + step, "", 0).attempt;
            harness.send(WARM_AT, SchedulerEvent::Ended { attempt, ok: true });
        }
        harness
    }

    fn send(&mut self, now: Duration, event: SchedulerEvent) -> Vec<SchedulerAction> {
        let mut out = Vec::new();
        self.scheduler.handle(now, event, &mut out);
        out
    }

    fn offer(&mut self, now: Duration, job: Job) -> Vec<SchedulerAction> {
        let attempt = job.attempt;
        let mut out = self.send(now, SchedulerEvent::Offer(job));
        out.extend(self.send(now, SchedulerEvent::BodyComplete(attempt)));
        out
    }
}

fn dispatched(actions: &[SchedulerAction]) -> Vec<u128> {
    actions
        .iter()
        .filter_map(|action| match action {
            SchedulerAction::Dispatch { attempt, .. } => Some(attempt.request),
            _ => None,
        })
        .collect()
}

fn refusals(actions: &[SchedulerAction]) -> Vec<RefusalReason> {
    actions
        .iter()
        .filter_map(|action| match action {
            SchedulerAction::Refuse { refusal, .. } => Some(refusal.reason),
            _ => None,
        })
        .collect()
}

#[test]
fn presumes_cold_start() {
    let mut harness = Harness::cold();
    let mut started = 0;
    for n in 0..10 {
        started += dispatched(&harness.offer(Duration::ZERO, job(n, "a", 1000))).len();
    }
    assert_eq!(started, 2);
    assert_eq!(harness.scheduler.hints(Duration::ZERO).warmth, Warmth::Cold);
}

#[test]
fn rises_with_evidence() {
    let mut harness = Harness::warm();
    let hints = harness.scheduler.hints(WARM_AT);
    assert_eq!((hints.warmth, hints.limit), (Warmth::Warm, 32));
}

/// Sends a sign of a fallback to cold start to a warm server with queued jobs: the limit drops and
/// no job is dispatched.
macro_rules! falls_back {
    ($($name:ident: $now:expr, $event:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut harness = Harness::warm();
            for n in 0..3 {
                harness.offer(WARM_AT, job(n, "a", 1000));
            }
            for n in 3..40 {
                harness.offer(WARM_AT, job(n, "a", 4000));
            }
            let actions = harness.send($now, $event);
            assert_eq!(dispatched(&actions), Vec::<u128>::new());
            let hints = harness.scheduler.hints($now);
            assert!(hints.warmth == Warmth::Cold && hints.limit <= 2);
            for n in 50..60 {
                let actions = harness.offer($now, job(n, "a", 1000));
                assert_eq!(dispatched(&actions), Vec::<u128>::new());
            }
        }
    )*};
}

falls_back! {
    falls_back_on_report: WARM_AT, SchedulerEvent::Report(EngineReport { cold: Some(true), ..EngineReport::default() });
    falls_back_on_rejection: WARM_AT, SchedulerEvent::Rejected(job(0, "", 0).attempt);
    falls_back_on_slow_prefill: WARM_AT + SECOND, SchedulerEvent::FirstToken(job(0, "", 0).attempt);
    falls_back_on_overdue_prefill: WARM_AT + SECOND, SchedulerEvent::Tick;
    falls_back_on_broken_answer: WARM_AT, SchedulerEvent::Ended { attempt: job(0, "", 0).attempt, ok: false };
}

#[test]
fn refuses_at_once_what_cannot_finish() {
    let mut harness = Harness::cold();
    let mut too_long = job(1, "a", 300_000);
    too_long.deadline = Duration::from_secs(5);
    let actions = harness.send(Duration::ZERO, SchedulerEvent::Offer(too_long));
    assert_eq!(refusals(&actions), [RefusalReason::TooLate]);
}

#[test]
fn refuses_what_never_fits() {
    let mut harness = Harness::cold();
    let actions = harness.send(Duration::ZERO, SchedulerEvent::Offer(job(1, "a", 390_000)));
    assert_eq!(refusals(&actions), [RefusalReason::NoMemory]);
}

#[test]
fn keeps_memory_from_long_prompts() {
    let mut harness = Harness::warm();
    assert_eq!(
        dispatched(&harness.offer(WARM_AT, job(1, "a", 200_000))),
        [1]
    );
    harness.send(
        WARM_AT + SECOND * 10,
        SchedulerEvent::FirstToken(job(1, "", 0).attempt),
    );
    let second = harness.offer(WARM_AT + SECOND * 10, job(2, "b", 160_000));
    assert_eq!(dispatched(&second), Vec::<u128>::new());
    assert_eq!(
        dispatched(&harness.offer(WARM_AT + SECOND * 10, job(3, "a", 4000))),
        [3]
    );
}

#[test]
fn long_prompt_gets_memory_before_a_stream_of_others() {
    let mut harness = Harness::warm();
    let mut n = 10;
    while harness.scheduler.hints(SECOND).free_tokens > 100_000 {
        let now = WARM_AT + SECOND * (n as u32 - 10);
        harness.offer(now, job(n, "a", 30_000));
        harness.send(
            now + SECOND,
            SchedulerEvent::FirstToken(job(n, "", 0).attempt),
        );
        n += 1;
    }
    let mut long = job(1, "b", 200_000);
    long.deadline = Duration::from_secs(150);
    let actions = harness.offer(WARM_AT + SECOND * 15, long.clone());
    assert_eq!(actions, [SchedulerAction::Accept(long.attempt)]);
    let now = WARM_AT + SECOND * 40;
    let mut started = Vec::new();
    for ended in 10..n {
        let attempt = job(ended, "", 0).attempt;
        started.extend(dispatched(
            &harness.send(now, SchedulerEvent::Ended { attempt, ok: true }),
        ));
        started.extend(dispatched(
            &harness.offer(now, job(100 + ended, "a", 30_000)),
        ));
    }
    assert_eq!(started.first(), Some(&1));
}

#[test]
fn suspends_and_resumes_a_long_prefill() {
    let mut harness = Harness::warm();
    let mut long = job(1, "a", 100_000);
    long.deadline = Duration::from_secs(90);
    harness.offer(WARM_AT, long.clone());
    let actions = harness.offer(WARM_AT + SECOND, job(2, "a", 1000));
    assert!(actions.contains(&SchedulerAction::Suspend(long.attempt)));
    assert_eq!(dispatched(&actions), [2]);
    let actions = harness.send(
        WARM_AT + at(1060),
        SchedulerEvent::FirstToken(job(2, "", 0).attempt),
    );
    assert!(actions.contains(&SchedulerAction::Resume(long.attempt)));
}

#[test]
fn flood_of_one_team_lets_another_pass() {
    let mut harness = Harness::warm();
    for n in 0..400 {
        harness.offer(WARM_AT, job(n, "flood", 4000));
    }
    harness.offer(WARM_AT, job(1000, "quiet", 4000));
    let mut before = 0;
    for n in 0..400 {
        let attempt = job(n, "", 0).attempt;
        let now = WARM_AT + at(200 * (n as u64 + 1));
        let mut actions = harness.send(now, SchedulerEvent::FirstToken(attempt));
        actions.extend(harness.send(now, SchedulerEvent::Ended { attempt, ok: true }));
        if dispatched(&actions).contains(&1000) {
            break;
        }
        before += 1;
    }
    assert!(before <= 1, "{before} jobs of the flood went first");
}

#[test]
fn full_queue_makes_room_for_a_quiet_team() {
    let mut harness = Harness::cold();
    harness.scheduler = Scheduler::new(SchedulerConfig {
        queue_limit: 8,
        ..SchedulerConfig::for_server("s")
    });
    harness.send(Duration::ZERO, SchedulerEvent::SettingsChanged(settings()));
    for n in 0..20 {
        harness.offer(Duration::ZERO, job(n, "flood", 100));
    }
    let actions = harness.offer(Duration::ZERO, job(100, "quiet", 100));
    assert_eq!(refusals(&actions), [RefusalReason::QueueFull]);
    assert!(actions.contains(&SchedulerAction::Accept(job(100, "", 0).attempt)));
}

#[test]
fn waiting_jobs_are_refused_where_no_work_may_run() {
    let cases: [(fn(&mut ServerSettings), _); 2] = [
        (
            |settings| settings.domain_out = true,
            RefusalReason::DomainOut,
        ),
        (|settings| settings.draining = true, RefusalReason::Draining),
    ];
    for (change, reason) in cases {
        let mut harness = Harness::cold();
        for n in 0..5 {
            harness.offer(Duration::ZERO, job(n, "a", 1000));
        }
        let mut changed = settings();
        change(&mut changed);
        let actions = harness.send(SECOND / 10, SchedulerEvent::SettingsChanged(changed));
        assert_eq!(refusals(&actions), [reason; 3]);
        let attempt = job(0, "", 0).attempt;
        let actions = harness.send(SECOND / 10, SchedulerEvent::Ended { attempt, ok: true });
        assert_eq!(actions, []);
    }
}

#[test]
fn nothing_outlives_its_time() {
    let mut harness = Harness::cold();
    for n in 0..4 {
        harness.offer(Duration::ZERO, job(n, "a", 1000));
    }
    let mut ended = 0;
    while let Some(due) = harness.scheduler.next_wakeup() {
        assert!(due <= Duration::from_secs(76));
        for action in harness.send(due, SchedulerEvent::Tick) {
            let is_abort = matches!(
                action,
                SchedulerAction::Abort {
                    reason: AbortReason::TimeUp | AbortReason::TooSlow,
                    ..
                }
            );
            ended += usize::from(is_abort || matches!(action, SchedulerAction::Refuse { .. }));
        }
    }
    assert_eq!((ended, harness.scheduler.outstanding()), (4, 0));
}

#[test]
fn cancelled_job_keeps_its_place_until_the_server_lets_go() {
    let mut harness = Harness::cold();
    for n in 0..3 {
        harness.offer(Duration::ZERO, job(n, "a", 1000));
    }
    let attempt = job(0, "", 0).attempt;
    assert_eq!(harness.send(at(10), SchedulerEvent::Cancel(attempt)), []);
    let actions = harness.send(at(20), SchedulerEvent::Ended { attempt, ok: false });
    assert_eq!(dispatched(&actions), [2]);
}

const WARM_PREFILL: Duration = Duration::from_millis(50);
const COLD_SLOWDOWN: u32 = 4;

/// A server with a declared speed whose reports leave out its warmth.
fn warmth_unreported() -> Harness {
    let mut harness = Harness::cold();
    let declared = ServerSettings {
        prefill_rate: Some(20_000.0),
        decode_interval: Some(at(15)),
        ..settings()
    };
    harness.send(Duration::ZERO, SchedulerEvent::SettingsChanged(declared));
    let report = EngineReport::default();
    harness.send(Duration::ZERO, SchedulerEvent::Report(report));
    harness
}

/// Serves `count` requests one after another, `slowdown` times slower than declared, and returns
/// the limit at the end.
fn limit_after_answers(harness: &mut Harness, count: u64, slowdown: u32) -> u32 {
    let token = at(15) * slowdown;
    let mut now = Duration::ZERO;
    for n in 0..count {
        let job = Job {
            deadline: now + SECOND * 60,
            ..job(u128::from(n), "docks", 1_000)
        };
        let attempt = job.attempt;
        assert_eq!(dispatched(&harness.offer(now, job)), [u128::from(n)]);
        now += WARM_PREFILL * slowdown;
        harness.send(now, SchedulerEvent::FirstToken(attempt));
        for _ in 0..64 {
            now += token;
            harness.send(now, SchedulerEvent::Progress { attempt, tokens: 1 });
        }
        harness.send(now, SchedulerEvent::Ended { attempt, ok: true });
    }
    harness.scheduler.hints(now).limit
}

#[test]
fn silent_server_rises_with_the_declared_pace() {
    // One request at a time counts as use of a limit of up to two, so the limit rises only to three.
    assert_eq!(limit_after_answers(&mut warmth_unreported(), 10, 1), 3);
}

#[test]
fn silent_server_in_cold_start_stays_at_its_limit() {
    assert_eq!(
        limit_after_answers(&mut warmth_unreported(), 100, COLD_SLOWDOWN),
        2
    );
}
