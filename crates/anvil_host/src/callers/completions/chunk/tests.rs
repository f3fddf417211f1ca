use bytes::Bytes;
use googletest::prelude::*;
use serde_json::{
    Value,
    json, //
};

use super::*;

fn parse_data(event: &Bytes) -> Value {
    let text = std::str::from_utf8(event).unwrap();
    let data = text.strip_prefix("data: ").unwrap();
    serde_json::from_str(data.strip_suffix("\n\n").unwrap()).unwrap()
}

fn expected(text: &str, tokens: &[Token], finish_reason: Option<&str>) -> Value {
    json!({
        "id": "r\"1",
        "object": "text_completion",
        "model": "m\\x",
        "choices": [{
            "index": 0,
            "text": text,
            "tokens": tokens,
            "finish_reason": finish_reason,
        }],
    })
}

#[gtest]
fn token_chunk_is_json_for_every_byte() {
    let template = ChunkTemplate::new(&"r\"1".into(), &"m\\x".into());
    for token in 0..300 {
        let text = tokenizer::decode(token);
        expect_that!(
            parse_data(&template.token_chunk(token)),
            eq(&expected(&text, &[token], None))
        );
    }
}

#[gtest]
fn final_chunk_contains_finish_reason() {
    let template = ChunkTemplate::new(&"r\"1".into(), &"m\\x".into());
    expect_that!(
        parse_data(&template.final_chunk("length")),
        eq(&expected("", &[], Some("length")))
    );
}
