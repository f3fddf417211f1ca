use googletest::prelude::*;

use super::*;

fn decode(chunks: &[&str]) -> (Vec<Event>, bool) {
    let mut decoder = EventDecoder::default();
    let mut events = Vec::new();
    for chunk in chunks {
        decoder.push(chunk.as_bytes()).unwrap();
        while let Some(event) = decoder.take_event() {
            events.push(event);
        }
    }
    (events, decoder.has_partial_event())
}

#[gtest]
fn take_event_returns_complete_events_only() {
    let (events, is_partial) = decode(&["id: 1\ndata: a\n\nid: 2\nda"]);
    expect_that!(events.len(), eq(1));
    expect_that!(events[0].id, some(eq(1)));
    expect_that!(events[0].bytes.as_ref(), eq(b"id: 1\ndata: a\n\n"));
    expect_that!(is_partial, eq(true));
}

#[gtest]
fn take_event_handles_any_chunk_boundary() {
    let text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\n";
    for cut in 0..text.len() {
        let (events, is_partial) = decode(&[&text[..cut], &text[cut..]]);
        let ids: Vec<_> = events.iter().map(|event| event.id).collect();
        expect_that!(ids, eq(&vec![Some(1), Some(2), None]), "cut at {cut}");
        expect_that!(is_partial, eq(false));
    }
}

#[gtest]
fn push_rejects_oversized_event() {
    let mut decoder = EventDecoder::default();
    expect_that!(decoder.push(&vec![b'a'; EVENT_LIMIT_BYTES]), ok(anything()));
    expect_that!(decoder.push(b"a"), err(eq(EventTooLarge)));
}
