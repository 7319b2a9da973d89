//! Backend servers of `serve` whose responses have invalid statuses, or end too early.

mod raw_backend;

use raw_backend::{End, RawFleet};
use runtime::Executor;
use std::time::Instant;
use trials::{Call, MODEL, Outcome, SERVICE_PATH, TEAM_KEY};

const EVENTS: &str = "data: a\n\ndata: [DONE]\n\n";
const INVALID: [&str; 14] = [
    "000 Down",
    "099 Low",
    "600 High",
    "700 High",
    "999 High",
    "1000 High",
    "20 OK",
    "2OO OK",
    "-200 OK",
    "",
    "101 Switching Protocols",
    "100 Continue",
    "102 Processing",
    "199 Odd",
];
/// Those at the end of `INVALID` that a client cannot tell from an interim response.
const INTERIM: usize = 3;
/// A prompt that takes more bytes than the kernel buffers of a connection on loopback hold.
const LONG_PROMPT_TOKENS: u64 = 1 << 20;
const LONG_BODY_BYTES: usize = 4 << 20;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Request {
    Completion,
    Plain,
    Repeatable,
}

impl Request {
    async fn run(self, executor: &Executor, rig: &RawFleet, seed: u64, is_long: bool) -> Outcome {
        let prompt = if is_long { LONG_PROMPT_TOKENS } else { 100 };
        let body = "x".repeat(if is_long { LONG_BODY_BYTES } else { 100 });
        let call = match self {
            Self::Completion => Call::completion(MODEL, seed, prompt, 4).key(TEAM_KEY),
            Self::Plain | Self::Repeatable => Call::plain(SERVICE_PATH, &body)
                .key(TEAM_KEY)
                .header("idempotency-key", &format!("key-{seed}")),
        };
        let gateway = rig.fleet.gateways()[0];
        let client = rig.fleet.client();
        call.run(executor, client, gateway, Instant::now()).await
    }
}

fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\ncontent-type: text/event-stream\r\n{headers}\r\n{body}")
        .into_bytes()
}

fn with_length(status: &str) -> Vec<u8> {
    let length = format!("content-length: {}\r\n", EVENTS.len());
    response(status, &length, EVENTS)
}

/// The gateway responds with an error of its own, which does not rule out that the request ran.
fn is_gateways_own(outcome: &Outcome) -> bool {
    matches!(&outcome.end, trials::End::Failed { status: 502, .. })
}

async fn is_served(executor: &Executor, rig: &RawFleet, request: Request, seed: u64) -> bool {
    rig.respond(with_length("200 OK"), End::InOrder);
    let outcome = request.run(executor, rig, seed, false).await;
    outcome.end.is_whole() && *outcome.text == *EVENTS
}

/// Invalid responses that the agent of the request's server has counted.
async fn invalid_answers(rig: &mut RawFleet, request: Request) -> usize {
    let server = match request {
        Request::Completion => "engine-1",
        Request::Plain | Request::Repeatable => "registry-1",
    };
    let agent = rig.fleet.agent_of(server);
    let (_, page) = rig.fleet.get_page(&agent, "/metrics").await.unwrap();
    let name = "bergamothold_agent_invalid_answers_total ";
    let count = page.lines().find_map(|line| line.strip_prefix(name));
    count.map_or(0, |count| count.parse().unwrap())
}

fn statuses_are_not_passed_on(request: Request) {
    Executor::run(2, move |executor| async move {
        let mut rig = RawFleet::start(&executor, request == Request::Repeatable).await;
        let mut wrong = Vec::new();
        for (seed, status) in (0..).zip(INVALID) {
            rig.respond(with_length(status), End::InOrder);
            let before = invalid_answers(&mut rig, request).await;
            let outcome = request.run(&executor, &rig, seed, false).await;
            let counted = invalid_answers(&mut rig, request).await - before;
            if (seed as usize) < INVALID.len() - INTERIM && counted != 1 {
                wrong.push(format!("{status:?}: {counted} counted"));
            }
            if !is_gateways_own(&outcome) || rig.responses() != 1 {
                wrong.push(format!("{status:?}, {}: {outcome:?}", rig.responses()));
            }
        }
        assert!(wrong.is_empty(), "{wrong:#?}");
        assert!(is_served(&executor, &rig, request, 100).await);
    });
}

/// What ends a response that is too short.
const FRAMINGS: [&str; 3] = [
    "",
    "content-length: 9000000\r\n",
    "transfer-encoding: chunked\r\n",
];

/// Whole events, and what a caller takes for the end of the stream.
fn early_body(headers: &str, bytes: usize) -> String {
    let event = "data: abcdefgh\n\n";
    let mut body = event.repeat(bytes / event.len());
    if bytes > 0 {
        body.push_str("data: [DONE]\n\n");
    }
    if headers.contains("chunked") && bytes > 0 {
        return format!("{:x}\r\n{body}\r\n", body.len());
    }
    body
}

fn early_ends_are_not_whole(request: Request) {
    Executor::run(2, move |executor| async move {
        let rig = RawFleet::start(&executor, request == Request::Repeatable).await;
        let mut wrong = Vec::new();
        let mut seed = 0;
        for headers in FRAMINGS {
            for bytes in [0, 3 << 10, 2 << 20] {
                for end in [End::ResetsEarly, End::EndsEarly] {
                    if headers.is_empty() && end == End::EndsEarly {
                        // The end of the connection is that of the response.
                        continue;
                    }
                    seed += 1;
                    let body = early_body(headers, bytes);
                    rig.respond(response("200 OK", headers, &body), end);
                    let outcome = request.run(&executor, &rig, seed, true).await;
                    if outcome.end.is_whole() || rig.responses() != 1 {
                        let responses = rig.responses();
                        wrong.push(format!(
                            "{headers:?} {bytes} {end:?}, {responses}: {outcome:?}"
                        ));
                    }
                }
            }
        }
        assert!(wrong.is_empty(), "{}: {wrong:#?}", wrong.len());
        assert!(is_served(&executor, &rig, request, 1_000).await);
    });
}

macro_rules! cases {
    ($check:ident; $($name:ident: $request:expr;)*) => {$(
        #[test]
        fn $name() {
            $check($request);
        }
    )*};
}

cases! { statuses_are_not_passed_on;
    invalid_statuses_of_completions_are_not_passed_on: Request::Completion;
    invalid_statuses_of_plain_calls_are_not_passed_on: Request::Plain;
    invalid_statuses_of_repeatable_calls_are_not_passed_on: Request::Repeatable;
}

cases! { early_ends_are_not_whole;
    early_ends_of_completions_are_not_whole: Request::Completion;
    early_ends_of_plain_calls_are_not_whole: Request::Plain;
    early_ends_of_repeatable_calls_are_not_whole: Request::Repeatable;
}
