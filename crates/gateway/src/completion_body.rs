//! Parses the fields of a completion request that the gateway needs.

use crate::caller_error::CallerError;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;

const MAX_JSON_DEPTH: usize = 64;

/// The fields of a completion request that the gateway reads. The body is forwarded unchanged, with
/// all other fields.
#[derive(Debug, Deserialize)]
pub struct CompletionBody<'a> {
    /// Name of the requested model.
    #[serde(borrow)]
    pub model: Cow<'a, str>,
    /// Prompt of a request to `/v1/completions`.
    #[serde(borrow)]
    pub prompt: Option<&'a RawValue>,
    /// Messages of a request to `/v1/chat/completions`.
    #[serde(borrow)]
    pub messages: Option<&'a RawValue>,
    /// Limit on output tokens.
    pub max_tokens: Option<u64>,
    /// Newer name of `max_tokens`, which takes precedence.
    pub max_completion_tokens: Option<u64>,
    /// Whether the response is to be streamed; false if absent.
    #[serde(default)]
    pub stream: bool,
}

impl<'a> CompletionBody<'a> {
    /// Parses and checks a body, in the form of `/v1/chat/completions` if `chat` is set and of
    /// `/v1/completions` otherwise.
    pub fn parse(body: &'a [u8], chat: bool) -> Result<Self, CallerError> {
        let parsed: Self = serde_json::from_slice(body).map_err(|err| {
            CallerError::Malformed(format!("the body is malformed: {err}").into())
        })?;
        let text = parsed.text(chat)?;
        if json_depth(text.as_bytes()) > MAX_JSON_DEPTH {
            let reason = format!("the body is nested deeper than {MAX_JSON_DEPTH}");
            return Err(CallerError::Malformed(reason.into()));
        }
        Ok(parsed)
    }

    /// JSON text of the messages if `chat` is set, and of the prompt otherwise. Fails if the field
    /// is missing or has the wrong type.
    pub fn text(&self, chat: bool) -> Result<&'a str, CallerError> {
        let (value, name, expected) = match chat {
            true => (self.messages, "messages", &['['][..]),
            false => (self.prompt, "prompt", &['"', '['][..]),
        };
        let text = value.map(RawValue::get).unwrap_or_default();
        if text.starts_with(expected) {
            return Ok(text);
        }
        let reason = match text.is_empty() {
            true => format!("`{name}` is missing"),
            false => format!("`{name}` has the wrong type"),
        };
        Err(CallerError::Malformed(reason.into()))
    }

    /// Limit on output tokens, if the caller set one under either name.
    pub fn output_tokens(&self) -> Option<u64> {
        self.max_completion_tokens.or(self.max_tokens)
    }
}

/// Computes the nesting depth of arrays and objects in valid JSON text, without recursion.
fn json_depth(text: &[u8]) -> usize {
    let (mut depth, mut deepest) = (0_usize, 0);
    let (mut in_string, mut escaped) = (false, false);
    if text.first() == Some(&b'"') {
        return 0;
    }
    for byte in text {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'[' | b'{' if !in_string => {
                depth += 1;
                deepest = deepest.max(depth);
            }
            b']' | b'}' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    deepest
}
