//! Receives, admits and dispatches callers' requests.

use crate::call::{Admission, Call};
use crate::local_reply::{DECLARATIONS_RETRY_AFTER, LocalReply};
use crate::shared::Shared;
use crate::{plain, stream};
use adapter::RequestHead;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use hyper::{Request, Response};
use policy::{CallerIdentity, Drain, OpenCallCounts, suggest_retry_after_limit, takes_call};
use runtime::{Body, ByteReservation, KEPT_LINE, RequestBody, Responder, timeout};
use slog::info;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of a request body that need no reservation, so that short requests do not depend on the memory
/// that long ones leave.
const UNRESERVED_BYTES: usize = 4 << 10;
/// Request bodies are held for about as long as it takes to answer.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Reason of refusals, for metrics.
const TOO_MANY_CALLS: &str = "too many calls at once";

/// Handles HTTP requests of callers.
#[derive(Debug)]
pub struct Frontend {
    /// State shared by the tasks of the process.
    pub shared: Arc<Shared>,
}

impl Responder for Frontend {
    async fn respond(&self, peer: SocketAddr, req: Request<RequestBody>) -> Response<Body> {
        let arrived = self.shared.clock.now();
        let (parts, body) = req.into_parts();
        let head = match RequestHead::read(&parts) {
            Ok(head) => head,
            Err(err) => {
                info!(self.shared.log, "call: invalid request head"; "err" => %err);
                return LocalReply::BadRequest.response(None);
            }
        };
        let admitted = match self.admit(&head) {
            Ok(admitted) => admitted,
            Err(reply) => return reply.response(Some(&head.id)),
        };
        let open = self.shared.open_calls.counts(&admitted.service.name);
        if !takes_call(open, self.shared.settings.memory_bytes) {
            return self.refuse_for_memory(&head, open).response(Some(&head.id));
        }
        let mut call = Call::new(self.shared.clone(), head, parts, admitted, peer, arrived);
        let (draining, clock) = (&self.shared.draining, &self.shared.clock);
        let last_reply = |times: Drain| times.last_reply;
        let read = draining.before(clock, last_reply, read_body(&mut call, body));
        match read.await {
            Some(Ok(())) => {}
            Some(Err(err)) => return call.end_with_reply(err.reply(), err.detail()),
            None => return call.end_in_drain(),
        }
        let drain = draining.times();
        if call.admitted.route.kind.is_stream()
            && drain.is_some_and(|drain| !drain.takes_streams(clock.now()))
        {
            return call.end_in_drain();
        }
        let call = Arc::new(call);
        // What is dropped at the last reply records whether the request may have run.
        let response = draining.before(clock, last_reply, run(call.clone())).await;
        response.unwrap_or_else(|| call.end_in_drain())
    }
}

/// Runs a call whose body has been read.
async fn run(call: Arc<Call>) -> Response<Body> {
    let shared = &call.shared;
    shared
        .fleet
        .record_request(&call.admitted.service.name, shared.clock.now());
    if call.admitted.route.kind.is_stream() {
        stream::run(call).await
    } else {
        plain::run(&call).await
    }
}

impl Frontend {
    /// Finds route, team and service of a request. Fails with the reply for a request that is not
    /// admitted.
    fn admit(&self, head: &RequestHead) -> Result<Admission, LocalReply> {
        let table = self.shared.store_cache.route_table();
        let Some(table) = table.filter(|_| !self.shared.is_held_at_start()) else {
            return Err(self.reject(head, LocalReply::NotRun(DECLARATIONS_RETRY_AFTER), 0));
        };
        let Some(route) = table.route(&head.hostname, &head.path) else {
            return Err(self.reject(head, LocalReply::NoRoute, table.version));
        };
        let team = match table.identify_caller(route, head.api_key.as_deref()) {
            CallerIdentity::Team(team) => Some(team),
            CallerIdentity::Anonymous => None,
            CallerIdentity::Unknown => {
                return Err(self.reject(head, LocalReply::UnknownKey, table.version));
            }
        };
        let service = route.service(xxh3_64(head.id.as_bytes()));
        let Some(service) = service.and_then(|name| table.services.get(name)) else {
            return Err(self.reject(
                head,
                LocalReply::NotRun(DECLARATIONS_RETRY_AFTER),
                table.version,
            ));
        };
        Ok(Admission {
            team,
            route: route.clone(),
            service: service.clone(),
            hide_key: table.has_teams(),
            body_bytes: table.limits.max_body_bytes,
            declarations: table.version,
        })
    }

