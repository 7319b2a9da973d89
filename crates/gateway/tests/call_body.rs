//! Parsing of completion request bodies, and the JSON errors that callers get for invalid ones.

use expect_test::{Expect, expect};
use gateway::CompletionBody;

fn assert_refused(body: &str, chat: bool, expected: Expect) {
    let error = CompletionBody::parse(body.as_bytes(), chat).unwrap_err();
    expected.assert_eq(&error.body(7).to_json());
}

trait ToJson {
    fn to_json(&self) -> String;
}

impl ToJson for gateway::ErrorBody {
    fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap()
    }
}

macro_rules! refused {
    ($($name:ident: $body:expr, $chat:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_refused($body, $chat, $expected);
            }
        )*
    };
}

refused! {
    junk: "junk", false => expect![[r#"{"error":{"message":"the body is malformed: expected value at line 1 column 1","type":"invalid_request_error","code":"malformed","request_id":"00000000000000000000000000000007"},"ran":false}"#]];
    no_model: r#"{"prompt":"x"}"#, false => expect![[r#"{"error":{"message":"the body is malformed: missing field `model` at line 1 column 14","type":"invalid_request_error","code":"malformed","request_id":"00000000000000000000000000000007"},"ran":false}"#]];
    no_prompt: r#"{"model":"m"}"#, false => expect![[r#"{"error":{"message":"`prompt` is missing","type":"invalid_request_error","code":"malformed","request_id":"00000000000000000000000000000007"},"ran":false}"#]];
    wrong_prompt: r#"{"model":"m","prompt":7}"#, false => expect![[r#"{"error":{"message":"`prompt` has the wrong type","type":"invalid_request_error","code":"malformed","request_id":"00000000000000000000000000000007"},"ran":false}"#]];
    chat_without_messages: r#"{"model":"m","prompt":"x"}"#, true => expect![[r#"{"error":{"message":"`messages` is missing","type":"invalid_request_error","code":"malformed","request_id":"00000000000000000000000000000007"},"ran":false}"#]];
    deep: &format!(r#"{{"model":"m","messages":{}{}}}"#, "[".repeat(65), "]".repeat(65)), true => expect![[r#"{"error":{"message":"the body is nested deeper than 64","type":"invalid_request_error","code":"malformed","request_id":"00000000000000000000000000000007"},"ran":false}"#]];
}

#[test]
fn very_deep_body_does_not_exhaust_the_stack() {
    let depth = 1_000_000;
    let body = format!(
        r#"{{"model":"m","messages":{}{}}}"#,
        "[".repeat(depth),
        "]".repeat(depth)
    );
    assert!(CompletionBody::parse(body.as_bytes(), true).is_err());
}

#[test]
fn brackets_in_text_are_no_depth() {
    let text = "[{\\\"".repeat(200);
    let body = format!(r#"{{"model":"m","messages":[{{"content":"{text}"}}]}}"#);
    assert!(CompletionBody::parse(body.as_bytes(), true).is_ok());
}

#[test]
fn newer_name_of_the_output_limit_goes_first() {
    let body = r#"{"model":"m","prompt":"x","max_tokens":1,"max_completion_tokens":2}"#;
    let parsed = CompletionBody::parse(body.as_bytes(), false).unwrap();
    assert_eq!(parsed.output_tokens(), Some(2));
}
