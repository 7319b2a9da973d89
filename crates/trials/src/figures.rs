//! The measurements of a scenario, and the bounds that they are checked against.

use crate::driver::Sample;
use crate::report::RunSamples;
use serde::Serialize;
use std::collections::BTreeMap;

/// A check of a figure against one bound; serialized into the last line that a scenario prints.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Bound {
    /// Name of the bounded figure.
    pub name: Box<str>,
    /// Measured value, rounded to four decimals.
    pub value: f64,
    /// Upper bound, for a figure that has one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub at_most: Option<f64>,
    /// Lower bound, for a figure that has one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub at_least: Option<f64>,
    /// Whether the value, before rounding, keeps the bound.
    pub holds: bool,
}

/// The result of a scenario, printed as its last line in JSON.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Figures {
    /// Name of the scenario.
    pub scenario: Box<str>,
    /// Seed that the load was generated from.
    pub seed: u64,
    /// All figures by name, the bounded ones included; rounded to four decimals.
    pub figures: BTreeMap<Box<str>, f64>,
    /// Checked bounds, in the order in which they were added.
    pub bounds: Vec<Bound>,
    /// Samples of each run, for the plots of the HTML report.
    #[serde(skip)]
    pub runs: RunSamples,
}

impl Figures {
    /// Creates a result without figures.
    pub fn new(scenario: &str, seed: u64) -> Self {
        Self {
            scenario: scenario.into(),
            seed,
            ..Self::default()
        }
    }

    /// Adds a figure without a bound.
    pub fn add(&mut self, name: &str, value: f64) {
        self.figures.insert(name.into(), rounded(value));
    }

    /// Adds a figure and the bound that it is at most `limit`.
    pub fn at_most(&mut self, name: &str, value: f64, limit: f64) {
        self.add(name, value);
        self.bounds.push(Bound {
            name: name.into(),
            value: rounded(value),
            at_most: Some(limit),
            at_least: None,
            holds: value <= limit,
        });
    }

    /// Adds a figure and the bound that it is at least `limit`.
    pub fn at_least(&mut self, name: &str, value: f64, limit: f64) {
        self.add(name, value);
        self.bounds.push(Bound {
            name: name.into(),
            value: rounded(value),
            at_most: None,
            at_least: Some(limit),
            holds: value >= limit,
        });
    }

    /// Adds the samples of one run for the plots of the HTML report.
    pub fn add_run(&mut self, run: &str, samples: &[Sample]) {
        self.runs.push((run.into(), samples.to_vec()));
    }

    /// Whether all bounds hold.
    pub fn all_bounds_hold(&self) -> bool {
        self.bounds.iter().all(|bound| bound.holds)
    }

    /// Returns the result as one line of JSON, without the samples.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

fn rounded(value: f64) -> f64 {
    const DIGITS: f64 = 1e4;
    (value * DIGITS).round() / DIGITS
}
