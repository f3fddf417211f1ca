//! One state of the platform's list, and what changed between two.

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

/// Place of an entry in the list.
pub type Key = (ListRole, SmolStr);

/// One state of the platform's list.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    entries: OrdMap<Key, ListEntry>,
    /// Invariant: a function of the entries alone; [`EMPTY_DIGEST`] just for the empty list.
    digest: u64,
}

/// What turns one list into another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// Digest of the list that it applies to.
    pub base: u64,
    /// Digest of the list that it gives.
    pub digest: u64,
    /// Entries that are new or changed.
    pub put: Vec<ListEntry>,
    /// Entries that are gone.
    pub removed: Vec<Key>,
}

/// A delta that does not give the list that it says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("the list has digest {actual:016x} where {expected:016x} was said")]
pub struct DigestMismatch {
    /// Digest that was said.
    pub expected: u64,
    /// Digest that was found.
    pub actual: u64,
}

impl Snapshot {
    /// The list that a host read.
    pub fn new(entries: impl IntoIterator<Item = ListEntry>) -> Self {
        let entries = entries.into_iter().map(|entry| (key(&entry), entry));
        Self::of(entries.collect())
    }

    fn of(entries: OrdMap<Key, ListEntry>) -> Self {
        let digest = digest(&entries);
        Self { entries, digest }
    }

    /// Digest of the list.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The entries, hosts first.
    pub fn entries(&self) -> impl Iterator<Item = &ListEntry> {
        self.entries.values()
    }

    /// State of a host or target; nothing where the list doesn't show it.
    pub fn state_of(&self, role: ListRole, name: &SmolStr) -> Option<ListState> {
        self.entries
            .get(&(role, name.clone()))
            .map(|entry| entry.state)
    }

    /// What turns `base` into this list.
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

    /// Applies a delta. One whose base is the empty list replaces all entries.
    ///
    /// # Errors
    ///
    /// The delta is for another list, or does not give the list that it says.
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
        let next = Self::of(entries);
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
            // The length keeps two texts from running into each other.
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(entry.address.to_string().as_bytes());
    }
    hasher.digest().max(EMPTY_DIGEST + 1)
}
