//! Developer tool that generates the wire types and the reference pages, and checks that the
//! committed files are up to date.

use std::{
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode, //
};

mod events;
mod machine_paths;
mod outputs;
mod pages;
mod wire_types;

const USAGE: &str = "\
Usage: anvil_dev SUBCOMMAND

  generate  write the wire types and the reference pages
  check     fail if a generated file is out of date, if the log events in the sources differ from
            the table that describes them, or if a file contains a machine-specific path";

fn main() -> ExitCode {
    let root = repository_root();
    let mut arguments = lexopt::Parser::from_env();
    let subcommand = match arguments.next() {
        Ok(Some(lexopt::Arg::Value(subcommand))) => subcommand,
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::from(2);
        }
    };
    let problems = match subcommand.to_str() {
        Some("generate") => outputs::generate(&root),
        Some("check") => outputs::check(&root),
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::from(2);
        }
    };
    match problems {
        Ok(problems) if problems.is_empty() => ExitCode::SUCCESS,
        Ok(problems) => {
            for problem in problems {
                eprintln!("anvil_dev: {problem}");
            }
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("anvil_dev: {error}");
            ExitCode::from(2)
        }
    }
}

/// Returns the root of the repository, two levels above this crate.
fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}
