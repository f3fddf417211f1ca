//! Chunks of a streamed answer, in the format that OpenAI clients read.

use std::fmt::{
    Display,
    Write, //
};

use anvil_core::id::{
    ModelId,
    RequestId,
    Token, //
};
use bytes::Bytes;
use serde_json::json;

use crate::tokenizer;

/// Initial capacity for the part of a chunk that differs between the chunks of a stream.
const CHUNK_REST_CAPACITY_BYTES: usize = 96;

/// The part that all chunks of one stream have in common, formatted once.
pub(super) struct ChunkTemplate {
    /// A chunk up to the value of its text.
    prefix: String,
}

impl ChunkTemplate {
    /// Creates the template of a stream.
    pub(super) fn new(id: &RequestId, model: &ModelId) -> Self {
        let (id, model) = (json!(id), json!(model));
        let prefix = format!(
            r#"data: {{"id":{id},"object":"text_completion","model":{model},"choices":[{{"index":0,"text":"#
        );
        Self { prefix }
    }

    /// Returns the event for one token.
    pub(super) fn token_chunk(&self, token: Token) -> Bytes {
        let text = json!(tokenizer::decode(token));
        self.complete(format_args!(
            r#"{text},"tokens":[{token}],"finish_reason":null}}]}}"#
        ))
    }

    /// Returns the event that ends an answer.
    pub(super) fn final_chunk(&self, finish_reason: &str) -> Bytes {
        let finish_reason = json!(finish_reason);
        self.complete(format_args!(
            r#""","tokens":[],"finish_reason":{finish_reason}}}]}}"#
        ))
    }

    fn complete(&self, rest: impl Display) -> Bytes {
        let mut event = String::with_capacity(self.prefix.len() + CHUNK_REST_CAPACITY_BYTES);
        event.push_str(&self.prefix);
        // Writing to a string fails only if the formatting of a value fails, which no part's does.
        let _infallible = write!(event, "{rest}\n\n");
        Bytes::from(event)
    }
}

/// Returns a server-sent event with `data`, which must be a single line.
pub(super) fn sse_event(data: impl Display) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

#[cfg(test)]
mod tests;
