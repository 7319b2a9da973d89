//! An operator of a fleet, who sends queries and commands to a gateway over HTTP.

use crate::error::TrialError;
use crate::fleet_config::OPERATOR_KEY;
use async_io::Timer;
use hyper::Request;
use hyper::header::{ACCEPT, AUTHORIZATION, CONTENT_LENGTH, HOST};
use runtime::{Body, HttpClient};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const MAX_REPLY_BYTES: usize = 16 << 20;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An operator who uses one gateway.
#[derive(Debug, Clone)]
pub struct Operator {
    /// HTTP client to send with.
    pub client: HttpClient,
    /// Address of the gateway.
    pub gateway: SocketAddr,
}

/// Reply to a query or command.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorReply {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Value,
}

impl OperatorReply {
    /// Configuration version in the reply; zero if there is none.
    pub fn version(&self) -> u64 {
        self.body["version"].as_u64().unwrap_or_default()
    }

    /// Rows of a query's result; empty for a command or an error.
    pub fn rows(&self) -> &[Value] {
        self.body["rows"].as_array().map_or(&[], Vec::as_slice)
    }
}

impl Operator {
    /// Sends a query or a command. `command_id` identifies a command that is sent again.
    pub async fn execute(
        &self,
        statement: &str,
        command_id: Option<&str>,
    ) -> Result<OperatorReply, TrialError> {
        let failed = |err: String| TrialError::Operation("ask as operator", err.into());
        let mut req = Request::post("/operator/v1/query")
            .header(HOST, self.gateway.to_string())
            .header(ACCEPT, "application/json")
            .header(AUTHORIZATION, format!("Bearer {OPERATOR_KEY}"))
            .header(CONTENT_LENGTH, statement.len());
        if let Some(id) = command_id {
            req = req.header("x-command-id", id);
        }
        let req = req
            .body(Body::full(statement.to_owned()))
            .map_err(|err| failed(err.to_string()))?;
        let response = self
            .client
            .fetch(self.gateway, req, MAX_REPLY_BYTES, REQUEST_TIMEOUT);
        let (status, bytes) = response.await.map_err(|err| failed(err.to_string()))?;
        let body = serde_json::from_slice(&bytes).map_err(|err| failed(err.to_string()))?;
        Ok(OperatorReply {
            status: status.as_u16(),
            body,
        })
    }

    /// Waits until `nodes` nodes report an active configuration of at least `version`. Returns the
    /// time that it took, or nothing if `limit` passed first.
    pub async fn wait_active(
        &self,
        version: u64,
        nodes: usize,
        limit: Duration,
    ) -> Result<Option<Duration>, TrialError> {
        let start = Instant::now();
        loop {
            let hosts = self.execute("show hosts", None).await?;
            let active = hosts.rows().iter().filter(|host| {
                let found = host["version"].as_u64();
                found.is_some_and(|found| found >= version)
            });
            if active.count() >= nodes {
                return Ok(Some(start.elapsed()));
            }
            if start.elapsed() > limit {
                return Ok(None);
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }
}
