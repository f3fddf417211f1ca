//! Claims on calls that must run at most once. The claims on the platform's log decide which host
//! may send a call.
//!
//! Records of a shard's stream are applied to an [`Index`] in offset order; the first claim for a
//! key wins. [`claimant`] defines what the winner may do, and when.

pub mod claimant;
mod index;
mod key;
mod record;

pub use index::{
    Applied,
    Gap,
    Index,
    KeyStatus,
    OpenClaim, //
};
pub use key::{
    Key,
    KeyHash,
    RequestDigest,
    SHARD_COUNT,
    Shard,
    request_digest,
    shard_of, //
};
pub use record::{
    Answer,
    AnswerBody,
    ClaimId,
    Record,
    Ruling, //
};

use std::time::Duration;

/// Limits on claims. Every host of a fleet must use the same values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time from the creation of the claim that holds a key until the key expires. Invariant: above
    /// `send_window`, and below the log's retention.
    pub key_life: Duration,
    /// Longest time between the arrival of a caller's request and the sending of its call.
    pub send_window: Duration,
    /// Longest time to wait until an appended record is read back from the log. Invariant: below
    /// `send_window`.
    pub read_back_timeout: Duration,
    /// Largest response body that is stored with an outcome.
    pub answer_limit_bytes: usize,
    /// Sustained rate of appends to one shard's stream. Invariant: above 0.
    pub append_rate_per_s: u32,
    /// Number of appends to one shard's stream that may be made without delay after a pause.
    /// Invariant: above 0.
    pub append_burst: u32,
    /// Age from which an operator may settle a claim. Invariant: above `send_window`.
    pub settle_age: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            key_life: Duration::from_secs(30 * 60),
            send_window: Duration::from_secs(10),
            read_back_timeout: Duration::from_secs(3),
            answer_limit_bytes: 64 << 10,
            append_rate_per_s: 9,
            append_burst: 8,
            settle_age: Duration::from_secs(60),
        }
    }
}

impl Settings {
    /// Checks the invariants of the fields.
    ///
    /// # Errors
    ///
    /// Returns the text of the first rule that is broken.
    pub fn check(&self) -> Result<(), &'static str> {
        if self.key_life <= self.send_window {
            return Err("key_life must be above send_window");
        }
        if self.settle_age <= self.send_window {
            return Err("settle_age must be above send_window");
        }
        if self.read_back_timeout >= self.send_window {
            return Err("read_back_timeout must be below send_window");
        }
        if self.append_rate_per_s == 0 || self.append_burst == 0 {
            return Err("append_rate_per_s and append_burst must be above 0");
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
