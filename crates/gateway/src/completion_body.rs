//! The JSON body of a completion request, as far as the gateway needs it.

use crate::caller_error::CallerError;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;

const MAX_DEPTH: usize = 64;

/// What the gateway reads of a completion request. The rest passes through as it came.
#[derive(Debug, Deserialize)]
pub struct CompletionBody<'a> {
    /// Model asked for.
    #[serde(borrow)]
    pub model: Cow<'a, str>,
    /// Prompt of `/v1/completions`.
    #[serde(borrow)]
    pub prompt: Option<&'a RawValue>,
    /// Messages of `/v1/chat/completions`.
    #[serde(borrow)]
    pub messages: Option<&'a RawValue>,
    /// Most tokens of the answer.
    pub max_tokens: Option<u64>,
    /// The same, as newer callers name it.
    pub max_completion_tokens: Option<u64>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

impl<'a> CompletionBody<'a> {
    /// Reads a body; `chat` tells which of the two forms it has.
    pub fn parse(body: &'a [u8], chat: bool) -> Result<Self, CallerError> {
        let parsed: Self = serde_json::from_slice(body).map_err(|err| {
            CallerError::Malformed(format!("the body is malformed: {err}").into())
        })?;
        let text = parsed.text(chat)?;
        if depth(text.as_bytes()) > MAX_DEPTH {
            let reason = format!("the body is nested deeper than {MAX_DEPTH}");
            return Err(CallerError::Malformed(reason.into()));
        }
        Ok(parsed)
    }

    /// The JSON text of the prompt or messages.
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

    /// Most tokens of the answer, where the caller names them.
    pub fn output_tokens(&self) -> Option<u64> {
        self.max_completion_tokens.or(self.max_tokens)
    }
}

/// Depth of nested arrays and objects in valid JSON text.
fn depth(text: &[u8]) -> usize {
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
