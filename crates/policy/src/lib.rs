//! The decision logic of bergamothold, as pure functions and as deterministic state machines that
//! turn events into actions.
//!
//! Nothing here owns a clock, a socket, a thread or a random source. `now` is a
//! [`Duration`](std::time::Duration) since a fixed point in the life of the process, and random
//! seeds are passed in. Every part can therefore be replayed from a trace, simulated in virtual
//! time and benchmarked on its own.
//!
//! ```
//! use policy::{RetryBudget, RetryBudgetConfig};
//! use std::time::Duration;
//!
//! let mut budget = RetryBudget::new(RetryBudgetConfig::default());
//! for _ in 0..20 {
//!     budget.on_first_attempt();
//! }
//! assert!(budget.try_spend(Duration::ZERO));
//! ```

mod active_config;
mod admission;
mod admission_forecast;
mod affinity;
mod answer_shares;
mod baseline;
mod blocked_suspects;
mod call_limit;
mod call_times;
mod candidates;
mod claim_event;
mod claim_op;
mod claim_row;
mod claim_store;
mod claim_sweep;
mod claims;
mod command;
mod command_event;
mod concurrency_limit;
mod config_gossip;
mod config_rows;
mod confirmed_declarations;
mod content_history;
mod content_sends;
mod counted_row;
mod crash_evidence;
mod crash_guard;
mod data_evidence;
mod dispatch;
mod domain_tracker;
mod drain;
mod edit_script;
mod engine_choice;
mod engine_memory;
mod engine_profile;
mod engine_queue;
mod estimate;
mod evacuations;
mod fairness;
mod fleet_load;
mod fleet_queue;
mod gateway_roster;
mod gossip_event;
mod guard_verdict;
mod herd_avoidance;
mod home_history;
mod job;
mod lending;
mod members;
mod membership;
mod memory_lease;
mod memory_reconcile;
mod neighbours;
mod newer_declarations;
mod order_controller;
mod partial_content;
mod placement;
mod plain_choice;
pub mod prelude;
mod queue;
mod rank_demand;
mod rates;
mod request_key;
mod request_limits;
mod reservation_renewal;
mod restored_store;
mod retry;
mod retry_turn;
mod return_schedule;
mod route_table;
mod router;
mod rules;
mod running;
mod scheduler;
mod scheduler_types;
mod send_limiter;
mod send_shares;
mod server_check;
mod server_failures;
mod server_health;
mod server_lease;
mod server_load;
mod server_pauses;
mod server_runs;
mod server_set;
mod short_prompt_choice;
mod sliding_window;
mod slow_readers;
mod snapshot_source;
mod span_leader;
mod span_member;
mod span_plan;
mod span_types;
mod start_hold;
mod store_fallback;
mod store_reads;
mod store_watchers;
mod stream_waits;
mod table_progress;
mod team_shares;
mod trace;
mod tracked_server;
mod waiting_frames;

