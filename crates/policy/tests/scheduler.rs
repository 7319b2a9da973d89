//! Decisions of one backend server's scheduler, event by event.

use policy::prelude::*;
use policy::{
    AbortReason, Action, EngineReport, Event, Scheduler, SchedulerConfig, ServerSettings,
};
use proto::{RefusalReason, Warmth};

/// When [`Bench::warm`] is done.
const READY: Duration = Duration::from_secs(15);
const SECOND: Duration = Duration::from_secs(1);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn facts() -> ServerSettings {
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

struct Bench {
    scheduler: Scheduler,
}

impl Bench {
    fn cold() -> Self {
        let cfg = SchedulerConfig::for_server("s");
        let mut bench = Self {
            scheduler: Scheduler::new(cfg),
        };
        bench.send(Duration::ZERO, Event::SettingsChanged(facts()));
        bench
    }

    /// A server that has shown itself warm with answers at the usual pace.
    fn warm() -> Self {
        let mut bench = Self::cold();
        for n in 0..200 {
            bench.offer(Duration::ZERO, job(1_000_000 + n, "warm-up", 1000));
        }
        for step in 0..200 {
            let attempt = job(1_000_000 + step, "", 0).attempt;
            let now = at(100 + step as u64 * 50);
            bench.send(now, Event::FirstToken(attempt));
            if step >= 30 {
                let attempt = job(1_000_000 + step - 30, "", 0).attempt;
                bench.send(now, Event::Ended { attempt, ok: true });
            }
        }
        for step in 170..200 {
            let attempt = job(1_000_000 + step, "", 0).attempt;
            bench.send(READY, Event::Ended { attempt, ok: true });
        }
        bench
    }

    fn send(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.scheduler.handle(now, event, &mut out);
        out
    }

    fn offer(&mut self, now: Duration, job: Job) -> Vec<Action> {
        let attempt = job.attempt;
        let mut out = self.send(now, Event::Offer(job));
        out.extend(self.send(now, Event::BodyComplete(attempt)));
        out
    }
}

fn dispatched(actions: &[Action]) -> Vec<u128> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Dispatch { attempt, .. } => Some(attempt.request),
            _ => None,
        })
        .collect()
}

fn refusals(actions: &[Action]) -> Vec<RefusalReason> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Refuse { refusal, .. } => Some(refusal.reason),
            _ => None,
        })
        .collect()
}

#[test]
fn presumes_cold_start() {
    let mut bench = Bench::cold();
    let mut count = 0;
    for n in 0..10 {
        count += dispatched(&bench.offer(Duration::ZERO, job(n, "a", 1000))).len();
    }
    assert_eq!(count, 2);
    assert_eq!(bench.scheduler.hints(Duration::ZERO).warmth, Warmth::Cold);
}

#[test]
fn rises_with_evidence() {
    let mut bench = Bench::warm();
    let hints = bench.scheduler.hints(READY);
    assert_eq!((hints.warmth, hints.limit), (Warmth::Warm, 32));
}

/// Each sign of a fallback, given to a warm server with jobs that wait.
macro_rules! falls_back {
    ($($name:ident: $now:expr, $sign:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut bench = Bench::warm();
            for n in 0..3 {
                bench.offer(READY, job(n, "a", 1000));
            }
            for n in 3..40 {
                bench.offer(READY, job(n, "a", 4000));
            }
            let actions = bench.send($now, $sign);
            assert_eq!(dispatched(&actions), Vec::<u128>::new());
            let hints = bench.scheduler.hints($now);
            assert!(hints.warmth == Warmth::Cold && hints.limit <= 2);
            for n in 50..60 {
                let actions = bench.offer($now, job(n, "a", 1000));
                assert_eq!(dispatched(&actions), Vec::<u128>::new());
            }
        }
    )*};
}

falls_back! {
    falls_back_on_report: READY, Event::Report(EngineReport { cold: Some(true), ..EngineReport::default() });
    falls_back_on_rejection: READY, Event::Rejected(job(0, "", 0).attempt);
    falls_back_on_slow_prefill: READY + SECOND, Event::FirstToken(job(0, "", 0).attempt);
    falls_back_on_overdue_prefill: READY + SECOND, Event::Tick;
    falls_back_on_broken_answer: READY, Event::Ended { attempt: job(0, "", 0).attempt, ok: false };
}

