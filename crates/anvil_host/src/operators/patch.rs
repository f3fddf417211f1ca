//! Converts an operator's patch into changes of the configuration.

use anvil_core::{
    config::{
        Change,
        Entry,
        Key,
        Patch,
        Section, //
    },
    document::Document, //
};
use anvil_wire::generated::operators as wire;
use smol_str::SmolStr;

/// Converts an operator's request into a patch.
///
/// # Errors
///
/// The id is empty, `put` can't be read, or the patch changes nothing. The text is sent to the
/// operator.
pub fn from_wire(request: wire::SubmitRequest) -> Result<Patch, String> {
    if request.patch_id.trim().is_empty() {
        return Err("patch_id is empty".to_owned());
    }
    let put: Document = match request.put {
        Some(put) => document(put)?,
        None => Document::default(),
    };
    let mut changes: Vec<_> = entries(put).map(Change::Put).collect();
    changes.extend(
        request
            .delete
            .into_iter()
            .flat_map(deletions)
            .map(Change::Delete),
    );
    if changes.is_empty() {
        return Err("the patch changes nothing".to_owned());
    }
    Ok(Patch {
        patch_id: request.patch_id,
        base_version: request.base_version,
        author: request.author.unwrap_or_default(),
        note: request.note.unwrap_or_default(),
        changes,
    })
}

fn document(put: serde_json::Value) -> Result<Document, String> {
    serde_json::from_value(put).map_err(|error| format!("put: {error}"))
}

/// Returns the entries to put; an entry comes before those that refer to it.
fn entries(put: Document) -> impl Iterator<Item = Entry> {
    let models = put.models.into_iter();
    let services = put.services.into_iter();
    let targets = put.targets.into_iter();
    let placements = put.placements.into_iter();
    let teams = put.teams.into_iter();
    models
        .map(|(name, value)| Entry::Model { name, value })
        .chain(services.map(|(name, value)| Entry::Service { name, value }))
        .chain(targets.map(|(name, value)| Entry::Target { name, value }))
        .chain(placements.map(|(name, value)| Entry::Placement { name, value }))
        .chain(teams.map(|(name, value)| Entry::Team { name, value }))
}

/// Returns the keys to delete; an entry comes after those that refer to it.
fn deletions(delete: wire::Deletions) -> impl Iterator<Item = Key> {
    let section =
        |section, names: Vec<SmolStr>| names.into_iter().map(move |name| Key { section, name });
    section(Section::Team, delete.teams)
        .chain(section(Section::Placement, delete.placements))
        .chain(section(Section::Target, delete.targets))
        .chain(section(Section::Service, delete.services))
        .chain(section(Section::Model, delete.models))
}

#[cfg(test)]
mod tests;
