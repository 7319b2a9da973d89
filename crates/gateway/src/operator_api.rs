//! The HTTP interface for operators: queries, commands and declarations, authenticated by operator
//! key.
//!
//! `POST /operator/v1/query` takes a statement; `POST /operator/v1/apply` takes declarations, and
//! with `?dry-run` only shows what would change. Headers: `authorization: Bearer <operator key>`,
//! `x-command-id`, `x-if-version`, and `accept: text/plain` or `application/json`.

use crate::gateway::Gateway;
use crate::operator_response::OperatorResponse;
use crate::query_driver::QueryResult;
use declarations::{Difference, Document, matches_key};
use http_body_util::{BodyExt, Limited};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response};
use node::{json_response, run_command, text_response};
use policy::{CommandOutcome, CommandRequest, ConfigCommand};
use proto::OperatorId;
use query::{Show, Statement, Subject, parse, timeline_page};
use runtime::{Body, RequestBody, timeout};
use slog::info;
use std::sync::Arc;
use std::time::Duration;

/// Common prefix of the paths of the operator API.
pub const OPERATOR_PATH: &str = "/operator/v1/";
/// Header with the id of a command, which makes repeating the command safe.
pub const COMMAND_ID_HEADER: &str = "x-command-id";
/// Header with the configuration version that a command expects; at another version, the command
/// changes nothing.
pub const IF_VERSION_HEADER: &str = "x-if-version";
const MAX_BODY_BYTES: usize = 16 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// An operator's request: the body, which is a statement or a file, and the headers.
struct OperatorRequest {
    operator: OperatorId,
    command_id: Box<str>,
    if_version: Option<u64>,
    text: String,
}

/// Handles one request of an operator. `accept` selects JSON, HTML or text for the response.
pub async fn respond(gateway: &Arc<Gateway>, req: Request<RequestBody>) -> Response<Body> {
    let path = req
        .uri()
        .path()
        .trim_start_matches(OPERATOR_PATH)
        .to_owned();
    let dry_run = req.uri().query() == Some("dry-run");
    let accept = header(req.headers(), "accept")
        .unwrap_or_default()
        .to_owned();
    if req.method() != Method::POST {
        return text_response(405, "only POST is served here\n");
    }
    let response = match read_request(gateway, req).await {
        Err(response) => response,
        Ok(request) => match &*path {
            "query" => run_statement(gateway, request, &accept).await,
            "apply" => apply(gateway, request, dry_run).await,
            _ => return text_response(404, "only query and apply are here\n"),
        },
    };
    match response {
        OperatorResponse::Page { html } => page_response(html),
        response if accept.contains("json") => json_response(response.status(), &response),
        response => text_response(response.status(), response.to_string()),
    }
}

async fn read_request(
    gateway: &Gateway,
    req: Request<RequestBody>,
) -> Result<OperatorRequest, OperatorResponse> {
    let headers = req.headers();
    let Some(operator) = operator_of(gateway, headers) else {
        return Err(OperatorResponse::Forbidden);
    };
    let id = header(headers, COMMAND_ID_HEADER).map(Box::from);
    let if_version = header(headers, IF_VERSION_HEADER).map(str::parse);
    let body = Limited::new(req.into_body(), MAX_BODY_BYTES).collect();
    let body = match timeout(BODY_TIMEOUT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        _ => return Err(rejected("the body is too long, or did not arrive")),
    };
    let (Ok(text), Ok(if_version)) = (String::from_utf8(body.into()), if_version.transpose())
    else {
        return Err(rejected("the body is no text, or x-if-version no number"));
    };
    let random_id = || format!("{:032x}", rand::random::<u128>()).into();
    Ok(OperatorRequest {
        operator,
        command_id: id.unwrap_or_else(random_id),
        if_version,
        text,
    })
}

fn rejected(reason: &str) -> OperatorResponse {
    OperatorResponse::Rejected {
        reason: reason.into(),
    }
}

fn operator_of(gateway: &Gateway, headers: &HeaderMap) -> Option<OperatorId> {
    let key = header(headers, "authorization")?.strip_prefix("Bearer ")?;
    let view = gateway.view.get();
    let mut operators = view.declared.operators.iter();
    let found = operators.find(|operator| matches_key(key, &operator.key_hashes));
    found.map(|operator| operator.name.clone())
}

