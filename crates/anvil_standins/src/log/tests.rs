use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;

use super::stream::Stream;

fn payloads(texts: &[&'static str]) -> Vec<Bytes> {
    texts
        .iter()
        .map(|text| Bytes::from_static(text.as_bytes()))
        .collect()
}

#[gtest]
fn append_drops_records_beyond_retention() {
    let mut stream = Stream::default();
    let first_offset = stream.append(&payloads(&["a", "b", "c"]), 2);
    let answer = stream.read(0, 10, Duration::MAX);
    expect_that!(first_offset, eq(0));
    expect_that!(answer.horizon_offset, eq(1));
    expect_that!(answer.end_offset, eq(3));
    expect_that!(answer.records.len(), eq(2));
    expect_that!(answer.records[0].offset, eq(1));
}

#[gtest]
fn read_respects_offset_and_limit() {
    let mut stream = Stream::default();
    stream.append(&payloads(&["a", "b", "c", "d"]), 10);
    let answer = stream.read(1, 2, Duration::MAX);
    let offsets: Vec<u64> = answer.records.iter().map(|record| record.offset).collect();
    expect_that!(offsets, elements_are![eq(&1), eq(&2)]);
    expect_that!(stream.read(9, 2, Duration::MAX).records, is_empty());
}
