//! The configuration after the records read so far.

use std::sync::Arc;

use imbl::{
    OrdMap,
    Vector, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest as _,
    Sha256, //
};
use smol_str::SmolStr;

use super::{
    check::{
        self,
        Invalid, //
    },
    patch::{
        Change,
        Key,
        Patch,
        PatchId, //
    },
    record::{
        DecodeError,
        Record, //
    }, //
};
use crate::{
    document::Document,
    id::{
        Offset,
        Version, //
    }, //
};

/// A SHA-256 digest. The digest of a version covers the digest of the previous version, the version
/// number and the digest of the patch.
pub type Digest = [u8; 32];

/// Limits on the history that a state keeps. They affect which patches are accepted, so every host
/// must use the same values.
pub struct Limits;

impl Limits {
    /// Number of accepted versions whose summaries are kept for diffs.
    pub const HISTORY_VERSIONS: usize = 4096;
    /// Number of patches whose verdicts are kept, so that a repeated patch gets the same verdict.
    pub const STORED_VERDICTS: usize = 4096;
}

/// Result of the evaluation of one record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The patch was accepted and came into force as a new version.
    Accepted {
        /// Number of the new version.
        version: Version,
    },
    /// The patch was written against an older version.
    Stale {
        /// Version against which the patch was written.
        base_version: Version,
        /// Version in force when the patch was evaluated.
        version: Version,
    },
    /// The patch has no changes, would leave the document inconsistent, is based on a later
    /// version, or reuses the identifier of another patch.
    Invalid {
        /// What is wrong.
        message: SmolStr,
    },
    /// The payload is not a record. Every release ignores it.
    Malformed {
        /// What is wrong.
        message: SmolStr,
    },
    /// The record's schema is newer than this release, which evaluates no further record.
    Halted(Halted),
}

/// The record at which a state stopped evaluating records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Halted {
    /// Offset of the record whose schema is unknown.
    pub offset: Offset,
    /// Schema number of that record.
    pub schema: u32,
}

/// Summary of one accepted version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of the version.
    pub version: Version,
    /// Digest of the version.
    pub digest: Digest,
    /// Offset of the patch's record.
    pub offset: Offset,
    /// Identifier of the patch.
    pub patch_id: PatchId,
    /// Author of the patch.
    pub author: SmolStr,
    /// Reason for the patch, as the author gave it.
    pub note: SmolStr,
    /// Entries that the patch added, replaced or removed, in the order of its changes.
    pub touches: Vec<Touch>,
}

/// An entry that a version added, replaced or removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Touch {
    /// Place of the entry in the document.
    pub key: Key,
    /// Whether the entry was put or removed.
    pub kind: TouchKind,
}

/// Kind of change to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TouchKind {
    /// The entry was added or replaced.
    Put,
    /// The entry was removed.
    Deleted,
}

/// Summaries of the versions after a given version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Diff {
    /// Every later version, oldest first.
    Complete(Vec<Arc<Summary>>),
    /// The given version is older than the history that is kept. Holds the later versions that are
    /// kept, oldest first.
    Truncated(Vec<Arc<Summary>>),
}

/// Relation of another host's state to this host's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// The other state has this host's version in its history, or this host has no version yet.
    Newer,
    /// The other state has the same version with the same digest.
    Same,
    /// The other state has an older version.
    Older,
    /// The histories differ, or the other state no longer keeps this host's version.
    Diverged,
}

/// Verdict on a patch, kept so that a repeat of the patch gets the same verdict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredVerdict {
    content: Digest,
    verdict: Verdict,
}

/// The configuration in force, with everything needed to evaluate the next record.
///
/// A clone shares its structure with the original, so that cloning is cheap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Number of the version in force. Invariant: increases by one with each accepted patch and
    /// never decreases.
    version: Version,
    /// Digest of the version in force. Invariant: depends only on the accepted patches.
    digest: Digest,
    document: Arc<Document>,
    /// Invariant: above the offset of every record evaluated, except one that halted the state.
    next_offset: Offset,
    /// Record at which evaluation stopped, if any. Invariant: while set, no record is evaluated.
    #[serde(skip)]
    halted: Option<Halted>,
    /// Summaries of accepted versions. Invariant: the versions are consecutive and end at
    /// `version`.
    history: Vector<Arc<Summary>>,
    /// Verdicts on evaluated patches. Invariant: holds exactly the patches in `judged_order`.
    judged: OrdMap<PatchId, StoredVerdict>,
    /// Evaluated patches, oldest first. Invariant: at most [`Limits::STORED_VERDICTS`].
    judged_order: Vector<PatchId>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            version: 0,
            digest: [0; 32],
            document: Arc::default(),
            next_offset: 0,
            halted: None,
            history: Vector::new(),
            judged: OrdMap::new(),
            judged_order: Vector::new(),
        }
    }
}

impl State {
    /// Returns the number of the version in force.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the digest of the version in force, which covers all earlier versions.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the document in force.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Returns the offset of the next record to evaluate.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the record at which evaluation stopped, or `None` if it has not stopped.
    pub fn halted(&self) -> Option<Halted> {
        self.halted
    }

