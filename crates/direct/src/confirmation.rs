//! Until when the declarations in force are known to have been the newest.

use crate::shared::Shared;
use policy::ConfirmedDeclarations;
use proto::ConfirmationReport;
use runtime::Clock;
use slog::{info, warn};
use std::time::Duration;

impl Shared {
    /// Records that the store held nothing newer for the operators' table at this time of
    /// [`Clock::boot_time`].
    pub fn on_store_confirmed(&self, at: Duration) {
        self.with_confirmed(|confirmed, _, _| confirmed.on_store_answer(at));
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

    /// Whether this gateway has to ask the store as peers do not confirm its declarations.
    pub fn needs_confirmation(&self) -> bool {
        self.with_confirmed(ConfirmedDeclarations::needs_check)
    }

    /// How long the store may hold a poll of the operators' table.
    pub fn operators_poll_wait(&self, longest: Duration) -> Duration {
        let random = rand::random();
        self.with_confirmed(|confirmed, own, now| confirmed.poll_wait(longest, own, now, random))
    }

    /// Logs when the declarations in force begin or cease to be a reason to turn requests away.
    pub fn log_confirmation(&self) {
        let may_refuse = self.may_refuse_by_declarations();
        if self.store_cache.route_table().is_none() || !self.set_confirmed(may_refuse) {
            return;
        }
        let unconfirmed_ms = self.unconfirmed_for().map(|age| age.as_millis() as u64);
        if may_refuse {
            info!(self.log, "declarations: confirmed again"; "unconfirmed_ms" => unconfirmed_ms);
        } else {
            warn!(self.log, "declarations: nobody confirms that they are the newest";
                "unconfirmed_ms" => unconfirmed_ms, "failing_tables" => self.failing_tables());
        }
    }

    fn with_confirmed<T>(
        &self,
        run: impl FnOnce(&mut ConfirmedDeclarations, u64, Duration) -> T,
    ) -> T {
        let own = self
            .store_cache
            .route_table()
            .map_or(0, |table| table.version);
        run(&mut self.lock_confirmed(), own, Clock::boot_time())
    }
}
