//! Submits patches for operators: appends a patch to the log, then waits for its verdict.

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

/// Pause between two attempts to append.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Longest wait for the log's answer to one append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of submitting a patch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PatchOutcome {
    /// The patch was accepted as this version.
    Accepted {
        /// Version that the patch made.
        version: Version,
    },
    /// The patch was written against an older version and is not in force.
    Stale {
        /// Version at which the patch was evaluated.
        version: Version,
        /// What changed since the base version of the patch.
        diff: Diff,
    },
    /// The patch would make the document inconsistent and is not in force.
    Invalid {
        /// What is wrong, for the operator.
        message: String,
    },
    /// The patch may be on the log. The caller can ask for the result by its id, or submit it again
    /// under the same id.
    Unknown {
        /// Id of the patch.
        patch_id: PatchId,
    },
    /// The patch is not on the log and never will be.
    NotAppended {
        /// Why the last append failed, for the operator.
        message: String,
    },
}

/// Whether one of the appends may have put the patch on the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Appended {
    No,
    Maybe,
}

impl Handle {
    /// Submits a patch and waits for the verdict.
    ///
    /// If the answer to an append is lost, the append is repeated under the same patch id. That
    /// never makes two versions, since all copies get the verdict of the first one.
    pub async fn submit(&self, patch: Patch) -> PatchOutcome {
        let deadline = Instant::now() + self.settings().submit_timeout;
        if let Some(outcome) = self.patch_outcome(&patch.patch_id, patch.base_version) {
            return outcome;
        }
        let payload = Record::Patch(patch.clone()).encode();
        let mut appended = Appended::No;
        let mut message = "the log gave no answer in time".to_owned();
        while Instant::now() < deadline {
            let append = self.log().append(self.stream(), vec![payload.clone()]);
            let kind = match tokio::time::timeout(APPEND_TIMEOUT, append).await {
                Ok(Ok(_)) => return self.wait_for_verdict(&patch, deadline).await,
                Ok(Err(error)) => {
                    message = error.to_string();
                    error.kind
                }
                Err(_) => CallErrorKind::AnswerLost,
            };
            if kind == CallErrorKind::AnswerLost {
                appended = Appended::Maybe;
                let retry_at = Instant::now() + RETRY_PAUSE;
                let outcome = self.wait_for_verdict(&patch, retry_at.min(deadline)).await;
                if !matches!(outcome, PatchOutcome::Unknown { .. }) {
                    return outcome;
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

    /// Returns the result of a patch that was submitted earlier, or `None` if its verdict is no
    /// longer kept or not known yet.
    pub fn patch_outcome(&self, patch_id: &str, base_version: Version) -> Option<PatchOutcome> {
        let state = self.state();
        let outcome = match state.verdict(patch_id)? {
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
        Some(outcome)
    }

    async fn wait_for_verdict(&self, patch: &Patch, deadline: Instant) -> PatchOutcome {
        let mut changes = self.changes();
        loop {
            if let Some(outcome) = self.patch_outcome(&patch.patch_id, patch.base_version) {
                return outcome;
            }
            if !matches!(
                tokio::time::timeout_at(deadline, changes.changed()).await,
                Ok(Ok(()))
            ) {
                return PatchOutcome::Unknown {
                    patch_id: patch.patch_id.clone(),
                };
            }
        }
    }
}
