//! The lagging host list over HTTP.

use crate::faults::FaultInjector;
use crate::standin_server::{Call, Standin, StandinServer, json_answer, text_answer};
use hyper::{Method, Response, StatusCode};
use runtime::{Body, Clock, Executor};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// One host as the list gives it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Its name.
    pub host: Box<str>,
    /// Its failure domain.
    pub domain: Box<str>,
    /// `gateway` or `agent`.
    pub role: Box<str>,
    /// Where the process on it listens.
    pub address: SocketAddr,
    /// `live` or `leaving`.
    pub state: Box<str>,
}

/// The whole list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Hosts.
    pub hosts: Vec<ListedHost>,
}

/// The host list.
#[derive(Debug)]
pub struct HostListStandin {
    clock: Clock,
    lag: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    shown: HostList,
    coming: VecDeque<(Duration, HostList)>,
    reads: u64,
}

impl HostListStandin {
    /// Listens on `address`; a new list shows after `lag`.
    pub fn bind(
        executor: &Executor,
        address: SocketAddr,
        lag: Duration,
    ) -> io::Result<StandinServer<Self>> {
        let standin = Self {
            clock: Clock::default(),
            lag,
            state: Mutex::default(),
        };
        StandinServer::start(
            executor,
            address,
            Arc::new(standin),
            FaultInjector::default(),
        )
    }

    /// Sets the list, which shows after the lag.
    pub fn set_hosts(&self, hosts: HostList) {
        let at = self.clock.now() + self.lag;
        self.lock().coming.push_back((at, hosts));
    }

    fn read(&self) -> HostList {
        let now = self.clock.now();
        let mut state = self.lock();
        state.reads += 1;
        while state.coming.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, hosts)) = state.coming.pop_front() {
                state.shown = hosts;
            }
        }
        state.shown.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Standin for HostListStandin {
    async fn call(&self, call: Call) -> Response<Body> {
        match (&call.method, call.uri.path()) {
            (&Method::GET, "/hosts") => json_answer(StatusCode::OK, &self.read()),
            (&Method::POST, "/standin/hosts") => match call.json::<HostList>() {
                Ok(hosts) => {
                    self.set_hosts(hosts);
                    json_answer(StatusCode::OK, &serde_json::json!({}))
                }
                Err(err) => err.into(),
            },
            _ => text_answer(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    fn counts(&self) -> serde_json::Value {
        serde_json::json!({ "reads": self.lock().reads })
    }
}
