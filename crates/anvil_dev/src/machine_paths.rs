//! Finds absolute paths of one developer's machine in committed files. Such paths are of no use to
//! other readers.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    }, //
};

use crate::outputs::GenerateError;

/// Prefixes of machine-specific absolute paths, split so that this file does not contain them.
const PATH_PREFIXES: [[&str; 2]; 5] = [
    ["/ho", "me/"],
    ["/ro", "ot/"],
    ["/wo", "rk/"],
    ["/Us", "ers/"],
    ["/tm", "p/"],
];

/// Returns one message for each line of a file under `root` that contains a machine-specific path.
///
/// # Errors
///
/// Returns an error if a directory can't be read.
pub fn problems(root: &Path) -> Result<Vec<String>, GenerateError> {
    let mut files = Vec::new();
    collect_files(root, &mut files)?;
    files.sort();
    let mut problems = Vec::new();
    for path in files {
        // Skips files that aren't text: nobody reads a path in them.
        let Ok(text) = fs::read_to_string(&path) else {
            continue;
        };
        let relative = path.strip_prefix(root).unwrap_or(&path);
        for (index, line) in text.lines().enumerate() {
            if contains_machine_path(line) {
                problems.push(format!(
                    "{}:{}: contains a machine-specific path",
                    relative.display(),
                    index + 1
                ));
            }
        }
    }
    Ok(problems)
}

fn collect_files(directory: &Path, files: &mut Vec<PathBuf>) -> Result<(), GenerateError> {
    let file_error = |source| GenerateError::File {
        path: directory.to_owned(),
        source,
    };
    for entry in fs::read_dir(directory).map_err(file_error)? {
        let path = entry.map_err(file_error)?.path();
        let name = path.file_name().unwrap_or_default();
        if path.is_dir() {
            if name != ".git" && name != "target" {
                collect_files(&path, files)?;
            }
        } else if name != ".git" {
            files.push(path);
        }
    }
    Ok(())
}

/// Returns whether a line contains a machine-specific path. A prefix that directly follows a word
/// doesn't count: it is a part of a URL or of a path in the repository.
fn contains_machine_path(line: &str) -> bool {
    PATH_PREFIXES.iter().any(|parts| {
        let prefix = parts.concat();
        line.match_indices(&prefix).any(|(index, _)| {
            !line[..index].ends_with(|char: char| char.is_alphanumeric() || "._-~}".contains(char))
        })
    })
}

#[cfg(test)]
mod tests;
