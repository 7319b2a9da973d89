//! Gateways whose store comes back from a copy some seconds old. Versions are given out again; what operators and
//! servers wrote since is written again a little later.

mod starts;

use hyper::StatusCode;
use runtime::timeout;
use serde_json::json;
use standins::{PlatformServer, ServerKind, StandinServer, StoreCopy};
use std::time::{Duration, Instant};
use trials::{DirectGateway, TrialDeclarations, UnreadTrial as Trial};

/// `ConfigApplyMs`, `DrainMs` and `EvacuateMs` of the gateways.
const APPLY: Duration = Duration::from_secs(2);
const DRAIN: Duration = Duration::from_secs(2);
const EVACUATE: Duration = Duration::from_secs(5);
/// `StableWindowMs`: gateways are in touch this long after the drill.
const STABLE: Duration = Duration::from_secs(3);
/// For how long the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// Time after its return until everything is written again.
const REWRITTEN: Duration = Duration::from_secs(1);
/// The same where a writer needs long. Later than rows that are missing altogether are taken for gone.
const REWRITTEN_LATE: Duration = Duration::from_millis(4_000);
/// From the return of the store until a frozen gateway goes on, and for how long its answers are watched then.
const THAWED: Duration = Duration::from_millis(300);
const MISSED: Duration = Duration::from_millis(1_500);
/// Time within which a server is used whose row was passed over: until all is written again, and a check.
const RESTARTED: Duration = Duration::from_secs(4);
/// Time for which answers are watched after that.
const WATCHED: Duration = Duration::from_secs(5);

const OK: StatusCode = StatusCode::OK;
const UNAVAILABLE: StatusCode = StatusCode::SERVICE_UNAVAILABLE;

const SECOND: TrialDeclarations<'static> = TrialDeclarations {
    version: 4,
    routes: &[("/old/", "registry"), ("/new/", "other")],
    keys: &["key-1", "key-2"],
    ..TrialDeclarations::FIRST
};

/// A change, and the answers that tell whether it is in force.
#[derive(Clone, Copy)]
struct Change {
    before: fn(&Drill),
    make: fn(&Drill),
    bound: Duration,
    path: &'static str,
    key: &'static str,
    /// Answers before and after it.
    answers: (StatusCode, StatusCode),
}

/// Gateways, and the server `plain-2` of the service `other`, which has no other one.
struct Drill<'a> {
    trial: &'a Trial,
    server: StandinServer<PlatformServer>,
}

