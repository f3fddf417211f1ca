//! Rendezvous hashing: hosts that know the same set of members choose the same member for a key,
//! and the removal of a member reassigns only the keys of that member.

use smol_str::SmolStr;
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

#[cfg(test)]
mod tests;

/// Returns the score of a member for a key; the member with the largest score owns the key.
pub fn score(key: &str, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64(key.as_bytes()))
}

/// Returns the member that owns a key, or `None` if there are no members. Equal scores are decided
/// by the larger name.
pub fn choose<'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a SmolStr>,
) -> Option<&'a SmolStr> {
    members
        .into_iter()
        .max_by_key(|member| (score(key, member), *member))
}

/// Returns the `count` members with the largest scores for a key, largest first; fewer if there are
/// fewer members.
pub fn choose_many<'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a SmolStr>,
    count: usize,
) -> Vec<&'a SmolStr> {
    let mut scored: Vec<_> = members
        .into_iter()
        .map(|member| (score(key, member), member))
        .collect();
    scored.sort_unstable_by(|left, right| right.cmp(left));
    scored.truncate(count);
    scored.into_iter().map(|(_, member)| member).collect()
}
