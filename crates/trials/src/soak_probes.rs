//! The guarantees that a change of declarations gives, from the answers to probes.

use crate::soak_client::ClientCall;
use crate::soak_rules::STABLE_WINDOW;
use crate::soak_upsets::Upset;
use std::time::{Duration, Instant};

/// A route or key that was added and removed again.
#[derive(Debug, Clone)]
pub struct Part {
    /// Its place in the order of additions.
    pub number: usize,
    /// When the store had confirmed the version that adds it.
    pub added_at: Instant,
    /// Before the version that removes it was written, and once the store had confirmed it.
    pub removed: Option<(Instant, Instant)>,
}

/// What a probe asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Probe {
    /// The route of the part with this number.
    Route(usize),
    /// The key of the part with this number.
    Key(usize),
    /// What every version has.
    Standing,
    /// A route that no version has.
    UnknownRoute,
    /// The standing route, with a key that no version has.
    UnknownKey,
}

impl Probe {
    /// Whether all versions that may be in force while `call` lasts have what it asks for. Probes ask for
    /// additions only once they have to be in force.
    pub(crate) fn is_due(self, call: &ClientCall, parts: &[Part]) -> bool {
        match self {
            Self::Standing => true,
            Self::UnknownRoute | Self::UnknownKey => false,
            Self::Route(number) | Self::Key(number) => parts[number]
                .removed
                .is_none_or(|(writing_at, _)| call.ended_at < writing_at),
        }
    }
}

/// Which change an answer disregards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disregarded {
    /// A part that was added.
    Added,
    /// A part that was removed.
    Removed,
    /// A part that every version has.
    Standing,
}

/// The guarantee that the answer to a probe of a gateway in touch breaks; `runs` servers have run the probe.
pub fn outdated_answer(
    probe: Probe,
    call: &ClientCall,
    runs: usize,
    parts: &[Part],
    bound: Duration,
) -> Option<(Disregarded, String)> {
    let part = |number: usize| &parts[number];
    let status = call.status();
    let since = |at: Instant| call.sent_at.duration_since(at);
    let is_denied = matches!(status, Some(401 | 403 | 404));
    let (number, kind) = match probe {
        Probe::Standing if is_denied => {
            return Some((
                Disregarded::Standing,
                format!("{status:?} for what all versions allow"),
            ));
        }
        Probe::Standing | Probe::UnknownRoute | Probe::UnknownKey => return None,
        Probe::Route(number) => (number, "route"),
        Probe::Key(number) => (number, "key"),
    };
    let part = part(number);
    match part.removed {
        Some((_, removed_at)) if call.sent_at > removed_at + bound => {
            (status == Some(200) || runs > 0).then(|| {
                let text = format!("run by a {kind} removed {:?} before", since(removed_at));
                (Disregarded::Removed, text)
            })
        }
        Some((writing_at, _)) if call.ended_at >= writing_at => None,
        _ => is_denied.then(|| {
            let text = format!(
                "{status:?} for a {kind} added {:?} before",
                since(part.added_at)
            );
            (Disregarded::Added, text)
        }),
    }
}

/// Whether a gateway was undisturbed from the stable window before a request to its end.
pub(crate) fn is_in_touch(upsets: &[Upset], sent_at: Instant, ended_at: Instant) -> bool {
    let from = sent_at.checked_sub(STABLE_WINDOW).unwrap_or(sent_at);
    upsets.iter().all(|upset| !upset.overlaps(from, ended_at))
}
