//! Decides for each waiting prompt of a service whether it starts, waits on or is refused.

use crate::assignment::{Assignment, EngineForecast, NoServer};
use crate::crash_guard::{BLOCKED_REASON, blocked_retry_after, is_blocked, server_in_turn};
use crate::job::Job;
use crate::prompt_queue::{PAUSED_REASON, WaitingPrompt};
use crate::send_permit::SendPermit;
use crate::shared::Shared;
use crate::waiting_news::place_in_fleet_order;
use policy::{
    CapacityForecast, DRAIN_RETRY_AFTER, DRAINING_REASON, Drain, EngineCandidate, EnginePlacement,
    EngineProfile, LateForecast, LateStream, LocalPrompt, PromptRequirements, QueuedPrompt,
    RefusedPrompt, RetryTurn, ReturnSchedule, SendTimes, ServiceSpec, SuspectKind, TeamsOverShare,
    WaitReason, is_short_prompt, late_forecast, place_prompt, service_key,
    suggest_retry_after_limit, urgent_room_shortage,
};
use proto::BackendEntry;
use slog::info;
use std::sync::Arc;
use std::time::Duration;

/// Prompts wait for the end of a pause that is at most this far off. Callers that are refused need about
/// as long to come back.
const MAX_PAUSE_WAIT: Duration = Duration::from_millis(200);

/// Reason of refusals of prompts that the engines would get to too late, for logs and metrics.
const TOO_FAR_BEHIND_REASON: &str = "engines too far behind";

/// Whether to count on an engine for the prefill of a waiting prompt: it can be reached, and no
/// request that decodes there has a shorter target for the gap between events than the prompt has.
/// A prefill would delay the events of such a request for too long.
fn can_prefill(engine: &EngineCandidate, requirements: &PromptRequirements) -> bool {
    !engine.is_unreachable() && engine.load.min_event_gap_target >= requirements.event_gap_target
}

/// One check of the waiting prompts of a service.
pub(crate) struct AssignmentPass<'a> {
    pub(crate) shared: &'a Arc<Shared>,
    pub(crate) spec: &'a Arc<ServiceSpec>,
    pub(crate) profile: &'a EngineProfile,
    pub(crate) servers: &'a [BackendEntry],
    /// When this gateway may send requests to the servers; `None` unless all state request limits.
    pub(crate) send_times: Option<SendTimes>,
    /// Teams that go behind others of their rank.
    pub(crate) over_share: TeamsOverShare,
    /// Prefill of the prompts that wait for the service at this gateway.
    pub(crate) waiting_prefill: Duration,
    /// The drain of the process, if it has started.
    pub(crate) drain: Option<Drain>,
    pub(crate) now: Duration,
}