impl Drill<'_> {
    fn register(&self, state: &str) {
        let address = self.server.local_addr();
        self.trial.rig.register("plain-2", "other", address, state);
    }

    fn order(&self) {
        self.trial.store().put("op", "evacuate/a", &json!({}));
    }

    async fn sleep(&self, time: Duration) {
        let start = Instant::now();
        let is_over = async || start.elapsed() >= time;
        assert!(self.trial.rig.wait_until(is_over).await);
    }

    async fn ask(&self, gateway: usize, change: &Change) -> StatusCode {
        self.ask_gateway(&self.trial.gateways[gateway], change)
            .await
    }

    async fn ask_gateway(&self, gateway: &DirectGateway, change: &Change) -> StatusCode {
        let caller = gateway.caller();
        let asked = caller.call(
            change.path,
            change.path,
            Some(change.key),
            self.trial.rig.prompt,
        );
        let answer = timeout(Duration::from_secs(5), asked).await;
        answer.map_or(StatusCode::GATEWAY_TIMEOUT, |answer| answer.status)
    }

    /// Waits until a gateway answers with this status; false if it does not in time.
    async fn wait_for_status(
        &self,
        gateway: &DirectGateway,
        change: &Change,
        status: StatusCode,
    ) -> bool {
        let rig = &self.trial.rig;
        let answered = rig.wait_until(async || self.ask_gateway(gateway, change).await == status);
        answered.await
    }

    fn log(&self, gateway: usize) -> String {
        self.trial.gateways[gateway].process.log_tail()
    }

    async fn wait_for(&self, gateway: usize, change: &Change, status: StatusCode) {
        let rig = &self.trial.rig;
        let answered = rig.wait_until(async || self.ask(gateway, change).await == status);
        let log = || self.log(gateway);
        assert!(answered.await, "gateway {gateway}: not {status}: {}", log());
    }

    /// Watches the answers of the first `gateways` gateways for a time, in which none is like before the change.
    async fn stays_in_force(&self, change: &Change, gateways: usize, time: Duration) {
        let start = Instant::now();
        let (old, _) = change.answers;
        let is_over = async || {
            for n in 0..gateways {
                let status = self.ask(n, change).await;
                let at = start.elapsed();
                assert_ne!(status, old, "gateway {n} after {at:?}: {}", self.log(n));
            }
            start.elapsed() >= time
        };
        assert!(self.trial.rig.wait_until(is_over).await);
    }

    /// Waits until the change that was made at `since` is in force at all gateways; later than its bound, no
    /// answer is like before.
    async fn comes_into_force(&self, change: &Change, since: Instant) {
        let (old, new) = change.answers;
        for n in 0..self.trial.gateways.len() {
            let answered = self.trial.rig.wait_until(async || {
                let is_due = since.elapsed() > change.bound;
                let status = self.ask(n, change).await;
                assert!(!is_due || status != old, "gateway {n}: {}", self.log(n));
                status == new
            });
            assert!(answered.await, "gateway {n}: not {new}: {}", self.log(n));
        }
    }

    async fn restore(&self, copy: StoreCopy) {
        self.trial.store().restore(copy, AWAY).await;
    }

    /// Writes the rows as they are before the change again, as operators and servers do.
    fn rewrite(&self, change: &Change) {
        self.trial.declare(SECOND);
        self.register("ready");
        (change.before)(self);
    }

    /// Raises the versions of all rows, which are known everywhere then.
    async fn raise_versions(&self, change: &Change) {
        for _ in 0..20 {
            self.rewrite(change);
        }
        self.trial.wait_for_polls().await;
    }
}

