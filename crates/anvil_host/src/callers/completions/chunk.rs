//! Chunks of a streamed answer, in the shape that OpenAI clients read.

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

/// Room for what differs between the chunks of a stream.
const TOKEN_BYTES: usize = 96;

/// What the chunks of one stream have in common, written once.
pub(super) struct ChunkTemplate {
    /// A chunk up to its text.
    head: String,
}

impl ChunkTemplate {
    /// Makes the template of a stream.
    pub(super) fn new(id: &RequestId, model: &ModelId) -> Self {
        let (id, model) = (json!(id), json!(model));
        let head = format!(
            r#"data: {{"id":{id},"object":"text_completion","model":{model},"choices":[{{"index":0,"text":"#
        );
        Self { head }
    }

    /// The event of a token.
    pub(super) fn token_chunk(&self, token: Token) -> Bytes {
        let text = json!(tokenizer::decode(token));
        self.event(format_args!(
            r#"{text},"tokens":[{token}],"finish_reason":null}}]}}"#
        ))
    }

    /// The event that ends an answer.
    pub(super) fn final_chunk(&self, finish_reason: &str) -> Bytes {
        let finish_reason = json!(finish_reason);
        self.event(format_args!(
            r#""","tokens":[],"finish_reason":{finish_reason}}}]}}"#
        ))
    }

    fn event(&self, rest: impl Display) -> Bytes {
        let mut event = String::with_capacity(self.head.len() + TOKEN_BYTES);
        event.push_str(&self.head);
        // Writing to a string fails only where the value's own formatting does, and no part's does.
        let _never = write!(event, "{rest}\n\n");
        Bytes::from(event)
    }
}

/// An event with any data of one line.
pub(super) fn sse_event(data: impl Display) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

#[cfg(test)]
mod tests;
