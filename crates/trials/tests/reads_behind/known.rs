//! What gateways know already is not taken back by listings that do not show it yet.

use crate::change::{ADDED_ROUTE, Change, EVACUATION, EVACUATION_TAKEN_BACK, WITHDRAWN_KEY};
use crate::stale_store::{APPLY, BEHIND, Reads, Right, all, check_until, compact, run};

fn stays_in_force(change: &Change, reads: Reads) {
    run(2, reads, async |trial| {
        (change.before)(trial);
        let (old, new) = change.answers;
        change.wait_for(trial, old).await;
        trial.store().backdate(BEHIND);
        (change.make)(trial);
        change.wait_for(trial, new).await;
        let since = compact(trial, reads, |_| {}).await;
        let right = [Right {
            from: since,
            answers: &change.answers_behind(reads),
        }];
        let gateways = all(trial);
        let ask = async |gateway: &_| change.ask(gateway).await;
        check_until(trial, &gateways, ask, &right, since + BEHIND + APPLY).await;
        change.check_present(trial, reads, &gateways).await;
    });
}

each_way! {
    a_known_evacuation: |reads| stays_in_force(&EVACUATION, reads);
    a_known_end_of_an_evacuation: |reads| stays_in_force(&EVACUATION_TAKEN_BACK, reads);
    a_known_route: |reads| stays_in_force(&ADDED_ROUTE, reads);
    a_known_withdrawal_of_a_key: |reads| stays_in_force(&WITHDRAWN_KEY, reads);
}
