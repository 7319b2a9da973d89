//! The guarantees that hold while the store turns gateways away, from what clients saw.

use crate::soak_client::ClientCall;
use crate::soak_probes::{Disregarded, Part, Probe, is_in_touch, outdated_answer};
use crate::soak_rules::{SERVED_IN_CALM, STABLE_WINDOW, Served, too_few_served};
use crate::soak_upsets::{Upset, UpsetKind};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Share of its requests that routes which were added later get served, relative to those of the first
/// version, at gateways in touch.
const ADDED_SHARE: f64 = 0.25;
/// Requests from which on that share is checked.
const FEWEST_ADDED: usize = 20;
const MAX_EXAMPLES: usize = 6;

/// A probe that has ended.
#[derive(Debug, Clone, Copy)]
pub struct AnsweredProbe<'a> {
    /// What was asked for.
    pub probe: Probe,
    /// The request and its end.
    pub call: &'a ClientCall,
    /// Servers that have run it.
    pub runs: usize,
}

/// What the probes of a soak found, which are recorded in the order of their ends.
#[derive(Debug)]
pub struct TurnedAwayTally<'a> {
    parts: &'a [Part],
    /// Disturbances of each gateway: of its process, of its links, and of its way to the store.
    upsets: &'a [Vec<Upset>],
    bound: Duration,
    /// Requests for confirmed additions that a gateway refused whose process ran undisturbed.
    refused: Vec<AnsweredProbe<'a>>,
    /// Such requests at gateways that had been frozen or started.
    refused_beside_upsets: usize,
    broken: Vec<String>,
    /// Requests for removed parts that were run by gateways out of touch.
    stale: usize,
    /// 503 at gateways whose process ran undisturbed.
    unavailable: usize,
    /// Confirmed parts, and those that no version has, while no gateway is disturbed.
    pub calm: Served,
    unknown: Served,
    /// Parts that the gateway had served since its start, while it is disturbed.
    kept: Served,
    /// Added parts, at gateways that were let in longer than the bound ago and are not in touch yet.
    returned: Served,
    added_in_touch: Served,
    standing_in_touch: Served,
    /// When each gateway last served each part.
    served_at: HashMap<(usize, Probe), Instant>,
}

impl<'a> TurnedAwayTally<'a> {
    /// No probes so far; additions and removals are in force `bound` after their confirmation.
    pub fn new(parts: &'a [Part], upsets: &'a [Vec<Upset>], bound: Duration) -> Self {
        Self {
            parts,
            upsets,
            bound,
            refused: Vec::new(),
            refused_beside_upsets: 0,
            broken: Vec::new(),
            stale: 0,
            unavailable: 0,
            calm: Served::default(),
            unknown: Served::default(),
            kept: Served::default(),
            returned: Served::default(),
            added_in_touch: Served::default(),
            standing_in_touch: Served::default(),
            served_at: HashMap::new(),
        }
    }

    /// Adds a probe.
    pub fn record(&mut self, found: AnsweredProbe<'a>) {
        let AnsweredProbe { probe, call, runs } = found;
        let upsets = &self.upsets[call.gateway];
        let is_touched = is_in_touch(upsets, call.sent_at, call.ended_at);
        let runs_undisturbed = !has_process_upset(upsets, window_before(call), call.ended_at);
        let outdated = outdated_answer(probe, call, runs, self.parts, self.bound);
        match outdated {
            Some((Disregarded::Added, _)) if runs_undisturbed => self.refused.push(found),
            Some((Disregarded::Added, _)) => self.refused_beside_upsets += 1,
            Some((Disregarded::Removed, _)) if !is_touched => self.stale += 1,
            Some((_, text)) => self.broken.push(format!("{}: {text}", call.request.id)),
            None => {}
        }
        if runs_undisturbed {
            self.record_unavailable(found);
        }
        self.record_served(found, is_touched);
        if call.is_served() {
            self.served_at.insert((call.gateway, probe), call.ended_at);
        }
    }

    fn record_unavailable(&mut self, found: AnsweredProbe<'_>) {
        let response = found.call.answer();
        let Some(response) = response.filter(|response| response.status == 503) else {
            return;
        };
        self.unavailable += 1;
        let id = &found.call.request.id;
        if response.retry_after.is_none() {
            self.broken.push(format!("{id}: 503 without a retry-after"));
        }
        if found.runs > 0 {
            let text = format!("{id}: 503, which means not run, and {} ran it", found.runs);
            self.broken.push(text);
        }
    }

