use googletest::prelude::*;

use super::*;
use crate::{
    id::Token,
    prefix::block_hashes, //
};

fn hashes(prompt: &[Token]) -> Vec<u64> {
    block_hashes("m", "1", prompt)
}

#[gtest]
fn cached_tokens_counts_only_leading_blocks() {
    let table = Table::new(1024);
    let prompt: Vec<Token> = (0..64).collect();
    let blocks = hashes(&prompt);
    table.store(blocks[0]);
    table.store(blocks[1]);
    table.store(blocks[3]);
    expect_that!(table.cached_tokens(&blocks), eq(32));
    table.evict(blocks[0]);
    expect_that!(table.cached_tokens(&blocks), eq(0));
}

#[gtest]
fn advance_clears_table_after_gap() {
    let table = Table::new(1024);
    let blocks = hashes(&(0..16).collect::<Vec<_>>());
    expect_true!(table.advance(1));
    table.store(blocks[0]);
    expect_true!(table.advance(2));
    expect_true!(table.advance(2));
    expect_that!(table.cached_tokens(&blocks), eq(16));
    expect_false!(table.advance(4));
    expect_that!(table.cached_tokens(&blocks), eq(0));
    expect_that!(table.last_event(), eq(4));
}
