//! Short soak tests of direct gateways; longer ones are run by hand with the example `direct-soak`.

use runtime::Executor;
use standins::{Comparisons, QuietAnswer};
use std::time::Duration;
use trials::{
    APPLY_BOUND, FleetSize, GrowthPlan, LinkFault, RECOVERY_BOUND, SoakFigures, SoakPlan, StopPlan,
    TrialError, TurnedAway, TurnedAwayPlan, UnreadPlan, run_growth_soak, run_soak, run_stop_soak,
    run_turned_away_soak, run_unread_soak,
};

fn check(seed: u64, figures: Result<SoakFigures, TrialError>) {
    let figures = figures.unwrap();
    assert_eq!(figures.violations, [] as [String; 0], "seed {seed}");
    // How many have to be served, each soak checks itself.
    assert!(figures.due.served > 0, "{figures:?}");
}

fn check_faults(seed: u64) {
    let plan = SoakPlan {
        seed,
        gateways: 4,
        servers: 3,
        fault_time: Duration::from_secs(5),
    };
    let figures = Executor::run(2, |executor| async move { run_soak(&executor, plan).await });
    assert!(figures.as_ref().is_ok_and(|figures| figures.faults > 0));
    let found = figures.as_ref().unwrap();
    assert!(found.reservations > 0, "{:#?}", found.span_endings);
    check(seed, figures);
}

fn check_stops(plan: StopPlan) {
    let run = |executor: Executor| async move { run_stop_soak(&executor, plan).await };
    let figures = Executor::run(2, run);
    assert!(figures.as_ref().is_ok_and(|figures| figures.faults > 0));
    if plan.span_clients > 0 {
        assert!(
            figures
                .as_ref()
                .is_ok_and(|figures| figures.reservations > 0)
        );
    }
    check(plan.seed, figures);
}

/// Stops under more long prompts than the engines read in time.
fn check_stops_beside_waiting_prompts(seed: u64) {
    check_stops(StopPlan {
        seed,
        size: FleetSize {
            gateways: 3,
            engines: 4,
            plain: 3,
        },
        time: Duration::from_secs(4),
        stops_at_once: 1,
        clients: 2,
        prompt_clients: 6,
        span_clients: 0,
    });
}

/// Stops while prompts need the memory of several engines.
fn check_stops_beside_reservations(seed: u64) {
    check_stops(StopPlan {
        seed,
        size: FleetSize {
            gateways: 3,
            engines: 6,
            plain: 3,
        },
        time: Duration::from_secs(4),
        stops_at_once: 1,
        clients: 1,
        prompt_clients: 0,
        span_clients: 1,
    });
}

fn check_changes(plan: GrowthPlan) {
    let seed = plan.seed;
    let run = |executor: Executor| async move { run_growth_soak(&executor, plan).await };
    check(seed, Executor::run(2, run));
}

/// Small declarations, which also debug builds have in force within the rule's bound.
fn check_small_changes(seed: u64) {
    check_changes(GrowthPlan {
        seed,
        size: FleetSize {
            gateways: 8,
            engines: 0,
            plain: 2,
        },
        time: Duration::from_secs(12),
        bytes: (20_000, 60_000),
        intervals: (Duration::from_millis(600), Duration::from_millis(1_500)),
        apply_bound: APPLY_BOUND,
        faults: true,
    });
}

/// Whether changes arrive at all. Long runs with release builds check the rule's bound at this size.
fn check_large_changes(seed: u64) {
    check_changes(GrowthPlan {
        seed,
        size: FleetSize {
            gateways: 10,
            engines: 0,
            plain: 1,
        },
        time: Duration::from_secs(6),
        bytes: (1_120_000, 1_250_000),
        intervals: (Duration::from_secs(1), Duration::from_secs(2)),
        apply_bound: RECOVERY_BOUND,
        faults: false,
    });
}

