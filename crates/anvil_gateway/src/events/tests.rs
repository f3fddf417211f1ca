use googletest::prelude::*;

use super::*;

fn split(pieces: &[&str]) -> (Vec<Event>, bool) {
    let mut splitter = EventDecoder::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece.as_bytes()).unwrap();
        while let Some(event) = splitter.take_event() {
            events.push(event);
        }
    }
    (events, splitter.has_partial_event())
}

#[gtest]
fn take_event_gives_whole_events_only() {
    let (events, rest) = split(&["id: 1\ndata: a\n\nid: 2\nda"]);
    expect_that!(events.len(), eq(1));
    expect_that!(events[0].id, some(eq(1)));
    expect_that!(events[0].bytes.as_ref(), eq(b"id: 1\ndata: a\n\n"));
    expect_that!(rest, eq(true));
}

#[gtest]
fn take_event_takes_any_cut() {
    let text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\n";
    for cut in 0..text.len() {
        let (events, rest) = split(&[&text[..cut], &text[cut..]]);
        let ids: Vec<_> = events.iter().map(|event| event.id).collect();
        expect_that!(ids, eq(&vec![Some(1), Some(2), None]), "cut at {cut}");
        expect_that!(rest, eq(false));
    }
}

#[gtest]
fn push_bounds_an_event() {
    let mut splitter = EventDecoder::default();
    expect_that!(
        splitter.push(&vec![b'a'; EVENT_LIMIT_BYTES]),
        ok(anything())
    );
    expect_that!(splitter.push(b"a"), err(eq(EventTooLarge)));
}