impl AssignmentPass<'_> {
    /// Assigns engines to a prompt or refuses it; `None` where it keeps waiting. `ahead` has the
    /// prefill times of the prompts that are served before it and wait.
    pub(crate) fn decide(
        &self,
        prompt: &QueuedPrompt,
        waiting: &WaitingPrompt,
        ahead: &[Duration],
    ) -> Option<Result<Assignment, NoServer>> {
        let request = &waiting.request;
        if !request.is_trial && is_blocked(self.shared, &request.suspects) {
            return Some(Err(NoServer {
                reason: BLOCKED_REASON,
                retry_after: blocked_retry_after(self.shared, &request.suspects),
            }));
        }
        let untried = self
            .servers
            .iter()
            .filter(|server| !request.tried_servers.contains(&server.id));
        let mut servers: Vec<_> = untried.cloned().collect();
        let pause_end = self.shared.fleet.remove_paused(&mut servers, self.now);
        if servers.is_empty() {
            return match pause_end {
                None => Some(Err(self.refuse("no server", prompt, &[]))),
                Some(end) => self.refuse_until(end),
            };
        }
        if let Some(refusal) = self.refuse_beyond_limits(prompt, ahead.len()) {
            return Some(Err(refusal));
        }
        let mut engines = self
            .shared
            .fleet
            .engine_candidates(self.spec, &servers, self.now);
        if let Some(turn) = request.turn
            && is_short_prompt(self.profile, &prompt.request)
        {
            self.prefer_engine_in_turn(turn, &servers, &mut engines);
        }
        let prefill_engines = engines
            .iter()
            .filter(|engine| can_prefill(engine, &prompt.request));
        if prompt.would_miss_deadline(self.profile, prefill_engines.count(), self.now) {
            return Some(Err(self.refuse("too late to be read", prompt, &engines)));
        }
        if let Some(late) = late_forecast(self.profile, prompt, &engines, ahead, self.now) {
            let refusal = self.refuse(TOO_FAR_BEHIND_REASON, prompt, &engines);
            self.log_too_far_behind(waiting, &late, engines.len());
            return Some(Err(refusal));
        }
        if self.would_outlast_drain(prompt, &engines, ahead) {
            return Some(Err(self.refuse_in_drain(waiting)));
        }
        let requirements = prompt.request_at(self.now);
        let herd_avoidance = self
            .shared
            .fleet
            .herd_avoidance(self.spec, &servers, self.now);
        let place = |engines: &[EngineCandidate]| {
            place_prompt(self.profile, &requirements, engines, herd_avoidance)
        };
        let is_short = is_short_prompt(self.profile, &requirements);
        let placement = if is_short {
            let placed = place(&engines);
            if let Err(WaitReason::SoonAble(soon)) = &placed {
                let server = &servers[soon.engine].id;
                let waited = requirements.waited;
                waiting
                    .notices
                    .on_soon_able(self.shared, server, soon, waited);
            }
            placed.ok()?
        } else {
            let local = LocalPrompt {
                service: service_key(&self.spec.name),
                order: prompt.order(self.profile, self.servers.len(), &self.over_share, self.now),
                requirements: &requirements,
            };
            let notices = &waiting.notices;
            let over_share = &self.over_share;
            let place = |engines: &[EngineCandidate]| place(engines).ok();
            place_in_fleet_order(self.shared, notices, &local, &engines, over_share, place)?
        };
        let mut demand = self.shared.prompt_queue.lock_rank_demand();
        let demand = demand.entry(self.spec.name.clone()).or_default();
        let urgent_rate =
            demand.urgent_share(prompt.rank, self.now) * herd_avoidance.placement_rate;
        if !is_short
            && let Some(shortage) = urgent_room_shortage(
                self.profile,
                &requirements,
                &engines,
                &placement,
                urgent_rate,
            )
        {
            let waited = requirements.waited;
            waiting
                .notices
                .on_urgent_room_shortage(self.shared, &shortage, waited);
            return None;
        }
        let slowdown = engines[placement.decoder].slowdown;
        let forecast = placement.first_event_forecast
            + self.profile.decode_time(&requirements).mul_f64(slowdown);
        let stream = LateStream { forecast };
        if self
            .drain
            .is_some_and(|drain| !drain.may_stream(&stream, self.now))
        {
            return Some(Err(self.refuse_in_drain(waiting)));
        }
        let assignment = self.assign(&requirements, &placement, &servers, slowdown, stream)?;
        demand.record(prompt.rank, is_short, self.now);
        let engines = 1 + placement.helpers.len() as u32;
        let prefill_time = placement.part_prefill_time * engines;
        self.shared
            .waiting
            .on_start(prompt.team, prefill_time, self.now);
        Some(Ok(assignment))
    }

    /// Whether the process ends before the prompt's stream would, by the shortest forecast.
    fn would_outlast_drain(
        &self,
        prompt: &QueuedPrompt,
        engines: &[EngineCandidate],
        ahead: &[Duration],
    ) -> bool {
        let Some(drain) = self.drain else {
            return false;
        };
        let limited = drain.limit_prompt(self.profile, prompt);
        let prefill_engines = engines
            .iter()
            .filter(|engine| can_prefill(engine, &prompt.request));
        limited.would_miss_deadline(self.profile, prefill_engines.count(), self.now)
            || self.refuse_beyond_limits(&limited, ahead.len()).is_some()
            || late_forecast(self.profile, &limited, engines, ahead, self.now).is_some()
    }

    fn refuse_in_drain(&self, waiting: &WaitingPrompt) -> NoServer {
        info!(self.shared.log, "queue: prompt refused"; "req" => &*waiting.request.req,
            "reason" => DRAINING_REASON,
            "waited_ms" => self.now.saturating_sub(waiting.request.since).as_millis() as u64);
        NoServer {
            reason: DRAINING_REASON,
            retry_after: DRAIN_RETRY_AFTER,
        }
    }

    /// Makes the engine whose turn it is the first choice for a prompt whose last engine crashed.
    fn prefer_engine_in_turn(
        &self,
        turn: RetryTurn,
        servers: &[BackendEntry],
        engines: &mut [EngineCandidate],
    ) {
        let is_suspect = |index: usize| engines[index].suspect.is_some();
        let Some(preferred) = server_in_turn(self.shared, turn, servers, is_suspect) else {
            return;
        };
        for (index, engine) in engines.iter_mut().enumerate() {
            engine.suspect = (index != preferred).then_some(SuspectKind::Unreachable);
        }
    }

    /// Refuses a prompt that the servers would take too late because of the limits that they state.
    fn refuse_beyond_limits(&self, prompt: &QueuedPrompt, ahead: usize) -> Option<NoServer> {
        let send_times = self.send_times.as_ref()?;
        let start = send_times.after(ahead);
        // Engines with a limit do not help each other.
        if start.is_some_and(|start| !prompt.would_miss_deadline(self.profile, 1, start)) {
            return None;
        }
        let time = send_times.time_to_return(ahead);
        let wait = time.map(|time| time.saturating_sub(self.now));
        Some(NoServer {
            reason: "servers at their limits",
            retry_after: suggest_retry_after_limit(wait, rand::random()),
        })
    }

    /// Refuses a prompt while all servers are in pauses of which the first ends at `end`; `None` where
    /// that is soon, so that the prompt waits.
    fn refuse_until(&self, end: Duration) -> Option<Result<Assignment, NoServer>> {
        let wait = end.saturating_sub(self.now);
        let refusal = NoServer {
            reason: PAUSED_REASON,
            retry_after: suggest_retry_after_limit(Some(wait), rand::random()),
        };
        (wait > MAX_PAUSE_WAIT).then_some(Err(refusal))
    }

    /// Logs the figures by which a prompt is refused as too late. The refusal ends the prompt, so that
    /// this comes once for each.
    fn log_too_far_behind(&self, waiting: &WaitingPrompt, late: &LateForecast, engines: usize) {
        let waited = self.now.saturating_sub(waiting.request.since);
        info!(self.shared.log, "queue: prompt refused"; "req" => &*waiting.request.req,
            "reason" => TOO_FAR_BEHIND_REASON,
            "forecast_ms" => late.forecast.as_millis() as u64,
            "remaining_ms" => late.remaining.as_millis() as u64,
            "backlog_ms" => late.backlog.as_millis() as u64,
            "ahead_ms" => late.ahead.as_millis() as u64, "engines" => engines,
            "waited_ms" => waited.as_millis() as u64);
    }

    fn refuse(
        &self,
        reason: &'static str,
        prompt: &QueuedPrompt,
        engines: &[EngineCandidate],
    ) -> NoServer {
        let prefill_time = self.profile.prefill_time(prompt.request.prompt_tokens);
        let backlogs = engines.iter().map(|engine| engine.load.prefill_remaining);
        let forecast = CapacityForecast {
            backlog: backlogs.sum(),
            waiting: self.waiting_prefill.saturating_sub(prefill_time),
            engines: engines.len(),
            gateways: self.shared.fleet.gateways(),
        };
        let refused = RefusedPrompt {
            rank: prompt.rank,
            prefill_time,
            remaining: prompt.deadline.saturating_sub(self.now),
        };
        let queue = &self.shared.prompt_queue;
        let mut returns = queue.lock_returns();
        // Times count from the start of the process.
        let schedule = returns
            .entry(self.spec.name.clone())
            .or_insert_with(|| ReturnSchedule::new(Duration::ZERO));
        NoServer {
            reason,
            retry_after: schedule.assign(refused, forecast, self.now, rand::random()),
        }
    }

    /// Returns `None` if a request that is not in the queue has taken the engine's last permit.
    fn assign(
        &self,
        requirements: &PromptRequirements,
        placement: &EnginePlacement,
        servers: &[BackendEntry],
        slowdown: f64,
        stream: LateStream,
    ) -> Option<Assignment> {
        let helpers = placement.helpers.iter();
        let helpers: Vec<_> = helpers
            .map(|helper| (servers[helper.engine].clone(), helper.reserved_tokens))
            .collect();
        let server = servers[placement.decoder].clone();
        let permit = SendPermit::take(self.shared, self.spec, &server.id)?;
        let is_long = !is_short_prompt(self.profile, requirements);
        let job = Job::start(
            self.shared,
            requirements,
            placement.part_prefill_time,
            is_long,
            &server,
            &helpers,
        );
        Some(Assignment {
            server,
            helpers,
            permit,
            job,
            forecast: Some(EngineForecast {
                part_prefill_time: placement.part_prefill_time,
                first_event: placement.first_event_forecast,
                published_first_event: placement.first_event_forecast.div_f64(slowdown),
            }),
            stream,
        })
    }
}
