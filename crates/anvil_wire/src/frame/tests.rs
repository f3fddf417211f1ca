use bytes::Bytes;
use googletest::prelude::*;

use super::*;

#[gtest]
fn decoder_reassembles_frames_from_chunks() {
    let mut stream = encode(&vec![1_u32, 2]).unwrap().to_vec();
    stream.extend(encode(&vec![3_u32]).unwrap());
    let mut decoder = Decoder::default();
    let mut messages: Vec<Vec<u32>> = Vec::new();
    for byte in stream {
        decoder.push(Bytes::copy_from_slice(&[byte]));
        messages.extend(decoder.next_message().unwrap());
    }
    expect_that!(messages, elements_are![eq(&vec![1, 2]), eq(&vec![3])]);
}

#[gtest]
fn decoder_refuses_oversized_frame() {
    let mut decoder = Decoder::default();
    decoder.push(Bytes::from_static(&[0xff; 8]));
    expect_that!(
        decoder.next_message::<u32>(),
        err(matches_pattern!(FrameError::TooLarge { .. }))
    );
}

#[gtest]
fn decoder_refuses_message_of_another_type() {
    let mut decoder = Decoder::default();
    decoder.push(encode(&"text").unwrap());
    expect_that!(decoder.next_message::<Vec<u32>>(), err(anything()));
}
