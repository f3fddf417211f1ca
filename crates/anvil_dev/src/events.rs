//! Collects the log events from the sources and compares them with the table in `anvil_observe`
//! that describes them.
//!
//! The name of an event is the first string literal of a `spdlog` macro or the first argument of
//! `Decision::new`. Its fields are the keys in the macro's `kv`.

use std::{
    collections::BTreeMap,
    fs,
    path::{
        Path,
        PathBuf, //
    }, //
};

use anvil_observe::events::EVENTS;
use proc_macro2::{
    Delimiter,
    TokenStream,
    TokenTree, //
};

use crate::outputs::{
    GenerateError,
    read, //
};

/// Names of the `spdlog` macros that log an event, which are also the levels.
const LEVELS: [&str; 6] = ["critical", "error", "warn", "info", "debug", "trace"];
/// Fields of each line that logs a decision.
const DECISION_FIELDS: [&str; 5] = ["request", "attempt", "chosen", "runner_up", "reason"];

/// An event that a source file logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoggedEvent {
    /// The name, such as `host.starting`.
    pub name: String,
    /// The level, one of [`LEVELS`].
    pub level: &'static str,
    /// The field names, in the order of the source.
    pub fields: Vec<String>,
    /// The source file, relative to the repository root.
    pub path: PathBuf,
}

/// Collects the events that the sources log, sorted by name and file, each once per file.
///
/// # Errors
///
/// Returns an error if a source file can't be read or is not Rust.
pub fn logged_events(root: &Path) -> Result<Vec<LoggedEvent>, GenerateError> {
    let mut found = Vec::new();
    let crate_files = source_files(&root.join("crates"));
    for path in crate_files
        .into_iter()
        .chain(source_files(&root.join("platform")))
    {
        let text = read(&path)?;
        let tokens: TokenStream = text.parse().map_err(|error| GenerateError::Invalid {
            path: path.clone(),
            message: format!("can't parse as Rust: {error}"),
        })?;
        let relative = path.strip_prefix(root).unwrap_or(&path).to_owned();
        collect_events(tokens, &relative, &mut found);
    }
    found.sort_by(|left, right| (&left.name, &left.path).cmp(&(&right.name, &right.path)));
    found.dedup_by(|left, right| left.name == right.name && left.path == right.path);
    Ok(found)
}

/// Lists the Rust sources under a directory, without tests, examples, generated code, build output
/// and this tool. A directory that can't be read counts as empty.
fn source_files(directory: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    let Ok(entries) = fs::read_dir(directory) else {
        return found;
    };
    for path in entries.filter_map(|entry| Some(entry.ok()?.path())) {
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        if path.is_dir() {
            let skipped = ["tests", "target", "generated", "examples", "anvil_dev"];
            if !skipped.contains(&&*name) {
                found.extend(source_files(&path));
            }
        } else if name.ends_with(".rs") && name != "tests.rs" {
            found.push(path);
        }
    }
    found.sort();
    found
}

fn collect_events(tokens: TokenStream, path: &Path, found: &mut Vec<LoggedEvent>) {
    let tokens: Vec<_> = tokens.into_iter().collect();
    for (index, token) in tokens.iter().enumerate() {
        let TokenTree::Group(group) = token else {
            continue;
        };
        let preceding = &tokens[..index];
        if group.delimiter() == Delimiter::Parenthesis {
            if let Some(level) = macro_level(preceding) {
                found.extend(macro_event(group.stream(), level, path));
            } else if is_decision(preceding) {
                found.extend(decision_event(group.stream(), path));
            }
        }
        collect_events(group.stream(), path, found);
    }
}

/// Returns the level if the tokens end in `spdlog::LEVEL!`, and `None` otherwise.
fn macro_level(preceding: &[TokenTree]) -> Option<&'static str> {
    let [.., crate_name, _, _, level, bang] = preceding else {
        return None;
    };
    if crate_name.to_string() != "spdlog" || bang.to_string() != "!" {
        return None;
    }
    let level = level.to_string();
    LEVELS.into_iter().find(|known| *known == level)
}

