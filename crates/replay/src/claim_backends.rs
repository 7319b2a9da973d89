//! The table service and the plain service of the world.

use crate::claim_types::{ClaimFault, ServiceRun, Told};
use crate::claim_world::{Answering, CALL_TIME, ClaimWorld, Ev, HOP, SERVICE_TIME};
use bytes::Bytes;
use policy::{ClaimAction, ClaimEvent, CommitFailure, CompleteAnswer, VersionedRow};
use proto::AttemptId;
use standins::{TableCondition, TableRefusal, TableWrite};

impl ClaimWorld {
    pub(crate) fn ask_store(
        &mut self,
        agent: usize,
        action: ClaimAction,
        fault: Option<ClaimFault>,
    ) {
        let incarnation = self.agents[agent].incarnation;
        let failed = |unknown| failure_of(&action, unknown);
        let is_down = self.down_until > self.now;
        match fault {
            _ if is_down => {
                let event = failed(false);
                self.after(
                    HOP,
                    Ev::Handle {
                        agent,
                        incarnation,
                        event,
                    },
                );
            }
            Some(ClaimFault::Down) => {
                let event = failed(false);
                self.after(
                    HOP,
                    Ev::Handle {
                        agent,
                        incarnation,
                        event,
                    },
                );
            }
            Some(ClaimFault::LostAnswer | ClaimFault::LostCall | ClaimFault::Late(_)) => {
                let event = failed(true);
                self.after(
                    CALL_TIME,
                    Ev::Handle {
                        agent,
                        incarnation,
                        event,
                    },
                );
                let answer = Answering::Lost;
                let delay = match fault {
                    Some(ClaimFault::Late(delay)) => delay,
                    _ => HOP,
                };
                if fault != Some(ClaimFault::LostCall) {
                    self.after(
                        delay,
                        Ev::Apply {
                            agent,
                            incarnation,
                            action,
                            answer,
                        },
                    );
                }
            }
            _ => {
                let delay = match fault {
                    Some(ClaimFault::Slow(delay)) => delay.min(CALL_TIME),
                    _ => HOP,
                };
                let answer = Answering::Whole;
                self.after(
                    delay,
                    Ev::Apply {
                        agent,
                        incarnation,
                        action,
                        answer,
                    },
                );
            }
        }
    }

    pub(crate) fn apply(&mut self, action: ClaimAction) -> ClaimEvent {
        match action {
            ClaimAction::Read { call, keys } => {
                let keys: Vec<&str> = keys.iter().map(|key| &**key).collect();
                let rows = self.table.read(self.now, &keys).ok();
                ClaimEvent::Read {
                    call,
                    rows: rows.map(stored),
                }
            }
            ClaimAction::Scan { call, after, limit } => {
                let rows = self.table.scan(self.now, "claim/", &after, limit).ok();
                ClaimEvent::Scanned {
                    call,
                    rows: rows.map(stored),
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

    pub(crate) fn start(&mut self, agent: usize, attempt: AttemptId, fault: Option<ClaimFault>) {
        let incarnation = self.agents[agent].incarnation;
        if fault == Some(ClaimFault::NotSent) {
            let event = ClaimEvent::NotSent(attempt);
            return self.after(
                HOP,
                Ev::Handle {
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
            Ev::Finish {
                agent,
                incarnation,
                attempt,
                answer,
            },
        );
    }

    pub(crate) fn finish(
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
                self.tell(attempt, Told::Answer(body.clone()));
                let answer = CompleteAnswer {
                    status: 200,
                    content_type: None,
                    body,
                };
                ClaimEvent::Answered { attempt, answer }
            }
            None => {
                self.tell(attempt, Told::MayHaveRun);
                ClaimEvent::AnswerLost(attempt)
            }
        };
        self.deliver(agent, incarnation, event);
    }
}

fn stored(rows: Vec<standins::TableRow>) -> Vec<VersionedRow> {
    let stored = rows.into_iter().map(|row| VersionedRow {
        key: row.key,
        value: row.value,
        version: row.version,
    });
    stored.collect()
}

fn failure_of(action: &ClaimAction, unknown: bool) -> ClaimEvent {
    match action {
        ClaimAction::Commit { call, .. } => {
            let failure = if unknown {
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