#[test]
fn refuses_at_once_what_cannot_finish() {
    let mut bench = Bench::cold();
    let mut hopeless = job(1, "a", 300_000);
    hopeless.deadline = Duration::from_secs(5);
    let actions = bench.send(Duration::ZERO, Event::Offer(hopeless));
    assert_eq!(refusals(&actions), [RefusalReason::TooLate]);
}

#[test]
fn refuses_what_never_fits() {
    let mut bench = Bench::cold();
    let actions = bench.send(Duration::ZERO, Event::Offer(job(1, "a", 390_000)));
    assert_eq!(refusals(&actions), [RefusalReason::NoMemory]);
}

#[test]
fn keeps_memory_from_long_prompts() {
    let mut bench = Bench::warm();
    assert_eq!(dispatched(&bench.offer(READY, job(1, "a", 200_000))), [1]);
    bench.send(
        READY + SECOND * 10,
        Event::FirstToken(job(1, "", 0).attempt),
    );
    let second = bench.offer(READY + SECOND * 10, job(2, "b", 160_000));
    assert_eq!(dispatched(&second), Vec::<u128>::new());
    assert_eq!(
        dispatched(&bench.offer(READY + SECOND * 10, job(3, "a", 4000))),
        [3]
    );
}

#[test]
fn long_prompt_gets_memory_before_a_stream_of_others() {
    let mut bench = Bench::warm();
    let mut n = 10;
    while bench.scheduler.hints(SECOND).free_tokens > 100_000 {
        let now = READY + SECOND * (n as u32 - 10);
        bench.offer(now, job(n, "a", 30_000));
        bench.send(now + SECOND, Event::FirstToken(job(n, "", 0).attempt));
        n += 1;
    }
    let mut long = job(1, "b", 200_000);
    long.deadline = Duration::from_secs(150);
    let actions = bench.offer(READY + SECOND * 15, long.clone());
    assert_eq!(actions, [Action::Accept(long.attempt)]);
    let now = READY + SECOND * 40;
    let mut started = Vec::new();
    for ended in 10..n {
        let attempt = job(ended, "", 0).attempt;
        started.extend(dispatched(
            &bench.send(now, Event::Ended { attempt, ok: true }),
        ));
        started.extend(dispatched(&bench.offer(now, job(100 + ended, "a", 30_000))));
    }
    assert_eq!(started.first(), Some(&1));
}

#[test]
fn suspends_and_resumes_a_long_prefill() {
    let mut bench = Bench::warm();
    let mut long = job(1, "a", 100_000);
    long.deadline = Duration::from_secs(90);
    bench.offer(READY, long.clone());
    let actions = bench.offer(READY + SECOND, job(2, "a", 1000));
    assert!(actions.contains(&Action::Suspend(long.attempt)));
    assert_eq!(dispatched(&actions), [2]);
    let actions = bench.send(READY + at(1060), Event::FirstToken(job(2, "", 0).attempt));
    assert!(actions.contains(&Action::Resume(long.attempt)));
}

#[test]
fn flood_of_one_team_lets_another_pass() {
    let mut bench = Bench::warm();
    for n in 0..400 {
        bench.offer(READY, job(n, "flood", 4000));
    }
    bench.offer(READY, job(1000, "quiet", 4000));
    let mut before = 0;
    for n in 0..400 {
        let attempt = job(n, "", 0).attempt;
        let now = READY + at(200 * (n as u64 + 1));
        let mut actions = bench.send(now, Event::FirstToken(attempt));
        actions.extend(bench.send(now, Event::Ended { attempt, ok: true }));
        if dispatched(&actions).contains(&1000) {
            break;
        }
        before += 1;
    }
    assert!(before <= 1, "{before} jobs of the flood went first");
}

#[test]
fn full_queue_makes_room_for_a_quiet_team() {
    let mut bench = Bench::cold();
    bench.scheduler = Scheduler::new(SchedulerConfig {
        queue_limit: 8,
        ..SchedulerConfig::for_server("s")
    });
    bench.send(Duration::ZERO, Event::SettingsChanged(facts()));
    for n in 0..20 {
        bench.offer(Duration::ZERO, job(n, "flood", 100));
    }
    let actions = bench.offer(Duration::ZERO, job(100, "quiet", 100));
    assert_eq!(refusals(&actions), [RefusalReason::QueueFull]);
    assert!(actions.contains(&Action::Accept(job(100, "", 0).attempt)));
}

