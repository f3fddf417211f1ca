//! The values given in a settings file, before the checks that involve more than one key.

use std::{
    collections::BTreeMap,
    path::Path, //
};

use smol_str::{
    SmolStr,
    format_smolstr, //
};
use toml::de::{
    DeTable,
    DeValue, //
};

use crate::{
    form::{
        self,
        Value, //
    },
    keys::{
        self,
        Key, //
    },
    problem::{
        Location,
        Problem, //
    },
};

/// Largest edit distance, as a fraction of the given key's length in bytes, at which a known key is
/// suggested.
const SUGGESTION_DISTANCE_RATIO_MAX: f64 = 0.5;

/// The values given in a settings file; any key may be absent.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Given values by key. Invariant: each name is one of [`keys::all`], and its value has the
    /// key's type and lies within its bounds.
    values: BTreeMap<&'static str, GivenValue>,
}

/// A value and its line in the settings file.
#[derive(Clone, Debug)]
pub struct GivenValue {
    /// Value with the type of its key.
    pub value: Value,
    /// Line number of the key, counted from 1.
    pub line: usize,
}

impl Options {
    /// Parses the text of a settings file. Returns the valid values and every problem found; if
    /// the text is not valid TOML, only the syntax errors are reported. `path` is used in problems
    /// only.
    pub fn read(path: &Path, text: &str) -> (Self, Vec<Problem>) {
        let (table, errors) = DeTable::parse_recoverable(text);
        let mut reader = Reader {
            path,
            text,
            options: Self::default(),
            problems: Vec::new(),
        };
        for error in errors {
            let start = error.span().map_or(0, |span| span.start);
            reader.report(
                Some(start),
                None,
                format!("invalid TOML: {}", error.message()),
                "fix the syntax error".to_owned(),
            );
        }
        if reader.problems.is_empty() {
            reader.read_table("", table.get_ref());
        }
        (reader.options, reader.problems)
    }

    /// Returns the given value of a key, or `None` if the file has no valid value for it.
    pub fn get(&self, name: &str) -> Option<&GivenValue> {
        self.values.get(name)
    }

    /// Returns every given value with the full name of its key.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, &GivenValue)> {
        self.values.iter().map(|(name, given)| (*name, given))
    }
}

struct Reader<'a> {
    path: &'a Path,
    text: &'a str,
    options: Options,
    problems: Vec<Problem>,
}

impl Reader<'_> {
    fn read_table(&mut self, prefix: &str, table: &DeTable<'_>) {
        for (name, value) in table {
            let start = name.span().start;
            let name = if prefix.is_empty() {
                SmolStr::new(name.get_ref())
            } else {
                format_smolstr!("{prefix}.{}", name.get_ref())
            };
            match (keys::find(&name), value.get_ref()) {
                (Some(key), value) => self.read_value(key, start, value),
                (None, DeValue::Table(table)) if keys::is_table(&name) => {
                    self.read_table(&name, table)
                }
                (None, _) => self.report_unknown(name, start),
            }
        }
    }

    fn read_value(&mut self, key: &'static Key, start: usize, value: &DeValue<'_>) {
        match form::read(key.value_type, key.bounds.as_ref(), value) {
            Ok(value) => {
                let line = line_at(self.text, start);
                self.options
                    .values
                    .insert(key.name, GivenValue { value, line });
            }
            Err(message) => self.report(
                Some(start),
                Some(SmolStr::new_static(key.name)),
                message,
                key.hint(),
            ),
        }
    }

    fn report_unknown(&mut self, name: SmolStr, start: usize) {
        let hint = match nearest(&name) {
            Some(known) => format!("did you mean `{known}`?"),
            None => "remove it or see docs/reference/settings.md for the known keys".to_owned(),
        };
        self.report(Some(start), Some(name), "unknown key".to_owned(), hint);
    }

    fn report(
        &mut self,
        start: Option<usize>,
        key: Option<SmolStr>,
        message: String,
        hint: String,
    ) {
        let location = Location {
            path: self.path.to_owned(),
            line: start.map(|start| line_at(self.text, start)),
            key,
        };
        self.problems.push(Problem {
            location,
            message,
            hint,
        });
    }
}

/// Returns the line number, counted from 1, of a byte offset.
fn line_at(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    1 + text.as_bytes()[..end]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
}

/// Returns the known key with the smallest edit distance to a name, or `None` if every key differs
/// too much to be a useful suggestion.
fn nearest(name: &str) -> Option<&'static str> {
    let (distance, known) = keys::all()
        .map(|key| (strsim::damerau_levenshtein(name, key.name), key.name))
        .min()?;
    let limit = name.len() as f64 * SUGGESTION_DISTANCE_RATIO_MAX;
    ((distance as f64) <= limit).then_some(known)
}
