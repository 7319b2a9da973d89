//! Work that was given to backend servers, reckoned for as long as it lasts.

use crate::shared::Shared;
use policy::{EngineNeed, JobId, JobPart, server_key};
use proto::BackendEntry;
use std::sync::Arc;
use std::time::Duration;

/// Work at one or several servers. Its drop ends the reckoning.
#[derive(Debug)]
pub struct Job {
    shared: Arc<Shared>,
    id: JobId,
    parts: Vec<JobPart>,
}

impl Job {
    /// Starts to reckon a prompt that `server` and its helpers read in parts of `part` each;
    /// `long` says that it is a long one.
    pub fn start(
        shared: &Arc<Shared>,
        need: &EngineNeed,
        part: Duration,
        long: bool,
        server: &BackendEntry,
        helpers: &[(BackendEntry, u64)],
    ) -> Self {
        let helper_tokens: u64 = helpers.iter().map(|(_, tokens)| tokens).sum();
        let first = JobPart {
            server: server_key(&server.id),
            read: part,
            tokens: (need.prompt + need.answer).saturating_sub(helper_tokens),
            writes: true,
            gap: need.gap,
            long,
        };
        let helpers = helpers.iter().map(|(helper, tokens)| JobPart {
            server: server_key(&helper.id),
            read: part,
            tokens: *tokens,
            writes: false,
            gap: need.gap,
            long,
        });
        Self::start_with_parts(shared, std::iter::once(first).chain(helpers).collect())
    }

    /// Starts to reckon a request at a plain server.
    pub fn start_plain(shared: &Arc<Shared>, server: &BackendEntry) -> Self {
        let part = JobPart {
            server: server_key(&server.id),
            read: Duration::ZERO,
            tokens: 0,
            writes: true,
            gap: Duration::MAX,
            long: false,
        };
        Self::start_with_parts(shared, vec![part])
    }

    /// Notes that the prompt has been read.
    pub fn on_prefill_done(&self) {
        self.shared.fleet.on_prefill_done(self.id, &self.parts);
        self.shared.prompt_queue.wake();
    }

    fn start_with_parts(shared: &Arc<Shared>, parts: Vec<JobPart>) -> Self {
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
