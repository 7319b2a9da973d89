//! Client of the operator API, which the subcommands `apply` and `query` share.

use crate::operator_api::{COMMAND_ID_HEADER, IF_VERSION_HEADER, OPERATOR_PATH};
use clap::{Arg, ArgMatches};
use hyper::Request;
use hyper::header::{ACCEPT, AUTHORIZATION, CONTENT_LENGTH, HOST};
use node::flag;
use quick_error::quick_error;
use runtime::{Body, Executor, HttpClient, HttpError};
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

const MAX_REPLY_BYTES: usize = 64 << 20;
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

quick_error! {
    /// Why a call to the operator API failed.
    #[derive(Debug)]
    pub enum OperatorError {
        /// A flag is missing or invalid.
        Flag(flag: &'static str, reason: Box<str>) {
            display("--{flag} {reason}")
        }
        /// The file with the operator's key could not be read.
        File(path: PathBuf, err: std::io::Error) {
            display("read {}: {err}", path.display())
        }
        /// A header or path is invalid, so the HTTP request could not be built.
        Request(err: hyper::http::Error) {
            display("{err}")
            from()
        }
        /// The gateway could not be reached or did not reply in time.
        Call(err: HttpError) {
            display("{err}")
            from()
        }
    }
}

/// A gateway's reply, whether successful or not.
#[derive(Debug)]
pub struct OperatorReply {
    /// HTTP status.
    pub status: u16,
    /// The body; invalid UTF-8 is replaced.
    pub text: String,
}

/// One call to the operator API.
#[derive(Debug, Clone, Default)]
pub struct OperatorCall<'a> {
    /// Path without [`OPERATOR_PATH`], with query string.
    pub path: &'a str,
    /// Requested content type of the reply.
    pub accept: &'a str,
    /// Statement or file to send as the body.
    pub body: &'a str,
    /// Id of the command; the gateway draws one if absent.
    pub command_id: Option<&'a str>,
    /// Configuration version that the command expects, if any.
    pub if_version: Option<u64>,
}

/// Calls the operator API of one gateway with an operator's key.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    client: HttpClient,
    gateway: SocketAddr,
    key: Box<str>,
}

/// The flags that [`OperatorClient::read`] needs.
pub fn client_args() -> Vec<Arg> {
    vec![
        flag("gateway", "IP:PORT", "Gateway to ask"),
        flag("operator-key-file", "FILE", "File with the operator's key"),
    ]
}

impl OperatorClient {
    /// Creates a client from the flags, and reads the key file. Fails if a flag is missing or
    /// invalid.
    pub fn read(matches: &ArgMatches, executor: &Executor) -> Result<Self, OperatorError> {
        let gateway = flag_value(matches, "gateway")?;
        let gateway = gateway
            .parse()
            .map_err(|err| OperatorError::Flag("gateway", format!("{gateway}: {err}").into()))?;
        let path = PathBuf::from(flag_value(matches, "operator-key-file")?);
        let key = fs::read_to_string(&path).map_err(|err| OperatorError::File(path, err))?;
        Ok(Self {
            client: HttpClient::new(executor.clone()),
            gateway,
            key: key.trim().into(),
        })
    }

    /// Makes a call and returns the complete reply, for which it waits up to 30 s.
    pub async fn call(&self, call: &OperatorCall<'_>) -> Result<OperatorReply, OperatorError> {
        let mut req = Request::post(format!("{OPERATOR_PATH}{}", call.path))
            .header(HOST, self.gateway.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .header(ACCEPT, call.accept)
            .header(CONTENT_LENGTH, call.body.len());
        if let Some(id) = call.command_id {
            req = req.header(COMMAND_ID_HEADER, id);
        }
        if let Some(version) = call.if_version {
            req = req.header(IF_VERSION_HEADER, version);
        }
        let req = req.body(Body::full(call.body.to_owned()))?;
        let (status, body) = self
            .client
            .fetch(self.gateway, req, MAX_REPLY_BYTES, CALL_TIMEOUT)
            .await?;
        Ok(OperatorReply {
            status: status.as_u16(),
            text: String::from_utf8_lossy(&body).into(),
        })
    }
}

/// Value of a flag. Fails if the flag is missing.
pub fn flag_value<'a>(
    matches: &'a ArgMatches,
    flag: &'static str,
) -> Result<&'a str, OperatorError> {
    let missing = || OperatorError::Flag(flag, "is missing".into());
    matches
        .get_one::<String>(flag)
        .map(String::as_str)
        .ok_or_else(missing)
}
