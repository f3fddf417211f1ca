//! Submits patches for operators: append, then read the verdict back.

use std::time::Duration;

use anvil_core::{
    config::{
        Diff,
        Patch,
        PatchId,
        Record,
        Verdict, //
    },
    id::Version, //
};
use tokio::time::Instant;

use super::follower::Handle;
use crate::port::CallErrorKind;

/// Pause between two tries of an append.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Longest wait for one append's answer.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// What became of a patch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PatchOutcome {
    /// It is in force as this version.
    Accepted {
        /// The version.
        version: Version,
    },
    /// It was written against an older version and is not in force.
    Stale {
        /// Version that it was judged at.
        version: Version,
        /// What changed since its base.
        diff: Diff,
    },
    /// It would leave the document inconsistent and is not in force.
    Invalid {
        /// What is wrong.
        message: String,
    },
    /// It may be on the log: ask again by its id, or submit it again under the same id.
    Unknown {
        /// Its id.
        patch_id: PatchId,
    },
    /// It is not on the log and never will be.
    NotAppended {
        /// Why.
        message: String,
    },
}

/// Whether a patch may be on the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Appended {
    No,
    Maybe,
}

impl Handle {
    /// Submits a patch and waits for the verdict.
    ///
    /// A lost append answer never makes two versions: the append is repeated under the same patch
    /// id, and all copies get the first one's verdict.
    pub async fn submit(&self, patch: Patch) -> PatchOutcome {
        let until = Instant::now() + self.settings().submit_timeout;
        if let Some(known) = self.patch_outcome(&patch.patch_id, patch.base_version) {
            return known;
        }
        let payload = Record::Patch(patch.clone()).encode();
        let mut appended = Appended::No;
        let mut message = "the log gave no answer in time".to_owned();
        while Instant::now() < until {
            let append = self.log().append(self.stream(), vec![payload.clone()]);
            let kind = match tokio::time::timeout(APPEND_TIMEOUT, append).await {
                Ok(Ok(_)) => return self.read_back(&patch, until).await,
                Ok(Err(error)) => {
                    message = error.to_string();
                    error.kind
                }
                Err(_) => CallErrorKind::AnswerLost,
            };
            if kind == CallErrorKind::AnswerLost {
                appended = Appended::Maybe;
                let soon = Instant::now() + RETRY_PAUSE;
                let submitted = self.read_back(&patch, soon.min(until)).await;
                if !matches!(submitted, PatchOutcome::Unknown { .. }) {
                    return submitted;
                }
            } else {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
        match appended {
            Appended::No => PatchOutcome::NotAppended { message },
            Appended::Maybe => PatchOutcome::Unknown {
                patch_id: patch.patch_id,
            },
        }
    }

    /// Tells what became of a patch that was submitted earlier, if its verdict is still kept.
    pub fn patch_outcome(&self, patch_id: &str, base_version: Version) -> Option<PatchOutcome> {
        let state = self.state();
        let submitted = match state.verdict(patch_id)? {
            Verdict::Accepted { version } => PatchOutcome::Accepted { version: *version },
            Verdict::Stale { version, .. } => PatchOutcome::Stale {
                version: *version,
                diff: state.diff_since(base_version),
            },
            Verdict::Invalid { message } | Verdict::Malformed { message } => {
                PatchOutcome::Invalid {
                    message: message.to_string(),
                }
            }
            Verdict::Halted(_) => return None,
        };
        Some(submitted)
    }

    async fn read_back(&self, patch: &Patch, until: Instant) -> PatchOutcome {
        let mut changes = self.changes();
        loop {
            if let Some(known) = self.patch_outcome(&patch.patch_id, patch.base_version) {
                return known;
            }
            if !matches!(
                tokio::time::timeout_at(until, changes.changed()).await,
                Ok(Ok(()))
            ) {
                return PatchOutcome::Unknown {
                    patch_id: patch.patch_id.clone(),
                };
            }
        }
    }
}
