//! Sums measured slopes at the size expected in two years.

use crate::slope::{LinearFit, Series, format_significant};
use policy::GossipConfig;

const GATEWAYS: f64 = 340.0;
const SERVERS: f64 = 600.0;
const NODES: f64 = GATEWAYS + SERVERS;
const TEAMS: f64 = 11_000.0;
const REQUESTS_PER_SECOND: f64 = 3_800.0;
const OUTPUT_TOKENS_PER_SECOND: f64 = 1_200_000.0;
/// Mean of a logarithmically even draw from 1k to 100k for 98 in 100 prompts, to 1M for the rest.
const MEAN_PROMPT_TOKENS: f64 = 0.98 * 21_500.0 + 0.02 * 390_900.0;
const FIRST_TOKEN_SECONDS: f64 = 0.8;
const SECONDS_BETWEEN_TOKENS: f64 = 0.048;
const CONNECTIONS_PER_REQUEST: f64 = 2.0;
const CHANGES_PER_SECOND: f64 = 650.0 / 86_400.0;
const LEASE_RENEWAL_SECONDS: f64 = 5.0;

const CPU_BUDGET: f64 = 2.4;
/// 64 MB.
const MEMORY_BUDGET_MIB: f64 = 61.0;
const BYTES_BUDGET: f64 = 2_000.0;
const READS_BUDGET: f64 = 2_000.0;
const WRITES_BUDGET: f64 = 300.0;
const KIB_PER_MIB: f64 = 1_024.0;
const MICROS_PER_PERCENT: f64 = 1e4;

/// One line of the sum.
#[derive(Debug, Clone, PartialEq)]
pub struct CapacityLine {
    /// Who bears it.
    pub role: &'static str,
    /// What it is.
    pub name: Box<str>,
    /// What carries it.
    pub mechanism: &'static str,
    /// Quantity at full size.
    pub value: f64,
    /// Standard error.
    pub error: f64,
    /// Unit.
    pub unit: &'static str,
    /// Most that it may be.
    pub budget: Option<f64>,
}

impl CapacityLine {
    /// Whether it keeps its budget.
    pub fn is_within_budget(&self) -> bool {
        self.budget.is_none_or(|budget| self.value <= budget)
    }

    /// The row of a Markdown table.
    pub fn to_row(&self) -> String {
        let budget = self.budget.map_or("–".into(), |budget| {
            format!("{} {}", format_significant(budget), self.unit)
        });
        let verdict = match (self.budget, self.is_within_budget()) {
            (None, _) => "–",
            (Some(budget), true) if self.value + self.error > budget => "holds, within its error",
            (_, true) => "holds",
            (_, false) => "**OVER**",
        };
        format!(
            "| {} | {} | {} | {} ± {} {} | {budget} | {verdict} |",
            self.role,
            self.name,
            self.mechanism,
            format_significant(self.value),
            format_significant(self.error),
            self.unit
        )
    }
}

/// Works the lines out.
pub fn project_capacity(series: &[Series]) -> Vec<CapacityLine> {
    let mut lines = Vec::new();
    let measured = MeasuredSeries { series };
    for (role, share) in [("gateway", GATEWAYS), ("agent", SERVERS)] {
        lines.extend(measured.memory(role));
        lines.extend(measured.control(role));
        lines.extend(measured.load(role, share));
    }
    lines.extend(measured.platform());
    lines
}

struct MeasuredSeries<'a> {
    series: &'a [Series],
}

