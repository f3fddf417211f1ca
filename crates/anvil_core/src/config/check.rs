//! Checks that a patch leaves the document consistent.
//!
//! The checks decide whether a patch is accepted. Two releases that share a schema number must give
//! the same result, so a change here needs a new schema number.

use derive_more::{
    Display,
    Error, //
};
use smol_str::SmolStr;

use super::patch::{
    Change,
    Entry,
    Key,
    Section, //
};
use crate::{
    document::{
        Document,
        Model,
        Target,
        TargetKind, //
    },
    id::{
        LayerRange,
        ModelId, //
    }, //
};

/// Reason for which a patch is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Invalid {
    /// The patch has no changes.
    #[display("the patch has no changes")]
    Empty,
    /// The name of an entry is empty.
    #[display("{section}: the name is empty")]
    EmptyName {
        /// Section of the document to which the entry belongs.
        section: Section,
    },
    /// An entry to remove does not exist.
    #[display("{key}: not found")]
    NotFound {
        /// Place of the missing entry.
        key: Key,
    },
    /// A value breaks a rule.
    #[display("{key}: {rule}")]
    Value {
        /// Place of the entry with the value.
        key: Key,
        /// Text of the rule that the value breaks.
        rule: &'static str,
    },
    /// An entry refers to another that does not exist.
    #[display("{key}: refers to {missing}, which is not configured")]
    Reference {
        /// Place of the entry that refers to the other.
        key: Key,
        /// Place of the missing entry.
        missing: Key,
    },
    /// The base version of the patch is later than the version in force.
    #[display("base version {base} is ahead of version {current}")]
    Ahead {
        /// Base version of the patch.
        base: u64,
        /// Version in force.
        current: u64,
    },
    /// The patch id was already used for a patch with other content.
    #[display("patch id {patch_id} was used for another patch")]
    PatchIdReused {
        /// Identifier of the patch.
        patch_id: SmolStr,
    },
}

/// Checks the entries that `changes` added, replaced or removed, and the entries that refer to
/// them.
pub(super) fn check(document: &Document, changes: &[Change]) -> Result<(), Invalid> {
    let mut check_references = false;
    for change in changes {
        let key = change.key();
        if key.name.is_empty() {
            return Err(Invalid::EmptyName {
                section: key.section,
            });
        }
        check_references |= matches!(key.section, Section::Model | Section::Service);
        if let Change::Put(entry) = change {
            check_value(entry)?;
        }
        check_entry_references(document, &key)?;
    }
    if check_references {
        check_all_references(document)?;
    }
    Ok(())
}

fn check_value(entry: &Entry) -> Result<(), Invalid> {
    let broken_rule = match entry {
        Entry::Model { value, .. } if value.layer_count == 0 => "layer_count must be above 0",
        Entry::Team { value, .. } if value.weight == 0 => "weight must be above 0",
        Entry::Service { value, .. } if value.timeout_ms == 0 => "timeout_ms must be above 0",
        Entry::Placement { value, .. } if value.replicas_min > value.replicas_max => {
            "replicas_min must not exceed replicas_max"
        }
        Entry::Target { value, .. } if has_empty_range(value) => "a layer range is empty",
        Entry::Model { .. }
        | Entry::Team { .. }
        | Entry::Service { .. }
        | Entry::Placement { .. }
        | Entry::Target { .. } => return Ok(()),
    };
    Err(Invalid::Value {
        key: entry.key(),
        rule: broken_rule,
    })
}

fn has_empty_range(target: &Target) -> bool {
    match &target.kind {
        TargetKind::Engine(engine) => engine
            .holds
            .iter()
            .any(|holding| holding.layers.first >= holding.layers.end),
        TargetKind::Service { .. } => false,
    }
}

fn check_all_references(document: &Document) -> Result<(), Invalid> {
    let targets = document.targets.keys().map(|name| (Section::Target, name));
    let placements = document
        .placements
        .keys()
        .map(|name| (Section::Placement, name));
    for (section, name) in targets.chain(placements) {
        check_entry_references(
            document,
            &Key {
                section,
                name: name.clone(),
            },
        )?;
    }
    Ok(())
}

fn check_entry_references(document: &Document, key: &Key) -> Result<(), Invalid> {
    match key.section {
        Section::Target => match document.targets.get(&key.name) {
            Some(target) => check_target(document, key, target),
            None => Ok(()),
        },
        Section::Placement if document.placements.contains_key(&key.name) => {
            find_model(document, key, &key.name).map(|_| ())
        }
        Section::Placement | Section::Model | Section::Team | Section::Service => Ok(()),
    }
}

fn check_target(document: &Document, key: &Key, target: &Target) -> Result<(), Invalid> {
    match &target.kind {
        TargetKind::Engine(engine) => {
            for holding in &engine.holds {
                let model = find_model(document, key, &holding.model)?;
                check_layers(key, model, holding.layers)?;
            }
            Ok(())
        }
        TargetKind::Service { service } => {
            if document.services.contains_key(service) {
                return Ok(());
            }
            Err(Invalid::Reference {
                key: key.clone(),
                missing: Key {
                    section: Section::Service,
                    name: service.clone(),
                },
            })
        }
    }
}

fn check_layers(key: &Key, model: &Model, layers: LayerRange) -> Result<(), Invalid> {
    if layers.end <= model.layer_count {
        return Ok(());
    }
    Err(Invalid::Value {
        key: key.clone(),
        rule: "a layer range exceeds the model's layer_count",
    })
}

fn find_model<'a>(document: &'a Document, key: &Key, name: &ModelId) -> Result<&'a Model, Invalid> {
    match document.models.get(name) {
        Some(model) => Ok(model),
        None => Err(Invalid::Reference {
            key: key.clone(),
            missing: Key {
                section: Section::Model,
                name: name.clone(),
            },
        }),
    }
}
