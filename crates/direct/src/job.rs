//! Jobs: work placed on backend servers, counted in their load until it ends.

use crate::shared::Shared;
use policy::{JobId, JobLoad, PromptRequirements, server_key};
use proto::BackendEntry;
use std::sync::Arc;
use std::time::Duration;

/// Work at one or more servers, counted in their load until it is dropped.
#[derive(Debug)]
pub struct Job {
    shared: Arc<Shared>,
    id: JobId,
    parts: Vec<JobLoad>,
}

impl Job {
    /// Starts the job of a prompt that `server` and its helpers prefill together, for `part` each.
    /// `long` marks a long prompt, whose changes peers hear of at once.
    pub fn start(
        shared: &Arc<Shared>,
        need: &PromptRequirements,
        part: Duration,
        long: bool,
        server: &BackendEntry,
        helpers: &[(BackendEntry, u64)],
    ) -> Self {
        let helper_tokens: u64 = helpers.iter().map(|(_, tokens)| tokens).sum();
        let first = JobLoad {
            server: server_key(&server.id),
            prefill_time: part,
            kv_tokens: (need.prompt_tokens + need.expected_output_tokens)
                .saturating_sub(helper_tokens),
            decodes: true,
            event_gap_target: need.event_gap_target,
            is_long: long,
        };
        let helpers = helpers.iter().map(|(helper, tokens)| JobLoad {
            server: server_key(&helper.id),
            prefill_time: part,
            kv_tokens: *tokens,
            decodes: false,
            event_gap_target: need.event_gap_target,
            is_long: long,
        });
        Self::start_with_parts(shared, std::iter::once(first).chain(helpers).collect())
    }

    /// Starts the job of a request at a server of a plain service.
    pub fn start_plain(shared: &Arc<Shared>, server: &BackendEntry) -> Self {
        let part = JobLoad {
            server: server_key(&server.id),
            prefill_time: Duration::ZERO,
            kv_tokens: 0,
            decodes: true,
            event_gap_target: Duration::MAX,
            is_long: false,
        };
        Self::start_with_parts(shared, vec![part])
    }

    /// Records that the prefill is done, and wakes the prompt queue.
    pub fn on_prefill_done(&self) {
        self.shared.fleet.on_prefill_done(self.id, &self.parts);
        self.shared.prompt_queue.wake();
    }

    fn start_with_parts(shared: &Arc<Shared>, parts: Vec<JobLoad>) -> Self {
        let id = shared.fleet.next_job_id();
        shared.fleet.start_job(id, &parts, shared.clock.now());
        Self {
            shared: shared.clone(),
            id,
            parts,
        }
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        self.shared.fleet.end_job(self.id, &self.parts);
        self.shared.prompt_queue.wake();
    }
}