fn bounds() -> [(&'static str, f64); 3] {
    [
        ("ConfigApplyMs", APPLY.as_millis() as f64),
        ("DrainMs", DRAIN.as_millis() as f64),
        ("EvacuateMs", EVACUATE.as_millis() as f64),
    ]
}

fn run(change: &Change, test: impl AsyncFnOnce(&Drill)) {
    run_with(2, change, test);
}

/// Runs a test with this many gateways, once the state before a change is known everywhere.
fn run_with(gateways: usize, change: &Change, test: impl AsyncFnOnce(&Drill)) {
    Trial::run(gateways, &bounds(), async |trial| {
        let server = trial.rig.add_server("plain-2", "other", ServerKind::Plain);
        let server = server.unwrap();
        let drill = Drill { trial, server };
        drill.rewrite(change);
        for n in 0..trial.gateways.len() {
            drill.wait_for(n, change, change.answers.0).await;
        }
        test(&drill).await;
    });
}

const DRAINED: Change = Change {
    before: |_| {},
    make: |drill| drill.register("draining"),
    bound: DRAIN,
    path: "/new/x",
    key: "key-1",
    answers: (OK, UNAVAILABLE),
};
const REMOVED: Change = Change {
    make: |drill| drill.trial.store().remove("servers", "plain-2"),
    ..DRAINED
};
const STARTED: Change = Change {
    before: |drill| drill.trial.store().remove("servers", "plain-2"),
    make: |drill| drill.register("ready"),
    answers: (UNAVAILABLE, OK),
    ..DRAINED
};
const REVOKED: Change = Change {
    make: |drill| {
        drill.trial.declare(TrialDeclarations {
            version: 5,
            keys: &["key-1"],
            ..SECOND
        });
    },
    bound: APPLY,
    key: "key-2",
    answers: (OK, StatusCode::UNAUTHORIZED),
    ..DRAINED
};
const MOVED: Change = Change {
    make: |drill| {
        drill.trial.declare(TrialDeclarations {
            version: 5,
            routes: &[("/old/", "registry"), ("/new/", "nobody")],
            ..SECOND
        });
    },
    bound: APPLY,
    ..DRAINED
};
const ORDERED: Change = Change {
    make: |drill| drill.order(),
    bound: EVACUATE,
    ..DRAINED
};
const TAKEN_BACK: Change = Change {
    before: |drill| drill.order(),
    make: |drill| drill.trial.store().remove("op", "evacuate/a"),
    bound: EVACUATE,
    answers: (UNAVAILABLE, OK),
    ..DRAINED
};

/// A change after `drills` drills, in rows whose versions were given out before.
fn after(change: Change, drills: usize) {
    run(&change, async |drill| {
        let copy = drill.trial.store().copy();
        drill.raise_versions(&change).await;
        for _ in 0..drills {
            drill.restore(copy.clone()).await;
            drill.sleep(REWRITTEN).await;
            drill.rewrite(&change);
        }
        drill.sleep(STABLE).await;
        let since = Instant::now();
        (change.make)(drill);
        drill.comes_into_force(&change, since).await;
    });
}

/// A change that the copy lacks, and that is written again after `drills` drills.
fn across(change: Change, drills: usize) {
    run(&change, async |drill| {
        let copy = drill.trial.store().copy();
        (change.make)(drill);
        drill.comes_into_force(&change, Instant::now()).await;
        for _ in 0..drills {
            let restored = drill.restore(copy.clone());
            let watched = drill.stays_in_force(&change, 2, AWAY + REWRITTEN);
            futures_lite::future::zip(restored, watched).await;
            (change.make)(drill);
        }
        drill.stays_in_force(&change, 2, WATCHED).await;
        drill.comes_into_force(&change, Instant::now()).await;
    });
}

/// A change that the copy lacks, in a row that it has as it was before, and that is written again after `drills`
/// drills, late after the last one.
fn across_for_long(change: Change, drills: usize) {
    run(&change, async |drill| {
        let copy = drill.trial.store().copy();
        (change.make)(drill);
        drill.comes_into_force(&change, Instant::now()).await;
        for _ in 1..drills {
            drill.restore(copy.clone()).await;
        }
        let restored = drill.restore(copy);
        let watched = drill.stays_in_force(&change, 2, AWAY + REWRITTEN_LATE);
        futures_lite::future::zip(restored, watched).await;
        (change.make)(drill);
        drill.stays_in_force(&change, 2, STABLE).await;
        drill.comes_into_force(&change, Instant::now()).await;
    });
}

macro_rules! drills {
    ($($name:ident: $run:ident, $change:ident, $drills:expr;)*) => {$(
        #[test]
        fn $name() {
            $run($change, $drills);
        }
    )*};
}

drills! {
    a_server_drains_after_a_drill: after, DRAINED, 1;
    a_server_is_removed_after_a_drill: after, REMOVED, 1;
    a_server_starts_after_a_drill: after, STARTED, 1;
    a_key_is_revoked_after_a_drill: after, REVOKED, 1;
    a_route_moves_after_a_drill: after, MOVED, 1;
    a_domain_is_evacuated_after_a_drill: after, ORDERED, 1;
    an_evacuation_ends_after_a_drill: after, TAKEN_BACK, 1;
    a_server_drains_after_two_drills: after, DRAINED, 2;
    a_key_is_revoked_after_two_drills: after, REVOKED, 2;
    a_draining_server_stays_out_across_a_drill: across, DRAINED, 1;
    a_removed_server_stays_out_across_a_drill: across, REMOVED, 1;
    a_server_that_started_stays_across_a_drill: across, STARTED, 1;
    a_revoked_key_stays_revoked_across_a_drill: across, REVOKED, 1;
    a_moved_route_stays_moved_across_a_drill: across, MOVED, 1;
    an_evacuated_domain_stays_out_across_a_drill: across, ORDERED, 1;
    a_draining_server_stays_out_across_two_drills: across, DRAINED, 2;
    a_server_that_started_stays_across_two_drills: across, STARTED, 2;
    an_evacuated_domain_stays_out_across_two_drills: across, ORDERED, 2;
    a_draining_server_stays_out_until_its_row_is_written_again: across_for_long, DRAINED, 1;
    a_draining_server_stays_out_until_its_row_is_written_again_after_two_drills: across_for_long, DRAINED, 2;
    a_revoked_key_stays_revoked_until_it_is_written_again: across_for_long, REVOKED, 1;
    a_moved_route_stays_moved_until_it_is_written_again: across_for_long, MOVED, 1;
}

/// The copy still has the order, which holds until it is taken back again.
#[test]
fn an_evacuation_that_ended_ends_again_after_a_drill() {
    run(&TAKEN_BACK, async |drill| {
        let copy = drill.trial.store().copy();
        (TAKEN_BACK.make)(drill);
        drill.comes_into_force(&TAKEN_BACK, Instant::now()).await;
        drill.restore(copy).await;
        drill.sleep(REWRITTEN).await;
        (TAKEN_BACK.make)(drill);
        drill.comes_into_force(&TAKEN_BACK, Instant::now()).await;
    });
}

/// A server that the copy lacks and that does not come back is gone after the time in which it could.
#[test]
fn a_server_that_is_not_written_again_is_gone() {
    run(&STARTED, async |drill| {
        let copy = drill.trial.store().copy();
        (STARTED.make)(drill);
        drill.comes_into_force(&STARTED, Instant::now()).await;
        drill.restore(copy).await;
        for n in 0..2 {
            drill.wait_for(n, &STARTED, UNAVAILABLE).await;
        }
    });
}

/// A server that was removed starts again while rows may be missing. Its row is passed over then, and is not
/// written again.
#[test]
fn a_server_that_starts_again_in_a_drill_is_used() {
    run(&REMOVED, async |drill| {
        let copy = drill.trial.store().copy();
        (REMOVED.make)(drill);
        drill.comes_into_force(&REMOVED, Instant::now()).await;
        drill.restore(copy).await;
        drill.register("ready");
        let restarted = Change {
            answers: (UNAVAILABLE, OK),
            bound: RESTARTED,
            ..REMOVED
        };
        drill.comes_into_force(&restarted, Instant::now()).await;
    });
}

/// A gateway that was frozen across the drill, and for a while after.
fn frozen(change: Change, make_after: bool) {
    run(&change, async |drill| {
        let copy = drill.trial.store().copy();
        drill.raise_versions(&change).await;
        let make = async || {
            let since = Instant::now();
            (change.make)(drill);
            since
        };
        if !make_after {
            drill.comes_into_force(&change, make().await).await;
        }
        let process = &drill.trial.gateways[1].process;
        process.freeze().unwrap();
        drill.restore(copy).await;
        drill.sleep(REWRITTEN).await;
        drill.rewrite(&change);
        make().await;
        drill.sleep(STABLE).await;
        process.thaw().unwrap();
        if make_after {
            drill.sleep(change.bound).await;
        }
        drill.stays_in_force(&change, 2, WATCHED).await;
        drill.comes_into_force(&change, Instant::now()).await;
    });
}

macro_rules! frozen {
    ($($name:ident: $change:ident, $make_after:expr;)*) => {$(
        #[test]
        fn $name() {
            frozen($change, $make_after);
        }
    )*};
}

frozen! {
    a_frozen_gateway_keeps_a_draining_server_out: DRAINED, false;
    a_frozen_gateway_keeps_a_key_revoked: REVOKED, false;
    a_frozen_gateway_hears_of_a_draining_server: DRAINED, true;
    a_frozen_gateway_hears_of_a_revoked_key: REVOKED, true;
}

/// A gateway that was frozen over a change and the drill goes on after the return, and the change is written again
/// late. It hears of it from the one that ran on.
fn missed(change: Change) {
    run(&change, async |drill| {
        let copy = drill.trial.store().copy();
        let process = &drill.trial.gateways[1].process;
        process.freeze().unwrap();
        (change.make)(drill);
        drill.wait_for(0, &change, change.answers.1).await;
        drill.restore(copy).await;
        drill.sleep(THAWED).await;
        process.thaw().unwrap();
        drill.sleep(change.bound).await;
        drill.stays_in_force(&change, 2, MISSED).await;
        (change.make)(drill);
        drill.stays_in_force(&change, 2, STABLE).await;
        drill.comes_into_force(&change, Instant::now()).await;
    });
}

macro_rules! missed {
    ($($name:ident: $change:ident;)*) => {$(
        #[test]
        fn $name() {
            missed($change);
        }
    )*};
}

missed! {
    a_frozen_gateway_hears_of_a_draining_server_that_the_copy_lacks: DRAINED;
    a_frozen_gateway_hears_of_a_removed_server_that_the_copy_lacks: REMOVED;
    a_frozen_gateway_hears_of_a_revoked_key_that_the_copy_lacks: REVOKED;
    a_frozen_gateway_hears_of_a_moved_route_that_the_copy_lacks: MOVED;
}

/// A gateway that starts between the return of the store and the time when all is written again.
#[test]
fn a_gateway_that_starts_in_a_drill_serves_what_is_written_again() {
    run(&REVOKED, async |drill| {
        let trial = drill.trial;
        let copy = trial.store().copy();
        (REVOKED.make)(drill);
        drill.comes_into_force(&REVOKED, Instant::now()).await;
        drill.restore(copy).await;
        let store = trial.rig.store.local_addr();
        let started = trial.rig.add_gateway("drill-new", store).unwrap();
        drill.sleep(REWRITTEN).await;
        (REVOKED.make)(drill);
        let since = Instant::now();
        let caller = started.caller();
        let is_revoked = trial.rig.wait_until(async || {
            let is_due = since.elapsed() > APPLY;
            let status = caller.call("new", "/new/x", Some("key-2"), 1).await.status;
            let log = || started.process.log_tail();
            assert!(!is_due || status != OK, "{}", log());
            status == StatusCode::UNAUTHORIZED
        });
        assert!(is_revoked.await, "{}", started.process.log_tail());
        drill.stays_in_force(&REVOKED, 2, WATCHED).await;
    });
}

/// The copy lacks the row of a gateway, which writes it again; the others go on counting it.
#[test]
fn gateways_write_their_rows_again() {
    run(&DRAINED, async |drill| {
        let trial = drill.trial;
        let store = trial.store();
        let copy = store.copy();
        let address = trial.rig.store.local_addr();
        let started = trial.rig.add_gateway("drill-new", address).unwrap();
        let has_row = async || {
            let keys = store.keys("bergamothold");
            keys.iter().any(|key| key.contains("drill-new"))
        };
        let counts = async || {
            let mut counts = true;
            for gateway in trial.gateways.iter().chain([&started]) {
                let metrics = gateway.metrics().await;
                let page = metrics.unwrap_or_default();
                counts &= page.contains("bergamothold_direct_gateways 3");
            }
            counts
        };
        assert!(trial.rig.wait_until(has_row).await);
        assert!(trial.rig.wait_until(counts).await);
        drill.restore(copy).await;
        assert!(!has_row().await);
        let start = Instant::now();
        let is_written = trial.rig.wait_until(async || {
            assert!(counts().await, "after {:?}", start.elapsed());
            has_row().await
        });
        assert!(is_written.await, "{}", started.process.log_tail());
    });
}
