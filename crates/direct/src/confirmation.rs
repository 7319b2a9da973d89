//! Until when the declarations in force are known to have been the newest.

use crate::shared::Shared;
use policy::{ConfirmedBy, ConfirmedDeclarations};
use proto::ConfirmationReport;
use runtime::Clock;
use slog::{info, warn};
use std::time::Duration;

/// Longest time for which a gateway that starts waits for reads that are behind.
const MAX_HOLD: Duration = Duration::from_secs(30);

impl Shared {
    /// Records that a read of the operators' rows has shown nothing newer at this time of
    /// [`Clock::boot_time`].
    pub fn on_store_confirmed(&self, at: Duration, by: ConfirmedBy) {
        self.lock_start_hold().on_confirmed();
        self.with_confirmed(|confirmed, _, _| confirmed.on_store_answer(at, by));
    }

    /// Records that the operators' rows were checked at this time of [`Clock::boot_time`], until now, by reading
    /// the table if `is_listing`.
    pub fn on_store_checked(&self, at: Duration, is_listing: bool) {
        self.with_confirmed(|confirmed, _, now| {
            let took = is_listing.then(|| now.saturating_sub(at));
            confirmed.on_checked(at, took.unwrap_or_default());
        });
    }

    /// Records that the store has come back from a copy.
    pub(crate) fn on_era(&self) {
        self.with_confirmed(|confirmed, _, now| confirmed.on_era(now));
    }

    /// How the declarations in force were last confirmed as the newest.
    pub fn confirmed_by(&self) -> Option<ConfirmedBy> {
        self.lock_confirmed().confirmed_by()
    }

    /// Records what a peer has told of its declarations.
    pub fn on_peer_confirmation(&self, peer: &str, report: &ConfirmationReport) {
        self.with_confirmed(|confirmed, own, now| confirmed.on_report(peer, report, own, now));
    }

    /// Records that a peer is gone.
    pub fn on_confirming_peer_gone(&self, peer: &str) {
        self.with_confirmed(|confirmed, _, _| confirmed.on_gone(peer));
    }

    /// What to tell a peer of the declarations in force.
    pub fn confirmation_report(&self, peer: &str) -> ConfirmationReport {
        // What this gateway refuses may be in force elsewhere.
        let refuses = self.store_cache.refused_above().is_some();
        let report = self.with_confirmed(|confirmed, own, now| confirmed.report(peer, own, now));
        ConfirmationReport {
            confirmation: report.confirmation.filter(|_| !refuses),
            ..report
        }
    }

    /// For how long nobody has confirmed that the declarations in force are the newest.
    pub fn unconfirmed_for(&self) -> Option<Duration> {
        self.with_confirmed(ConfirmedDeclarations::age)
    }

    /// Whether the declarations in force are known to have been the newest so lately that they may be the
    /// reason to turn a request away.
    pub fn may_refuse_by_declarations(&self) -> bool {
        self.with_confirmed(ConfirmedDeclarations::may_refuse)
    }

    /// Whether declarations are in force that nobody has confirmed yet, since the first read after a start may be
    /// behind. They are used if that takes as long as a change of them may, unless reads are known to be behind, or
    /// the store may be a copy.
    pub fn is_held_at_start(&self) -> bool {
        if self.lock_start_hold().holds(self.clock.now()) {
            return true;
        }
        let Some(since) = self.first_in_force() else {
            return false;
        };
        let (now, bound) = (self.clock.now(), self.settings.bounds.declarations_apply);
        let is_behind = self.are_reads_behind() && now < since + MAX_HOLD;
        let may_be_old = now < since + bound || is_behind;
        may_be_old && !self.lock_confirmed().is_ever_confirmed()
    }

    /// Whether to check the operators' rows in the store now.
    pub fn is_store_check_due(&self) -> bool {
        let gateways = self.fleet.gateways();
        let watches = self.watches_store();
        let random = rand::random();
        self.with_confirmed(|confirmed, own, now| {
            confirmed.is_check_due(own, now, gateways, watches, random)
        })
    }

    /// Longest time that a check of the operators' rows may take.
    pub fn store_check_timeout(&self) -> Duration {
        self.lock_confirmed().check_timeout()
    }

    /// Logs when the declarations in force begin or cease to be a reason to turn requests away.
    pub fn log_confirmation(&self) {
        let may_refuse = self.may_refuse_by_declarations();
        if self.store_cache.route_table().is_none() || !self.set_confirmed(may_refuse) {
            return;
        }
        let unconfirmed_ms = self.unconfirmed_for().map(|age| age.as_millis() as u64);
        if may_refuse {
            info!(self.log, "declarations: confirmed again"; "unconfirmed_ms" => unconfirmed_ms,
                "up_ms" => self.clock.now().as_millis() as u64,
                "by" => ?self.confirmed_by(), "row" => self.store_cache.declarations_row());
        } else {
            warn!(self.log, "declarations: nobody confirms that they are the newest";
                "unconfirmed_ms" => unconfirmed_ms, "up_ms" => self.clock.now().as_millis() as u64,
                "by" => ?self.confirmed_by(), "row" => self.store_cache.declarations_row(), "failing_tables" => self.failing_tables());
        }
    }

    fn with_confirmed<T>(
        &self,
        run: impl FnOnce(&mut ConfirmedDeclarations, u64, Duration) -> T,
    ) -> T {
        // The version is read under the lock, so that no confirmation of a newer one counts for it.
        let mut confirmed = self.lock_confirmed();
        let own = self
            .store_cache
            .route_table()
            .map_or(0, |table| table.version);
        run(&mut confirmed, own, Clock::boot_time())
    }
}
