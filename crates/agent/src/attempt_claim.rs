//! An attempt's claim, which is given up on every way out but its run.

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

/// A claim that was asked for.
#[derive(Debug)]
pub struct AttemptClaim {
    /// What becomes of it.
    pub verdicts: Receiver<ClaimVerdict>,
    driver: Arc<ClaimDriver<HttpPlatform>>,
    attempt: AttemptId,
    claimed: bool,
    handed_over: bool,
}

impl AttemptClaim {
    /// Asks for the claim of an attempt.
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
            claimed: false,
            handed_over: false,
        }
    }

    /// Hands the claim over to the call of the backend server, which reports how it ends.
    pub fn hand_over(&mut self) -> Arc<ClaimDriver<HttpPlatform>> {
        self.handed_over = true;
        self.driver.clone()
    }

    /// What becomes of the claim; waits for ever once it is claimed.
    pub async fn verdict(&self) -> ClaimVerdict {
        match self.verdicts.recv().await {
            Ok(verdict) => verdict,
            Err(_) => pending().await,
        }
    }

    /// Notes that the claim is claimed.
    pub fn set_claimed(&mut self) {
        self.claimed = true;
    }

    /// Gives up a claim that will not run; waits until the key is free again if it was claimed.
    pub async fn release(mut self) {
        if self.claimed {
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
    /// Answers an attempt that does not get its claim.
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

    /// Passes a whole answer on.
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
            let piece = body.split_to(body.len().min(CHUNK_BYTES));
            self.send(Outcome::Data(piece)).await?;
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
