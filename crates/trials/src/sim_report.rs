//! The report of a virtual-time scenario, as text and as JSON, with the bounds that are checked.

use crate::sim_figures::{SimEnd, SimFigures};
use crate::sim_gateway::SimPolicy;
use serde::Serialize;
use serde_json::{Map, Value, json};
use std::fmt::{self, Display, Formatter};

/// A check of a measured figure against a bound that was fixed before the measurement.
#[derive(Debug, Clone, Serialize)]
pub struct SimBound {
    /// Name of the figure.
    pub name: &'static str,
    /// The measured value, rounded to thousandths.
    pub measured: f64,
    /// True for a lower bound, false for an upper bound.
    pub is_least: bool,
    /// The bound, rounded to thousandths.
    pub bound: f64,
    /// Whether the value, before rounding, keeps the bound.
    pub holds: bool,
}

/// The figures of each policy in a scenario, and the bounds on the product's figures.
#[derive(Debug)]
pub struct SimReport {
    scenario: &'static str,
    seed: u64,
    policies: Map<String, Value>,
    bounds: Vec<SimBound>,
}

impl SimReport {
    /// Creates an empty report.
    pub fn new(scenario: &'static str, seed: u64) -> Self {
        Self {
            scenario,
            seed,
            policies: Map::new(),
            bounds: Vec::new(),
        }
    }

    /// Adds the figures of one policy: the common ones, then the scenario's own from a JSON object.
    pub fn add(&mut self, policy: SimPolicy, figures: &SimFigures, scenario_figures: Value) {
        let mut value = json!({
            "requests": figures.requests.len(),
            "finished": figures.count(SimEnd::Finished),
            "refused": figures.count(SimEnd::Refused),
            "failed": figures.count(SimEnd::Failed),
            "late": figures.count(SimEnd::Late),
            "attempts_per_request": round(figures.attempts_per_request()),
        });
        if let (Value::Object(value), Value::Object(scenario_figures)) =
            (&mut value, scenario_figures)
        {
            value.extend(scenario_figures);
        }
        self.policies.insert(policy.name().into(), value);
    }

    /// Checks that a figure is at most `bound`.
    pub fn at_most(&mut self, name: &'static str, measured: f64, bound: f64) {
        self.add_bound(name, measured, false, bound);
    }

    /// Checks that a figure is at least `bound`.
    pub fn at_least(&mut self, name: &'static str, measured: f64, bound: f64) {
        self.add_bound(name, measured, true, bound);
    }

    /// Returns the report as one line of JSON.
    pub fn to_json(&self) -> String {
        json!({
            "scenario": self.scenario,
            "time": "virtual",
            "seed": self.seed,
            "policies": self.policies,
            "bounds": self.bounds,
        })
        .to_string()
    }

    fn add_bound(&mut self, name: &'static str, measured: f64, is_least: bool, bound: f64) {
        let holds = if is_least {
            measured >= bound
        } else {
            measured <= bound
        };
        self.bounds.push(SimBound {
            name,
            measured: round(measured),
            is_least,
            bound: round(bound),
            holds,
        });
    }
}

impl Display for SimReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} in virtual time, seed {}", self.scenario, self.seed)?;
        for (policy, figures) in &self.policies {
            writeln!(f, "  {policy}: {figures}")?;
        }
        for bound in &self.bounds {
            let relation = if bound.is_least { ">=" } else { "<=" };
            let verdict = if bound.holds { "holds" } else { "FAILS" };
            let SimBound {
                name,
                measured,
                bound,
                ..
            } = bound;
            writeln!(f, "  {verdict}: {name} {measured} {relation} {bound}")?;
        }
        Ok(())
    }
}

/// Rounds to thousandths.
pub fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}
