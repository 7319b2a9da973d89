//! Projects measured costs to the fleet size expected in two years and compares them with budgets.

use crate::slope::{LinearFit, Series, format_significant};
use policy::GossipConfig;

const GATEWAYS: f64 = 340.0;
const SERVERS: f64 = 600.0;
const NODES: f64 = GATEWAYS + SERVERS;
const TEAMS: f64 = 11_000.0;
const REQUESTS_PER_SECOND: f64 = 3_800.0;
const OUTPUT_TOKENS_PER_SECOND: f64 = 1_200_000.0;
/// Mean of a log-uniform draw: from 1k to 100k tokens for 98% of the prompts, from 100k to 1M for
/// the rest.
const MEAN_PROMPT_TOKENS: f64 = 0.98 * 21_500.0 + 0.02 * 390_900.0;
const FIRST_TOKEN_SECONDS: f64 = 0.8;
const SECONDS_BETWEEN_TOKENS: f64 = 0.048;
const CONNECTIONS_PER_REQUEST: f64 = 2.0;
const CHANGES_PER_SECOND: f64 = 650.0 / 86_400.0;
const LEASE_RENEWAL_SECONDS: f64 = 5.0;

/// Percentage of a core for control traffic in one node.
const CPU_BUDGET_PERCENT: f64 = 2.4;
/// Memory for control state in one node: 64 MB, in MiB.
const MEMORY_BUDGET_MIB: f64 = 61.0;
const BYTES_PER_SECOND_BUDGET: f64 = 2_000.0;
const READS_PER_SECOND_BUDGET: f64 = 2_000.0;
const WRITES_PER_SECOND_BUDGET: f64 = 300.0;
const KIB_PER_MIB: f64 = 1_024.0;
const MICROS_PER_PERCENT: f64 = 1e4;

/// One line of the projection: a cost of one role, or of the platform, at full size.
#[derive(Debug, Clone, PartialEq)]
pub struct CapacityLine {
    /// The role or platform service that has the cost: `gateway`, `agent`, `table service` or
    /// `host list`.
    pub role: &'static str,
    /// Name of the cost; totals are in bold Markdown.
    pub name: Box<str>,
    /// The mechanism that causes or limits the cost.
    pub mechanism: &'static str,
    /// Projected cost, in `unit`.
    pub value: f64,
    /// Standard error of the value, from the fit; zero where none was estimated.
    pub error: f64,
    /// Unit of the value, its error and its budget.
    pub unit: &'static str,
    /// Highest value allowed, if there is a limit.
    pub budget: Option<f64>,
}

impl CapacityLine {
    /// Whether the value is at most the budget; true without one.
    pub fn is_within_budget(&self) -> bool {
        self.budget.is_none_or(|budget| self.value <= budget)
    }

    /// Formats the line as a row of a Markdown table.
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

/// Projects the measured series to the full size, role by role, then the platform services.
pub fn project_capacity(series: &[Series]) -> Vec<CapacityLine> {
    let mut lines = Vec::new();
    let measured = MeasuredSeries { series };
    for (role, nodes) in [("gateway", GATEWAYS), ("agent", SERVERS)] {
        lines.extend(measured.memory_lines(role));
        lines.extend(measured.control_lines(role));
        lines.extend(measured.load_lines(role, nodes));
    }
    lines.extend(measured.platform_lines());
    lines
}

/// The measured series, looked up by the name of the quantity and the unit of the size.
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

    /// Cost that a size adds to the intercept, with its error; the cost is zero where the fitted
    /// slope is negative.
    fn added_cost(&self, name: &str, per: &str, size: f64) -> (f64, f64) {
        let fit = self.fit(name, per);
        (fit.slope.max(0.0) * size, fit.error_at(size))
    }

