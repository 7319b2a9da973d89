//! Servers that gateways have to leave out, and the requests that reached them too late.

use crate::soak_client::ClientCall;
use crate::soak_probes::is_in_touch;
use crate::soak_upsets::Upset;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Servers that the store says are to get no requests.
#[derive(Debug, Clone)]
pub struct Withdrawal {
    /// Rule that it falls under.
    pub rule: &'static str,
    /// Indexes of the servers.
    pub servers: Vec<usize>,
    /// Time after which they get no requests.
    pub bound: Duration,
    /// When the store had confirmed it.
    pub from: Instant,
    /// Before it was taken back; none if it still holds.
    pub until: Option<Instant>,
}

impl Withdrawal {
    fn is_in_force(&self, server: usize, at: Instant) -> bool {
        self.servers.contains(&server)
            && at > self.from + self.bound
            && self.until.is_none_or(|until| at < until)
    }
}

/// Requests that gateways in touch have sent to a server that was withdrawn for longer than the bound.
/// `received` are the requests that each server got, `upsets` the disturbances of each gateway.
pub fn requests_after_withdrawal(
    withdrawals: &[Withdrawal],
    received: &[Vec<(Box<str>, Instant)>],
    calls: &[&ClientCall],
    upsets: &[Vec<Upset>],
) -> Vec<String> {
    let by_id: HashMap<&str, &&ClientCall> =
        calls.iter().map(|call| (&*call.request.id, call)).collect();
    let mut violations = Vec::new();
    for withdrawal in withdrawals {
        let mut late = Vec::new();
        for (server, requests) in received.iter().enumerate() {
            for (id, at) in requests {
                let Some(call) = by_id.get(&**id) else {
                    continue;
                };
                let was_in_touch = is_in_touch(&upsets[call.gateway], call.sent_at, *at);
                if was_in_touch && withdrawal.is_in_force(server, *at) {
                    late.push((*at - withdrawal.from, id, call.gateway));
                }
            }
        }
        let Some((latest, id, _)) = late.iter().max() else {
            continue;
        };
        let mut gateways: Vec<_> = late.iter().map(|(_, _, gateway)| *gateway).collect();
        gateways.sort_unstable();
        gateways.dedup();
        violations.push(format!(
            "{}: {} requests reached servers {:?} by gateways {gateways:?}, {id} {latest:.1?} after the \
             confirmation",
            withdrawal.rule,
            late.len(),
            withdrawal.servers,
        ));
    }
    violations
}
