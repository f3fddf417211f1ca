//! The command line of `anvil-bench`.

use derive_more::{
    Display,
    Error,
    From, //
};

use crate::{
    experiments::{
        self,
        Experiment, //
    },
    report::OutputFormat, //
};

/// Action that the command line selects.
pub enum Command {
    /// Prints the help text.
    Help,
    /// Runs an experiment.
    Run(Arguments),
}

/// Options of a run.
pub struct Arguments {
    /// Experiment to run.
    pub experiment: &'static Experiment,
    /// Seed of every random choice.
    pub seed: u64,
    /// Format in which the report is printed.
    pub output: OutputFormat,
}

/// Error in the command line.
#[derive(Debug, Display, Error, From)]
pub enum ArgumentsError {
    /// An option is unknown, or its value is invalid.
    Option(lexopt::Error),
    /// The command line names no experiment.
    #[display("no experiment given")]
    Missing,
    /// No experiment has this name.
    #[display("unknown experiment: {_0}")]
    #[from(ignore)]
    Unknown(#[error(not(source))] String),
}

/// Parses the command line.
///
/// # Errors
///
/// Returns an error if an option or the experiment is unknown, if an option has an invalid value,
/// or if no experiment is given.
pub fn parse(mut parser: lexopt::Parser) -> Result<Command, ArgumentsError> {
    use lexopt::prelude::*;

    let mut experiment = None;
    let mut seed = 1;
    let mut output = OutputFormat::Text;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(Command::Help),
            Long("seed") => seed = parser.value()?.parse()?,
            Long("json") => output = OutputFormat::Json,
            Value(name) if experiment.is_none() => {
                let name = name.string()?;
                let found = experiments::ALL.iter().find(|known| known.name == name);
                experiment = Some(found.ok_or(ArgumentsError::Unknown(name))?);
            }
            unexpected => return Err(unexpected.unexpected().into()),
        }
    }
    Ok(Command::Run(Arguments {
        experiment: experiment.ok_or(ArgumentsError::Missing)?,
        seed,
        output,
    }))
}

/// Returns the help text, which lists every experiment.
pub fn help() -> String {
    let mut text = String::from(
        "Usage: anvil-bench EXPERIMENT [--seed N] [--json]\n\n\
         Measures hosts and stand-ins over loopback. With --json, the last line is a JSON object.\n\
         Exit status: 0 all goals are met, 1 a goal is missed, 2 the run failed.\n\nExperiments:\n",
    );
    for experiment in experiments::ALL {
        text.push_str(&format!("  {:<12} {}\n", experiment.name, experiment.about));
    }
    text
}
