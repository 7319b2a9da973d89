//! The claim of an attempt, which is cancelled on drop unless the attempt runs.

use crate::attempt::Attempt;
use crate::claims::{ClaimDriver, ClaimVerdict};
use async_channel::Receiver;
use platform::HttpPlatform;
use policy::{ClaimEvent, ClaimRequest, CompleteAnswer};
use proto::{AnswerChecksum, AttemptId, EventKind, Execution, Outcome};
use runtime::LinkError;
use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

const CHUNK_BYTES: usize = 256 << 10;

/// A claim that an attempt has requested. Dropping it cancels the claim unless it was handed over
/// or released.
#[derive(Debug)]
pub struct AttemptClaim {
    /// Verdicts on the claim. After [`ClaimVerdict::Run`], another one follows only if the request
    /// is reported as not sent.
    pub verdicts: Receiver<ClaimVerdict>,
    driver: Arc<ClaimDriver<HttpPlatform>>,
    attempt: AttemptId,
    granted: bool,
    handed_over: bool,
}

impl AttemptClaim {
    /// Requests the claim of an attempt under the caller's idempotency key, or under a key of its
    /// own if the caller gave none.
    pub fn new(attempt: &Attempt) -> Self {
        let offer = &attempt.offer;
        let driver = attempt.agent.claims.clone();
        let key = offer.idempotency_key.clone();
        let request = ClaimRequest {
            attempt: offer.attempt,
            team: offer.team.clone(),
            key: key.unwrap_or_else(|| format!("request-{:032x}", offer.attempt.request).into()),
            content: offer.content_hash,
            deadline: Duration::ZERO,
        };
        Self {
            verdicts: driver.begin(request, offer.remaining),
            driver,
            attempt: offer.attempt,
            granted: false,
            handed_over: false,
        }
    }

    /// Hands the claim over to the task that calls the backend server and reports the result to the
    /// returned driver.
    pub fn hand_over(&mut self) -> Arc<ClaimDriver<HttpPlatform>> {
        self.handed_over = true;
        self.driver.clone()
    }

    /// Waits for the next verdict. Never returns if none follows.
    pub async fn verdict(&self) -> ClaimVerdict {
        match self.verdicts.recv().await {
            Ok(verdict) => verdict,
            Err(_) => pending().await,
        }
    }

    /// Records that the claim was granted.
    pub fn set_granted(&mut self) {
        self.granted = true;
    }

    /// Releases the claim of an attempt that will not run. If it was granted, waits until the key
    /// is free again.
    pub async fn release(mut self) {
        if self.granted {
            self.handed_over = true;
            self.driver.handle(ClaimEvent::NotSent(self.attempt));
            let _ = self.verdicts.recv().await;
        }
    }
}

impl Drop for AttemptClaim {
    fn drop(&mut self) {
        self.driver.remove_waiter(self.attempt);
        if !self.handed_over {
            self.driver.handle(ClaimEvent::Cancel(self.attempt));
        }
    }
}

impl Attempt {
    /// Ends an attempt whose claim was not granted, according to the verdict.
    pub(crate) async fn end_without_running(
        &mut self,
        verdict: ClaimVerdict,
    ) -> Result<(), LinkError> {
        match verdict {
            ClaimVerdict::ReplayAnswer(answer) => self.send_complete_answer(answer).await,
            ClaimVerdict::Refuse {
                reason,
                retry_after,
            } => self.refuse_for(reason, retry_after).await,
            ClaimVerdict::MayHaveRun {
                reason,
                retry_after,
            } => self.fail(Execution::MayHaveRun, &reason, retry_after).await,
            ClaimVerdict::Run => Ok(()),
        }
    }

    /// Sends a complete response to the gateway, in chunks of at most [`CHUNK_BYTES`].
    pub(crate) async fn send_complete_answer(
        &mut self,
        answer: CompleteAnswer,
    ) -> Result<(), LinkError> {
        let agent = self.agent.clone();
        agent.metrics.ended.with_label_values(&["finished"]).inc();
        agent.record(EventKind::Finished(self.offer.attempt), &self.offer, "");
        self.send(Outcome::Head {
            status: answer.status,
            content_type: answer.content_type,
        })
        .await?;
        let mut checksum = AnswerChecksum::default();
        let mut body = answer.body;
        checksum.update(&body);
        while !body.is_empty() {
            let chunk = body.split_to(body.len().min(CHUNK_BYTES));
            self.send(Outcome::Data(chunk)).await?;
        }
        self.send(Outcome::End {
            bytes: checksum.bytes(),
            checksum: checksum.checksum(),
            hints: agent.scheduler.hints(),
        })
        .await?;
        self.tx.finish();
        Ok(())
    }
}