/// Returns whether the tokens end in `Decision::new`.
fn is_decision(preceding: &[TokenTree]) -> bool {
    let [.., name, first_colon, second_colon, method] = preceding else {
        return false;
    };
    let path = format!("{name}{first_colon}{second_colon}{method}");
    path == "Decision::new"
}

fn string_literal(token: &TokenTree) -> Option<String> {
    let TokenTree::Literal(literal) = token else {
        return None;
    };
    let text: syn::LitStr = syn::parse_str(&literal.to_string()).ok()?;
    Some(text.value())
}

fn macro_event(stream: TokenStream, level: &'static str, path: &Path) -> Option<LoggedEvent> {
    let tokens: Vec<_> = stream.into_iter().collect();
    let name = tokens.iter().find_map(string_literal)?;
    if name.contains('{') {
        return None;
    }
    let fields = tokens.iter().rev().find_map(|token| match token {
        TokenTree::Group(group) if group.delimiter() == Delimiter::Brace => {
            Some(field_names(group.stream()))
        }
        _ => None,
    });
    Some(LoggedEvent {
        name,
        level,
        fields: fields.unwrap_or_default(),
        path: path.to_owned(),
    })
}

fn decision_event(stream: TokenStream, path: &Path) -> Option<LoggedEvent> {
    let name = string_literal(&stream.into_iter().next()?)?;
    Some(LoggedEvent {
        name,
        level: "info",
        fields: DECISION_FIELDS.map(str::to_owned).to_vec(),
        path: path.to_owned(),
    })
}

/// Returns the identifier at the start of each comma-separated part.
fn field_names(stream: TokenStream) -> Vec<String> {
    let mut names = Vec::new();
    let mut at_start = true;
    for token in stream {
        match token {
            TokenTree::Ident(name) if at_start => {
                names.push(name.to_string());
                at_start = false;
            }
            TokenTree::Punct(punct) if punct.as_char() == ',' => at_start = true,
            _ => at_start = false,
        }
    }
    names
}

/// Returns a message for each logged event without a description, and for each description without
/// a logged event.
pub fn problems(logged_events: &[LoggedEvent]) -> Vec<String> {
    let undescribed = logged_events
        .iter()
        .filter(|event| !EVENTS.iter().any(|described| described.name == event.name))
        .map(|event| {
            format!(
                "{}: event `{}` has no description in crates/anvil_observe/src/events.rs",
                event.path.display(),
                event.name
            )
        });
    let unlogged = EVENTS
        .iter()
        .filter(|described| {
            !logged_events
                .iter()
                .any(|event| event.name == described.name)
        })
        .map(|described| {
            format!(
                "crates/anvil_observe/src/events.rs: no source logs `{}`",
                described.name
            )
        });
    undescribed.chain(unlogged).collect()
}

/// Renders `docs/reference/log-events.md`.
pub fn page(logged_events: &[LoggedEvent]) -> String {
    let mut by_name: BTreeMap<&str, Vec<&LoggedEvent>> = BTreeMap::new();
    for event in logged_events {
        by_name.entry(&event.name).or_default().push(event);
    }
    let mut page = String::from(
        "# Log events\n\nGenerated by `anvil_dev generate`; do not edit.\n\n\
         Event names are stable across releases. Lines about a request carry its ID as `request`.\n\
         After the rate limit dropped lines of an event, its next line gives their number as\n\
         `suppressed_lines`.\n\n\
         | Event | Level | Fields | When |\n|---|---|---|---|\n",
    );
    for (name, events) in by_name {
        let meaning = EVENTS
            .iter()
            .find(|described| described.name == name)
            .map_or("", |described| described.meaning);
        let levels = join_unique(events.iter().map(|event| event.level));
        let fields = join_unique(
            events
                .iter()
                .flat_map(|event| event.fields.iter().map(String::as_str)),
        );
        page.push_str(&format!("| `{name}` | {levels} | {fields} | {meaning} |\n"));
    }
    page
}

/// Joins the words with commas in order of appearance, each once.
fn join_unique<'a>(words: impl Iterator<Item = &'a str>) -> String {
    let mut unique: Vec<&str> = Vec::new();
    for word in words {
        if !unique.contains(&word) {
            unique.push(word);
        }
    }
    unique.join(", ")
}

#[cfg(test)]
mod tests;
