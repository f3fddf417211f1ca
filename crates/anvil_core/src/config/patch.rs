//! Patches: sets of changes to a version of the configuration.

use std::sync::Arc;

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;

use crate::{
    document::{
        Document,
        Model,
        Placement,
        Service,
        Target,
        Team, //
    },
    id::Version, //
};

/// Identifier of a patch, chosen by its author. It must be unique over all patches.
pub type PatchId = SmolStr;

/// Changes to the configuration that come into force together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Identifier of the patch. A repeat of the patch under the same identifier never creates a
    /// second version.
    pub patch_id: PatchId,
    /// Version of the configuration against which the patch was written.
    pub base_version: Version,
    /// Author of the patch.
    #[serde(default)]
    pub author: SmolStr,
    /// Reason for the patch.
    #[serde(default)]
    pub note: SmolStr,
    /// Changes, applied in order.
    pub changes: Vec<Change>,
}

/// One change to the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Adds an entry or replaces it.
    Put(Entry),
    /// Removes an entry.
    Delete(Key),
}

/// An entry of the document together with its name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// A model that can be served.
    Model {
        /// Name of the model.
        name: SmolStr,
        /// The model.
        value: Arc<Model>,
    },
    /// A team and its limits.
    Team {
        /// Name of the team.
        name: SmolStr,
        /// The team.
        value: Arc<Team>,
    },
    /// A trusted target.
    Target {
        /// Name of the target.
        name: SmolStr,
        /// The target.
        value: Arc<Target>,
    },
    /// A plain service.
    Service {
        /// Name of the service.
        name: SmolStr,
        /// The service.
        value: Arc<Service>,
    },
    /// Placement bounds of a model.
    Placement {
        /// Name of the model.
        name: SmolStr,
        /// The placement bounds.
        value: Arc<Placement>,
    },
}

impl Entry {
    /// Returns the entry's place in the document.
    pub fn key(&self) -> Key {
        let (section, name) = match self {
            Self::Model { name, .. } => (Section::Model, name),
            Self::Team { name, .. } => (Section::Team, name),
            Self::Target { name, .. } => (Section::Target, name),
            Self::Service { name, .. } => (Section::Service, name),
            Self::Placement { name, .. } => (Section::Placement, name),
        };
        Key {
            section,
            name: name.clone(),
        }
    }
}

/// Place of an entry in the document.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[display("{section} {name}")]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Section that contains the entry.
    pub section: Section,
    /// Name of the entry within the section.
    pub name: SmolStr,
}

/// A section of the document.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display,
)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Section {
    /// Entries of [`Document::models`].
    Model,
    /// Entries of [`Document::teams`].
    Team,
    /// Entries of [`Document::targets`].
    Target,
    /// Entries of [`Document::services`].
    Service,
    /// Entries of [`Document::placements`].
    Placement,
}

impl Change {
    /// Returns the place of the entry that the change adds, replaces or removes.
    pub fn key(&self) -> Key {
        match self {
            Self::Put(entry) => entry.key(),
            Self::Delete(key) => key.clone(),
        }
    }

    /// Applies the change to `document`. Returns `false` if an entry to remove does not exist.
    pub fn apply(&self, document: &mut Document) -> bool {
        match self {
            Self::Put(entry) => {
                put(document, entry);
                true
            }
            Self::Delete(key) => delete(document, key),
        }
    }
}

fn put(document: &mut Document, entry: &Entry) {
    match entry {
        Entry::Model { name, value } => {
            document.models.insert(name.clone(), value.clone());
        }
        Entry::Team { name, value } => {
            document.teams.insert(name.clone(), value.clone());
        }
        Entry::Target { name, value } => {
            document.targets.insert(name.clone(), value.clone());
        }
        Entry::Service { name, value } => {
            document.services.insert(name.clone(), value.clone());
        }
        Entry::Placement { name, value } => {
            document.placements.insert(name.clone(), value.clone());
        }
    }
}

fn delete(document: &mut Document, key: &Key) -> bool {
    match key.section {
        Section::Model => document.models.remove(&key.name).is_some(),
        Section::Team => document.teams.remove(&key.name).is_some(),
        Section::Target => document.targets.remove(&key.name).is_some(),
        Section::Service => document.services.remove(&key.name).is_some(),
        Section::Placement => document.placements.remove(&key.name).is_some(),
    }
}
