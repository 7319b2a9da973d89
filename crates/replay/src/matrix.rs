//! The fault matrix: each cell injects one fault at one step of a protocol and checks the
//! invariants.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

/// Result of a cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// No invariant was violated.
    Passed,
    /// The step was not reached or invariants were violated; says which.
    Failed(Box<str>),
    /// The fault cannot occur at this step; says why.
    NotApplicable(&'static str),
}

/// One fault at one step of a protocol, with its result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cell {
    /// Name of the protocol, such as `request` or `claim`.
    pub protocol: &'static str,
    /// Name of the step at which the fault is injected.
    pub step: &'static str,
    /// Debug text of the fault, with its parameters.
    pub fault: Box<str>,
    /// Result of the run.
    pub verdict: Verdict,
}

/// Fault matrix of one or more protocols. Its `Display` output is a table of counts per protocol,
/// followed by failed cells and the reasons of cells that are not applicable.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FaultMatrix {
    /// Cells of a protocol, one protocol after the other.
    pub cells: Vec<Cell>,
}

impl FaultMatrix {
    /// Adds a cell; cells of a protocol must be added in sequence.
    pub fn add(
        &mut self,
        protocol: &'static str,
        step: &'static str,
        fault: &str,
        verdict: Verdict,
    ) {
        self.cells.push(Cell {
            protocol,
            step,
            fault: fault.into(),
            verdict,
        });
    }

    /// Cells with [`Verdict::Failed`].
    pub fn failed(&self) -> impl Iterator<Item = &Cell> {
        let failed = |cell: &&Cell| matches!(cell.verdict, Verdict::Failed(_));
        self.cells.iter().filter(failed)
    }

    /// Names of the protocols, in the order in which they were added.
    pub fn protocols(&self) -> Vec<&'static str> {
        let mut names: Vec<&'static str> = self.cells.iter().map(|cell| cell.protocol).collect();
        names.dedup();
        names
    }

    fn reasons(&self) -> BTreeMap<(&'static str, &'static str), usize> {
        let mut reasons = BTreeMap::new();
        for cell in &self.cells {
            if let Verdict::NotApplicable(reason) = cell.verdict {
                *reasons.entry((cell.protocol, reason)).or_default() += 1;
            }
        }
        reasons
    }

    fn count(&self, protocol: &str, matches: impl Fn(&Verdict) -> bool) -> usize {
        let cells = self.cells.iter().filter(|cell| cell.protocol == protocol);
        cells.filter(|cell| matches(&cell.verdict)).count()
    }
}

impl Display for FaultMatrix {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<12} {:>5} {:>7} {:>7} {:>15}",
            "protocol", "run", "passed", "failed", "not applicable"
        )?;
        for protocol in self.protocols() {
            let passed = self.count(protocol, |verdict| *verdict == Verdict::Passed);
            let failed = self.count(protocol, |verdict| matches!(verdict, Verdict::Failed(_)));
            let not_applicable = self.count(protocol, |verdict| {
                matches!(verdict, Verdict::NotApplicable(_))
            });
            let run = passed + failed;
            writeln!(
                f,
                "{protocol:<12} {run:>5} {passed:>7} {failed:>7} {not_applicable:>15}"
            )?;
        }
        for cell in self.failed() {
            if let Verdict::Failed(why) = &cell.verdict {
                let (protocol, step, fault) = (cell.protocol, cell.step, &cell.fault);
                writeln!(f, "failed: {protocol} / {step} / {fault}: {why}")?;
            }
        }
        for ((protocol, reason), count) in self.reasons() {
            writeln!(f, "not applicable: {protocol}, {count} cells: {reason}")?;
        }
        Ok(())
    }
}