    fn record_served(
        &mut self,
        AnsweredProbe { probe, call, .. }: AnsweredProbe<'_>,
        is_touched: bool,
    ) {
        let is_calm = is_touched
            && (self.upsets.iter()).all(|upsets| is_in_touch(upsets, call.sent_at, call.ended_at));
        let expected = match probe {
            Probe::UnknownRoute => Some(404),
            Probe::UnknownKey => Some(401),
            _ => None,
        };
        if let Some(expected) = expected {
            if call.is_served() {
                let text = format!("{}: served, though no version has it", call.request.id);
                self.broken.push(text);
            }
            if is_calm {
                self.unknown.due += 1;
                self.unknown.served += usize::from(call.status() == Some(expected));
            }
            return;
        }
        if !probe.is_due(call, self.parts) {
            return;
        }
        let is_added = probe != Probe::Standing;
        if is_calm {
            self.calm.record(call);
        }
        if is_touched {
            match is_added {
                true => self.added_in_touch.record(call),
                false => self.standing_in_touch.record(call),
            }
            return;
        }
        let upsets = &self.upsets[call.gateway];
        let last_served = self.served_at.get(&(call.gateway, probe));
        if last_served.is_some_and(|at| !has_process_upset(upsets, *at, call.ended_at)) {
            self.kept.record(call);
        }
        let let_in_at = call.sent_at.checked_sub(self.bound);
        let is_let_in = let_in_at.is_some_and(|at| {
            let disturbed = |upset: &Upset| upset.overlaps(at, call.ended_at);
            !upsets.iter().any(disturbed)
        });
        if is_added && is_let_in && !has_process_upset(upsets, window_before(call), call.ended_at) {
            self.returned.record(call);
        }
    }

    /// Descriptions of broken guarantees. Without `has_calm`, no gateway is ever undisturbed.
    pub fn violations(&self, has_calm: bool) -> Vec<String> {
        let mut violations = Vec::new();
        if !self.refused.is_empty() {
            violations.push(self.describe_refused());
        }
        let total = self.broken.len();
        if total > 0 {
            let examples = &self.broken[..total.min(MAX_EXAMPLES)];
            violations.push(format!(
                "CONFIG, DENIED, REFUSED: {total} others; {examples:?}"
            ));
        }
        let shares = [
            ("confirmed parts in calm", self.calm, has_calm),
            ("refusals of unknown parts in calm", self.unknown, has_calm),
            ("known parts at disturbed gateways", self.kept, false),
            (
                "newest parts after the store's return",
                self.returned,
                false,
            ),
        ];
        for (what, found, is_due) in shares {
            if is_due || found.due > 0 {
                let few = too_few_served(found, SERVED_IN_CALM);
                violations.extend(few.map(|text| format!("{text}: {what}")));
            }
        }
        let (added, standing) = (self.added_in_touch, self.standing_in_touch);
        let share = |found: Served| found.served as f64 / found.due.max(1) as f64;
        if added.due >= FEWEST_ADDED && share(added) < ADDED_SHARE * share(standing) {
            violations.push(format!(
                "CONFIG: {added:?} of added parts, {standing:?} of standing ones, at gateways in touch"
            ));
        }
        violations
    }

    fn describe_refused(&self) -> String {
        let mut by_gateway = vec![0; self.upsets.len()];
        let mut statuses = HashMap::<_, usize>::new();
        let mut longest = Duration::ZERO;
        for AnsweredProbe { probe, call, .. } in &self.refused {
            by_gateway[call.gateway] += 1;
            *statuses
                .entry(call.status().unwrap_or_default())
                .or_default() += 1;
            if let Probe::Route(number) | Probe::Key(number) = probe {
                let added_at = self.parts[*number].added_at;
                longest = longest.max(call.sent_at.duration_since(added_at));
            }
        }
        let gateways = by_gateway.iter().filter(|count| **count > 0).count();
        let in_touch = self.refused.iter().filter(|found| {
            let call = found.call;
            is_in_touch(&self.upsets[call.gateway], call.sent_at, call.ended_at)
        });
        format!(
            "CONFIG, DENIED: {} requests for confirmed parts were refused, {statuses:?}, by {gateways} of {} \
             gateways {by_gateway:?}, {} of them in touch, up to {longest:.1?} after the confirmation",
            self.refused.len(),
            self.upsets.len(),
            in_touch.count(),
        )
    }

    /// Gateways and ids of the requests for confirmed parts that were refused.
    pub(crate) fn refused_ids(&self) -> impl Iterator<Item = (usize, &'a str)> {
        let refused = self.refused.iter();
        refused.map(|found| (found.call.gateway, &*found.call.request.id))
    }

    /// Counts that break no guarantee.
    pub(crate) fn notes(&self) -> Vec<String> {
        let share = |Served { due, served }: Served| format!("{served} of {due}");
        vec![format!(
            "in calm {} confirmed, {} unknown; known at disturbed gateways {}; after the return {}; in touch \
             {} added, {} standing; {} removed parts run out of touch, {} refusals beside freezes and starts, \
             {} answers 503",
            share(self.calm),
            share(self.unknown),
            share(self.kept),
            share(self.returned),
            share(self.added_in_touch),
            share(self.standing_in_touch),
            self.stale,
            self.refused_beside_upsets,
            self.unavailable,
        )]
    }
}

fn window_before(call: &ClientCall) -> Instant {
    call.sent_at
        .checked_sub(STABLE_WINDOW)
        .unwrap_or(call.sent_at)
}

/// Whether the process was stopped, killed or frozen in this time.
fn has_process_upset(upsets: &[Upset], from: Instant, to: Instant) -> bool {
    let mut others = upsets.iter().filter(|upset| upset.kind != UpsetKind::Link);
    others.any(|upset| upset.overlaps(from, to))
}
