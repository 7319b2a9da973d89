//! Object store stand-in: keeps objects in memory behind an HTTP API.

use crate::faults::FaultInjector;
use crate::standin_server::{Call, Standin, StandinServer, text_response, typed_response};
use bytes::Bytes;
use hyper::{Method, Response, StatusCode};
use runtime::{Body, Executor};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A stand-in for the object store.
#[derive(Debug, Default)]
pub struct ObjectStoreStandin {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<Box<str>, Bytes>,
    reads: u64,
    writes: u64,
}

impl ObjectStoreStandin {
    /// Listens on `address`, with no objects.
    pub fn bind(executor: &Executor, address: SocketAddr) -> io::Result<StandinServer<Self>> {
        let standin = Arc::new(Self::default());
        StandinServer::start(executor, address, standin, FaultInjector::default())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Standin for ObjectStoreStandin {
    async fn handle(&self, call: Call) -> Response<Body> {
        let Some(name) = call.uri.path().strip_prefix("/o/") else {
            return text_response(StatusCode::NOT_FOUND, "no such call");
        };
        let mut state = self.lock();
        match call.method {
            Method::PUT => {
                state.writes += 1;
                state.objects.insert(name.into(), call.body);
                text_response(StatusCode::OK, "")
            }
            Method::DELETE => {
                state.writes += 1;
                state.objects.remove(name);
                text_response(StatusCode::OK, "")
            }
            Method::GET => {
                state.reads += 1;
                match state.objects.get(name) {
                    Some(data) => typed_response(
                        StatusCode::OK,
                        "application/octet-stream",
                        Body::full(data.clone()),
                    ),
                    None => text_response(StatusCode::NOT_FOUND, "no such object"),
                }
            }
            _ => text_response(StatusCode::METHOD_NOT_ALLOWED, "no such call"),
        }
    }

    fn counts(&self) -> serde_json::Value {
        let state = self.lock();
        serde_json::json!({
            "reads": state.reads,
            "writes": state.writes,
            "objects": state.objects.len(),
        })
    }
}
