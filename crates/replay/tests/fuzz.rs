//! Parsers must accept or reject malformed input without a panic: frames, declarations, operator
//! queries and commands, request bodies, traces and HTTP.

use declarations::Declarations;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use gateway::CompletionBody;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proto::{
    AnswerFrame, AttemptId, Execution, FrameReader, MAX_FRAME_BYTES, Outcome, RequestFrame,
    StreamOpening, encode,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use replay::Trace;
use runtime::{Executor, HttpClient};
use standins::TableStandin;
use std::net::TcpStream;
use std::time::Duration;

const SEED: u64 = 23;
const CASES: u32 = 2000;
const HTTP_CASES: u64 = 200;
const DECLARED: &str = r#"
[[domains]]
name = "nitra-c"
region = "sk-west"
[[servers]]
name = "drafting-1"
kind = "engine"
host = "h1"
domain = "nitra-c"
[[teams]]
name = "docks"
key_hashes = []
[[routes]]
path = "/labels"
service = "registry"
[[rules]]
name = "r"
regions = ["sk-west"]
"#;
const OPERATOR_STATEMENTS: [&str; 4] = [
    "show servers where domain = nitra-c",
    "show requests where tokens > 100000 order by age",
    "take domain nitra-c out",
    "drain server drafting-1",
];
const COMPLETION: &str = r#"{"model":"m","prompt":"catch","max_tokens":5,"stream":true}"#;
const CHAT: &str = r#"{"model":"m","messages":[{"role":"user","content":"catch"}]}"#;
const TRACE: &str = "{\"at_ms\":0,\"head\":{\"format\":1,\"deployment\":\"d\"}}\n{\"at_ms\":1,\"fault\":{\"server\":\"s\",\"kind\":\"drain\"}}\n";

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn frame() -> Vec<u8> {
    let attempt = AttemptId {
        request: 7,
        number: 1,
    };
    let outcome = Outcome::Failed {
        execution: Execution::MayHaveRun,
        reason: "r".into(),
        retry_after: Duration::from_secs(1),
        hints: None,
    };
    encode(&AnswerFrame { attempt, outcome }).unwrap()
}

/// Overwrites, inserts, truncates or repeats bytes.
fn corrupt(valid: &[u8], edits: &[(u16, u8, u8)]) -> Vec<u8> {
    let mut data = valid.to_vec();
    for (offset, kind, byte) in edits {
        let offset = *offset as usize % (data.len() + 1);
        match kind % 4 {
            0 if offset < data.len() => data[offset] = *byte,
            1 => data.insert(offset, *byte),
            2 => data.truncate(offset),
            _ => {
                let tail = data[offset..].to_vec();
                data.extend(tail);
            }
        }
    }
    data
}

fn edits() -> impl Strategy<Value = Vec<(u16, u8, u8)>> {
    prop::collection::vec(any::<(u16, u8, u8)>(), 1..6)
}

/// Reads frames of one type until the reader fails or needs more input.
fn read_all<T: serde::de::DeserializeOwned>(data: &[u8]) {
    let mut reader = FrameReader::default();
    for piece in data.chunks(7) {
        reader.push(piece);
        while let Ok(Some(_)) = reader.next_frame::<T>() {}
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn frames_of_any_bytes_are_refused_or_read(data in prop::collection::vec(any::<u8>(), 0..300)) {
        read_all::<StreamOpening>(&data);
        read_all::<RequestFrame>(&data);
        read_all::<AnswerFrame>(&data);
    }

    #[test]
    fn spoilt_frames_are_refused_or_read(edits in edits()) {
        let data = corrupt(&frame(), &edits);
        read_all::<StreamOpening>(&data);
        read_all::<RequestFrame>(&data);
        read_all::<AnswerFrame>(&data);
    }

    #[test]
    fn a_long_frame_is_refused_before_it_is_gathered(extra in 1..u32::MAX - MAX_FRAME_BYTES as u32) {
        let mut reader = FrameReader::default();
        reader.push(&(MAX_FRAME_BYTES as u32 + extra).to_le_bytes());
        reader.push(&[1]);
        prop_assert!(reader.next_frame::<AnswerFrame>().is_err());
    }

    #[test]
    fn spoilt_declarations_are_parsed_or_refused(edits in edits()) {
        let data = corrupt(DECLARED.as_bytes(), &edits);
        let _ = Declarations::parse(&String::from_utf8_lossy(&data));
    }

    #[test]
    fn spoilt_questions_are_parsed_or_refused(which in 0..OPERATOR_STATEMENTS.len(), edits in edits()) {
        let data = corrupt(OPERATOR_STATEMENTS[which].as_bytes(), &edits);
        let _ = query::parse(&String::from_utf8_lossy(&data));
    }

    #[test]
    fn any_text_is_no_question_or_one(text in "\\PC{0,80}") {
        let _ = query::parse(&text);
    }

    #[test]
    fn spoilt_bodies_are_read_or_refused(edits in edits(), chat in any::<bool>()) {
        let valid = if chat { CHAT } else { COMPLETION };
        let data = corrupt(valid.as_bytes(), &edits);
        if let Ok(body) = CompletionBody::parse(&data, chat) {
            let _ = body.text(chat);
        }
    }

    #[test]
    fn spoilt_traces_are_read_or_refused(edits in edits()) {
        let data = corrupt(TRACE.as_bytes(), &edits);
        let _ = Trace::parse(&String::from_utf8_lossy(&data));
    }
}

#[test]
fn http_survives_spoilt_requests() {
    Executor::run(2, |executor| async move {
        let table = TableStandin::bind(&executor, ([127, 0, 0, 1], 0).into()).unwrap();
        let peer = table.local_addr();
        let valid =
            b"POST /v1/read HTTP/1.1\r\nhost: t\r\ncontent-length: 14\r\n\r\n{\"keys\":[\"a\"]}";
        let mut rng = SmallRng::seed_from_u64(SEED);
        for _ in 0..HTTP_CASES {
            let edits: Vec<(u16, u8, u8)> =
                (0..rng.random_range(1..6)).map(|_| rng.random()).collect();
            let mut stream = async_io::Async::<TcpStream>::connect(peer).await.unwrap();
            let _ = stream.write_all(&corrupt(valid, &edits)).await;
            let _ = stream.get_ref().shutdown(std::net::Shutdown::Write);
            let mut answer = Vec::new();
            let _ = stream.read_to_end(&mut answer).await;
        }
        let req = hyper::Request::get("/standin/counts")
            .header("host", "t")
            .body(runtime::Body::empty())
            .unwrap();
        let client = HttpClient::new(executor.clone());
        let timeout = Duration::from_secs(30);
        let answer = client.fetch(peer, req, 1 << 20, timeout).await;
        assert_eq!(answer.unwrap().0, 200);
    });
}
