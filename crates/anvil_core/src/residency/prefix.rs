//! The leading parts of a prompt, in a form that is quick to compare.

use crate::prefix::chain;

/// Value that the first part of a prompt is chained to. Records are kept by engine and version of the
/// weights, so that the hashes need not tell models apart.
const ROOT: u64 = 0;

/// One part of a prompt, with all parts before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Part {
    /// Hash of the ids and token counts up to and including this part.
    hash: u64,
    /// Number of tokens up to the end of this part.
    tokens: u32,
}

/// The parts of a prompt that other requests may share, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prefix {
    parts: Vec<Part>,
}

impl Prefix {
    /// Creates a prefix from the ids of its parts and their numbers of tokens.
    pub fn new<'a>(parts: impl IntoIterator<Item = (&'a str, u32)>) -> Self {
        let mut last = Part {
            hash: ROOT,
            tokens: 0,
        };
        let parts = parts.into_iter().map(|(id, tokens)| {
            let hash = chain(chain(last.hash, id.as_bytes()), &tokens.to_le_bytes());
            last = Part {
                hash,
                tokens: last.tokens.saturating_add(tokens),
            };
            last
        });
        Self {
            parts: parts.collect(),
        }
    }

    /// Returns whether there is no part.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the number of tokens of the leading parts that both prompts have.
    pub fn shared_tokens(&self, other: &Self) -> u32 {
        // Each hash covers all parts before it, so the parts that are equal come first.
        let pairs = self.parts.iter().zip(&other.parts);
        let shared = pairs.take_while(|(own, other)| own == other);
        shared.last().map_or(0, |(part, _)| part.tokens)
    }
}