    /// Refuses a request that is admitted, as too many others have not ended.
    fn refuse_for_memory(&self, head: &RequestHead, open: OpenCallCounts) -> LocalReply {
        let reply = ReadError::NoMemory.reply();
        info!(self.shared.log, #KEPT_LINE, "call: refused, too many at once"; "req" => &*head.id,
            "open" => open.all, "of_service" => open.of_service);
        self.shared.metrics.refusal(TOO_MANY_CALLS);
        self.shared.metrics.request("none", reply.outcome());
        reply
    }

    fn reject(&self, head: &RequestHead, reply: LocalReply, declarations: u64) -> LocalReply {
        let (reply, doubt) = reply.unless_in_doubt(&self.shared, declarations);
        info!(self.shared.log, #KEPT_LINE, "call: turned away"; "req" => &*head.id,
            "outcome" => reply.outcome(), "host" => &*head.hostname, "path" => &*head.path,
            "has_key" => head.api_key.is_some(), "declarations" => declarations, "doubt" => doubt,
            "unconfirmed_ms" => self.shared.unconfirmed_for().map(|age| age.as_millis() as u64),
            "confirmed_by" => ?self.shared.confirmed_by(), "row" => self.shared.store_cache.declarations_row());
        self.shared.metrics.request("none", reply.outcome());
        reply
    }
}

/// Why a request body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadError {
    TooLarge,
    /// There is no memory for it now.
    NoMemory,
    Broken,
    TimedOut,
}

impl ReadError {
    fn reply(self) -> LocalReply {
        match self {
            Self::TooLarge => LocalReply::TooLarge,
            Self::NoMemory => LocalReply::NotRun(suggest_retry_after_limit(
                Some(NO_MEMORY_RETRY_AFTER),
                rand::random(),
            )),
            Self::Broken => LocalReply::BadRequest,
            Self::TimedOut => LocalReply::NotRun(Duration::ZERO),
        }
    }

    fn detail(self) -> &'static str {
        match self {
            Self::TooLarge => "body over the size limit",
            Self::NoMemory => "no memory for the body",
            Self::Broken | Self::TimedOut => "body not read",
        }
    }
}

/// Reads the request body, up to the size limit, the memory for bodies and the deadline of the call.
async fn read_body(call: &mut Call, body: RequestBody) -> Result<(), ReadError> {
    let mut memory = BodyMemory {
        shared: call.shared.clone(),
        max_bytes: call.admitted.body_bytes,
        reserved: 0,
        reservations: Vec::new(),
    };
    // A stated length is reserved before the body is read.
    memory.reserve(body.size_hint().lower())?;
    let read = timeout(call.remaining(), memory.read(body)).await;
    let body = read.unwrap_or(Err(ReadError::TimedOut))?;
    call.body_memory = memory.reservations;
    call.set_body(body);
    Ok(())
}

/// Memory that is reserved for a request body.
struct BodyMemory {
    shared: Arc<Shared>,
    max_bytes: usize,
    reserved: u64,
    reservations: Vec<ByteReservation>,
}

impl BodyMemory {
    /// Makes sure that memory for a body of `bytes` is reserved.
    fn reserve(&mut self, bytes: u64) -> Result<(), ReadError> {
        if bytes > self.max_bytes as u64 {
            return Err(ReadError::TooLarge);
        }
        if bytes <= self.reserved.max(UNRESERVED_BYTES as u64) {
            return Ok(());
        }
        let reservation = self.shared.body_budget.try_reserve(bytes - self.reserved);
        self.reservations
            .push(reservation.ok_or(ReadError::NoMemory)?);
        self.reserved = bytes;
        Ok(())
    }

    async fn read(&mut self, mut body: RequestBody) -> Result<Bytes, ReadError> {
        let mut buf = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ReadError::Broken)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.reserve((buf.len() + data.len()) as u64)?;
            buf.extend_from_slice(&data);
        }
        Ok(buf.freeze())
    }
}
