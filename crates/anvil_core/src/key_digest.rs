//! Digest of a bearer key. The configuration holds the digest and never the key itself.

use std::{
    fmt,
    str::FromStr, //
};

use derive_more::{
    Display,
    Error, //
};
use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer,
    de, //
};
use sha2::{
    Digest,
    Sha256, //
};

#[cfg(test)]
mod tests;

const DIGEST_BYTES: usize = 32;

/// SHA-256 of a bearer key. It is displayed and serialised as hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// Error for a text that is not a SHA-256 digest in hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("a key digest must be 64 hexadecimal digits, as sha256sum prints it")]
pub struct KeyDigestError;

impl KeyDigest {
    /// Returns the digest of a bearer key.
    pub fn of(bearer_key: &str) -> Self {
        Self(Sha256::digest(bearer_key.as_bytes()).into())
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl FromStr for KeyDigest {
    type Err = KeyDigestError;

    fn from_str(text: &str) -> Result<Self, KeyDigestError> {
        // The digits are checked here because `from_str_radix` also accepts a sign.
        if text.len() != 2 * DIGEST_BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(KeyDigestError);
        }
        let mut digest = [0; DIGEST_BYTES];
        for (index, byte) in digest.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| KeyDigestError)?;
        }
        Ok(Self(digest))
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = smol_str::SmolStr::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}
