//! Gateways before a store whose watches hear nothing for a second, and then lose their history, while its
//! listings show what held seconds ago.

use hyper::StatusCode;
use standins::{Comparisons, ListedVersion, QuietAnswer, StaleReads};
use std::time::{Duration, Instant};
use trials::{DirectGateway, UnreadTrial};

/// `ConfigApplyMs`, `DrainMs` and `EvacuateMs` of the gateways.
pub const APPLY: Duration = Duration::from_secs(2);
pub const DRAIN: Duration = Duration::from_secs(2);
pub const EVACUATE: Duration = Duration::from_secs(5);
/// How far listings are behind.
pub const BEHIND: Duration = Duration::from_secs(6);
/// Time for which watches hear nothing, and for which they did when the change is made.
const SILENCE: Duration = Duration::from_secs(1);
const BEFORE_CHANGE: Duration = Duration::from_millis(300);
/// Time for which what is in force is watched.
const WATCHED: Duration = Duration::from_secs(1);

/// How the store answers reads.
#[derive(Debug, Clone, Copy)]
pub struct Reads {
    pub comparisons: Comparisons,
    pub version: ListedVersion,
}

impl Reads {
    /// Whether some read shows what holds while listings are behind.
    pub fn show_present(self) -> bool {
        self.comparisons != Comparisons::Refused
    }

    /// Moment from which some read of the store shows a change that was made at `since`.
    pub fn shown_from(self, since: Instant) -> Instant {
        match self.show_present() {
            true => since,
            false => since + BEHIND,
        }
    }
}

/// Bounds of the deployments.
pub fn bounds() -> [(&'static str, f64); 3] {
    let millis = |time: Duration| time.as_millis() as f64;
    [
        ("ConfigApplyMs", millis(APPLY)),
        ("DrainMs", millis(DRAIN)),
        ("EvacuateMs", millis(EVACUATE)),
    ]
}

/// Runs a test with gateways that serve, and a store that answers comparisons in this way from its start.
pub fn run(gateways: usize, reads: Reads, test: impl AsyncFnOnce(&UnreadTrial)) {
    let prepare = |store: &standins::PlatformStore| store.set_comparisons(reads.comparisons);
    UnreadTrial::run_with_store(gateways, &bounds(), prepare, test);
}

/// Makes a change in a second in which watches hear nothing, after which the history is dropped and they are cut;
/// listings are behind from its begin on. Returns when the change was confirmed.
pub async fn compact(
    trial: &UnreadTrial,
    reads: Reads,
    change: impl FnOnce(&UnreadTrial),
) -> Instant {
    let store = trial.store();
    store.read_behind(Some(StaleReads {
        by: BEHIND,
        version: reads.version,
    }));
    store.quieten_watches(Some(QuietAnswer::Never));
    trial.wait(BEFORE_CHANGE).await;
    change(trial);
    let since = Instant::now();
    trial.wait(SILENCE - BEFORE_CHANGE).await;
    trial.compact();
    since
}

/// Answers that are right for requests that are sent from a moment on.
pub struct Right<'a> {
    pub from: Instant,
    pub answers: &'a [StatusCode],
}

/// Asks all gateways by turns until some time after the last of these moments, and checks each answer.
pub async fn check(
    trial: &UnreadTrial,
    gateways: &[&DirectGateway],
    ask: impl AsyncFn(&DirectGateway) -> StatusCode,
    right: &[Right<'_>],
) {
    let last = right.iter().map(|right| right.from).max();
    let end = last.unwrap_or_else(Instant::now) + WATCHED;
    check_until(trial, gateways, ask, right, end).await;
}

/// As [`check`], until `end`.
pub async fn check_until(
    trial: &UnreadTrial,
    gateways: &[&DirectGateway],
    ask: impl AsyncFn(&DirectGateway) -> StatusCode,
    right: &[Right<'_>],
    end: Instant,
) {
    let over = trial.rig.wait_until(async || {
        for gateway in gateways {
            let sent_at = Instant::now();
            let status = ask(gateway).await;
            let due = right.iter().filter(|right| sent_at > right.from);
            let wrong = due.max_by_key(|right| right.from);
            if let Some(wrong) = wrong.filter(|right| !right.answers.contains(&status)) {
                panic!(
                    "{}: {status} {:?} after {:?} became due: {}",
                    gateway.process.name(),
                    sent_at - wrong.from,
                    wrong.answers,
                    gateway.process.log_tail()
                );
            }
        }
        Instant::now() > end
    });
    assert!(over.await, "the gateways answer too slowly");
}

/// Status of the answer to a request with a body of this many bytes.
pub async fn send(gateway: &DirectGateway, path: &str, key: &str, bytes: usize) -> StatusCode {
    let caller = gateway.caller().with_body(&"x".repeat(bytes));
    caller.call(path, path, Some(key), 1_000).await.status
}

/// Gateways of a trial.
pub fn all(trial: &UnreadTrial) -> Vec<&DirectGateway> {
    trial.gateways.iter().collect()
}
