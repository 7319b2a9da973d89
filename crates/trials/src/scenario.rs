//! The load scenarios by name.

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
    /// A name that no scenario has.
    #[derive(Debug)]
    pub enum UnknownScenario {
        /// The name.
        Name(name: Box<str>) {
            display("no scenario {name}; there are: {}", Scenario::names().join(", "))
        }
    }
}

/// A load scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Prompts of several engines' memory among short ones.
    LongSpan,
    /// What the system adds to an engine's own time.
    Overhead,
    /// A failure domain out and back under load.
    DomainOut,
    /// How fast configurations are in force, and what control costs.
    ConfigSpread,
    /// Prompts of all lengths share the fleet.
    MixedLengths,
}

/// Settings that all scenarios share.
#[derive(Debug, Clone, Copy)]
pub struct ScenarioConfig {
    /// Seed of all draws.
    pub seed: u64,
    /// Time of the main load.
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
    /// Names of all scenarios.
    pub fn names() -> Vec<&'static str> {
        SCENARIOS.iter().map(|(name, _)| *name).collect()
    }

    /// Runs the scenario.
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
