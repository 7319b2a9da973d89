//! When a gateway tells its peers which prompts wait, and what it tells them.

use crate::engine_profile::EngineProfile;
use crate::engine_queue::QueuedPrompt;
use crate::fleet_queue::{MAX_REPORTED_PROMPTS, MAX_REPORTED_SERVICES, engines_needed};
use crate::team_shares::TeamsOverShare;
use proto::{ReportedPrompt, ServiceKey, ServiceQueue, TeamPrefill, WaitingFrame};
use std::collections::BTreeMap;
use std::time::Duration;

/// Shortest interval between frames: 20 in a second.
const MIN_FRAME_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between frames while the first prompts stay the same. Two fit into the time for which
/// peers count a report.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest interval between frames, below the 500 ms for which peers count a report.
const MAX_FRAME_INTERVAL: Duration = Duration::from_millis(400);
/// Limit on the frames in a second over all peers, which lengthens the interval from 50 peers on.
const MAX_FRAMES_PER_SECOND: u32 = 1_000;

/// The first prompts that wait at this gateway, and the frames that tell peers of them.
#[derive(Debug, Default)]
pub struct WaitingFrames {
    services: BTreeMap<ServiceKey, Vec<OwnPrompt>>,
    /// First prompt of each service in the last frame.
    told: Vec<(ServiceKey, u64)>,
    last_at: Option<Duration>,
    revision: u64,
}

#[derive(Debug)]
struct OwnPrompt {
    reported: ReportedPrompt,
    latest_start: Duration,
}

impl WaitingFrames {
    /// Replaces the prompts that wait for the engines of a service; `sorted` are in their order.
    pub fn set_waiting<'a>(
        &mut self,
        service: ServiceKey,
        sorted: impl IntoIterator<Item = &'a QueuedPrompt>,
        profile: &EngineProfile,
        engines: usize,
        now: Duration,
    ) {
        let first = sorted.into_iter().take(MAX_REPORTED_PROMPTS);
        let prompts: Vec<_> = first
            .map(|prompt| own_prompt(prompt, profile, engines, now))
            .collect();
        self.services.remove(&service);
        if !prompts.is_empty() && self.services.len() < MAX_REPORTED_SERVICES {
            self.services.insert(service, prompts);
        }
    }

    /// Drops the services that are not in `waiting`, as no prompts wait for them.
    pub fn retain_services(&mut self, waiting: &[ServiceKey]) {
        self.services.retain(|service, _| waiting.contains(service));
    }

    /// Whether the first prompt of a service is another one than peers were told.
    pub fn has_changed(&self) -> bool {
        !self.firsts().eq(self.told.iter().copied())
    }

    /// When the next frame goes to `peers` peers; `None` while there is nothing to tell.
    /// `has_starts` says that prompts wait at peers and have to be compared with what was started here.
    pub fn next_at(&self, peers: usize, has_starts: bool, now: Duration) -> Option<Duration> {
        if peers == 0 {
            return None;
        }
        let paced = Duration::from_secs(1) * peers as u32 / MAX_FRAMES_PER_SECOND;
        let interval = paced.clamp(MIN_FRAME_INTERVAL, MAX_FRAME_INTERVAL);
        let after = |interval| self.last_at.map_or(now, |last| last + interval);
        if self.has_changed() {
            Some(after(interval))
        } else if has_starts || !self.services.is_empty() {
            Some(after(interval.max(RENEWAL_INTERVAL)))
        } else {
            None
        }
    }

    /// Records that a frame goes to all peers now.
    pub fn on_frame_due(&mut self, now: Duration) {
        self.told = self.firsts().collect();
        self.last_at = Some(now);
        self.revision += 1;
    }

    /// Number of the last frame.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// The frame as of now, with what was `started` for teams.
    pub fn frame(&self, started: Vec<TeamPrefill>, now: Duration) -> WaitingFrame {
        let services = self.services.iter().map(|(service, prompts)| {
            let prompts = prompts.iter().map(|prompt| ReportedPrompt {
                latest_start_in: prompt.latest_start.checked_sub(now),
                ..prompt.reported
            });
            ServiceQueue {
                service: *service,
                prompts: prompts.collect(),
            }
        });
        WaitingFrame {
            services: services.collect(),
            started,
        }
    }

    fn firsts(&self) -> impl Iterator<Item = (ServiceKey, u64)> {
        let services = self.services.iter();
        services.flat_map(|(service, prompts)| {
            prompts.first().map(|first| (*service, first.reported.id))
        })
    }
}

fn own_prompt(
    prompt: &QueuedPrompt,
    profile: &EngineProfile,
    engines: usize,
    now: Duration,
) -> OwnPrompt {
    let order = prompt.order(profile, engines, &TeamsOverShare::default(), now);
    OwnPrompt {
        reported: ReportedPrompt {
            id: prompt.id,
            rank: prompt.rank,
            latest_start_in: None,
            engines: engines_needed(profile, &prompt.request_at(now)) as u8,
            team: prompt.team,
        },
        latest_start: order.latest_start,
    }
}
