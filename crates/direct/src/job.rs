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
    loads: Vec<JobLoad>,
}

impl Job {
    /// Starts the job of a prompt that `server` and its helpers prefill together, for
    /// `part_prefill_time` each. Peers hear at once of changes to jobs with `is_long` set.
    pub fn start(
        shared: &Arc<Shared>,
        requirements: &PromptRequirements,
        part_prefill_time: Duration,
        is_long: bool,
        server: &BackendEntry,
        helpers: &[(BackendEntry, u64)],
    ) -> Self {
        let helper_tokens: u64 = helpers.iter().map(|(_, tokens)| tokens).sum();
        let decoder = JobLoad {
            server: server_key(&server.id),
            prefill_time: part_prefill_time,
            kv_tokens: (requirements.prompt_tokens + requirements.expected_output_tokens)
                .saturating_sub(helper_tokens),
            decodes: true,
            event_gap_target: requirements.event_gap_target,
            is_long,
        };
        let helpers = helpers.iter().map(|(helper, tokens)| JobLoad {
            server: server_key(&helper.id),
            prefill_time: part_prefill_time,
            kv_tokens: *tokens,
            decodes: false,
            event_gap_target: requirements.event_gap_target,
            is_long,
        });
        Self::start_with_loads(shared, std::iter::once(decoder).chain(helpers).collect())
    }

    /// Starts the job of a request at a server of a plain service.
    pub fn start_plain(shared: &Arc<Shared>, server: &BackendEntry) -> Self {
        let load = JobLoad {
            server: server_key(&server.id),
            prefill_time: Duration::ZERO,
            kv_tokens: 0,
            decodes: true,
            event_gap_target: Duration::MAX,
            is_long: false,
        };
        Self::start_with_loads(shared, vec![load])
    }

    /// Records that the prefill is done.
    pub fn on_prefill_done(&self) {
        self.shared.fleet.on_prefill_done(self.id, &self.loads);
    }

    fn start_with_loads(shared: &Arc<Shared>, loads: Vec<JobLoad>) -> Self {
        let id = shared.fleet.next_job_id();
        shared.fleet.start_job(id, &loads, shared.clock.now());
        Self {
            shared: shared.clone(),
            id,
            loads,
        }
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        self.shared.fleet.end_job(self.id, &self.loads);
    }
}
