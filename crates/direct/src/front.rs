//! Receives, admits and dispatches callers' requests.

use crate::call::{Admission, Call};
use crate::local_reply::LocalReply;
use crate::shared::Shared;
use crate::{plain, stream};
use adapter::RequestHead;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response};
use policy::CallerIdentity;
use runtime::{Body, Responder, timeout};
use slog::info;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// `Retry-After` while the declarations are not known, or name no service for the route.
const NO_DECLARATIONS_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Handles HTTP requests of callers.
#[derive(Debug)]
pub struct Frontend {
    /// State shared by the tasks of the process.
    pub shared: Arc<Shared>,
}

impl Responder for Frontend {
    async fn respond(&self, _peer: SocketAddr, req: Request<Incoming>) -> Response<Body> {
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
        let mut call = Call::new(self.shared.clone(), head, parts, admitted, arrived);
        if let Err(reply) = read_body(&mut call, body).await {
            return call.end_with_reply(reply, "body not read");
        }
        self.shared
            .fleet
            .record_request(&call.admitted.service.name, self.shared.clock.now());
        if call.admitted.route.kind.is_stream() && call.admitted.service.engine.is_some() {
            stream::run(Arc::new(call)).await
        } else {
            plain::run(&call).await
        }
    }
}

impl Frontend {
    /// Finds route, team and service of a request. Fails with the reply for a request that is not
    /// admitted.
    fn admit(&self, head: &RequestHead) -> Result<Admission, LocalReply> {
        let Some(table) = self.shared.store_cache.route_table() else {
            return Err(self.reject(head, LocalReply::NotRun(NO_DECLARATIONS_RETRY_AFTER), 0));
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
                LocalReply::NotRun(NO_DECLARATIONS_RETRY_AFTER),
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

    fn reject(&self, head: &RequestHead, reply: LocalReply, declarations: u64) -> LocalReply {
        info!(self.shared.log, "call: turned away"; "req" => &*head.id,
            "outcome" => reply.outcome(), "host" => &*head.hostname, "path" => &*head.path,
            "has_key" => head.api_key.is_some(), "declarations" => declarations);
        self.shared.metrics.request("none", reply.outcome());
        reply
    }
}

/// Reads the request body, up to the size limit and the deadline of the call.
async fn read_body(call: &mut Call, body: Incoming) -> Result<(), LocalReply> {
    let body = Limited::new(body, call.admitted.body_bytes).collect();
    match timeout(call.remaining(), body).await {
        Ok(Ok(body)) => {
            call.set_body(body.to_bytes());
            Ok(())
        }
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(LocalReply::TooLarge),
        Ok(Err(_)) => Err(LocalReply::BadRequest),
        Err(_) => Err(LocalReply::NotRun(Duration::ZERO)),
    }
}
