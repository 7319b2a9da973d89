//! Fault matrices of spans, orders and configurations, over the simulations in the tests of the
//! `policy` crate.

use crate::fleet::{Fleet, FleetConfig, SECOND};
use crate::span_world::{Fault, Input, Msg, Step, World};
use policy::{DesiredState, EngineRole, Segment, SpanPlan};
use proto::prelude::*;
use proto::{SpanTicket, Stamp};
use replay::{FaultMatrix, Verdict};

/// Longest time after a fault until memory without an owner is freed, in seconds: the lease of a dead
/// holder (15), its margin (1), the read that sees the lease expire (5), the lease of the grants (6)
/// and one round of reconciliation (6).
const FREED_TIME: Duration = Duration::from_secs(15 + 1 + 5 + 6 + 6);
const DEADLINE: Duration = Duration::from_secs(90);
const LEADER: usize = 2;
const NODE_COUNT: usize = 60;
const SETTLE_TIME: Duration = Duration::from_secs(45);

const SPAN_STEPS: [(Step, &str); 6] = [
    (Step::Reserve, "reserve"),
    (Step::Prefill, "prefill"),
    (Step::Export, "export"),
    (Step::Import, "import"),
    (Step::Decode, "decode"),
    (Step::Release, "release"),
];
const ORDER_STEPS: [(Step, &str); 2] = [(Step::Load, "load"), (Step::Role, "role")];
const FAULTS: [Fault; 8] = [
    Fault::CrashLeader,
    Fault::CrashMember,
    Fault::FreezeLeader,
    Fault::FreezeMember,
    Fault::CutLink,
    Fault::LostAnswer,
    Fault::LateAnswer,
    Fault::GatewayGone,
];

/// Injects every fault at every step of a span over three engines.
pub fn span_matrix() -> FaultMatrix {
    let mut matrix = FaultMatrix::default();
    for (step, name) in SPAN_STEPS {
        for fault in FAULTS {
            matrix.add("span", name, &format!("{fault:?}"), span_cell(step, fault));
        }
    }
    matrix
}

/// Injects every fault at every step of an order under a lease, with engines that check fencing
/// numbers and with engines that do not.
pub fn order_matrix() -> FaultMatrix {
    let mut matrix = FaultMatrix::default();
    for (step, name) in ORDER_STEPS {
        for fault in FAULTS {
            for checks_fencing in [true, false] {
                let fault_name = format!("{fault:?}, fencing checked: {checks_fencing}");
                matrix.add(
                    "lease",
                    name,
                    &fault_name,
                    order_cell(step, fault, checks_fencing),
                );
            }
        }
    }
    matrix
}

/// Injects every fault before, at and after the commit of a configuration.
pub fn config_matrix() -> FaultMatrix {
    let mut matrix = FaultMatrix::default();
    for (moment, name) in MOMENTS {
        for fault in CONFIG_FAULTS {
            let verdict = config_cell(moment, fault);
            matrix.add("config", name, &format!("{fault:?}"), verdict);
        }
    }
    matrix
}

fn verdict(violations: Vec<String>) -> Verdict {
    if violations.is_empty() {
        Verdict::Passed
    } else {
        Verdict::Failed(violations.join("; ").into())
    }
}

fn check(violations: &mut Vec<String>, holds: bool, violation: &str) {
    if !holds {
        violations.push(violation.into());
    }
}

fn plan() -> SpanPlan {
    let segment = |server: usize, from, to| Segment {
        server: server.to_string().into(),
        from,
        to,
        tokens: 700,
    };
    SpanPlan {
        segments: vec![
            segment(0, 0, 700),
            segment(1, 700, 1400),
            segment(LEADER, 1400, 2000),
        ],
    }
}

fn span_cell(step: Step, fault: Fault) -> Verdict {
    let mut world = World::new(3, false);
    world.run_until(Duration::from_secs(2));
    world.pending_fault = Some((step, fault));
    let ticket = SpanTicket {
        stamp: Stamp::default(),
        attempt: AttemptId {
            request: 1,
            number: 1,
        },
    };
    let begin = Input::StartSpan {
        ticket,
        plan: plan(),
        deadline: DEADLINE,
    };
    world.post(Duration::ZERO, Msg::Node(LEADER, begin));
    world.run_until(Duration::from_secs(20));
    let Some(injected_at) = world.fault_injected_at else {
        return Verdict::Failed("the step was not reached".into());
    };
    let mut violations = Vec::new();
    world.run_until(injected_at + FREED_TIME);
    check(
        &mut violations,
        world.unowned_tokens() == 0,
        "memory without an owner after the stated time",
    );
    world.run_until(DEADLINE + FREED_TIME);
    let held: Tokens = world
        .engines
        .iter()
        .map(|engine| engine.held_tokens_where(|_| true))
        .sum();
    check(&mut violations, held == 0, "memory held after the deadline");
    let leader_entry = &world.nodes[LEADER].leaders[0];
    let caller_was_told = fault == Fault::CrashLeader || leader_entry.leader.has_ended();
    check(&mut violations, caller_was_told, "the caller was not told");
    verdict(violations)
}