    /// Returns the summaries of the accepted versions that are kept, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Arc<Summary>> {
        self.history.iter()
    }

    /// Returns the verdict on a patch, or `None` if the patch was not evaluated or its verdict is
    /// no longer kept.
    pub fn verdict(&self, patch_id: &str) -> Option<&Verdict> {
        self.judged.get(patch_id).map(|stored| &stored.verdict)
    }

    /// Returns the relation of `other` to this state.
    pub fn relation(&self, other: &Self) -> Relation {
        if other.version < self.version {
            return Relation::Older;
        }
        if other.version == self.version {
            return if other.digest == self.digest {
                Relation::Same
            } else {
                Relation::Diverged
            };
        }
        if self.version == 0 {
            return Relation::Newer;
        }
        let summary = other
            .history
            .iter()
            .find(|summary| summary.version == self.version);
        match summary {
            Some(summary) if summary.digest == self.digest => Relation::Newer,
            Some(_) | None => Relation::Diverged,
        }
    }

    /// Returns the summaries of the versions after `base`.
    pub fn diff_since(&self, base: Version) -> Diff {
        let newer: Vec<_> = self
            .history
            .iter()
            .filter(|summary| summary.version > base)
            .cloned()
            .collect();
        let first_missing = base.saturating_add(1);
        match newer.first() {
            Some(oldest) if oldest.version > first_missing => Diff::Truncated(newer),
            None if self.version > base => Diff::Truncated(newer),
            Some(_) | None => Diff::Complete(newer),
        }
    }

    /// Evaluates the record at `offset` and applies its patch if it is accepted.
    ///
    /// # Panics
    ///
    /// Panics if a record at `offset` or later was already evaluated.
    pub fn apply(&mut self, offset: Offset, payload: &[u8]) -> Verdict {
        assert!(
            offset >= self.next_offset,
            "record at offset {offset} evaluated twice or out of order: next offset is {}",
            self.next_offset
        );
        if let Some(halted) = self.halted {
            return Verdict::Halted(halted);
        }
        match Record::decode(payload) {
            Ok(Record::Patch(patch)) => {
                self.next_offset = offset + 1;
                self.evaluate(offset, &patch)
            }
            Err(DecodeError::Malformed { message }) => {
                self.next_offset = offset + 1;
                Verdict::Malformed {
                    message: message.into(),
                }
            }
            Err(DecodeError::UnknownSchema { schema }) => {
                let halted = Halted { offset, schema };
                self.halted = Some(halted);
                Verdict::Halted(halted)
            }
        }
    }

    fn evaluate(&mut self, offset: Offset, patch: &Patch) -> Verdict {
        let content = content_digest(patch);
        if let Some(stored) = self.judged.get(&patch.patch_id) {
            if stored.content == content {
                return stored.verdict.clone();
            }
            return invalid(&Invalid::PatchIdReused {
                patch_id: patch.patch_id.clone(),
            });
        }
        let verdict = match self.accept(offset, patch, &content) {
            Ok(verdict) => verdict,
            Err(error) => invalid(&error),
        };
        self.store_verdict(patch.patch_id.clone(), content, verdict.clone());
        verdict
    }

    fn accept(
        &mut self,
        offset: Offset,
        patch: &Patch,
        content: &Digest,
    ) -> Result<Verdict, Invalid> {
        if patch.base_version < self.version {
            return Ok(Verdict::Stale {
                base_version: patch.base_version,
                version: self.version,
            });
        }
        if patch.base_version > self.version {
            return Err(Invalid::Ahead {
                base: patch.base_version,
                current: self.version,
            });
        }
        let document = self.apply_changes(patch)?;
        let version = self.version + 1;
        self.document = Arc::new(document);
        self.digest = chain(&self.digest, version, content);
        self.version = version;
        self.push_history(offset, patch);
        Ok(Verdict::Accepted { version })
    }

    fn apply_changes(&self, patch: &Patch) -> Result<Document, Invalid> {
        if patch.changes.is_empty() {
            return Err(Invalid::Empty);
        }
        let mut document = Document::clone(&self.document);
        for change in &patch.changes {
            if !change.apply(&mut document) {
                return Err(Invalid::NotFound { key: change.key() });
            }
        }
        check::check(&document, &patch.changes)?;
        Ok(document)
    }

    fn push_history(&mut self, offset: Offset, patch: &Patch) {
        let touches = patch.changes.iter().map(Touch::of).collect();
        self.history.push_back(Arc::new(Summary {
            version: self.version,
            digest: self.digest,
            offset,
            patch_id: patch.patch_id.clone(),
            author: patch.author.clone(),
            note: patch.note.clone(),
            touches,
        }));
        if self.history.len() > Limits::HISTORY_VERSIONS {
            self.history.pop_front();
        }
    }

    fn store_verdict(&mut self, patch_id: PatchId, content: Digest, verdict: Verdict) {
        self.judged_order.push_back(patch_id.clone());
        self.judged
            .insert(patch_id, StoredVerdict { content, verdict });
        if self.judged_order.len() > Limits::STORED_VERDICTS
            && let Some(oldest) = self.judged_order.pop_front()
        {
            self.judged.remove(&oldest);
        }
        assert_eq!(
            self.judged.len(),
            self.judged_order.len(),
            "number of stored verdicts differs from the length of their order"
        );
    }
}

impl Touch {
    fn of(change: &Change) -> Self {
        Self {
            key: change.key(),
            kind: match change {
                Change::Put(_) => TouchKind::Put,
                Change::Delete(_) => TouchKind::Deleted,
            },
        }
    }
}

fn invalid(error: &Invalid) -> Verdict {
    Verdict::Invalid {
        message: error.to_string().into(),
    }
}

/// Returns the digest of a patch as this release decoded it. A release that decodes the patch
/// differently gets another digest, so the difference is detected.
fn content_digest(patch: &Patch) -> Digest {
    Sha256::digest(Record::Patch(patch.clone()).encode()).into()
}

fn chain(previous: &Digest, version: Version, content: &Digest) -> Digest {
    Sha256::new()
        .chain_update(previous)
        .chain_update(version.to_be_bytes())
        .chain_update(content)
        .finalize()
        .into()
}
