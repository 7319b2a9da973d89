//! Host list stand-in: serves a list of hosts that lags behind its changes.

use crate::faults::FaultInjector;
use crate::standin_server::{Call, Standin, StandinServer, json_response, text_response};
use hyper::{Method, Response, StatusCode};
use runtime::{Body, Clock, Executor};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// An entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name of the host.
    pub host: Box<str>,
    /// Failure domain of the host.
    pub domain: Box<str>,
    /// Role of the process on it: `gateway` or `agent`.
    pub role: Box<str>,
    /// Address that the process on it listens on.
    pub address: SocketAddr,
    /// State of the host: `live` or `leaving`.
    pub state: Box<str>,
}

/// The host list, as it is served.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// All listed hosts.
    pub hosts: Vec<ListedHost>,
}

/// A stand-in for the platform's host list.
#[derive(Debug)]
pub struct HostListStandin {
    clock: Clock,
    lag: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    visible: HostList,
    /// Lists that are not visible yet, with the time when they become so.
    pending: VecDeque<(Duration, HostList)>,
    reads: u64,
}

impl HostListStandin {
    /// Listens on `address`; a new list becomes visible after `lag`.
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

    /// Replaces the list; readers see the new one after the lag.
    pub fn set_hosts(&self, hosts: HostList) {
        let at = self.clock.now() + self.lag;
        self.lock().pending.push_back((at, hosts));
    }

    fn current_list(&self) -> HostList {
        let now = self.clock.now();
        let mut state = self.lock();
        state.reads += 1;
        while state.pending.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, hosts)) = state.pending.pop_front() {
                state.visible = hosts;
            }
        }
        state.visible.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Standin for HostListStandin {
    async fn handle(&self, call: Call) -> Response<Body> {
        match (&call.method, call.uri.path()) {
            (&Method::GET, "/hosts") => json_response(StatusCode::OK, &self.current_list()),
            (&Method::POST, "/standin/hosts") => match call.json::<HostList>() {
                Ok(hosts) => {
                    self.set_hosts(hosts);
                    json_response(StatusCode::OK, &serde_json::json!({}))
                }
                Err(err) => err.into(),
            },
            _ => text_response(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    fn counts(&self) -> serde_json::Value {
        serde_json::json!({ "reads": self.lock().reads })
    }
}
