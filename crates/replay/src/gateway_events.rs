//! Event handlers of the simulated gateway.

use crate::agent_sim::is_final;
use crate::message::{RequestIndex, SimEvent, Step, ToAgent, ToGateway};
use crate::request_sim::{CurrentAttempt, MAX_ATTEMPTS, RequestSim};
use crate::simulation::{LINK_DELAY, Simulation};
use policy::{FailedAttempt, Job, RoutingRequest, may_retry};
use policy::{FaultKind, TraceEnd, TraceRequest};
use proto::{AttemptId, Execution, Refusal};
use std::time::Duration;

const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
const MODEL: &str = "model";
const INJECTED_MESSAGE_DELAY: Duration = Duration::from_secs(3);

impl Simulation {
    pub(crate) fn on_request(&mut self, spec: TraceRequest) {
        let request = RequestSim::new(self.now, spec);
        let index = self.requests.len();
        self.schedule(request.deadline, SimEvent::Deadline(index));
        self.requests.push(request);
        self.start_attempt(index);
    }

    pub(crate) fn start_attempt(&mut self, index: RequestIndex) {
        let now = self.now;
        let request = &mut self.requests[index];
        if request.end.is_some() {
            return;
        }
        let routing_request = RoutingRequest {
            team: &request.spec.team,
            model: Some(MODEL),
            service: None,
            prompt_tokens: request.spec.prompt_tokens,
            output_tokens: request.spec.output_tokens,
            remaining: request.deadline.saturating_sub(now),
            prefixes: &[],
            tried: &request.tried,
        };
        let Ok(server) = self.router.choose(now, &routing_request) else {
            let end = request.end_without_answer(Execution::NotRun);
            return self.end_request(index, end);
        };
        request.attempts += 1;
        let id = AttemptId {
            request: index as u128,
            number: request.attempts,
        };
        request.tried.push(server.clone());
        request.current = Some(CurrentAttempt {
            id,
            server: server.clone(),
            body_sent: false,
            tokens: 0,
            last_message_at: now,
        });
        let job = Job {
            attempt: id,
            team: request.spec.team.clone(),
            weight: 100,
            model: Some(MODEL.into()),
            prompt_tokens: request.spec.prompt_tokens,
            output_tokens: request.spec.output_tokens,
            cached_tokens: 0,
            has_span_grant: false,
            deadline: request.deadline,
        };
        self.router.on_offered(&server);
        self.after(SILENCE_TIMEOUT, SimEvent::SilenceTimeout(index, id));
        self.send_to_agent(&server, id, Step::Offer, ToAgent::Offer(job));
    }

    /// Sends a message to an agent. A fault pending for this step is injected first and may drop,
    /// delay or duplicate the message.
    pub(crate) fn send_to_agent(
        &mut self,
        server: &str,
        id: AttemptId,
        step: Step,
        message: ToAgent,
    ) {
        let Some(agent) = self.agent_index(server) else {
            return;
        };
        let incarnation = self.agents[agent].incarnation;
        let fault = self.inject_pending_fault(step, agent, id);
        let ev = SimEvent::ToAgent(agent, incarnation, message);
        match fault {
            Some(FaultKind::LoseMessage | FaultKind::CutLink) => {
                self.after(
                    LINK_DELAY,
                    SimEvent::ToAgent(agent, incarnation, ToAgent::Cancel(id)),
                );
            }
            Some(FaultKind::DelayMessage) => self.after(INJECTED_MESSAGE_DELAY, ev),
            Some(FaultKind::DuplicateMessage) => {
                self.after(LINK_DELAY, ev.clone());
                self.after(LINK_DELAY * 2, ev);
            }
            _ => self.after(LINK_DELAY, ev),
        }
    }

