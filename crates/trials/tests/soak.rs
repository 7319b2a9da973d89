//! Short soak tests of direct gateways; longer ones are run by hand with the example `direct-soak`.

use runtime::Executor;
use std::time::Duration;
use trials::{SoakPlan, run_soak};

fn check_soak(seed: u64) {
    let plan = SoakPlan {
        seed,
        gateways: 4,
        servers: 3,
        fault_time: Duration::from_secs(5),
    };
    let figures = Executor::run(2, |executor| async move { run_soak(&executor, plan).await });
    let figures = figures.unwrap();
    assert_eq!(figures.violations, [] as [String; 0], "seed {seed}");
    assert!(figures.served > 0 && figures.faults > 0, "{figures:?}");
}

macro_rules! seeds {
    ($($name:ident => $seed:expr;)*) => {
        $(
            #[test]
            fn $name() {
                check_soak($seed);
            }
        )*
    };
}

seeds! {
    promises_hold_under_faults => 1;
}
