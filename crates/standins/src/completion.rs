//! Completion requests to a model engine, and the completions, which are a function of the prompt.

use crate::engine_spec::PromptPrefix;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

const BYTES_PER_TOKEN: u64 = 4;
const BLOCK_BYTES: usize = 4096;
/// A prefix ends after each of this many leading blocks; longer ones end at powers of two.
const DENSE_PREFIX_BLOCKS: usize = 8;
const DEFAULT_MAX_TOKENS: u64 = 16;

/// API that a completion is requested by; it sets the form of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionApi {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// The body of a completion request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionRequest {
    /// Requested model, if the body names one.
    pub model: Option<Box<str>>,
    /// Text of the prompt; for a chat, the contents of the messages concatenated.
    pub text: Box<str>,
    /// Exact number of tokens to generate.
    pub max_tokens: u64,
    /// Whether the response is streamed as server-sent events.
    pub stream: bool,
    /// Prefixes of the JSON text of the prompt or messages: one after each of the first blocks, then
    /// one at each power of two of the number of blocks.
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
    /// Parses the JSON body of a request.
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

    /// Length of the prompt in tokens, at four bytes per token; at least one.
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
        if count <= DENSE_PREFIX_BLOCKS || count.is_power_of_two() {
            prefixes.push(PromptPrefix {
                hash: hash.digest(),
                tokens: (count * BLOCK_BYTES) as u64 / BYTES_PER_TOKEN,
            });
        }
    }
    prefixes
}

/// The completion of one prompt, which tests can compute as the expected value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completion {
    api: CompletionApi,
    seed: u64,
    max_tokens: u64,
}

impl Completion {
    /// The completion of a prompt with this text.
    pub fn new(api: CompletionApi, text: &str, max_tokens: u64) -> Self {
        Self {
            api,
            seed: xxh3_64(text.as_bytes()),
            max_tokens: max_tokens.max(1),
        }
    }

    /// Text of the token with this zero-based index.
    pub fn token(&self, index: u64) -> String {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&self.seed.to_le_bytes());
        bytes[8..].copy_from_slice(&index.to_le_bytes());
        format!(" {:04x}", xxh3_64(&bytes) & 0xffff)
    }

    /// Text of the whole completion.
    pub fn text(&self) -> String {
        (0..self.max_tokens)
            .map(|index| self.token(index))
            .collect()
    }

    /// Server-sent event for the token with this zero-based index.
    pub fn event(&self, index: u64) -> String {
        let token = self.token(index);
        match self.api {
            CompletionApi::Text => {
                format!("data: {{\"choices\":[{{\"index\":0,\"text\":\"{token}\"}}]}}\n\n")
            }
            CompletionApi::Chat => format!(
                "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{token}\"}}}}]}}\n\n"
            ),
        }
    }

    /// Server-sent event that ends a streamed response.
    pub fn last_event(&self) -> &'static str {
        "data: [DONE]\n\n"
    }

    /// Complete body of a streamed response.
    pub fn stream_body(&self) -> String {
        let mut body: String = (0..self.max_tokens)
            .map(|index| self.event(index))
            .collect();
        body.push_str(self.last_event());
        body
    }

    /// Body of a response that is not streamed.
    pub fn body(&self) -> String {
        let text = self.text();
        let tokens = self.max_tokens;
        let choice = match self.api {
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
