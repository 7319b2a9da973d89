//! Changes of the operators' table, and what tells that they are in force.

use crate::stale_store::{APPLY, EVACUATE, Reads, Right, all, check, send};
use hyper::StatusCode;
use serde_json::json;
use std::time::{Duration, Instant};
use trials::{DirectGateway, TrialDeclarations, UnreadTrial as Trial};

pub const FIRST: TrialDeclarations<'static> = TrialDeclarations::FIRST;
pub const OK: StatusCode = StatusCode::OK;
pub const UNAVAILABLE: StatusCode = StatusCode::SERVICE_UNAVAILABLE;

/// A change of the operators' table, and what tells that it is in force.
pub struct Change {
    pub before: fn(&Trial),
    pub make: fn(&Trial),
    pub bound: Duration,
    /// Path, key and length of the body of the request that tells.
    pub request: (&'static str, &'static str, usize),
    /// Answers to it before and after.
    pub answers: (StatusCode, StatusCode),
}

impl Change {
    /// A change of the declarations, to be in force in time.
    pub const fn of_declarations(make: fn(&Trial), answers: (StatusCode, StatusCode)) -> Self {
        Self {
            before: |_| {},
            make,
            bound: APPLY,
            request: ("/old/x", "key-1", 10),
            answers,
        }
    }

    /// Status of the answer to the request that tells.
    pub async fn ask(&self, gateway: &DirectGateway) -> StatusCode {
        let (path, key, bytes) = self.request;
        send(gateway, path, key, bytes).await
    }

    /// Waits until all gateways answer with this status.
    pub async fn wait_for(&self, trial: &Trial, status: StatusCode) {
        for gateway in &trial.gateways {
            let answered = async || self.ask(gateway).await == status;
            let log = || gateway.process.log_tail();
            let answered = trial.rig.wait_until(answered).await;
            assert!(answered, "not {status}: {}", log());
        }
    }

    /// Answers that are right once listings show the change. Where they are behind and comparisons are refused, no
    /// gateway knows whether that is the newest, so that it may tell those whom it would refuse to come back.
    pub fn answers_behind(&self, reads: Reads) -> Vec<StatusCode> {
        let (_, new) = self.answers;
        let is_unsure = new.is_client_error() && !reads.show_present();
        [new]
            .into_iter()
            .chain(is_unsure.then_some(UNAVAILABLE))
            .collect()
    }

    /// Checks that it is in force at all gateways in time, and also once listings are not behind any more.
    pub async fn check(&self, trial: &Trial, reads: Reads, since: Instant) {
        let (old, new) = self.answers;
        let (unsure, behind) = ([new, UNAVAILABLE], self.answers_behind(reads));
        let mut right = vec![Right {
            from: reads.shown_from(since) + self.bound,
            answers: &behind,
        }];
        if old != OK && !reads.show_present() {
            let from = since + self.bound;
            right.push(Right {
                from,
                answers: &unsure,
            });
        }
        let gateways = all(trial);
        let ask = async |gateway: &_| self.ask(gateway).await;
        check(trial, &gateways, ask, &right).await;
        self.check_present(trial, reads, &gateways).await;
    }

    /// Ends that listings are behind, where nothing else shows what holds, and checks that it is in force then.
    pub async fn check_present(&self, trial: &Trial, reads: Reads, gateways: &[&DirectGateway]) {
        if reads.show_present() {
            return;
        }
        trial.store().read_behind(None);
        let right = [Right {
            from: Instant::now() + self.bound,
            answers: &[self.answers.1],
        }];
        let ask = async |gateway: &_| self.ask(gateway).await;
        check(trial, gateways, ask, &right).await;
    }
}

pub fn declare(trial: &Trial, change: impl FnOnce(&mut TrialDeclarations<'static>)) {
    let mut declarations = TrialDeclarations {
        version: 4,
        ..FIRST
    };
    change(&mut declarations);
    trial.declare(declarations);
}

pub const ADDED_ROUTE: Change = Change {
    request: ("/new/x", "key-1", 10),
    ..Change::of_declarations(add_route, (StatusCode::NOT_FOUND, OK))
};
pub const ADDED_KEY: Change = Change {
    request: ("/old/x", "key-2", 10),
    ..Change::of_declarations(
        |trial| declare(trial, |new| new.keys = &["key-1", "key-2"]),
        (StatusCode::UNAUTHORIZED, OK),
    )
};
pub const WITHDRAWN_KEY: Change = Change::of_declarations(
    |trial| declare(trial, |new| new.keys = &["key-2"]),
    (OK, StatusCode::UNAUTHORIZED),
);
pub const LOWERED_LIMIT: Change = Change {
    request: ("/old/x", "key-1", 80),
    ..Change::of_declarations(
        |trial| declare(trial, |new| new.max_body = 20),
        (OK, StatusCode::PAYLOAD_TOO_LARGE),
    )
};
/// To a service that has no servers.
pub const MOVED_ROUTE: Change = Change::of_declarations(
    |trial| declare(trial, |new| new.routes = &[("/old/", "other")]),
    (OK, UNAVAILABLE),
);
pub const EVACUATION: Change = Change {
    bound: EVACUATE,
    ..Change::of_declarations(order, (OK, UNAVAILABLE))
};
pub const EVACUATION_TAKEN_BACK: Change = Change {
    before: order,
    bound: EVACUATE,
    ..Change::of_declarations(
        |trial| trial.store().remove("op", "evacuate/a"),
        (UNAVAILABLE, OK),
    )
};

fn add_route(trial: &Trial) {
    declare(trial, |new| {
        new.routes = &[("/old/", "registry"), ("/new/", "registry")];
    });
}

fn order(trial: &Trial) {
    trial.store().put("op", "evacuate/a", &json!({}));
}
