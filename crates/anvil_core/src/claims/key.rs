//! Idempotency keys of calls, and the shards over which the keys are spread.

use sha2::{
    Digest,
    Sha256, //
};
use smol_str::SmolStr;

use crate::id::{
    ServiceId,
    TeamId, //
};

/// Number of shards. It is not a setting, because hosts with different values would look up the
/// same key in two different streams.
pub const SHARD_COUNT: u16 = 32;

/// Index of a shard, below [`SHARD_COUNT`].
pub type Shard = u16;
/// Hash of a [`Key`], under which the index stores it.
pub type KeyHash = [u8; 16];
/// Hash of a call's method, path, content type and body.
pub type RequestDigest = [u8; 16];

/// Identifies a call: a team's idempotency key for one service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Key {
    /// The team, which is part of the key so that teams can't use each other's keys.
    pub team: TeamId,
    /// The service that is called.
    pub service: ServiceId,
    /// The idempotency key that the caller chose.
    pub text: SmolStr,
}

impl Key {
    /// Returns the hash of the key.
    pub fn hash(&self) -> KeyHash {
        hash_parts(&[
            self.team.as_bytes(),
            self.service.as_bytes(),
            self.text.as_bytes(),
        ])
    }
}

/// Returns the shard whose stream holds the records of a key.
pub fn shard_of(hash: &KeyHash) -> Shard {
    u16::from_be_bytes([hash[0], hash[1]]) % SHARD_COUNT
}

/// Returns the digest of a call, by which the reuse of a key for another call is detected.
pub fn request_digest(method: &str, path: &str, content_type: &[u8], body: &[u8]) -> RequestDigest {
    hash_parts(&[method.as_bytes(), path.as_bytes(), content_type, body])
}

/// Hashes each part after its length, so that different lists of parts never hash the same bytes.
fn hash_parts(parts: &[&[u8]]) -> [u8; 16] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest: [u8; 32] = hasher.finalize().into();
    let mut hash = [0; 16];
    hash.copy_from_slice(&digest[..16]);
    hash
}
