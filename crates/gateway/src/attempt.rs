//! One attempt at a request, on a stream to an agent.

use crate::call::Call;
use crate::gateway::Gateway;
use crate::pools::Chosen;
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

/// Silence after which an agent is held to be lost; it sends heartbeats more often.
pub const SILENCE_TIME: Duration = Duration::from_secs(2);
const CHUNK_BYTES: usize = 256 << 10;
const EAGER_BYTES: usize = 64 << 10;
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How an attempt ended before the caller saw anything of it.
#[derive(Debug)]
pub enum AttemptError {
    /// The agent refused; nothing ran.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
    },
    /// The agent could not be reached; nothing ran.
    Unreachable(LinkError),
    /// The link broke before the agent accepted, as it does where the agent died.
    Lost {
        /// Whether any of it ran.
        execution: Execution,
        /// What happened.
        reason: Box<str>,
    },
    /// The attempt broke off.
    Failed {
        /// Whether any of it ran.
        execution: Execution,
        /// What happened.
        reason: Box<str>,
        /// When to come back.
        retry_after: Duration,
    },
    /// The time of the request is up.
    TimeUp(Execution),
}

/// Head of an answer.
#[derive(Debug)]
pub struct Head {
    /// HTTP status of the backend server.
    pub status: u16,
    /// Content type.
    pub content_type: Option<Box<str>>,
}

/// What comes next of an answer that has begun.
#[derive(Debug)]
pub enum Next {
    /// A piece.
    Data(Bytes),
    /// The answer was whole, and count and checksum agree.
    End,
}

/// One attempt on its stream. Dropping it cancels the attempt.
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
    _chosen: Chosen,
}

