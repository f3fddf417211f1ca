//! Digest of what a target receives of a request, by which equal requests are recognised.

use std::str::FromStr;

use derive_more::{
    Display,
    Error, //
};
use sha2::{
    Digest,
    Sha256, //
};

use crate::id::TeamId;

#[cfg(test)]
mod tests;

/// The first 64 bits of a SHA-256 over a request. It is the same on all hosts, and nobody can choose a
/// request that has the digest of another caller's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{_0:016x}")]
pub struct RequestDigest(u64);

/// Error for a text that is no digest of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("a request digest must be 16 hexadecimal digits")]
pub struct RequestDigestError;

impl RequestDigest {
    /// Returns the digest of a request: its method, host, path with query, the caller's team, and the
    /// body. Ids, deadlines and keys differ between requests that are otherwise equal, and are left out.
    pub fn of(method: &str, host: &str, path: &str, team: Option<&TeamId>, body: &[u8]) -> Self {
        Self::of_segments(method, host, path, team, [body])
    }

    /// Returns the same for a body in segments. It doesn't depend on where the body is divided.
    pub fn of_segments<'a>(
        method: &str,
        host: &str,
        path: &str,
        team: Option<&TeamId>,
        body: impl IntoIterator<Item = &'a [u8]>,
    ) -> Self {
        let mut hasher = Sha256::new();
        let team = team.map_or("", |team| team.as_str());
        for field in [method, host, path, team] {
            // The length separates a field from the next one.
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        for segment in body {
            hasher.update(segment);
        }
        let hash = hasher.finalize();
        let first = hash.first_chunk().expect("a SHA-256 has 32 bytes");
        Self(u64::from_be_bytes(*first))
    }
}

impl FromStr for RequestDigest {
    type Err = RequestDigestError;

    fn from_str(text: &str) -> Result<Self, RequestDigestError> {
        // The digits are checked here because `from_str_radix` also accepts a sign.
        if text.len() != 16 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(RequestDigestError);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| RequestDigestError)
    }
}
