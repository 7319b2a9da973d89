//! What a scenario measured, and the bounds that it must keep.

use crate::driver::Sample;
use crate::report::Runs;
use serde::Serialize;
use std::collections::BTreeMap;

/// One bound on a figure.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Bound {
    /// Name of the figure.
    pub name: Box<str>,
    /// The figure.
    pub value: f64,
    /// Most that it may be.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub at_most: Option<f64>,
    /// Least that it must be.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub at_least: Option<f64>,
    /// Whether it keeps the bound.
    pub holds: bool,
}

/// The result of a scenario: the last line that it prints.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Figures {
    /// The scenario.
    pub scenario: Box<str>,
    /// Its seed.
    pub seed: u64,
    /// Figures by name.
    pub figures: BTreeMap<Box<str>, f64>,
    /// Bounds.
    pub bounds: Vec<Bound>,
    /// Samples for the plots of a report.
    #[serde(skip)]
    pub runs: Runs,
}

impl Figures {
    /// None yet.
    pub fn new(scenario: &str, seed: u64) -> Self {
        Self {
            scenario: scenario.into(),
            seed,
            ..Self::default()
        }
    }

    /// Adds a figure.
    pub fn add(&mut self, name: &str, value: f64) {
        self.figures.insert(name.into(), rounded(value));
    }

    /// Adds a figure that must be at most `limit`.
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

    /// Adds a figure that must be at least `limit`.
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

    /// Keeps the samples of one run for the plots of a report.
    pub fn add_run(&mut self, run: &str, samples: &[Sample]) {
        self.runs.push((run.into(), samples.to_vec()));
    }

    /// Whether all bounds hold.
    pub fn all_bounds_hold(&self) -> bool {
        self.bounds.iter().all(|bound| bound.holds)
    }

    /// The line of JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

fn rounded(value: f64) -> f64 {
    const DIGITS: f64 = 1e4;
    (value * DIGITS).round() / DIGITS
}
