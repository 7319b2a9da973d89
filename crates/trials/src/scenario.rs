//! The load scenarios that run against a local fleet, by name.

use crate::config_spread;
use crate::domain_out;
use crate::error::TrialError;
use crate::figures::Figures;
use crate::long_span;
use crate::mixed_lengths;
use crate::overhead;
use quick_error::quick_error;
use runtime::Executor;
use std::str::FromStr;
use std::time::Duration;

quick_error! {
    /// The name of a scenario that does not exist.
    #[derive(Debug)]
    pub enum UnknownScenario {
        /// No scenario has this name; the message lists all names.
        Name(name: Box<str>) {
            display("no scenario {name}; there are: {}", Scenario::names().join(", "))
        }
    }
}

/// A load scenario that runs against a local fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Long prompts that need the memory of several engines, among short ones.
    LongSpan,
    /// The latency that the system adds to an engine's own.
    Overhead,
    /// A failure domain is taken out and brought back under load.
    DomainOut,
    /// How fast configuration changes become active, and what control traffic costs.
    ConfigSpread,
    /// Prompts of all lengths on one fleet.
    MixedLengths,
}

/// Parameters that all scenarios share.
#[derive(Debug, Clone, Copy)]
pub struct ScenarioConfig {
    /// Seed of all random draws.
    pub seed: u64,
    /// Length of the main load.
    pub load_duration: Duration,
}

const SCENARIOS: [(&str, Scenario); 5] = [
    ("domain-out", Scenario::DomainOut),
    ("config-spread", Scenario::ConfigSpread),
    ("long-span", Scenario::LongSpan),
    ("overhead", Scenario::Overhead),
    ("mixed-lengths", Scenario::MixedLengths),
];

impl Scenario {
    /// Names of all scenarios, as [`FromStr`] accepts them.
    pub fn names() -> Vec<&'static str> {
        SCENARIOS.iter().map(|(name, _)| *name).collect()
    }

    /// Runs the scenario on a fleet of its own and returns its figures.
    pub async fn run(
        self,
        executor: &Executor,
        cfg: ScenarioConfig,
    ) -> Result<Figures, TrialError> {
        match self {
            Self::LongSpan => long_span::run(executor, cfg).await,
            Self::Overhead => overhead::run(executor, cfg).await,
            Self::MixedLengths => mixed_lengths::run(executor, cfg).await,
            Self::DomainOut => domain_out::run(executor, cfg).await,
            Self::ConfigSpread => config_spread::run(executor, cfg).await,
        }
    }
}

impl FromStr for Scenario {
    type Err = UnknownScenario;

    fn from_str(name: &str) -> Result<Self, UnknownScenario> {
        let found = SCENARIOS.iter().find(|(known, _)| *known == name);
        found
            .map(|(_, scenario)| *scenario)
            .ok_or_else(|| UnknownScenario::Name(name.into()))
    }
}
