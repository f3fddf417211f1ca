//! Problems found in a settings file, as they are reported to the user.

use std::path::PathBuf;

use derive_more::{
    Display,
    Error, //
};
use smol_str::SmolStr;

/// One problem in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{location}: {message}; {hint}")]
pub struct Problem {
    /// Where the problem was found.
    pub location: Location,
    /// Description of the problem.
    pub message: String,
    /// How to fix the problem.
    pub hint: String,
}

/// A location in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display(
    "{}{}{}",
    path.display(),
    line.map(|line| format!(":{line}")).unwrap_or_default(),
    key.as_ref().map(|key| format!(": {key}")).unwrap_or_default()
)]
pub struct Location {
    /// Path of the file.
    pub path: PathBuf,
    /// Line number, counted from 1; `None` if the problem has no line, such as a missing key.
    pub line: Option<usize>,
    /// Full name of the key; `None` if the problem concerns no single key.
    pub key: Option<SmolStr>,
}
