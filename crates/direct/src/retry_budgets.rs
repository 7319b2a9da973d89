//! The retry budgets of the services.

use policy::{RepeatBudget, RepeatLimits, ServiceName};
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Retry budget of each service that callers have used.
#[derive(Debug)]
pub struct RetryBudgets {
    limits: RepeatLimits,
    by_service: Mutex<HashMap<ServiceName, RepeatBudget>>,
}

impl RetryBudgets {
    /// Budgets with these limits, none of which is used.
    pub fn new(limits: RepeatLimits) -> Self {
        Self {
            limits,
            by_service: Mutex::default(),
        }
    }

    /// Runs `f` on the budget of a service.
    pub fn with<T>(
        &self,
        service: &str,
        f: impl FnOnce(&mut RepeatBudget, RepeatLimits) -> T,
    ) -> T {
        let budgets = self.by_service.lock();
        let mut budgets = budgets.unwrap_or_else(PoisonError::into_inner);
        let budget = budgets.entry(service.into());
        // Times are counted from the start of the process.
        let new = || RepeatBudget::new(self.limits.window, Duration::ZERO);
        f(budget.or_insert_with(new), self.limits)
    }
}
