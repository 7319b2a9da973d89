//! Times for which a stand-in of an engine held memory reserved.

use serde_json::Value;
use std::time::{Duration, Instant};

/// Memory that an engine held reserved without a break.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldMemory {
    /// Id of the reservation.
    pub id: Box<str>,
    /// When the order to reserve it arrived.
    pub from: Instant,
    /// When it was released or expires.
    pub until: Instant,
}

#[derive(Debug, Default)]
pub(crate) struct ReservationLog(Vec<HeldMemory>);

impl ReservationLog {
    /// Carries out an order that arrives at `now`.
    pub(crate) fn on_order(&mut self, order: &Value, now: Instant) {
        let Some(id) = order["Id"].as_str() else {
            return;
        };
        let mut held = self.0.iter_mut().rev();
        let held = held.find(|held| *held.id == *id && held.until > now);
        match order["Operation"].as_str() {
            Some("reserve") => {
                let lifetime = Duration::from_millis(order["HoldMs"].as_u64().unwrap_or_default());
                let until = now + lifetime;
                match held {
                    Some(held) => held.until = until,
                    None => self.0.push(HeldMemory {
                        id: id.into(),
                        from: now,
                        until,
                    }),
                }
            }
            Some("release") => {
                if let Some(held) = held {
                    held.until = now;
                }
            }
            _ => {}
        }
    }

    pub(crate) fn entries(&self) -> Vec<HeldMemory> {
        self.0.clone()
    }
}