fn desired_state(model: &str, role: EngineRole) -> DesiredState {
    DesiredState {
        models: [(model.into(), Duration::ZERO)].into(),
        unloadable: ["a@1".into(), "a@2".into()].into(),
        role,
        ..DesiredState::default()
    }
}

fn order_cell(step: Step, fault: Fault, checks_fencing: bool) -> Verdict {
    if matches!(
        fault,
        Fault::CrashMember | Fault::FreezeMember | Fault::GatewayGone
    ) {
        return Verdict::NotApplicable("an order involves one agent and its engine alone");
    }
    let mut world = World::new(1, checks_fencing);
    world.run_until(Duration::from_secs(2));
    world.pending_fault = Some((step, fault));
    world.desired[0] = desired_state("a@1", EngineRole::Prefill);
    world.run_until(Duration::from_secs(5));
    let Some(injected_at) = world.fault_injected_at else {
        return Verdict::Failed("the step was not reached".into());
    };
    world.desired[0] = desired_state("a@2", EngineRole::Decode);
    world.run_until(injected_at + FREED_TIME);
    let engine = &world.engines[0];
    let mut violations = Vec::new();
    check(
        &mut violations,
        engine.stale_orders == 0,
        "the engine took an old order",
    );
    let is_as_desired =
        engine.state.role == EngineRole::Decode && engine.state.models == ["a@2".into()].into();
    check(
        &mut violations,
        is_as_desired,
        "the engine is not as wanted",
    );
    verdict(violations)
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Moment {
    Before,
    AtCommit,
    DuringGossip,
}

const MOMENTS: [(Moment, &str); 3] = [
    (Moment::Before, "before commit"),
    (Moment::AtCommit, "at commit"),
    (Moment::DuringGossip, "half spread"),
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConfigFault {
    KillCommitter,
    RestartNodes,
    FreezeNodes,
    StoreDown,
    RegionsParted,
    OperatorRace,
    LossyLinks,
}

const CONFIG_FAULTS: [ConfigFault; 7] = [
    ConfigFault::KillCommitter,
    ConfigFault::RestartNodes,
    ConfigFault::FreezeNodes,
    ConfigFault::StoreDown,
    ConfigFault::RegionsParted,
    ConfigFault::OperatorRace,
    ConfigFault::LossyLinks,
];

const COMMITTER: usize = 4;

fn config_cell(moment: Moment, fault: ConfigFault) -> Verdict {
    if fault == ConfigFault::StoreDown && moment == Moment::Before {
        return Verdict::NotApplicable("nothing is committed while the store is down");
    }
    if fault == ConfigFault::KillCommitter && moment != Moment::AtCommit {
        return Verdict::NotApplicable("the committer is one node of many but at its commit");
    }
    let loss = if fault == ConfigFault::LossyLinks {
        0.2
    } else {
        0.0
    };
    let mut fleet = Fleet::new(FleetConfig {
        nodes: NODE_COUNT,
        loss,
        seed: 9,
    });
    fleet.run_until(5 * SECOND);
    if moment == Moment::Before {
        inject_fault(&mut fleet, fault);
        fleet.run_for(SECOND);
    }
    match (fault, moment) {
        (ConfigFault::KillCommitter, _) => fleet.commit_and_die(COMMITTER),
        _ => fleet.commit(COMMITTER),
    }
    if moment == Moment::DuringGossip {
        fleet.run_for(Duration::from_millis(30));
    }
    if moment != Moment::Before {
        inject_fault(&mut fleet, fault);
    }
    fleet.run_for(10 * SECOND);
    fleet.store_down = false;
    fleet.partitioned = false;
    fleet.run_for(SETTLE_TIME);
    let report = fleet.report();
    let mut violations = Vec::new();
    check(
        &mut violations,
        report.nodes_behind == 0,
        "nodes without the version in force",
    );
    check(
        &mut violations,
        report.version_regressions == 0,
        "a node went back to an older version",
    );
    check(
        &mut violations,
        report.stale_admissions == 0,
        "a node that woke admitted by an old version",
    );
    verdict(violations)
}

fn inject_fault(fleet: &mut Fleet, fault: ConfigFault) {
    match fault {
        ConfigFault::RestartNodes => {
            for node in [1, 7, 30] {
                fleet.restart(node);
            }
        }
        ConfigFault::FreezeNodes => {
            for node in [3, 20, 41] {
                fleet.freeze(node, 14 * SECOND);
            }
        }
        ConfigFault::StoreDown => fleet.store_down = true,
        ConfigFault::RegionsParted => fleet.partitioned = true,
        ConfigFault::OperatorRace => fleet.commit(COMMITTER + 1),
        ConfigFault::KillCommitter | ConfigFault::LossyLinks => {}
    }
}