pub use active_config::ActiveConfig;
pub use admission_forecast::{LateForecast, late_forecast};
pub use answer_shares::{
    AnswerNumber, AnswerShares, FREE_ANSWER_BYTES, MAX_ANSWER_BYTES, OpenAnswer, answer_bytes,
    answer_growth, buffer_bytes,
};
pub use baseline::{Baseline, BaselineRouter, FifoScheduler};
pub use blocked_suspects::{BlockedCounts, BlockedRow, RowChange};
pub use call_limit::{OpenCallCounts, max_calls, takes_call};
pub use call_times::CallTimes;
pub use claim_event::{
    ClaimAction, ClaimConfig, ClaimCounts, ClaimEvent, ClaimRequest, ClaimWrite, CommitFailure,
    TableCallId, VersionedRow,
};
pub use claim_row::{CLAIM_PREFIX, CompleteAnswer};
pub use claims::Claims;
pub use command::CommandRun;
pub use command_event::{
    CommandAction, CommandEvent, CommandOutcome, CommandRequest, ConfigCommand, ConfigTransaction,
    RowCondition, RowWrite, StoredRow,
};
pub use config_gossip::ConfigGossip;
pub use config_rows::{
    CONFIG_HEAD_KEY, CONFIG_KEY, CommandRow, ConfigHead, ConfigRow, HISTORY_PREFIX, HistoryRow,
    command_key, history_key,
};
pub use confirmed_declarations::{ConfirmedBy, ConfirmedDeclarations};
pub use content_history::ContentHistory;
pub use content_sends::{MAX_CONTENT_SENDS, needs_send_slot};
pub use counted_row::CountedRow;
pub use crash_evidence::CrashEvidence;
pub use crash_guard::CrashGuard;
pub use data_evidence::DataEvidence;
pub use domain_tracker::{DomainChange, DomainRampConfig, DomainTracker};
pub use drain::{
    DRAIN_RETRY_AFTER, DRAINING_REASON, Drain, LateCall, LateStream, SIGNAL_CHECK_INTERVAL,
};
pub use edit_script::{apply_script, edit_script, script_bytes};
pub use engine_choice::{
    EngineCandidate, EnginePlacement, MAX_HELPERS, PrefillHelper, PromptRequirements, WaitReason,
    is_short_prompt, min_first_event_time, place_prompt,
};
pub use engine_memory::max_tokens_per_job;
pub use engine_profile::EngineProfile;
pub use engine_queue::{
    QueueOrder, QueuedPrompt, QueuedPromptId, next_check_after, sort_queue,
    suggest_retry_after_limit,
};
pub use estimate::{PREFIX_BLOCK_BYTES, estimate_tokens, prefix_hashes};
pub use evacuations::Evacuations;
pub use fleet_load::{FleetLoad, JobId, JobLoad, PLACEMENT_WINDOW, server_key};
pub use fleet_queue::{
    FleetPlacement, FleetQueue, LocalPrompt, MAX_REPORTED_PROMPTS, MAX_REPORTED_SERVICES,
    engines_needed, service_key,
};
pub use gateway_roster::{GatewayName, GatewayRoster};
pub use gossip_event::{GossipAction, GossipConfig, GossipEvent, RequestSeq};
pub use guard_verdict::{GuardChange, GuardReason, GuardVerdict, Spread};
pub use herd_avoidance::{HerdAvoidance, KnownPlacements};
pub use home_history::{HOME_HANDOVER, HomeHistory};
pub use job::{Job, LengthClass};
pub use lending::{QuotaBorrower, QuotaDecision, QuotaLender, home_gateway};
pub use members::{Member, Members};
pub use membership::{HostRecord, Membership, MembershipConfig, MembershipEvent};
pub use memory_lease::{GrantError, MemoryConfig, MemoryLeases, span_capacity};
pub use memory_reconcile::{
    Holding, HoldingKind, MemoryReconciler, ReconcileAction, ReconcileConfig, ReconcileEvent,
    format_grant, parse_attempt, parse_grant,
};
pub use newer_declarations::NewerDeclarations;
pub use order_controller::{
    DesiredState, EngineRole, EngineState, MAX_ORDER_BACKOFF, ModelVersion, Order, OrderAction,
    OrderConfig, OrderController, OrderEvent, OrderResult,
};
pub use partial_content::{ContentPart, PartialContent, continued_offset};
pub use placement::{LoadedModels, Placement, model_version};
pub use plain_choice::{PlainCandidate, choose_plain_server};
pub use rank_demand::{RankDemand, UrgentRoomShortage, urgent_room_shortage};
pub use rates::WarmSpeed;
pub use request_key::RequestContent;
pub use request_limits::{LimitRevision, PeerReportEffect, RequestLimits};
pub use reservation_renewal::{RenewalStep, ReservationRenewal};
pub use restored_store::{REWRITE_TIME, RestoredStore};
pub use retry::{
    FailedAttempt, RetryBudget, RetryBudgetConfig, is_worth_retrying, may_retry,
    predicted_response_time,
};
pub use retry_turn::RetryTurn;
pub use return_schedule::{CapacityForecast, MIN_RETRY_AFTER, RefusedPrompt, ReturnSchedule};
pub use route_table::{
    CallerIdentity, CallerLimits, Route, RouteKind, RouteTable, ServiceName, ServiceSpec, TeamEntry,
};
pub use router::{Router, RouterConfig, RoutingRefusal, RoutingRequest};
pub use rules::{rules_allow, serves};
pub use scheduler::Scheduler;
pub use scheduler_types::{
    AbortReason, EngineReport, SchedulerAction, SchedulerConfig, SchedulerEvent, ServerSettings,
};
pub use send_limiter::{SendLimiter, SendTimes};
pub use send_shares::{SendShares, cold_send_bound};
pub use server_check::{CallChecks, CheckReply, CheckStep, RunningChecks, ServerCheck, ServerFate};
pub use server_failures::ServerFailures;
pub use server_health::{AttemptResult, ServerHealth, SuspectKind};
pub use server_lease::{
    LeaseAction, LeaseCommitResult, LeaseEvent, LeaseRow, ServerLease, ServerLeaseConfig,
};
pub use server_pauses::ServerPauses;
pub use server_runs::{RunId, RunProof, ServerRuns};
pub use server_set::{BackendId, DomainName, EXPIRED_ROW_GRACE, ROW_LIFETIME_REPORTS, ServerSet};
pub use short_prompt_choice::SoonAbleEngine;
pub use sliding_window::{RepeatBudget, RepeatCounts, RepeatLimits, SendRateCap, SlidingWindow};
pub use slow_readers::{
    FREE_HELD_BYTES, MAX_HELD_BYTES, SlowReader, may_hold, needs_shared_memory, reader_to_end,
};
pub use snapshot_source::{ContentReport, SnapshotSource, SnapshotStep};
pub use span_leader::SpanLeader;
pub use span_member::{
    CallOutcome, MemberAction, MemberEvent, ReplyId, SpanEngineCall, SpanMember,
};
pub use span_plan::{
    MAX_SEGMENTS, Segment, SpanPlan, SpanPlanRequest, kv_capacity_tokens, needs_span, plan_span,
};
pub use span_types::{LeaderAction, LeaderEvent, SpanConfig, SpanJob, SpanRequestId, SpanStep};
pub use start_hold::StartHold;
pub use store_fallback::{StoreFallback, store_check_interval};
pub use store_reads::{CheckWay, MarkNumber, ReadProof, StoreReads};
pub use store_watchers::{PeerGateway, STORE_WATCHER_COUNT, is_store_reached, should_watch_store};
pub use stream_waits::{first_event_wait, silence_limit};
pub use table_progress::TableProgress;
pub use team_shares::{MAX_REPORTED_TEAMS, TeamShares, TeamsOverShare, team_key};
pub use trace::{
    FaultKind, TRACE_FORMAT, Trace, TraceEnd, TraceError, TraceEvent, TraceExpect, TraceFault,
    TraceHead, TraceLine, TraceOutcome, TraceRequest, TraceServer,
};
pub use waiting_frames::WaitingFrames;
