//! The capacity table: costs measured on one machine and projected to the fleet size expected in
//! two years.

use crate::capacity_sum::{CapacityLine, project_capacity};
use crate::error::TrialError;
use crate::slope::Series;
use crate::{
    capacity_decisions, capacity_fleet, capacity_links, capacity_load, capacity_placement,
    capacity_state,
};
use runtime::Executor;

/// Measured series, and the lines projected from them.
#[derive(Debug)]
pub struct Capacity {
    /// Each measured quantity at several sizes.
    pub series: Vec<Series>,
    /// Projected lines; empty when only decisions were measured.
    pub lines: Vec<CapacityLine>,
}

impl Capacity {
    /// Measures only the decision code, in this process, without projecting the results.
    pub fn decisions() -> Self {
        eprintln!("capacity: decisions");
        let mut series = capacity_decisions::measure();
        series.extend(capacity_placement::measure());
        let lines = Vec::new();
        Self { series, lines }
    }

    /// Measures everything, starting fleets of processes, and projects the results.
    pub async fn measure(executor: &Executor, seed: u64) -> Result<Self, TrialError> {
        let Self { mut series, .. } = Self::decisions();
        eprintln!("capacity: links");
        series.push(capacity_links::measure(executor).await?);
        eprintln!("capacity: state");
        series.extend(capacity_state::measure(executor).await?);
        eprintln!("capacity: load");
        series.extend(capacity_load::measure(executor, seed).await?);
        eprintln!("capacity: fleets of several sizes");
        series.extend(capacity_fleet::measure(executor).await?);
        let lines = project_capacity(&series);
        Ok(Self { series, lines })
    }

    /// Formats both tables as Markdown.
    pub fn to_markdown(&self) -> String {
        let mut text = String::from(
            "| quantity | size: measured | at size zero | slope ± standard error | r² |\n\
             | --- | --- | --- | --- | --- |\n",
        );
        for series in &self.series {
            text += &series.to_row();
            text.push('\n');
        }
        text += "\n| role | line | mechanism | at full size | budget | verdict |\n\
                 | --- | --- | --- | --- | --- | --- |\n";
        for line in &self.lines {
            text += &line.to_row();
            text.push('\n');
        }
        text
    }
}
