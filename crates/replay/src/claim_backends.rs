//! Simulated calls to the table service and to the plain service.

use crate::claim_simulation::{
    ClaimSimEvent, ClaimSimulation, NETWORK_DELAY, ReplyDelivery, SERVICE_TIME, STORE_CALL_TIMEOUT,
};
use crate::claim_types::{AttemptOutcome, ClaimFault, ServiceRun};
use bytes::Bytes;
use policy::{ClaimAction, ClaimEvent, CommitFailure, CompleteAnswer, VersionedRow};
use proto::AttemptId;
use standins::{TableCondition, TableRefusal, TableWrite};

impl ClaimSimulation {
    pub(crate) fn call_store(
        &mut self,
        agent: usize,
        action: ClaimAction,
        fault: Option<ClaimFault>,
    ) {
        let incarnation = self.agents[agent].incarnation;
        let failed = |outcome_unknown| failed_event(&action, outcome_unknown);
        let is_down = self.store_down_until > self.now;
        match fault {
            _ if is_down => {
                let event = failed(false);
                self.after(
                    NETWORK_DELAY,
                    ClaimSimEvent::DeliverEvent {
                        agent,
                        incarnation,
                        event,
                    },
                );
            }
            Some(ClaimFault::Down) => {
                let event = failed(false);
                self.after(
                    NETWORK_DELAY,
                    ClaimSimEvent::DeliverEvent {
                        agent,
                        incarnation,
                        event,
                    },
                );
            }
            Some(ClaimFault::LostAnswer | ClaimFault::LostCall | ClaimFault::Late(_)) => {
                let event = failed(true);
                self.after(
                    STORE_CALL_TIMEOUT,
                    ClaimSimEvent::DeliverEvent {
                        agent,
                        incarnation,
                        event,
                    },
                );
                let reply = ReplyDelivery::Lost;
                let delay = match fault {
                    Some(ClaimFault::Late(delay)) => delay,
                    _ => NETWORK_DELAY,
                };
                if fault != Some(ClaimFault::LostCall) {
                    self.after(
                        delay,
                        ClaimSimEvent::ApplyStoreCall {
                            agent,
                            incarnation,
                            action,
                            reply,
                        },
                    );
                }
            }
            _ => {
                let delay = match fault {
                    Some(ClaimFault::Slow(delay)) => delay.min(STORE_CALL_TIMEOUT),
                    _ => NETWORK_DELAY,
                };
                let reply = ReplyDelivery::Delivered;
                self.after(
                    delay,
                    ClaimSimEvent::ApplyStoreCall {
                        agent,
                        incarnation,
                        action,
                        reply,
                    },
                );
            }
        }
    }

    pub(crate) fn execute_store_call(&mut self, action: ClaimAction) -> ClaimEvent {
        match action {
            ClaimAction::Read { call, keys } => {
                let keys: Vec<&str> = keys.iter().map(|key| &**key).collect();
                let rows = self.table.read(self.now, &keys).ok();
                ClaimEvent::Read {
                    call,
                    rows: rows.map(versioned_rows),
                }
            }
            ClaimAction::Scan { call, after, limit } => {
                let rows = self.table.scan(self.now, "claim/", &after, limit).ok();
                ClaimEvent::Scanned {
                    call,
                    rows: rows.map(versioned_rows),
                }
            }
            ClaimAction::Commit { call, writes } => {
                let conditions: Vec<TableCondition> = writes
                    .iter()
                    .map(|write| TableCondition {
                        key: write.key.clone(),
                        version: write.version,
                    })
                    .collect();
                let writes: Vec<TableWrite> = writes
                    .into_iter()
                    .map(|write| TableWrite {
                        key: write.key,
                        value: write.value,
                    })
                    .collect();
                let result = self.table.commit(self.now, &conditions, &writes);
                let result = result.map_err(|refusal| match refusal {
                    TableRefusal::Conflict(_) => CommitFailure::Conflict,
                    _ => CommitFailure::Unavailable,
                });
                ClaimEvent::Committed { call, result }
            }
            _ => ClaimEvent::Tick,
        }
    }

    pub(crate) fn start_service_call(
        &mut self,
        agent: usize,
        attempt: AttemptId,
        fault: Option<ClaimFault>,
    ) {
        let incarnation = self.agents[agent].incarnation;
        if fault == Some(ClaimFault::NotSent) {
            let event = ClaimEvent::NotSent(attempt);
            return self.after(
                NETWORK_DELAY,
                ClaimSimEvent::DeliverEvent {
                    agent,
                    incarnation,
                    event,
                },
            );
        }
        let key = self.callers[attempt.request as usize].key;
        let number = self.runs.len();
        let answer = Bytes::from(format!("number {number}"));
        self.runs.push(ServiceRun {
            attempt,
            key,
            answer: answer.clone(),
        });
        let answer = (fault != Some(ClaimFault::AnswerLost)).then_some(answer);
        self.after(
            SERVICE_TIME,
            ClaimSimEvent::FinishServiceCall {
                agent,
                incarnation,
                attempt,
                answer,
            },
        );
    }

    pub(crate) fn finish_service_call(
        &mut self,
        agent: usize,
        incarnation: u64,
        attempt: AttemptId,
        answer: Option<Bytes>,
    ) {
        if !self.agents[agent].alive || self.agents[agent].incarnation != incarnation {
            return;
        }
        let event = match answer {
            Some(body) => {
                self.record_outcome(attempt, AttemptOutcome::Answer(body.clone()));
                let answer = CompleteAnswer {
                    status: 200,
                    content_type: None,
                    body,
                };
                ClaimEvent::Answered { attempt, answer }
            }
            None => {
                self.record_outcome(attempt, AttemptOutcome::MayHaveRun);
                ClaimEvent::AnswerLost(attempt)
            }
        };
        self.deliver_event(agent, incarnation, event);
    }
}

fn versioned_rows(rows: Vec<standins::TableRow>) -> Vec<VersionedRow> {
    let versioned = rows.into_iter().map(|row| VersionedRow {
        key: row.key,
        value: row.value,
        version: row.version,
    });
    versioned.collect()
}

fn failed_event(action: &ClaimAction, outcome_unknown: bool) -> ClaimEvent {
    match action {
        ClaimAction::Commit { call, .. } => {
            let failure = if outcome_unknown {
                CommitFailure::Unknown
            } else {
                CommitFailure::Unavailable
            };
            ClaimEvent::Committed {
                call: *call,
                result: Err(failure),
            }
        }
        ClaimAction::Read { call, .. } => ClaimEvent::Read {
            call: *call,
            rows: None,
        },
        ClaimAction::Scan { call, .. } => ClaimEvent::Scanned {
            call: *call,
            rows: None,
        },
        _ => ClaimEvent::Tick,
    }
}
