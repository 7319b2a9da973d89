//! Prompts that a model engine is asked with, and its answers, which follow from the prompt.

use crate::engine_spec::PromptPrefix;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

const BYTES_PER_TOKEN: u64 = 4;
const BLOCK_BYTES: usize = 4096;
const SHORT_BLOCKS: usize = 8;
const DEFAULT_MAX_TOKENS: u64 = 16;

/// Which of the two forms of answers is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionApi {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// What a request's body says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionRequest {
    /// Model.
    pub model: Option<Box<str>>,
    /// Text of the prompt; the messages' texts one after another for a chat.
    pub text: Box<str>,
    /// Tokens of the answer.
    pub max_tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Leading parts of the JSON text of the prompt or messages: the first blocks one by one,
    /// then at each power of two.
    pub prefixes: Vec<PromptPrefix>,
}

#[derive(Deserialize)]
struct RequestBody<'a> {
    #[serde(default, borrow)]
    model: Option<Cow<'a, str>>,
    #[serde(default, borrow)]
    prompt: Option<&'a RawValue>,
    #[serde(default, borrow)]
    messages: Option<&'a RawValue>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(default, borrow)]
    content: Cow<'a, str>,
}

impl CompletionRequest {
    /// Reads a request's body.
    pub fn parse(body: &[u8]) -> Result<Self, serde_json::Error> {
        let body: RequestBody<'_> = serde_json::from_slice(body)?;
        let mut text = String::new();
        if let Some(prompt) = body.prompt {
            text.push_str(&serde_json::from_str::<Cow<'_, str>>(prompt.get())?);
        }
        if let Some(messages) = body.messages {
            for message in serde_json::from_str::<Vec<Message<'_>>>(messages.get())? {
                text.push_str(&message.content);
            }
        }
        let hashed = body.prompt.or(body.messages).map_or("", RawValue::get);
        Ok(Self {
            model: body.model.map(|model| model.into_owned().into()),
            text: text.into(),
            max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1),
            stream: body.stream,
            prefixes: prefixes_of(hashed.as_bytes()),
        })
    }

    /// Tokens of the prompt.
    pub fn tokens(&self) -> u64 {
        (self.text.len() as u64).div_ceil(BYTES_PER_TOKEN).max(1)
    }
}

fn prefixes_of(text: &[u8]) -> Vec<PromptPrefix> {
    let mut hash = Xxh3::new();
    let mut prefixes = Vec::new();
    for (index, block) in text.chunks_exact(BLOCK_BYTES).enumerate() {
        hash.update(block);
        let count = index + 1;
        if count <= SHORT_BLOCKS || count.is_power_of_two() {
            prefixes.push(PromptPrefix {
                hash: hash.digest(),
                tokens: (count * BLOCK_BYTES) as u64 / BYTES_PER_TOKEN,
            });
        }
    }
    prefixes
}

/// The answer to one prompt, which any test can work out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completion {
    form: CompletionApi,
    seed: u64,
    max_tokens: u64,
}

impl Completion {
    /// The answer to a prompt's text.
    pub fn new(form: CompletionApi, text: &str, max_tokens: u64) -> Self {
        Self {
            form,
            seed: xxh3_64(text.as_bytes()),
            max_tokens: max_tokens.max(1),
        }
    }

    /// Text of one token, from zero.
    pub fn token(&self, index: u64) -> String {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&self.seed.to_le_bytes());
        bytes[8..].copy_from_slice(&index.to_le_bytes());
        format!(" {:04x}", xxh3_64(&bytes) & 0xffff)
    }

    /// Text of the whole answer.
    pub fn text(&self) -> String {
        (0..self.max_tokens)
            .map(|index| self.token(index))
            .collect()
    }

    /// One event of a streamed answer.
    pub fn event(&self, index: u64) -> String {
        let token = self.token(index);
        match self.form {
            CompletionApi::Text => {
                format!("data: {{\"choices\":[{{\"index\":0,\"text\":\"{token}\"}}]}}\n\n")
            }
            CompletionApi::Chat => format!(
                "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{token}\"}}}}]}}\n\n"
            ),
        }
    }

    /// The end of a streamed answer.
    pub fn last_event(&self) -> &'static str {
        "data: [DONE]\n\n"
    }

    /// Body of the whole streamed answer.
    pub fn stream_body(&self) -> String {
        let mut body: String = (0..self.max_tokens)
            .map(|index| self.event(index))
            .collect();
        body.push_str(self.last_event());
        body
    }

    /// Body of the whole answer where it is not streamed.
    pub fn body(&self) -> String {
        let text = self.text();
        let tokens = self.max_tokens;
        let choice = match self.form {
            CompletionApi::Text => format!("\"text\":\"{text}\""),
            CompletionApi::Chat => {
                format!("\"message\":{{\"role\":\"assistant\",\"content\":\"{text}\"}}")
            }
        };
        format!(
            "{{\"choices\":[{{\"index\":0,{choice}}}],\"usage\":{{\"completion_tokens\":{tokens}}}}}"
        )
    }
}
