//! Types of the table that describes the command line of a program.

/// Description of a program's command line.
#[derive(Debug)]
pub struct Program {
    /// Name of the executable.
    pub name: &'static str,
    /// Description, in whole sentences.
    pub about: &'static str,
    /// Subcommands. A program without subcommands has one entry with an empty name.
    pub commands: &'static [Command],
    /// Options that every subcommand accepts, in addition to [`COMMON_OPTIONS`].
    pub options: &'static [Opt],
}

/// A subcommand.
#[derive(Debug)]
pub struct Command {
    /// One or two words, such as `config show`.
    pub name: &'static str,
    /// Description, in whole sentences.
    pub about: &'static str,
    /// Names of the positional arguments, in order; all are required.
    pub arguments: &'static [&'static str],
    /// Options that only this subcommand accepts.
    pub options: &'static [Opt],
}

/// An option.
#[derive(Debug)]
pub struct Opt {
    /// Long name, without the leading `--`.
    pub long: &'static str,
    /// Short name, without the leading `-`.
    pub short: Option<char>,
    /// Name of the value in help texts; `None` for a flag.
    pub value: Option<&'static str>,
    /// Description, as a phrase.
    pub about: &'static str,
}

/// Options that every program accepts.
pub const COMMON_OPTIONS: &[Opt] = &[
    Opt {
        long: "help",
        short: Some('h'),
        value: None,
        about: "print help for the program or the given subcommand",
    },
    Opt {
        long: "version",
        short: Some('V'),
        value: None,
        about: "print the version",
    },
];

impl Program {
    /// Returns every option that a subcommand accepts.
    pub fn options_of<'a>(&'a self, command: &'a Command) -> impl Iterator<Item = &'a Opt> {
        command
            .options
            .iter()
            .chain(self.options)
            .chain(COMMON_OPTIONS)
    }

    /// Returns the subcommand with this name, or `None` if there is no such subcommand.
    pub fn command(&self, name: &str) -> Option<&'static Command> {
        self.commands.iter().find(|command| command.name == name)
    }

    /// Returns whether `words` are the first words, but not all words, of a subcommand's name.
    pub fn is_prefix(&self, words: &str) -> bool {
        self.commands.iter().any(|command| {
            command
                .name
                .strip_prefix(words)
                .is_some_and(|rest| rest.starts_with(' '))
        })
    }
}
