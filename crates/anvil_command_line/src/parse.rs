//! Parses a command line according to a program's table.

use std::{
    collections::BTreeMap,
    ffi::OsString, //
};

use derive_more::{
    Display,
    Error,
    From, //
};
use lexopt::{
    Arg,
    Parser, //
};

use crate::table::{
    COMMON_OPTIONS,
    Command,
    Opt,
    Program, //
};

/// The command line is invalid.
#[derive(Debug, Display, Error, From)]
pub enum UsageError {
    /// An argument is malformed.
    #[display("{_0}")]
    Malformed(lexopt::Error),
    /// An argument is not UTF-8.
    #[display("argument {_0:?} is not UTF-8")]
    #[from(skip)]
    NotUtf8(#[error(not(source))] OsString),
    /// The subcommand does not exist.
    #[display("unknown subcommand `{name}`{}", suggestion(nearest))]
    #[from(skip)]
    UnknownCommand {
        /// The given name.
        name: String,
        /// The known name with the smallest edit distance.
        nearest: Option<&'static str>,
    },
    /// The option does not exist.
    #[display("unknown option `{name}`{}", suggestion(nearest))]
    #[from(skip)]
    UnknownOption {
        /// The given name, with its dashes.
        name: String,
        /// Long name, without the leading `--`, of the option with the smallest edit distance.
        nearest: Option<&'static str>,
    },
    /// No subcommand is given.
    #[display("no subcommand given")]
    CommandMissing,
    /// A positional argument is missing.
    #[display("argument {_0} is missing")]
    #[from(skip)]
    ArgumentMissing(#[error(not(source))] &'static str),
    /// There are more arguments than the subcommand accepts.
    #[display("unexpected argument {_0:?}")]
    #[from(skip)]
    UnexpectedArgument(#[error(not(source))] String),
    /// A required option is missing.
    #[display("option --{_0} is missing")]
    #[from(skip)]
    OptionMissing(#[error(not(source))] &'static str),
    /// The value of an option is invalid.
    #[display("--{option}: {value:?} is not {expected}")]
    #[from(skip)]
    BadValue {
        /// Long name of the option, without the leading `--`.
        option: &'static str,
        /// The given value.
        value: String,
        /// Description of a valid value, such as `a whole number`.
        expected: &'static str,
    },
}

fn suggestion(nearest: &Option<&'static str>) -> String {
    match nearest {
        Some(nearest) => format!("; did you mean `{nearest}`?"),
        None => String::new(),
    }
}

/// Result of parsing a command line.
#[derive(Debug)]
pub enum Parsed {
    /// Print help for the subcommand, or for the whole program if it is `None`.
    Help(Option<&'static Command>),
    /// Print the version of the program.
    Version,
    /// Run a subcommand.
    Command(Invocation),
}

/// A subcommand with its arguments and options.
#[derive(Debug)]
pub struct Invocation {
    /// The subcommand to run.
    pub command: &'static Command,
    /// Positional arguments. Invariant: as many as the subcommand requires.
    pub arguments: Vec<String>,
    options: BTreeMap<&'static str, String>,
}

impl Invocation {
    /// Returns whether an option was given. `option` is its long name.
    pub fn has(&self, option: &str) -> bool {
        self.options.contains_key(option)
    }

    /// Returns the value of an option, or `None` if the option was not given.
    pub fn value(&self, option: &str) -> Option<&str> {
        self.options.get(option).map(String::as_str)
    }

    /// Returns the value of a required option.
    ///
    /// # Errors
    ///
    /// Returns [`UsageError::OptionMissing`] if the option was not given.
    pub fn required(&self, option: &'static str) -> Result<&str, UsageError> {
        self.value(option).ok_or(UsageError::OptionMissing(option))
    }

    /// Returns the value of an option as an integer, or `None` if the option was not given.
    ///
    /// # Errors
    ///
    /// Returns [`UsageError::BadValue`] if the value is not an unsigned 64-bit integer.
    pub fn number(&self, option: &'static str) -> Result<Option<u64>, UsageError> {
        let Some(value) = self.value(option) else {
            return Ok(None);
        };
        value.parse().map(Some).map_err(|_| UsageError::BadValue {
            option,
            value: value.to_owned(),
            expected: "a whole number",
        })
    }
}

/// Parses a command line.
///
/// # Errors
///
/// Returns the first error in the command line.
pub fn parse(program: &'static Program, mut parser: Parser) -> Result<Parsed, UsageError> {
    let mut words = Vec::new();
    let mut command = program.command("");
    let mut options = BTreeMap::new();
    let mut help = false;
    while let Some(argument) = parser.next()? {
        let name = match argument {
            Arg::Value(word) => {
                words.push(word.into_string().map_err(UsageError::NotUtf8)?);
                if command.is_none()
                    && let Some(found) = program.command(&words.join(" "))
                {
                    command = Some(found);
                    words.clear();
                }
                continue;
            }
            Arg::Short(short) => format!("-{short}"),
            Arg::Long(long) => format!("--{long}"),
        };
        let option = find_option(program, command, &name)?;
        match option.long {
            "help" => help = true,
            "version" => return Ok(Parsed::Version),
            long => {
                let value = match option.value {
                    Some(_) => parser.value()?.into_string().map_err(UsageError::NotUtf8)?,
                    None => String::new(),
                };
                options.insert(long, value);
            }
        }
    }
    if help {
        return Ok(Parsed::Help(command));
    }
    let command = command.ok_or_else(|| command_error(program, &words))?;
    check_arguments(command, &words)?;
    Ok(Parsed::Command(Invocation {
        command,
        arguments: words,
        options,
    }))
}

fn command_error(program: &'static Program, words: &[String]) -> UsageError {
    if words.is_empty() {
        return UsageError::CommandMissing;
    }
    let name = words.join(" ");
    let nearest = program
        .commands
        .iter()
        .min_by_key(|command| strsim::damerau_levenshtein(command.name, &name))
        .map(|command| command.name);
    UsageError::UnknownCommand { name, nearest }
}

fn check_arguments(command: &'static Command, given: &[String]) -> Result<(), UsageError> {
    if let Some(missing) = command.arguments.get(given.len()) {
        return Err(UsageError::ArgumentMissing(missing));
    }
    match given.get(command.arguments.len()) {
        Some(unexpected) => Err(UsageError::UnexpectedArgument(unexpected.clone())),
        None => Ok(()),
    }
}

/// Returns the option with this name, which includes its dashes. Before the subcommand is known,
/// only options that all subcommands accept are considered.
///
/// # Errors
///
/// Returns [`UsageError::UnknownOption`], with the nearest known option, if there is none.
fn find_option(
    program: &'static Program,
    command: Option<&'static Command>,
    name: &str,
) -> Result<&'static Opt, UsageError> {
    let own = command.map_or(&[][..], |command| command.options);
    let known = || own.iter().chain(program.options).chain(COMMON_OPTIONS);
    let is_named = |option: &&Opt| {
        name.strip_prefix("--") == Some(option.long)
            || option
                .short
                .is_some_and(|short| name == format!("-{short}"))
    };
    if let Some(option) = known().find(is_named) {
        return Ok(option);
    }
    let nearest = known()
        .map(|option| option.long)
        .min_by_key(|long| strsim::damerau_levenshtein(long, name.trim_start_matches('-')));
    Err(UsageError::UnknownOption {
        name: name.to_owned(),
        nearest,
    })
}

#[cfg(test)]
mod tests;