#[test]
fn waiting_jobs_are_refused_where_no_work_may_run() {
    let cases: [(fn(&mut ServerSettings), _); 2] = [
        (|facts| facts.domain_out = true, RefusalReason::DomainOut),
        (|facts| facts.draining = true, RefusalReason::Draining),
    ];
    for (change, reason) in cases {
        let mut bench = Bench::cold();
        for n in 0..5 {
            bench.offer(Duration::ZERO, job(n, "a", 1000));
        }
        let mut changed = facts();
        change(&mut changed);
        let actions = bench.send(SECOND / 10, Event::SettingsChanged(changed));
        assert_eq!(refusals(&actions), [reason; 3]);
        let attempt = job(0, "", 0).attempt;
        let actions = bench.send(SECOND / 10, Event::Ended { attempt, ok: true });
        assert_eq!(actions, []);
    }
}

#[test]
fn nothing_outlives_its_time() {
    let mut bench = Bench::cold();
    for n in 0..4 {
        bench.offer(Duration::ZERO, job(n, "a", 1000));
    }
    let mut ended = 0;
    while let Some(due) = bench.scheduler.next_wakeup() {
        assert!(due <= Duration::from_secs(76));
        for action in bench.send(due, Event::Tick) {
            let is_abort = matches!(
                action,
                Action::Abort {
                    reason: AbortReason::TimeUp | AbortReason::TooSlow,
                    ..
                }
            );
            ended += usize::from(is_abort || matches!(action, Action::Refuse { .. }));
        }
    }
    assert_eq!((ended, bench.scheduler.outstanding()), (4, 0));
}

#[test]
fn cancelled_job_keeps_its_place_until_the_server_lets_go() {
    let mut bench = Bench::cold();
    for n in 0..3 {
        bench.offer(Duration::ZERO, job(n, "a", 1000));
    }
    let attempt = job(0, "", 0).attempt;
    assert_eq!(bench.send(at(10), Event::Cancel(attempt)), []);
    let actions = bench.send(at(20), Event::Ended { attempt, ok: false });
    assert_eq!(dispatched(&actions), [2]);
}

const WARM_PREFILL: Duration = Duration::from_millis(50);
const COLD_FACTOR: u32 = 4;

/// A server whose reports leave out its warmth, with a declared pace.
fn silent() -> Bench {
    let mut bench = Bench::cold();
    let declared = ServerSettings {
        prefill_rate: Some(20_000.0),
        decode_interval: Some(at(15)),
        ..facts()
    };
    bench.send(Duration::ZERO, Event::SettingsChanged(declared));
    let report = EngineReport::default();
    bench.send(Duration::ZERO, Event::Report(report));
    bench
}

/// Serves one request after another at that pace; gives the limit at the end.
fn limit_after_answers(bench: &mut Bench, count: u64, slower: u32) -> u32 {
    let token = at(15) * slower;
    let mut now = Duration::ZERO;
    for n in 0..count {
        let job = Job {
            deadline: now + SECOND * 60,
            ..job(u128::from(n), "docks", 1_000)
        };
        let attempt = job.attempt;
        assert_eq!(dispatched(&bench.offer(now, job)), [u128::from(n)]);
        now += WARM_PREFILL * slower;
        bench.send(now, Event::FirstToken(attempt));
        for _ in 0..64 {
            now += token;
            bench.send(now, Event::Progress { attempt, tokens: 1 });
        }
        bench.send(now, Event::Ended { attempt, ok: true });
    }
    bench.scheduler.hints(now).limit
}

#[test]
fn silent_server_rises_with_the_declared_pace() {
    // Answers one after another use a limit of two at most, and raise it by one.
    assert_eq!(limit_after_answers(&mut silent(), 10, 1), 3);
}

#[test]
fn silent_server_in_cold_start_stays_at_its_limit() {
    assert_eq!(limit_after_answers(&mut silent(), 100, COLD_FACTOR), 2);
}
