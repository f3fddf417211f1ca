//! Renders the reference pages.

use std::path::Path;

use crate::{
    events,
    outputs::GeneratedFile, //
};

/// Renders every reference page.
pub fn generated_files(logged_events: &[events::LoggedEvent]) -> Vec<GeneratedFile> {
    let pages = [
        ("settings.md", anvil_settings::reference::page()),
        ("command-line.md", anvil_command_line::reference::page()),
        ("metrics.md", anvil_observe::metrics::catalog::page()),
        ("log-events.md", events::page(logged_events)),
    ];
    pages
        .into_iter()
        .map(|(name, text)| GeneratedFile {
            path: Path::new("docs/reference").join(name),
            text,
        })
        .collect()
}
