//! Cheap arithmetic used in place of a model. Every input affects the resulting token.

use anvil_core::id::{
    Layer,
    Token, //
};
use xxhash_rust::xxh3::xxh3_64;

/// Exclusive upper bound of the tokens that [`decode_token`] returns.
pub const VOCABULARY_TOKENS: u64 = 50_000;

/// Size of the `u64` that represents the activation of one token.
pub const ACTIVATION_BYTES: usize = 8;

/// Returns the number that represents the weights of a model version.
pub fn model_seed(model: &str, version: &str) -> u64 {
    mix(
        xxh3_64(model.as_bytes()),
        xxh3_64(version.as_bytes()),
        0x6d6f_6465,
    )
}

/// Returns the input of layer 0 for a token.
pub fn embed(seed: u64, token: Token) -> u64 {
    mix(seed, u64::from(token), 0x656d_6265)
}

/// Applies one layer to one token and returns the activation.
///
/// Extends `chain`, a hash over all inputs of the layer, which represents its KV cache.
pub fn apply_layer(seed: u64, layer: Layer, chain: &mut u64, input: u64) -> u64 {
    *chain = mix(*chain, input, u64::from(layer) + 1);
    mix(seed ^ u64::from(layer), input, *chain)
}

/// Returns the token that an activation of the last layer decodes to.
pub fn decode_token(activation: u64) -> Token {
    Token::try_from(activation % VOCABULARY_TOKENS).unwrap_or_default()
}

/// Hashes three numbers into one.
pub(crate) fn mix(first: u64, second: u64, third: u64) -> u64 {
    let mut value = first
        .wrapping_add(second.rotate_left(23).wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .wrapping_add(third.rotate_left(47).wrapping_mul(0xbf58_476d_1ce4_e5b9));
    value = (value ^ (value >> 32)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value = (value ^ (value >> 29)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    value ^ (value >> 32)
}
