//! Injects every fault at every step of a span and of an order to an engine.

use crate::world::{Fault, Input, Msg, Step, World};
use policy::{DesiredState, EngineRole, LeaderAction, Segment, SpanPlan};
use proto::prelude::*;
use proto::{SpanTicket, Stamp};

/// Time after a fault in which the memory without an owner is freed on all engines. It is the sum
/// of the lease of a dead holder, its margin, the read that notices its expiry, the lease of the
/// grants and one round of reconciliation.
const RECLAIM_TIME: Duration = Duration::from_secs(15 + 1 + 5 + 6 + 6);
const DEADLINE: Duration = Duration::from_secs(90);
const LEADER: usize = 2;

fn plan() -> SpanPlan {
    let segment = |server: usize, from, to, tokens| Segment {
        server: server.to_string().into(),
        from,
        to,
        tokens,
    };
    SpanPlan {
        segments: vec![
            segment(0, 0, 700, 700),
            segment(1, 700, 1400, 700),
            segment(LEADER, 1400, 2000, 700),
        ],
    }
}

fn desired_state(model: &str, role: EngineRole) -> DesiredState {
    DesiredState {
        models: [(model.into(), Duration::ZERO)].into(),
        unloadable: ["a@1".into(), "a@2".into()].into(),
        role,
        ..DesiredState::default()
    }
}

fn span_cell(step: Step, fault: Fault) {
    let mut world = World::new(3, false);
    world.run_until(Duration::from_secs(2));
    world.pending_fault = Some((step, fault));
    let attempt = AttemptId {
        request: 1,
        number: 1,
    };
    let ticket = SpanTicket {
        stamp: Stamp::default(),
        attempt,
    };
    let start = Input::StartSpan {
        ticket,
        plan: plan(),
        deadline: DEADLINE,
    };
    world.post(Duration::ZERO, Msg::Node(LEADER, start));
    world.run_until(Duration::from_secs(20));
    let fault_injected_at = world.fault_injected_at.expect("the step was reached");
    world.run_until(fault_injected_at + RECLAIM_TIME);
    assert_eq!(world.unowned_tokens(), 0, "after the stated time");
    world.run_until(DEADLINE + RECLAIM_TIME);
    let held: Tokens = world
        .engines
        .iter()
        .map(|engine| engine.held_tokens_where(|_| true))
        .sum();
    assert_eq!(held, 0, "after the deadline");
    let led = &world.nodes[LEADER].leaders[0];
    let crashed = fault == Fault::CrashLeader;
    let ended = crashed || led.leader.has_ended();
    assert!(ended, "the caller is told");
}

fn order_cell(step: Step, fault: Fault, checks_fencing: bool) {
    let mut world = World::new(1, checks_fencing);
    world.run_until(Duration::from_secs(2));
    world.pending_fault = Some((step, fault));
    world.desired[0] = desired_state("a@1", EngineRole::Prefill);
    world.run_until(Duration::from_secs(5));
    let fault_injected_at = world.fault_injected_at.expect("the step was reached");
    world.desired[0] = desired_state("a@2", EngineRole::Decode);
    world.run_until(fault_injected_at + RECLAIM_TIME);
    let engine = &world.engines[0];
    assert_eq!(engine.stale_orders, 0);
    assert_eq!(engine.state.role, EngineRole::Decode);
    assert_eq!(engine.state.models, ["a@2".into()].into());
}

macro_rules! cells {
    ($($step:ident: $($fault:ident),*;)*) => {
        $(paste_cells!($step: $($fault),*);)*
    };
}

macro_rules! paste_cells {
    ($step:ident: $($fault:ident),*) => {
        #[allow(non_snake_case)]
        mod $step {
            use super::*;
            $(#[test]
            fn $fault() {
                if matches!(Step::$step, Step::Load | Step::Role) {
                    order_cell(Step::$step, Fault::$fault, true);
                    order_cell(Step::$step, Fault::$fault, false);
                } else {
                    span_cell(Step::$step, Fault::$fault);
                }
            })*
        }
    };
}

cells! {
    Reserve: CrashLeader, CrashMember, FreezeLeader, FreezeMember, CutLink, LostAnswer, LateAnswer, GatewayGone;
    Prefill: CrashLeader, CrashMember, FreezeLeader, FreezeMember, CutLink, LostAnswer, LateAnswer, GatewayGone;
    Export: CrashLeader, CrashMember, FreezeLeader, FreezeMember, CutLink, LostAnswer, LateAnswer, GatewayGone;
    Import: CrashLeader, CrashMember, FreezeLeader, FreezeMember, CutLink, LostAnswer, LateAnswer, GatewayGone;
    Decode: CrashLeader, CrashMember, FreezeLeader, FreezeMember, CutLink, LostAnswer, LateAnswer, GatewayGone;
    Release: CrashLeader, CrashMember, FreezeLeader, FreezeMember, CutLink, LostAnswer, LateAnswer, GatewayGone;
    Load: CrashLeader, FreezeLeader, CutLink, LostAnswer, LateAnswer;
    Role: CrashLeader, FreezeLeader, CutLink, LostAnswer, LateAnswer;
}

#[test]
fn span_without_fault_finishes() {
    let mut world = World::new(3, false);
    world.run_until(Duration::from_secs(2));
    let attempt = AttemptId {
        request: 1,
        number: 1,
    };
    let ticket = SpanTicket {
        stamp: Stamp::default(),
        attempt,
    };
    let start = Input::StartSpan {
        ticket,
        plan: plan(),
        deadline: DEADLINE,
    };
    world.post(Duration::ZERO, Msg::Node(LEADER, start));
    world.run_until(Duration::from_secs(10));
    let led = &world.nodes[LEADER].leaders[0];
    assert_eq!(led.end.as_ref().unwrap().1, LeaderAction::Finished);
    assert_eq!(world.unowned_tokens(), 0);
}

/// A process that is frozen between its last check of the clock and the write can still send a
/// stale order. An engine that checks fencing numbers refuses it; on another, the new holder
/// corrects it.
#[test]
fn engine_without_fencing_is_put_right_after_a_blind_write() {
    for checks_fencing in [true, false] {
        let mut world = World::new(1, checks_fencing);
        world.skip_write_deadline = true;
        world.run_until(Duration::from_secs(2));
        world.pending_fault = Some((Step::Role, Fault::FreezeLeader));
        world.desired[0] = desired_state("a@1", EngineRole::Prefill);
        world.run_until(Duration::from_secs(5));
        world.desired[0] = desired_state("a@2", EngineRole::Decode);
        world.run_until(world.fault_injected_at.unwrap() + RECLAIM_TIME);
        let engine = &world.engines[0];
        assert_eq!(engine.stale_orders, u32::from(!checks_fencing));
        assert_eq!(engine.refused_orders, u32::from(checks_fencing));
        assert_eq!(engine.state.role, EngineRole::Decode);
    }
}
