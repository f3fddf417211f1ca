//! Log events: found in the sources, described by the table in `anvil_observe`.
//!
//! An event is the literal text of a `spdlog` macro, or of the first argument of
//! `Decision::new`; its fields are the keys of the macro's `kv`.

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

const LEVELS: [&str; 6] = ["critical", "error", "warn", "info", "debug", "trace"];
/// Fields of a decision's line.
const DECISION_FIELDS: [&str; 5] = ["request", "attempt", "chosen", "runner_up", "reason"];

/// An event that the sources log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Logged {
    /// Its name.
    pub name: String,
    /// Its level.
    pub level: &'static str,
    /// Its fields.
    pub fields: Vec<String>,
    /// The file, from the repository's root.
    pub path: PathBuf,
}

/// Finds every event that the sources log, by name.
///
/// # Errors
///
/// A source that can't be read or is not Rust.
pub fn logged(root: &Path) -> Result<Vec<Logged>, GenerateError> {
    let mut found = Vec::new();
    let crates = sources(&root.join("crates"));
    for path in crates.into_iter().chain(sources(&root.join("platform"))) {
        let text = read(&path)?;
        let tokens: TokenStream = text.parse().map_err(|error| GenerateError::Invalid {
            path: path.clone(),
            message: format!("not Rust: {error}"),
        })?;
        let relative = path.strip_prefix(root).unwrap_or(&path).to_owned();
        scan(tokens, &relative, &mut found);
    }
    found.sort_by(|left, right| (&left.name, &left.path).cmp(&(&right.name, &right.path)));
    found.dedup_by(|left, right| left.name == right.name && left.path == right.path);
    Ok(found)
}

/// Rust sources but tests, benches and the developer tool itself.
fn sources(directory: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    let Ok(entries) = fs::read_dir(directory) else {
        return found;
    };
    for path in entries.filter_map(|entry| Some(entry.ok()?.path())) {
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        if path.is_dir() {
            let skipped = ["tests", "target", "generated", "examples", "anvil_dev"];
            if !skipped.contains(&&*name) {
                found.extend(sources(&path));
            }
        } else if name.ends_with(".rs") && name != "tests.rs" {
            found.push(path);
        }
    }
    found.sort();
    found
}

fn scan(tokens: TokenStream, path: &Path, found: &mut Vec<Logged>) {
    let tokens: Vec<_> = tokens.into_iter().collect();
    for (index, token) in tokens.iter().enumerate() {
        let TokenTree::Group(group) = token else {
            continue;
        };
        let before = &tokens[..index];
        if group.delimiter() == Delimiter::Parenthesis {
            if let Some(level) = logging_macro(before) {
                found.extend(macro_event(group.stream(), level, path));
            } else if is_decision(before) {
                found.extend(decision_event(group.stream(), path));
            }
        }
        scan(group.stream(), path, found);
    }
}

/// The level, where the tokens end in `spdlog::LEVEL!`.
fn logging_macro(before: &[TokenTree]) -> Option<&'static str> {
    let [.., krate, _, _, level, bang] = before else {
        return None;
    };
    if krate.to_string() != "spdlog" || bang.to_string() != "!" {
        return None;
    }
    let level = level.to_string();
    LEVELS.into_iter().find(|known| *known == level)
}

/// Tells whether the tokens end in `Decision::new`.
fn is_decision(before: &[TokenTree]) -> bool {
    let [.., name, first, second, method] = before else {
        return false;
    };
    let path = format!("{name}{first}{second}{method}");
    path == "Decision::new"
}

fn literal(token: &TokenTree) -> Option<String> {
    let TokenTree::Literal(literal) = token else {
        return None;
    };
    let text: syn::LitStr = syn::parse_str(&literal.to_string()).ok()?;
    Some(text.value())
}

fn macro_event(stream: TokenStream, level: &'static str, path: &Path) -> Option<Logged> {
    let tokens: Vec<_> = stream.into_iter().collect();
    let name = tokens.iter().find_map(literal)?;
    if name.contains('{') {
        return None;
    }
    let fields = tokens.iter().rev().find_map(|token| match token {
        TokenTree::Group(group) if group.delimiter() == Delimiter::Brace => {
            Some(field_names(group.stream()))
        }
        _ => None,
    });
    Some(Logged {
        name,
        level,
        fields: fields.unwrap_or_default(),
        path: path.to_owned(),
    })
}

fn decision_event(stream: TokenStream, path: &Path) -> Option<Logged> {
    let name = literal(&stream.into_iter().next()?)?;
    Some(Logged {
        name,
        level: "info",
        fields: DECISION_FIELDS.map(str::to_owned).to_vec(),
        path: path.to_owned(),
    })
}

/// The first word of each part between commas.
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

/// Events without a meaning, and meanings without an event.
pub fn faults(logged: &[Logged]) -> Vec<String> {
    let undescribed = logged
        .iter()
        .filter(|event| !EVENTS.iter().any(|known| known.name == event.name))
        .map(|event| {
            format!(
                "{}: event `{}` has no meaning in crates/anvil_observe/src/events.rs",
                event.path.display(),
                event.name
            )
        });
    let unlogged = EVENTS
        .iter()
        .filter(|known| !logged.iter().any(|event| event.name == known.name))
        .map(|known| {
            format!(
                "crates/anvil_observe/src/events.rs: nothing logs `{}`",
                known.name
            )
        });
    undescribed.chain(unlogged).collect()
}

/// Renders `docs/reference/log-events.md`.
pub fn page(logged: &[Logged]) -> String {
    let mut by_name: BTreeMap<&str, Vec<&Logged>> = BTreeMap::new();
    for event in logged {
        by_name.entry(&event.name).or_default().push(event);
    }
    let mut page = String::from(
        "# Log events\n\nGenerated by `anvil_dev generate`; do not edit.\n\n\
         Names are stable over releases. Lines that work for a request carry its id as `request`;\n\
         a line after others of its event were left out tells their number as `suppressed_lines`.\n\n\
         | Event | Level | Fields | When |\n|---|---|---|---|\n",
    );
    for (name, events) in by_name {
        let meaning = EVENTS
            .iter()
            .find(|known| known.name == name)
            .map_or("", |known| known.meaning);
        let levels = merged(events.iter().map(|event| event.level));
        let fields = merged(
            events
                .iter()
                .flat_map(|event| event.fields.iter().map(String::as_str)),
        );
        page.push_str(&format!("| `{name}` | {levels} | {fields} | {meaning} |\n"));
    }
    page
}

/// The words in order of appearance, each once.
fn merged<'a>(words: impl Iterator<Item = &'a str>) -> String {
    let mut once: Vec<&str> = Vec::new();
    for word in words {
        if !once.contains(&word) {
            once.push(word);
        }
    }
    once.join(", ")
}

#[cfg(test)]
mod tests;
