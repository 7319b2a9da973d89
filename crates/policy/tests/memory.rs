//! Memory leases, the reconciliation of engine memory, the server lease, and span leaders.

use policy::*;
use proto::prelude::*;
use proto::{SpanTicket, Stamp};

const fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn ticket(number: u128) -> SpanTicket {
    let attempt = AttemptId {
        request: number,
        number: 1,
    };
    let stamp = Stamp {
        micros: number as u64,
        counter: 0,
    };
    SpanTicket { stamp, attempt }
}

#[test]
fn older_span_goes_first_and_short_prompts_keep_their_room() {
    let mut leases = MemoryLeases::new(MemoryConfig::for_engine(1000));
    assert_eq!(
        leases.grant(secs(0), 1, ticket(1), 751, secs(5)),
        Err(GrantError::TooLarge)
    );
    assert_eq!(leases.grant(secs(0), 2, ticket(2), 400, secs(5)), Ok(()));
    assert_eq!(
        leases.grant(secs(0), 3, ticket(3), 700, secs(5)),
        Err(GrantError::Busy)
    );
    assert_eq!(
        leases.grant(secs(0), 4, ticket(4), 100, secs(5)),
        Err(GrantError::Busy)
    );
    assert_eq!(leases.request_capacity(secs(0)), 250);
    assert!(leases.close(secs(1), 2, ticket(2), false));
    assert_eq!(
        leases.grant(secs(1), 5, ticket(4), 100, secs(5)),
        Err(GrantError::Busy)
    );
    assert_eq!(leases.grant(secs(1), 3, ticket(3), 700, secs(5)), Ok(()));
    assert_eq!(
        leases.grant(secs(1), 2, ticket(2), 400, secs(5)),
        Err(GrantError::Closed)
    );
}

#[test]
fn lease_ends_unless_renewed_and_earmark_lapses() {
    let mut leases = MemoryLeases::new(MemoryConfig::for_engine(1000));
    assert_eq!(leases.grant(secs(0), 1, ticket(1), 700, secs(60)), Ok(()));
    assert!(leases.renew(secs(9), 1, secs(4)));
    assert!(leases.expire(secs(12)).is_empty());
    assert!(!leases.renew(secs(13), 1, secs(4)));
    assert_eq!(leases.expire(secs(13)), [1]);
    leases.set_request_tokens(400);
    assert_eq!(leases.cache_capacity(), 600);
    assert_eq!(
        leases.grant(secs(13), 2, ticket(2), 700, secs(5)),
        Err(GrantError::Busy)
    );
    assert_eq!(leases.request_capacity(secs(14)), 300);
    assert_eq!(leases.request_capacity(secs(17)), 1000);
}

#[test]
fn frees_only_what_was_held_before_the_lease_was_verified() {
    let held = |id: &str| Holding {
        id: id.into(),
        kind: HoldingKind::Request,
        tokens: 1,
    };
    let owned = |holding: &Holding| &*holding.id == "1-1";
    for verified in [true, false] {
        let mut reconciler = MemoryReconciler::new(ReconcileConfig::default());
        let mut out = Vec::new();
        reconciler.handle(secs(0), ReconcileEvent::Tick, owned, &mut out);
        let holdings = Some(vec![held("1-1"), held("2-1"), held("another's")]);
        reconciler.handle(secs(0), ReconcileEvent::Holdings(holdings), owned, &mut out);
        assert_eq!(out, [ReconcileAction::Read, ReconcileAction::Verify]);
        out.clear();
        reconciler.handle(secs(0), ReconcileEvent::Verified(verified), owned, &mut out);
        let freed = [ReconcileAction::Free(held("2-1"))];
        assert_eq!(out, &freed[..usize::from(verified)]);
    }
}

fn lease(holder: &str) -> ServerLease {
    ServerLease::new(ServerLeaseConfig::for_holder(holder, holder))
}

fn feed(lease: &mut ServerLease, now: Duration, event: LeaseEvent) -> Vec<LeaseAction> {
    let mut out = Vec::new();
    lease.handle(now, event, &mut out);
    out
}

fn row(epoch: Epoch, holder: &str) -> LeaseEvent {
    let row = LeaseRow {
        epoch,
        holder: holder.into(),
        bound_address: holder.into(),
    };
    LeaseEvent::Row(Some((7, Some(row))))
}