impl MeasuredSeries<'_> {
    fn find(&self, name: &str, per: &str) -> Option<&Series> {
        let mut all = self.series.iter();
        all.find(|series| series.name == name && series.per == per)
    }

    fn fit(&self, name: &str, per: &str) -> LinearFit {
        self.find(name, per).map(Series::fit).unwrap_or_default()
    }

    fn estimate_at(&self, name: &str, per: &str, size: f64) -> (f64, f64) {
        let found = self.find(name, per);
        found
            .map(|series| series.estimate_at(size))
            .unwrap_or_default()
    }

    /// What a size adds to the base: nothing where the measured line falls.
    fn added(&self, name: &str, per: &str, size: f64) -> (f64, f64) {
        let fit = self.fit(name, per);
        (fit.slope.max(0.0) * size, fit.error_at(size))
    }

    fn memory(&self, role: &'static str) -> Vec<CapacityLine> {
        let name = format!("{role} memory");
        let part = |per: &'static str, size: f64, mechanism| {
            let (value, error) = self.added(&name, per, size);
            CapacityLine {
                role,
                name: format!("memory, {size:.0} of: {per}").into(),
                mechanism,
                value: value / KIB_PER_MIB,
                error: error / KIB_PER_MIB,
                unit: "MiB",
                budget: None,
            }
        };
        let mut lines = vec![
            CapacityLine {
                role,
                name: "memory, empty process".into(),
                mechanism: "binary, executor, metrics, time line",
                value: self.fit(&name, "declared server").intercept / KIB_PER_MIB,
                error: 0.0,
                unit: "MiB",
                budget: None,
            },
            part(
                "declared team",
                TEAMS,
                "whole declarations in each node, key index",
            ),
            part(
                "declared server",
                SERVERS,
                "whole declarations in each node",
            ),
            part("node", NODES, "membership, hints, links to what is near"),
        ];
        if role == "agent" {
            let (value, error) = self.added("memory of a process", "link", GATEWAYS);
            lines.push(CapacityLine {
                role,
                name: format!("memory, {GATEWAYS:.0} of: link from a gateway").into(),
                mechanism: "one connection for each pair that talks",
                value: value / KIB_PER_MIB,
                error: error / KIB_PER_MIB,
                unit: "MiB",
                budget: None,
            });
        }
        lines.push(total(
            role,
            "control memory",
            &lines,
            Some(MEMORY_BUDGET_MIB),
        ));
        lines
    }

    fn control(&self, role: &'static str) -> Vec<CapacityLine> {
        let cpu = self.estimate_at(&format!("{role} idle processor time"), "node", NODES);
        let parse = self
            .fit("reading a whole configuration", "team")
            .value_at(TEAMS);
        let take = self
            .fit("taking a change into force", "team")
            .value_at(TEAMS);
        let cpu_lines = [
            line(
                role,
                "idle processor time",
                "exchanges of summaries, polls, ticks",
                cpu,
                "% of a core",
            ),
            CapacityLine {
                role,
                name: "650 changes a day, read whole".into(),
                mechanism: "worst case: each node reads and takes the whole",
                value: (parse + take) * 1e3 * CHANGES_PER_SECOND / MICROS_PER_PERCENT,
                error: 0.0,
                unit: "% of a core",
                budget: None,
            },
        ];
        let bytes = self.estimate_at(&format!("{role} control bytes"), "node", NODES);
        let change = self.estimate_at(&format!("{role} bytes for a change"), "node", NODES);
        let list = self.fit("host list", "node");
        let list_bytes = list.value_at(NODES) * 1e3 / poll_seconds();
        let byte_lines = [
            line(
                role,
                "exchanges of summaries",
                "a few neighbours, summaries of fixed size",
                bytes,
                "B/s",
            ),
            CapacityLine {
                role,
                name: "changes of configuration".into(),
                mechanism: "differences pushed to neighbours",
                value: change.0 * CHANGES_PER_SECOND,
                error: change.1 * CHANGES_PER_SECOND,
                unit: "B/s",
                budget: None,
            },
            CapacityLine {
                role,
                name: "host list".into(),
                mechanism: "whole list, read at the fleet's shared poll rate",
                value: list_bytes,
                error: 0.0,
                unit: "B/s",
                budget: None,
            },
        ];
        let cpu_total = total(role, "control processor time", &cpu_lines, Some(CPU_BUDGET));
        let byte_total = total(role, "control bytes", &byte_lines, Some(BYTES_BUDGET));
        let mut lines: Vec<CapacityLine> = cpu_lines.into();
        lines.push(cpu_total);
        lines.extend(byte_lines);
        lines.push(byte_total);
        lines
    }

    fn load(&self, role: &'static str, share: f64) -> Vec<CapacityLine> {
        let cpu = format!("{role} processor time");
        let memory = format!("{role} memory");
        let part = |per: &str, size: f64, mechanism| {
            let (value, error) = self.added(&cpu, per, size);
            CapacityLine {
                role,
                name: format!("{size:.0} of: {per}").into(),
                mechanism,
                value: value / MICROS_PER_PERCENT,
                error: error / MICROS_PER_PERCENT,
                unit: "% of a core",
                budget: None,
            }
        };
        let output = OUTPUT_TOKENS_PER_SECOND / REQUESTS_PER_SECOND;
        let seconds = FIRST_TOKEN_SECONDS + output * SECONDS_BETWEEN_TOKENS;
        let in_flight = REQUESTS_PER_SECOND * seconds / share;
        let requests = REQUESTS_PER_SECOND / share;
        let mut lines = vec![
            part(
                "request a second",
                requests,
                "one stream of a link for each attempt",
            ),
            part(
                "output token a second",
                OUTPUT_TOKENS_PER_SECOND / share,
                "a frame for each token",
            ),
            part(
                "prompt token a second",
                requests * MEAN_PROMPT_TOKENS,
                "body passed on in frames",
            ),
        ];
        if role == "gateway" {
            let route = self.estimate_at("routing decision", "server", SERVERS);
            lines.push(CapacityLine {
                role,
                name: format!("routing, {requests:.0} decisions a second").into(),
                mechanism: "choice by hints and hashing",
                value: route.0 * requests / MICROS_PER_PERCENT,
                error: route.1 * requests / MICROS_PER_PERCENT,
                unit: "% of a core",
                budget: None,
            });
        }
        lines.push(total(role, "processor time for requests", &lines, None));
        let held = |per: &str, size: f64, mechanism| {
            let (value, error) = self.added(&memory, per, size);
            CapacityLine {
                role,
                name: format!("memory, {size:.0} of: {per}").into(),
                mechanism,
                value: value / KIB_PER_MIB,
                error: error / KIB_PER_MIB,
                unit: "MiB",
                budget: None,
            }
        };
        lines.push(held(
            "request in flight",
            in_flight,
            "bounded buffers; bodies within a budget",
        ));
        if role == "gateway" {
            let open = in_flight * CONNECTIONS_PER_REQUEST;
            lines.push(held(
                "caller's open connection",
                open,
                "a bounded number of connections",
            ));
        }
        lines
    }

    fn platform(&self) -> Vec<CapacityLine> {
        let polls = NODES / poll_seconds();
        let list = self.fit("host list", "node").value_at(NODES);
        let plain = |role, name: &str, mechanism, value, unit, budget| CapacityLine {
            role,
            name: name.into(),
            mechanism,
            value,
            error: 0.0,
            unit,
            budget,
        };
        vec![
            plain(
                "table service",
                "reads",
                "polls of the small head row share one rate over all nodes",
                polls,
                "1/s",
                Some(READS_BUDGET),
            ),
            plain(
                "table service",
                "writes for leases",
                "a renewal every 5 s for each backend server",
                SERVERS / LEASE_RENEWAL_SECONDS,
                "1/s",
                Some(WRITES_BUDGET),
            ),
            plain(
                "table service",
                "writes for changes",
                "one transaction for each change",
                CHANGES_PER_SECOND,
                "1/s",
                Some(WRITES_BUDGET),
            ),
            plain(
                "host list",
                "reads",
                "the same shared poll rate",
                polls,
                "1/s",
                None,
            ),
            plain(
                "host list",
                "bytes sent",
                "whole list each time",
                polls * list * 1e3 / 1e6,
                "MB/s",
                None,
            ),
        ]
    }
}

fn poll_seconds() -> f64 {
    let cfg = GossipConfig::for_node("node-1", 1);
    cfg.poll_interval(NODES as usize).as_secs_f64()
}

fn line(
    role: &'static str,
    name: &str,
    mechanism: &'static str,
    (value, error): (f64, f64),
    unit: &'static str,
) -> CapacityLine {
    CapacityLine {
        role,
        name: name.into(),
        mechanism,
        value,
        error,
        unit,
        budget: None,
    }
}

fn total(
    role: &'static str,
    name: &str,
    parts: &[CapacityLine],
    budget: Option<f64>,
) -> CapacityLine {
    let squares = parts.iter().map(|part| part.error.powi(2));
    CapacityLine {
        role,
        name: format!("**{name}**").into(),
        mechanism: "sum of the lines above",
        value: parts.iter().map(|part| part.value).sum(),
        error: squares.sum::<f64>().sqrt(),
        unit: parts.first().map_or("", |part| part.unit),
        budget,
    }
}
