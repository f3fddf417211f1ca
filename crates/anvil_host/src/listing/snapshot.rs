//! A state of the platform's list, and the delta between two states.

use derive_more::{
    Display,
    Error, //
};
use imbl::{
    OrdMap,
    ordmap::DiffItem, //
};
use smol_str::SmolStr;
use xxhash_rust::xxh3::Xxh3;

use crate::port::{
    ListEntry,
    ListRole,
    ListState, //
};

/// Digest of the empty list.
pub const EMPTY_DIGEST: u64 = 0;

/// Identifies an entry of the list. The order of keys puts hosts before targets.
pub type Key = (ListRole, SmolStr);

/// A state of the platform's list. Clones share memory.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    entries: OrdMap<Key, ListEntry>,
    /// Digest of the entries. Invariant: depends on the entries alone, and is [`EMPTY_DIGEST`] only
    /// for the empty list.
    digest: u64,
}

/// Changes that turn one list into another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// Digest of the list to which the delta applies; [`EMPTY_DIGEST`] applies to any list and
    /// replaces it.
    pub base: u64,
    /// Digest of the resulting list.
    pub digest: u64,
    /// Entries that are new or changed.
    pub put: Vec<ListEntry>,
    /// Keys of the entries that were removed.
    pub removed: Vec<Key>,
}

/// A delta was applied to another list than its base, or did not result in the list that it states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("the list has digest {actual:016x}, expected {expected:016x}")]
pub struct DigestMismatch {
    /// Digest that the delta states.
    pub expected: u64,
    /// Digest of the list at hand.
    pub actual: u64,
}

impl Snapshot {
    /// Creates a list. Of several entries with one role and name the last is kept.
    pub fn new(entries: impl IntoIterator<Item = ListEntry>) -> Self {
        let entries = entries.into_iter().map(|entry| (key(&entry), entry));
        Self::from_entries(entries.collect())
    }

    fn from_entries(entries: OrdMap<Key, ListEntry>) -> Self {
        let digest = digest(&entries);
        Self { entries, digest }
    }

    /// Returns the digest of the list, which is the same for equal entries.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the entries, hosts first.
    pub fn entries(&self) -> impl Iterator<Item = &ListEntry> {
        self.entries.values()
    }

    /// Returns the state of a host or target, or `None` if it is not on the list.
    pub fn state_of(&self, role: ListRole, name: &SmolStr) -> Option<ListState> {
        self.entries
            .get(&(role, name.clone()))
            .map(|entry| entry.state)
    }

    /// Returns the delta from `base` to this list.
    pub fn delta_from(&self, base: &Self) -> Delta {
        let mut delta = Delta {
            base: base.digest,
            digest: self.digest,
            put: Vec::new(),
            removed: Vec::new(),
        };
        for change in base.entries.diff(&self.entries) {
            match change {
                DiffItem::Add(_, entry) => delta.put.push(entry.clone()),
                DiffItem::Update { new, .. } => delta.put.push(new.1.clone()),
                DiffItem::Remove(key, _) => delta.removed.push(key.clone()),
            }
        }
        delta
    }

    /// Returns this list with a delta applied. A delta whose base is the empty list replaces all
    /// entries.
    ///
    /// # Errors
    ///
    /// The delta applies to another list, or the result does not have the digest that it states.
    pub fn apply(&self, delta: Delta) -> Result<Self, DigestMismatch> {
        let mut entries = match delta.base {
            EMPTY_DIGEST => OrdMap::new(),
            base if base == self.digest => self.entries.clone(),
            base => {
                return Err(DigestMismatch {
                    expected: base,
                    actual: self.digest,
                });
            }
        };
        for key in &delta.removed {
            entries.remove(key);
        }
        for entry in delta.put {
            entries.insert(key(&entry), entry);
        }
        let next = Self::from_entries(entries);
        if next.digest != delta.digest {
            return Err(DigestMismatch {
                expected: delta.digest,
                actual: next.digest,
            });
        }
        Ok(next)
    }
}

fn key(entry: &ListEntry) -> Key {
    (entry.role, entry.name.clone())
}

fn digest(entries: &OrdMap<Key, ListEntry>) -> u64 {
    if entries.is_empty() {
        return EMPTY_DIGEST;
    }
    let mut hasher = Xxh3::new();
    for entry in entries.values() {
        let role = match entry.role {
            ListRole::Host => b'h',
            ListRole::Target => b't',
        };
        let state = match entry.state {
            ListState::Live => b'+',
            ListState::Leaving => b'-',
        };
        hasher.update(&[role, state]);
        for text in [&entry.name, &entry.data_centre] {
            // The length marks where one text ends and the next begins.
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(entry.address.to_string().as_bytes());
    }
    hasher.digest().max(EMPTY_DIGEST + 1)
}