/// A store that closes the connections of all gateways, and serves the operator.
fn check_turned_away(seed: u64) {
    let plan = TurnedAwayPlan {
        changes: GrowthPlan {
            seed,
            size: FleetSize {
                gateways: 5,
                engines: 0,
                plain: 2,
            },
            time: Duration::from_secs(14),
            bytes: (20_000, 40_000),
            intervals: (Duration::from_millis(330), Duration::from_millis(1_500)),
            apply_bound: APPLY_BOUND,
            faults: false,
        },
        share: Some(TurnedAway::All),
        refusal: Some(LinkFault::Cut),
        links: LinkFault::None,
    };
    let run = |executor: Executor| async move { run_turned_away_soak(&executor, plan).await };
    let figures = Executor::run(2, run);
    assert!(figures.as_ref().is_ok_and(|figures| figures.faults > 0));
    check(seed, figures);
}

/// Changes that watches of the store do not tell of.
fn check_unread(seed: u64, server_changes: bool, comparisons: Option<Comparisons>) {
    let plan = UnreadPlan {
        changes: GrowthPlan {
            seed,
            size: FleetSize {
                gateways: 4,
                engines: 0,
                plain: 6,
            },
            time: Duration::from_secs(14),
            bytes: (20_000, 20_000),
            intervals: (Duration::from_millis(300), Duration::from_secs(4)),
            apply_bound: APPLY_BOUND,
            faults: false,
        },
        answer: Some(QuietAnswer::NewestVersion),
        server_changes,
        late: 0,
        behind: comparisons.is_some(),
        comparisons,
        drills: false,
    };
    run_unread(plan);
}

/// Changes that the store loses, beside gateways that are killed and frozen.
fn check_drills(seed: u64) {
    run_unread(UnreadPlan {
        changes: GrowthPlan {
            seed,
            size: FleetSize {
                gateways: 4,
                engines: 0,
                plain: 6,
            },
            time: Duration::from_secs(14),
            bytes: (20_000, 20_000),
            intervals: (Duration::from_millis(300), Duration::from_secs(2)),
            apply_bound: APPLY_BOUND,
            faults: true,
        },
        answer: None,
        server_changes: true,
        late: 0,
        behind: false,
        comparisons: Some(Comparisons::Exact),
        drills: true,
    });
}

fn run_unread(plan: UnreadPlan) {
    let seed = plan.changes.seed;
    let run = |executor: Executor| async move { run_unread_soak(&executor, plan).await };
    let figures = Executor::run(2, run);
    assert!(figures.as_ref().is_ok_and(|figures| figures.faults > 0));
    check(seed, figures);
}

macro_rules! soaks {
    ($($(#[$doc:meta])* $name:ident => $run:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                $run;
            }
        )*
    };
}

soaks! {
    promises_hold_under_faults => check_faults(1);
    /// Prompts that waited at SIGTERM, and connections that the kernel took in the rest of the drain, were
    /// closed without an answer.
    requests_were_cut_at_a_stop => check_stops_beside_waiting_prompts(1);
    reservations_end_with_their_gateway => check_stops_beside_reservations(1);
    /// Gateways that leave the store to others got no declarations of more than 1 MiB.
    changes_beyond_a_mebibyte_never_arrived => check_large_changes(1);
    changes_are_in_force_under_faults => check_small_changes(2);
    /// Gateways that heard neither from the store nor of it from others answered 404 and 401.
    confirmed_routes_were_refused_while_the_store_turned_gateways_away => check_turned_away(1);
    /// Polls went on from the version that an answer without rows bore, so that the change before it was never
    /// read.
    changes_that_watches_did_not_tell_of_stayed_unread => check_unread(1, false, None);
    /// Listings of the servers' table come too late, as each watcher makes them at a time of its own.
    servers_that_left_unseen_by_watches_were_used => check_unread(1, true, None);
    /// What listings showed of seconds ago was taken for what holds.
    reads_that_were_behind_confirmed => check_unread(2, true, Some(Comparisons::Exact));
    reads_that_were_behind_confirmed_as_comparisons_were_refused => {
        check_unread(3, true, Some(Comparisons::Refused));
    };
    reads_that_were_behind_confirmed_as_comparisons_were_blind => {
        check_unread(4, true, Some(Comparisons::Blind));
    };
    /// Rows of a copy were taken for newer than what was known.
    changes_that_a_copy_lacked_were_lost => check_drills(1);
}
