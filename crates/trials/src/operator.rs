//! An operator of a fleet, who asks and commands over HTTP.

use crate::error::TrialError;
use crate::fleet_config::OPERATOR_KEY;
use async_io::Timer;
use hyper::Request;
use hyper::header::{ACCEPT, AUTHORIZATION, CONTENT_LENGTH, HOST};
use runtime::{Body, HttpClient};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const ANSWER_BYTES: usize = 16 << 20;
const CALL_TIME: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(20);

/// An operator at one gateway.
#[derive(Debug, Clone)]
pub struct Operator {
    /// The client.
    pub client: HttpClient,
    /// The gateway.
    pub gateway: SocketAddr,
}

/// What an operator was told.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorReply {
    /// HTTP status.
    pub status: u16,
    /// The answer.
    pub body: Value,
}

impl OperatorReply {
    /// The version that the answer tells, zero where it tells none.
    pub fn version(&self) -> u64 {
        self.body["version"].as_u64().unwrap_or_default()
    }

    /// The rows of a query.
    pub fn rows(&self) -> &[Value] {
        self.body["rows"].as_array().map_or(&[], Vec::as_slice)
    }
}

impl Operator {
    /// Asks or commands; a command may be given an id.
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
        let answer = self
            .client
            .fetch(self.gateway, req, ANSWER_BYTES, CALL_TIME);
        let (status, body) = answer.await.map_err(|err| failed(err.to_string()))?;
        let answer = serde_json::from_slice(&body).map_err(|err| failed(err.to_string()))?;
        Ok(OperatorReply {
            status: status.as_u16(),
            body: answer,
        })
    }

    /// Waits until all of `nodes` nodes have a version in force; gives the time that it took, or
    /// none where `limit` passed first.
    pub async fn wait_active(
        &self,
        version: u64,
        nodes: usize,
        limit: Duration,
    ) -> Result<Option<Duration>, TrialError> {
        let start = Instant::now();
        loop {
            let hosts = self.execute("show hosts", None).await?;
            let confirmed = hosts.rows().iter().filter(|host| {
                let found = host["version"].as_u64();
                found.is_some_and(|found| found >= version)
            });
            if confirmed.count() >= nodes {
                return Ok(Some(start.elapsed()));
            }
            if start.elapsed() > limit {
                return Ok(None);
            }
            Timer::after(POLL).await;
        }
    }
}