fn acquire(lease: &mut ServerLease, now: Duration) {
    feed(lease, now, LeaseEvent::Tick);
    feed(lease, now, LeaseEvent::Row(Some((0, None))));
    let result = LeaseCommitResult::Committed(1);
    let out = feed(lease, now, LeaseEvent::Committed { sent: now, result });
    assert_eq!(out, [LeaseAction::Acquired(1)]);
}

#[test]
fn contender_waits_for_the_whole_lease_on_its_own_clock() {
    let mut contender = lease("b");
    let mut now = secs(0);
    while now < Duration::from_millis(15_400) {
        feed(&mut contender, now, LeaseEvent::Tick);
        let out = feed(&mut contender, now, row(4, "a"));
        assert!(out.is_empty(), "at {now:?}: {out:?}");
        now = contender.next_wakeup();
    }
    feed(&mut contender, now, LeaseEvent::Tick);
    let out = feed(&mut contender, now, row(4, "a"));
    assert!(matches!(&out[..], [LeaseAction::Commit { version: 7, row, .. }] if row.epoch == 5));
}

#[test]
fn holder_lets_go_before_a_contender_may_take_over() {
    let mut holder = lease("a");
    acquire(&mut holder, secs(1));
    let last = secs(1) + Duration::from_millis(14_499);
    assert_eq!(holder.epoch(last), Some(1));
    assert_eq!(holder.epoch(last + Duration::from_millis(1)), None);
    let out = feed(&mut holder, secs(40), LeaseEvent::Tick);
    assert_eq!(out, [LeaseAction::Lost(1), LeaseAction::Read]);
}

#[test]
fn lost_answer_of_a_commit_costs_the_epoch() {
    let mut holder = lease("a");
    acquire(&mut holder, secs(1));
    let out = feed(&mut holder, secs(2), LeaseEvent::Verify);
    assert!(matches!(out[..], [LeaseAction::Commit { version: 1, .. }]));
    let late = LeaseEvent::Committed {
        sent: secs(1),
        result: LeaseCommitResult::Committed(9),
    };
    assert_eq!(feed(&mut holder, secs(2), late), []);
    let unknown = LeaseEvent::Committed {
        sent: secs(2),
        result: LeaseCommitResult::Unknown,
    };
    let out = feed(&mut holder, secs(2), unknown);
    let expected = [
        LeaseAction::Lost(1),
        LeaseAction::Verified(false),
        LeaseAction::Read,
    ];
    assert_eq!(out, expected);
    let out = feed(&mut holder, secs(2), row(1, "a"));
    assert!(matches!(&out[..], [LeaseAction::Commit { row, .. }] if row.epoch == 2));
}

fn start_span(out: &mut Vec<LeaderAction>) -> SpanLeader {
    let segment = |server: &str, from, to| Segment {
        server: server.into(),
        from,
        to,
        tokens: to - from,
    };
    let plan = SpanPlan {
        segments: vec![segment("a", 0, 5), segment("b", 5, 9)],
    };
    let job = SpanJob {
        ticket: ticket(1),
        team: "t".into(),
        model: "m".into(),
        deadline: secs(100),
    };
    SpanLeader::start(SpanConfig::default(), job, plan, secs(0), out)
}

#[test]
fn leader_that_gets_no_answer_refuses_after_three_rounds() {
    let mut out = Vec::new();
    let mut leader = start_span(&mut out);
    for due in 0..40 {
        let due = Duration::from_millis(due * 100);
        leader.handle(due, LeaderEvent::Tick, &mut out);
    }
    let refused = LeaderAction::Refused(proto::RefusalReason::ServerDown);
    assert_eq!(out.last(), Some(&refused));
}

#[test]
fn leader_back_from_a_pause_ends_and_releases_all() {
    let mut out = Vec::new();
    let mut leader = start_span(&mut out);
    for action in std::mem::take(&mut out) {
        let LeaderAction::Send { server, id, .. } = action else {
            panic!("{action:?}");
        };
        let engine = ([127, 0, 0, 1], 1).into();
        let answer = Some(proto::SpanAnswer::Done { server, engine });
        leader.handle(secs(0), LeaderEvent::Reply(id, answer), &mut out);
    }
    out.clear();
    leader.handle(secs(20), LeaderEvent::Tick, &mut out);
    let releases = out.iter().filter(|action| {
        let step = |id: &SpanRequestId| id.step == SpanStep::Release;
        matches!(action, LeaderAction::Send { id, .. } if step(id))
    });
    assert_eq!(releases.count(), 2);
    assert!(matches!(out.last(), Some(LeaderAction::Failed(..))));
}
