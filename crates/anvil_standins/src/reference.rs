//! Reference for the answer that a pipeline of engines must give, computed without engines.

use anvil_core::id::{
    Layer,
    Token, //
};

use crate::arithmetic;

/// Returns the first `count` tokens that a model generates for a prompt.
pub fn expected_answer(
    model: &str,
    version: &str,
    layer_count: Layer,
    prompt: &[Token],
    count: usize,
) -> Vec<Token> {
    let seed = arithmetic::model_seed(model, version);
    let mut chains = vec![0; usize::from(layer_count)];
    let mut answer = Vec::with_capacity(count);
    let mut next = 0;
    for token in prompt {
        next = forward_pass(seed, &mut chains, *token);
    }
    while answer.len() < count {
        answer.push(next);
        next = forward_pass(seed, &mut chains, next);
    }
    answer
}

fn forward_pass(seed: u64, chains: &mut [u64], token: Token) -> Token {
    let mut value = arithmetic::embed(seed, token);
    for (layer, chain) in (0..).zip(chains) {
        value = arithmetic::apply_layer(seed, layer, chain, value);
    }
    arithmetic::decode_token(value)
}
