//! One attempt at a request, on a stream to the agent of a backend server.

use crate::caller_request::CallerRequest;
use crate::gateway::Gateway;
use crate::pools::ChosenServer;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::future::or;
use proto::{
    AnswerChecksum, AnswerFrame, AttemptId, Execution, Hints, Offer, Outcome, RefusalReason,
    RequestFrame, StreamOpening,
};
use runtime::{FrameReceiver, FrameSender, LinkError, Role};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time without a frame after which the agent is considered lost. Agents send heartbeats at shorter
/// intervals.
pub const AGENT_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_CHUNK_BYTES: usize = 256 << 10;
const MAX_EAGER_BODY_BYTES: usize = 64 << 10;
const FAILURE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why an attempt failed.
#[derive(Debug)]
pub enum AttemptError {
    /// The agent refused the attempt, or the server has no known agent; the request did not run.
    Refused {
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The agent could not be reached, and the request did not run.
    Unreachable(LinkError),
    /// The link broke before the agent accepted the attempt, for instance because the agent
    /// crashed.
    ConnectionLost {
        /// Whether the request may have run.
        execution: Execution,
        /// Description of the failure.
        reason: Box<str>,
    },
    /// The agent, its backend server or the link failed during the attempt.
    Failed {
        /// Whether the request may have run.
        execution: Execution,
        /// Description of the failure.
        reason: Box<str>,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The deadline of the request has passed.
    DeadlineExceeded(Execution),
}

/// Status and headers of a response.
#[derive(Debug)]
pub struct ResponseHead {
    /// HTTP status that the backend server sent.
    pub status: u16,
    /// Content type of the body, if the backend server sent one.
    pub content_type: Option<Box<str>>,
}

/// The next part of a response that has started.
#[derive(Debug)]
pub enum ResponsePart {
    /// A chunk of the body.
    Data(Bytes),
    /// The response is complete: its length and checksum match.
    End,
}

/// One attempt at a request, on its own stream. Dropping it cancels the attempt.
#[derive(Debug)]
pub struct Attempt {
    gateway: Arc<Gateway>,
    id: AttemptId,
    peer: SocketAddr,
    pool: Box<str>,
    deadline: Instant,
    tx: FrameSender,
    rx: FrameReceiver,
    checksum: AnswerChecksum,
    body_sent: bool,
    accepted: bool,
    _chosen: ChosenServer,
}

impl Attempt {
    /// Offers the request to the agent of the chosen server, and returns once the agent has sent
    /// the head of the response. The body of a short request that may run more than once is sent
    /// with the offer; any other body waits until the agent has accepted.
    pub async fn start(
        gateway: &Arc<Gateway>,
        request: &CallerRequest,
        chosen: ChosenServer,
        number: u32,
    ) -> Result<(Self, ResponseHead), AttemptError> {
        let view = gateway.view.get();
        let Some(agent) = view.members.agent_of(&chosen.server) else {
            return Err(AttemptError::Refused {
                reason: RefusalReason::ServerDown,
                retry_after: FAILURE_RETRY_AFTER,
            });
        };
        let peer = agent.address;
        let offer = offer(request, number, view.version);
        let id = offer.attempt;
        let opening = StreamOpening::Request {
            stamp: gateway.timeline.stamp(),
            offer: Box::new(offer),
        };
        let opened = gateway.link.open(peer, Role::Agent, &opening).await;
        let (tx, rx) = opened.map_err(AttemptError::Unreachable)?;
        let mut attempt = Self {
            gateway: gateway.clone(),
            id,
            peer,
            pool: request.target.pool().into(),
            deadline: request.deadline,
            tx,
            rx,
            checksum: AnswerChecksum::default(),
            body_sent: false,
            accepted: false,
            _chosen: chosen,
        };
        let eager = request.repeatable && request.body.len() <= MAX_EAGER_BODY_BYTES;
        if eager {
            attempt.send_body(request).await?;
        }
        let head = attempt.receive_head(request).await?;
        Ok((attempt, head))
    }

    /// Id of the attempt: the request's id and the number of the attempt.
    pub fn id(&self) -> AttemptId {
        self.id
    }

    /// Waits for the next part of a response that has started.
    pub async fn next(&mut self) -> Result<ResponsePart, AttemptError> {
        loop {
            match self.receive().await? {
                Outcome::Data(data) => {
                    self.checksum.update(&data);
                    return Ok(ResponsePart::Data(data));
                }
                Outcome::End {
                    bytes,
                    checksum,
                    hints,
                } => {
                    self.apply_hints(Some(&hints));
                    if (bytes, checksum) == (self.checksum.bytes(), self.checksum.checksum()) {
                        return Ok(ResponsePart::End);
                    }
                    return Err(self.failure("count or checksum of the answer is wrong"));
                }
                other => self.handle_common_outcome(other)?,
            }
        }
    }

    async fn receive_head(
        &mut self,
        request: &CallerRequest,
    ) -> Result<ResponseHead, AttemptError> {
        loop {
            match self.receive().await? {
                Outcome::Accepted(hints) => {
                    self.apply_hints(Some(&hints));
                    self.accepted = true;
                    if !self.body_sent {
                        self.send_body(request).await?;
                    }
                }
                Outcome::Head {
                    status,
                    content_type,
                } => {
                    return Ok(ResponseHead {
                        status,
                        content_type,
                    });
                }
                other => self.handle_common_outcome(other)?,
            }
        }
    }

    /// Handles a frame that may arrive at any time: ignores a heartbeat, and turns a refusal, a
    /// failure or an unexpected frame into an error.
    fn handle_common_outcome(&mut self, outcome: Outcome) -> Result<(), AttemptError> {
        match outcome {
            Outcome::Heartbeat => Ok(()),
            Outcome::Refused(refusal) => {
                self.apply_hints(refusal.hints.as_ref());
                Err(AttemptError::Refused {
                    reason: refusal.reason,
                    retry_after: refusal.retry_after,
                })
            }
            Outcome::Failed {
                execution,
                reason,
                retry_after,
                hints,
            } => {
                self.apply_hints(hints.as_ref());
                Err(AttemptError::Failed {
                    execution,
                    reason,
                    retry_after,
                })
            }
            _ => Err(self.failure("the agent sent a frame out of turn")),
        }
    }

    /// Waits for the next frame of this attempt. Drops and counts frames of other attempts.
    async fn receive(&mut self) -> Result<Outcome, AttemptError> {
        loop {
            let frame = self.receive_before_deadline().await?;
            if frame.attempt == self.id {
                return Ok(frame.outcome);
            }
            self.gateway.metrics.misrouted_frames.inc();
        }
    }

    async fn receive_before_deadline(&mut self) -> Result<AnswerFrame, AttemptError> {
        enum Wake {
            Frame(Result<Option<AnswerFrame>, LinkError>),
            Silence,
            Deadline,
        }
        let frame = async { Wake::Frame(self.rx.receive().await) };
        let silence = async {
            Timer::after(AGENT_SILENCE_TIMEOUT).await;
            Wake::Silence
        };
        let deadline = async {
            Timer::at(self.deadline).await;
            Wake::Deadline
        };
        match or(frame, or(silence, deadline)).await {
            Wake::Frame(Ok(Some(frame))) => Ok(frame),
            Wake::Frame(Ok(None)) => Err(self.failure("the agent broke the answer off")),
            Wake::Frame(Err(LinkError::ShutDown(..))) if !self.accepted => {
                Err(AttemptError::Refused {
                    reason: RefusalReason::ShuttingDown,
                    retry_after: FAILURE_RETRY_AFTER,
                })
            }
            Wake::Frame(Err(err)) if !self.accepted => Err(AttemptError::ConnectionLost {
                execution: self.execution(),
                reason: err.to_string().into(),
            }),
            Wake::Frame(Err(err)) => Err(self.failure(&err.to_string())),
            Wake::Silence => {
                self.gateway.link.disconnect(self.peer);
                Err(self.failure("the agent does not answer"))
            }
            Wake::Deadline => Err(AttemptError::DeadlineExceeded(self.execution())),
        }
    }

    async fn send_body(&mut self, request: &CallerRequest) -> Result<(), AttemptError> {
        let mut rest = request.body.clone();
        while !rest.is_empty() {
            let chunk = rest.split_to(rest.len().min(MAX_CHUNK_BYTES));
            self.send(RequestFrame::Body(chunk)).await?;
        }
        self.body_sent = true;
        request.run.set(Execution::MayHaveRun);
        self.send(RequestFrame::BodyEnd).await
    }

    async fn send(&mut self, frame: RequestFrame) -> Result<(), AttemptError> {
        let sent = async { Some(self.tx.send(&frame).await) };
        let deadline = async {
            Timer::at(self.deadline).await;
            None
        };
        match or(sent, deadline).await {
            Some(Ok(())) => Ok(()),
            // The agent may have refused and stopped reading; the frame that it sent gives the
            // reason.
            Some(Err(_)) => Ok(()),
            None => Err(AttemptError::DeadlineExceeded(self.execution())),
        }
    }

    fn apply_hints(&self, hints: Option<&Hints>) {
        if let Some(hints) = hints {
            self.gateway.pools.observe_hints(&self.pool, hints);
            let view = self.gateway.view.get();
            let agent = view.members.agent_of(&hints.server);
            let node = agent.map(|agent| &agent.node);
            self.gateway.control.observe_version(node, hints.config);
        }
    }

    /// Whether the request may have run. An agent can't run a request before it has the whole body.
    fn execution(&self) -> Execution {
        match self.body_sent {
            true => Execution::MayHaveRun,
            false => Execution::NotRun,
        }
    }

    fn failure(&self, reason: &str) -> AttemptError {
        AttemptError::Failed {
            execution: self.execution(),
            reason: reason.into(),
            retry_after: FAILURE_RETRY_AFTER,
        }
    }
}

fn offer(request: &CallerRequest, number: u32, config: u64) -> Offer {
    let route = match &request.target {
        crate::caller_request::Target::Route { path, .. } => Some(path.clone()),
        crate::caller_request::Target::Model(_) => None,
    };
    Offer {
        attempt: AttemptId {
            request: request.id,
            number,
        },
        team: request.team.clone(),
        model: request.model().map(Into::into),
        route,
        path: request.path.clone(),
        method: request.method.clone(),
        content_type: request.content_type.clone(),
        prompt_tokens: request.prompt_tokens,
        output_tokens: request.output_tokens,
        streamed: request.streamed,
        remaining: request.remaining(),
        prefixes: request.prefixes.clone(),
        repeatable: request.repeatable,
        idempotency_key: request.idempotency_key.clone(),
        content_hash: request.content_hash,
        config,
        body_bytes: request.body.len() as u64,
    }
}