    pub(crate) fn on_agent_reply(&mut self, attempt: AttemptId, message: ToGateway) {
        let index = attempt.request as usize;
        let now = self.now;
        let Some(current) = self.requests[index].current(attempt) else {
            return;
        };
        current.last_message_at = now;
        let server = current.server.clone();
        if is_final(&message) {
            self.router.on_ended(&server);
        }
        match message {
            ToGateway::Accepted if !current.body_sent => {
                current.body_sent = true;
                self.send_to_agent(&server, attempt, Step::Body, ToAgent::Body(attempt));
            }
            ToGateway::Accepted | ToGateway::Heartbeat => {}
            ToGateway::Refused(refusal) => self.on_refused(index, &refusal),
            ToGateway::Tokens { count, first } => {
                current.tokens += count;
                if first {
                    self.requests[index].first_token_at = Some(now);
                }
            }
            ToGateway::End { hints } => {
                let is_complete = current.tokens == self.requests[index].spec.output_tokens;
                self.router.observe(now, &hints);
                if is_complete {
                    self.end_request(index, TraceEnd::Finished);
                } else {
                    self.fail_attempt(index, Execution::MayHaveRun);
                }
            }
            ToGateway::Failed(execution) => {
                self.router.on_unreachable(now, &server);
                self.fail_attempt(index, execution);
            }
            ToGateway::ConnectionLost => {
                let execution = self.requests[index].execution();
                self.router.on_unreachable(now, &server);
                self.fail_attempt(index, execution);
            }
        }
    }

    pub(crate) fn on_silence(&mut self, index: RequestIndex, attempt: AttemptId) {
        let now = self.now;
        let Some(current) = self.requests[index].current(attempt) else {
            return;
        };
        let due = current.last_message_at + SILENCE_TIMEOUT;
        if due > now {
            return self.schedule(due, SimEvent::SilenceTimeout(index, attempt));
        }
        let server = current.server.clone();
        self.send_cancel(&server, attempt);
        self.router.on_unreachable(now, &server);
        self.router.on_ended(&server);
        let execution = self.requests[index].execution();
        self.fail_attempt(index, execution);
    }

    pub(crate) fn on_deadline(&mut self, index: RequestIndex) {
        let request = &self.requests[index];
        if request.end.is_some() {
            return;
        }
        let end = request.end_without_answer(request.execution());
        if let Some(current) = &request.current {
            let (server, id) = (current.server.clone(), current.id);
            self.send_cancel(&server, id);
            self.router.on_ended(&server);
        }
        self.end_request(index, end);
    }

    fn send_cancel(&mut self, server: &str, attempt: AttemptId) {
        if let Some(agent) = self.agent_index(server) {
            let incarnation = self.agents[agent].incarnation;
            let cancel = ToAgent::Cancel(attempt);
            self.after(LINK_DELAY, SimEvent::ToAgent(agent, incarnation, cancel));
        }
    }

    fn on_refused(&mut self, index: RequestIndex, refusal: &Refusal) {
        if let Some(hints) = &refusal.hints {
            self.router.observe(self.now, hints);
        }
        self.requests[index].retry_after = Some(refusal.retry_after);
        self.fail_attempt(index, Execution::NotRun);
    }

    /// Ends the current attempt without an answer, then retries or ends the request.
    fn fail_attempt(&mut self, index: RequestIndex, execution: Execution) {
        let request = &mut self.requests[index];
        let answer_started = request.first_token_at.is_some();
        request.current = None;
        let failed_attempt = FailedAttempt {
            execution,
            answer_started,
            repeatable: request.spec.repeatable,
        };
        let end = request.end_without_answer(execution);
        request.may_have_run |= execution == Execution::MayHaveRun;
        if may_retry(failed_attempt) && request.attempts < MAX_ATTEMPTS {
            self.after(LINK_DELAY, SimEvent::Retry(index));
        } else {
            self.end_request(index, end);
        }
    }

    fn end_request(&mut self, index: RequestIndex, end: TraceEnd) {
        let request = &mut self.requests[index];
        request.current = None;
        request.end = Some((self.now, end));
    }
}