    fn memory_lines(&self, role: &'static str) -> Vec<CapacityLine> {
        let name = format!("{role} memory");
        let projected = |per: &'static str, size: f64, mechanism| {
            let (value, error) = self.added_cost(&name, per, size);
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
            projected(
                "declared team",
                TEAMS,
                "whole declarations in each node, key index",
            ),
            projected(
                "declared server",
                SERVERS,
                "whole declarations in each node",
            ),
            projected("node", NODES, "membership, hints, links to what is near"),
        ];
        if role == "agent" {
            let (value, error) = self.added_cost("memory of a process", "link", GATEWAYS);
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

    fn control_lines(&self, role: &'static str) -> Vec<CapacityLine> {
        let cpu = self.estimate_at(&format!("{role} idle processor time"), "node", NODES);
        let parse = self
            .fit("reading a whole configuration", "team")
            .value_at(TEAMS);
        let apply = self
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
                value: (parse + apply) * 1e3 * CHANGES_PER_SECOND / MICROS_PER_PERCENT,
                error: 0.0,
                unit: "% of a core",
                budget: None,
            },
        ];
        let bytes = self.estimate_at(&format!("{role} control bytes"), "node", NODES);
        let change_bytes = self.estimate_at(&format!("{role} bytes for a change"), "node", NODES);
        let list_fit = self.fit("host list", "node");
        let list_bytes = list_fit.value_at(NODES) * 1e3 / poll_seconds();
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
                value: change_bytes.0 * CHANGES_PER_SECOND,
                error: change_bytes.1 * CHANGES_PER_SECOND,
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
        let cpu_total = total(
            role,
            "control processor time",
            &cpu_lines,
            Some(CPU_BUDGET_PERCENT),
        );
        let byte_total = total(
            role,
            "control bytes",
            &byte_lines,
            Some(BYTES_PER_SECOND_BUDGET),
        );
        let mut lines: Vec<CapacityLine> = cpu_lines.into();
        lines.push(cpu_total);
        lines.extend(byte_lines);
        lines.push(byte_total);
        lines
    }

    fn load_lines(&self, role: &'static str, nodes: f64) -> Vec<CapacityLine> {
        let cpu = format!("{role} processor time");
        let memory = format!("{role} memory");
        let projected = |per: &str, size: f64, mechanism| {
            let (value, error) = self.added_cost(&cpu, per, size);
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
        let output_tokens = OUTPUT_TOKENS_PER_SECOND / REQUESTS_PER_SECOND;
        let seconds = FIRST_TOKEN_SECONDS + output_tokens * SECONDS_BETWEEN_TOKENS;
        let active_requests = REQUESTS_PER_SECOND * seconds / nodes;
        let requests = REQUESTS_PER_SECOND / nodes;
        let mut lines = vec![
            projected(
                "request a second",
                requests,
                "one stream of a link for each attempt",
            ),
            projected(
                "output token a second",
                OUTPUT_TOKENS_PER_SECOND / nodes,
                "a frame for each token",
            ),
            projected(
                "prompt token a second",
                requests * MEAN_PROMPT_TOKENS,
                "body passed on in frames",
            ),
        ];
        if role == "gateway" {
            let routing = self.estimate_at("routing decision", "server", SERVERS);
            lines.push(CapacityLine {
                role,
                name: format!("routing, {requests:.0} decisions a second").into(),
                mechanism: "choice by hints and hashing",
                value: routing.0 * requests / MICROS_PER_PERCENT,
                error: routing.1 * requests / MICROS_PER_PERCENT,
                unit: "% of a core",
                budget: None,
            });
        }
        lines.push(total(role, "processor time for requests", &lines, None));
        let projected_memory = |per: &str, size: f64, mechanism| {
            let (value, error) = self.added_cost(&memory, per, size);
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
        lines.push(projected_memory(
            "request in flight",
            active_requests,
            "bounded buffers; bodies within a budget",
        ));
        if role == "gateway" {
            let open = active_requests * CONNECTIONS_PER_REQUEST;
            lines.push(projected_memory(
                "caller's open connection",
                open,
                "a bounded number of connections",
            ));
        }
        lines
    }

    fn platform_lines(&self) -> Vec<CapacityLine> {
        let polls = NODES / poll_seconds();
        let list_kb = self.fit("host list", "node").value_at(NODES);
        let line = |role, name: &str, mechanism, value, unit, budget| CapacityLine {
            role,
            name: name.into(),
            mechanism,
            value,
            error: 0.0,
            unit,
            budget,
        };
        vec![
            line(
                "table service",
                "reads",
                "polls of the small head row share one rate over all nodes",
                polls,
                "1/s",
                Some(READS_PER_SECOND_BUDGET),
            ),
            line(
                "table service",
                "writes for leases",
                "a renewal every 5 s for each backend server",
                SERVERS / LEASE_RENEWAL_SECONDS,
                "1/s",
                Some(WRITES_PER_SECOND_BUDGET),
            ),
            line(
                "table service",
                "writes for changes",
                "one transaction for each change",
                CHANGES_PER_SECOND,
                "1/s",
                Some(WRITES_PER_SECOND_BUDGET),
            ),
            line(
                "host list",
                "reads",
                "the same shared poll rate",
                polls,
                "1/s",
                None,
            ),
            line(
                "host list",
                "bytes sent",
                "whole list each time",
                polls * list_kb * 1e3 / 1e6,
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