async fn run_statement(
    gateway: &Arc<Gateway>,
    request: OperatorRequest,
    accept: &str,
) -> OperatorResponse {
    let command = match parse(request.text.trim()) {
        Err(error) => return OperatorResponse::Syntax { error },
        Ok(Statement::Show(show)) => {
            return query_response(gateway.show(&show).await, Some(&show), accept);
        }
        Ok(Statement::Explain { request }) => {
            return query_response(Ok(gateway.explain(&request).await), None, accept);
        }
        Ok(command) => command,
    };
    let (command, if_version) = match command {
        Statement::TakeDomain { domain, if_version } => (
            ConfigCommand::SetDomainOut { domain, out: true },
            if_version,
        ),
        Statement::BringDomain { domain, if_version } => (
            ConfigCommand::SetDomainOut { domain, out: false },
            if_version,
        ),
        Statement::DrainServer { server, if_version } => {
            let drained = true;
            (ConfigCommand::SetDrained { server, drained }, if_version)
        }
        Statement::UndrainServer { server, if_version } => {
            let drained = false;
            (ConfigCommand::SetDrained { server, drained }, if_version)
        }
        Statement::Rollback { to, if_version } => (ConfigCommand::Rollback { to }, if_version),
        Statement::Show(_) | Statement::Explain { .. } => return rejected("no command"),
    };
    let if_version = if_version.or(request.if_version);
    let text = request.text.trim().into();
    execute_command(gateway, request, text, command, if_version).await
}

fn query_response(
    result: Result<QueryResult, Box<str>>,
    show: Option<&Show>,
    accept: &str,
) -> OperatorResponse {
    let result = match result {
        Ok(result) => result,
        Err(_) => return OperatorResponse::Unavailable,
    };
    let is_timeline = show.is_none_or(|show| show.subject == Subject::Timeline);
    if is_timeline && accept.contains("html") {
        return OperatorResponse::Page {
            html: timeline_page(&result.events),
        };
    }
    OperatorResponse::Rows {
        rows: result.table.to_json(),
        unanswered: result.unanswered,
        text: result.table.to_string(),
    }
}

fn page_response(html: String) -> Response<Body> {
    let mut response = text_response(200, html);
    let kind = HeaderValue::from_static("text/html; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

async fn apply(
    gateway: &Arc<Gateway>,
    request: OperatorRequest,
    dry_run: bool,
) -> OperatorResponse {
    let document = match Document::parse(&request.text) {
        Ok(document) => document,
        Err(faults) => {
            let faults = faults.0.into_iter().map(Into::into).collect();
            return OperatorResponse::Faults { faults };
        }
    };
    let view = gateway.view.get();
    let desired = document.apply_to(&view.declared);
    if dry_run {
        let change = Difference::between(&view.declared, &desired);
        let change = change.summary(&view.declared).to_string().into();
        let version = view.version;
        return OperatorResponse::Difference { version, change };
    }
    let if_version = request.if_version.or(Some(view.version));
    let command = ConfigCommand::Replace(Box::new(desired));
    let text = "apply".into();
    execute_command(gateway, request, text, command, if_version).await
}

async fn execute_command(
    gateway: &Arc<Gateway>,
    request: OperatorRequest,
    text: Box<str>,
    command: ConfigCommand,
    if_version: Option<u64>,
) -> OperatorResponse {
    let command_request = CommandRequest {
        id: request.command_id.clone(),
        operator: request.operator.clone(),
        text,
        command,
        if_version,
        known_version: gateway.view.get().version,
    };
    let control = gateway.control.clone();
    // A task of its own, so that the command continues if the operator's connection breaks.
    let run = gateway.executor.spawn(async move {
        let outcome = run_command(control.platform(), command_request).await;
        if let CommandOutcome::Committed {
            version,
            declared: Some(declared),
            ..
        } = &outcome
        {
            control.apply_committed(*version, (**declared).clone());
        }
        outcome
    });
    let (tx, rx) = async_channel::bounded(1);
    gateway.executor.detach(async move {
        let _ = tx.send(run.await).await;
    });
    let outcome = rx.recv().await.unwrap_or(CommandOutcome::Unknown);
    let response = OperatorResponse::from_outcome(outcome, &request.command_id);
    info!(gateway.log, "operator: command ended";
        "operator" => &*request.operator, "command" => &*request.command_id,
        "outcome" => response.status());
    response
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
