//! Retry budgets and retry conditions.

use policy::{RetryBudget, RetryBudgetConfig, is_worth_retrying};
use std::time::Duration;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn retries_stay_a_tenth_of_first_attempts() {
    let mut budget = RetryBudget::new(RetryBudgetConfig::default());
    let mut retries = 0;
    for n in 0..1000 {
        budget.on_first_attempt();
        while budget.try_spend(at(n)) {
            retries += 1;
        }
    }
    assert!((95..=102).contains(&retries), "{retries}");
}

#[test]
fn pressure_pauses_retries_longer_and_longer() {
    let mut budget = RetryBudget::new(RetryBudgetConfig::default());
    let mut pauses = Vec::new();
    let mut now = Duration::ZERO;
    for _ in 0..8 {
        budget.on_overload(now);
        let start = now;
        while !budget.try_spend(now) {
            budget.on_first_attempt();
            now += at(10);
        }
        pauses.push((now - start).as_millis());
    }
    assert_eq!(pauses, [100, 200, 400, 800, 1600, 3200, 5000, 5000]);
    for _ in 0..10 {
        budget.on_answer();
    }
    budget.on_overload(now);
    budget.on_first_attempt();
    assert!(!budget.try_spend(now + at(99)) && budget.try_spend(now + at(100)));
}

#[test]
fn no_retry_that_cannot_end_in_time() {
    assert!(is_worth_retrying(at(500), at(400)));
    assert!(!is_worth_retrying(at(400), at(400)));
}