impl Attempt {
    /// Offers an attempt and gives it once the answer has begun.
    pub async fn start(
        gateway: &Arc<Gateway>,
        call: &Call,
        chosen: Chosen,
        number: u32,
    ) -> Result<(Self, Head), AttemptError> {
        let view = gateway.view.get();
        let Some(agent) = view.members.agent_of(&chosen.server) else {
            return Err(AttemptError::Refused {
                reason: RefusalReason::ServerDown,
                retry_after: RETRY_AFTER,
            });
        };
        let peer = agent.address;
        let offer = offer(call, number, view.version);
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
            pool: call.target.pool().into(),
            deadline: call.deadline,
            tx,
            rx,
            checksum: AnswerChecksum::default(),
            body_sent: false,
            accepted: false,
            _chosen: chosen,
        };
        let eager = call.repeatable && call.body.len() <= EAGER_BYTES;
        if eager {
            attempt.send_body(&call.body).await?;
        }
        let head = attempt.begin(call).await?;
        Ok((attempt, head))
    }

    /// The attempt's number.
    pub fn id(&self) -> AttemptId {
        self.id
    }

    /// The next piece of an answer that has begun.
    pub async fn next(&mut self) -> Result<Next, AttemptError> {
        loop {
            match self.receive().await? {
                Outcome::Data(data) => {
                    self.checksum.update(&data);
                    return Ok(Next::Data(data));
                }
                Outcome::End {
                    bytes,
                    checksum,
                    hints,
                } => {
                    self.observe(Some(&hints));
                    if (bytes, checksum) == (self.checksum.bytes(), self.checksum.checksum()) {
                        return Ok(Next::End);
                    }
                    return Err(self.failed("count or checksum of the answer is wrong"));
                }
                other => self.unexpected(other)?,
            }
        }
    }

    async fn begin(&mut self, call: &Call) -> Result<Head, AttemptError> {
        loop {
            match self.receive().await? {
                Outcome::Accepted(hints) => {
                    self.observe(Some(&hints));
                    self.accepted = true;
                    if !self.body_sent {
                        self.send_body(&call.body).await?;
                    }
                }
                Outcome::Head {
                    status,
                    content_type,
                } => {
                    return Ok(Head {
                        status,
                        content_type,
                    });
                }
                other => self.unexpected(other)?,
            }
        }
    }

    /// Ends the attempt on a refusal or failure; other frames are passed over.
    fn unexpected(&mut self, outcome: Outcome) -> Result<(), AttemptError> {
        match outcome {
            Outcome::Heartbeat => Ok(()),
            Outcome::Refused(refusal) => {
                self.observe(refusal.hints.as_ref());
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
                self.observe(hints.as_ref());
                Err(AttemptError::Failed {
                    execution,
                    reason,
                    retry_after,
                })
            }
            _ => Err(self.failed("the agent sent a frame out of turn")),
        }
    }

    /// The next frame of this attempt; those of others are dropped and counted.
    async fn receive(&mut self) -> Result<Outcome, AttemptError> {
        loop {
            let frame = self.receive_in_time().await?;
            if frame.attempt == self.id {
                return Ok(frame.outcome);
            }
            self.gateway.metrics.crossed.inc();
        }
    }

    async fn receive_in_time(&mut self) -> Result<AnswerFrame, AttemptError> {
        enum Wake {
            Frame(Result<Option<AnswerFrame>, LinkError>),
            Silence,
            TimeUp,
        }
        let frame = async { Wake::Frame(self.rx.receive().await) };
        let silence = async {
            Timer::after(SILENCE_TIME).await;
            Wake::Silence
        };
        let time_up = async {
            Timer::at(self.deadline).await;
            Wake::TimeUp
        };
        match or(frame, or(silence, time_up)).await {
            Wake::Frame(Ok(Some(frame))) => Ok(frame),
            Wake::Frame(Ok(None)) => Err(self.failed("the agent broke the answer off")),
            Wake::Frame(Err(LinkError::ShutDown(..))) if !self.accepted => {
                Err(AttemptError::Refused {
                    reason: RefusalReason::ShuttingDown,
                    retry_after: RETRY_AFTER,
                })
            }
            Wake::Frame(Err(err)) if !self.accepted => Err(AttemptError::Lost {
                execution: self.execution(),
                reason: err.to_string().into(),
            }),
            Wake::Frame(Err(err)) => Err(self.failed(&err.to_string())),
            Wake::Silence => {
                self.gateway.link.disconnect(self.peer);
                Err(self.failed("the agent does not answer"))
            }
            Wake::TimeUp => Err(AttemptError::TimeUp(self.execution())),
        }
    }

    async fn send_body(&mut self, body: &Bytes) -> Result<(), AttemptError> {
        let mut rest = body.clone();
        while !rest.is_empty() {
            let piece = rest.split_to(rest.len().min(CHUNK_BYTES));
            self.send(RequestFrame::Body(piece)).await?;
        }
        self.body_sent = true;
        self.send(RequestFrame::BodyEnd).await
    }

    async fn send(&mut self, frame: RequestFrame) -> Result<(), AttemptError> {
        let sent = async { Some(self.tx.send(&frame).await) };
        let time_up = async {
            Timer::at(self.deadline).await;
            None
        };
        match or(sent, time_up).await {
            Some(Ok(())) => Ok(()),
            // The agent may have refused and stopped reading; its frame says so.
            Some(Err(_)) => Ok(()),
            None => Err(AttemptError::TimeUp(self.execution())),
        }
    }

    fn observe(&self, hints: Option<&Hints>) {
        if let Some(hints) = hints {
            self.gateway.pools.observe(&self.pool, hints);
            let view = self.gateway.view.get();
            let agent = view.members.agent_of(&hints.server);
            let node = agent.map(|agent| &agent.node);
            self.gateway.control.observe_version(node, hints.config);
        }
    }

    /// An agent cannot run what it has not had the whole body of.
    fn execution(&self) -> Execution {
        match self.body_sent {
            true => Execution::MayHaveRun,
            false => Execution::NotRun,
        }
    }

    fn failed(&self, reason: &str) -> AttemptError {
        AttemptError::Failed {
            execution: self.execution(),
            reason: reason.into(),
            retry_after: RETRY_AFTER,
        }
    }
}

fn offer(call: &Call, number: u32, config: u64) -> Offer {
    let route = match &call.target {
        crate::call::Target::Route { path, .. } => Some(path.clone()),
        crate::call::Target::Model(_) => None,
    };
    Offer {
        attempt: AttemptId {
            request: call.id,
            number,
        },
        team: call.team.clone(),
        model: call.model().map(Into::into),
        route,
        path: call.path.clone(),
        method: call.method.clone(),
        content_type: call.content_type.clone(),
        prompt_tokens: call.prompt_tokens,
        output_tokens: call.output_tokens,
        streamed: call.streamed,
        remaining: call.remaining(),
        prefixes: call.prefixes.clone(),
        repeatable: call.repeatable,
        idempotency_key: call.idempotency_key.clone(),
        content_hash: call.content_hash,
        config,
        body_bytes: call.body.len() as u64,
    }
}
