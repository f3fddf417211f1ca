//! Hashes that identify the blocks of a prompt in an engine's prefix cache.

use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use crate::id::Token;

/// Number of tokens in one block of the prefix cache.
pub const BLOCK_TOKENS: usize = 16;

/// Returns the hash that the first block of a prompt is chained to. It differs between models and
/// versions, so they share no blocks.
pub fn root(model: &str, version: &str) -> u64 {
    xxh3_64_with_seed(version.as_bytes(), xxh3_64(model.as_bytes()))
}

/// Returns the hash of a block, given the hash of the block before it.
pub fn chain(previous: u64, block: &[u8]) -> u64 {
    xxh3_64_with_seed(block, previous)
}

/// Returns the hashes of a prompt's complete blocks, each chained to those before it. Tokens after
/// the last complete block are ignored.
pub fn block_hashes(model: &str, version: &str, prompt: &[Token]) -> Vec<u64> {
    let mut previous = root(model, version);
    let mut hashes = Vec::with_capacity(prompt.len() / BLOCK_TOKENS);
    for block in prompt.chunks_exact(BLOCK_TOKENS) {
        let mut bytes = [0; BLOCK_TOKENS * size_of::<Token>()];
        for (token_bytes, token) in bytes.chunks_exact_mut(size_of::<Token>()).zip(block) {
            token_bytes.copy_from_slice(&token.to_le_bytes());
        }
        previous = chain(previous, &bytes);
        hashes.push(previous);
    }
    hashes
}
