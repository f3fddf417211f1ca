//! Generated files, which `generate` writes and `check` compares in memory with the committed ones.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    }, //
};

use derive_more::{
    Display,
    Error, //
};

use crate::{
    events,
    machine_paths,
    pages,
    wire_types, //
};

/// A generated file.
#[derive(Debug)]
pub struct GeneratedFile {
    /// Path relative to the repository root.
    pub path: PathBuf,
    /// The complete text of the file.
    pub text: String,
}

/// Why the files could not be generated.
#[derive(Debug, Display, Error)]
pub enum GenerateError {
    /// A file could not be read or written.
    #[display("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// An input file is invalid.
    #[display("{}: {message}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        message: String,
    },
}

/// Reads a file.
///
/// # Errors
///
/// Returns an error with the path if the file can't be read.
pub fn read(path: &Path) -> Result<String, GenerateError> {
    fs::read_to_string(path).map_err(|source| GenerateError::File {
        path: path.to_owned(),
        source,
    })
}

/// Writes every generated file. Returns the problems that must be fixed by hand.
///
/// # Errors
///
/// Returns an error if an input can't be read or is invalid, or if a file can't be written.
pub fn generate(root: &Path) -> Result<Vec<String>, GenerateError> {
    let logged_events = events::logged_events(root)?;
    for file in generated_files(root, &logged_events)? {
        write(&root.join(&file.path), &file.text)?;
    }
    Ok(events::problems(&logged_events))
}

/// Compares every generated file with what `generate` would write, and checks the log events and
/// the paths in all files. Returns the problems found.
///
/// # Errors
///
/// Returns an error if an input can't be read or is invalid.
pub fn check(root: &Path) -> Result<Vec<String>, GenerateError> {
    let logged_events = events::logged_events(root)?;
    let mut problems = events::problems(&logged_events);
    for file in generated_files(root, &logged_events)? {
        let committed = fs::read_to_string(root.join(&file.path)).unwrap_or_default();
        if committed != file.text {
            problems.push(format!(
                "{} is out of date; run `cargo run -p anvil_dev -- generate`",
                file.path.display()
            ));
        }
    }
    problems.extend(machine_paths::problems(root)?);
    Ok(problems)
}

fn generated_files(
    root: &Path,
    logged_events: &[events::LoggedEvent],
) -> Result<Vec<GeneratedFile>, GenerateError> {
    let mut files = wire_types::generated_files(root)?;
    files.extend(pages::generated_files(logged_events));
    Ok(files)
}

fn write(path: &Path, text: &str) -> Result<(), GenerateError> {
    let file_error = |source| GenerateError::File {
        path: path.to_owned(),
        source,
    };
    if let Some(directory) = path.parent() {
        fs::create_dir_all(directory).map_err(file_error)?;
    }
    fs::write(path, text).map_err(file_error)
}
