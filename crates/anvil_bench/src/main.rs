//! `anvil-bench EXPERIMENT --seed N --json`: measures hosts and stand-ins over loopback.

mod arguments;
mod experiments;
mod load;
mod report;

use std::process::ExitCode;

use arguments::{
    Arguments,
    Command, //
};
use spdlog::{
    Level,
    LevelFilter, //
};

/// Result of the program, from which its exit code follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExitStatus {
    /// The experiment ran and met every goal.
    Success,
    /// The experiment ran and missed at least one goal.
    GoalMissed,
    /// The experiment could not run, or the command line is invalid.
    Error,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        match status {
            ExitStatus::Success => Self::SUCCESS,
            ExitStatus::GoalMissed => Self::from(1),
            ExitStatus::Error => Self::from(2),
        }
    }
}

fn main() -> ExitCode {
    match arguments::parse(lexopt::Parser::from_env()) {
        Ok(Command::Help) => {
            print!("{}", arguments::help());
            ExitStatus::Success.into()
        }
        Ok(Command::Run(arguments)) => run(&arguments).into(),
        Err(error) => {
            eprintln!("anvil-bench: {error}\n\n{}", arguments::help());
            ExitStatus::Error.into()
        }
    }
}

fn run(arguments: &Arguments) -> ExitStatus {
    // The hosts log every decision, and log lines below the error level would bury the report.
    spdlog::default_logger().set_level_filter(LevelFilter::MoreSevereEqual(Level::Error));
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("anvil-bench: failed to start the Tokio runtime: {error}");
            return ExitStatus::Error;
        }
    };
    let context = experiments::Context {
        seed: arguments.seed,
    };
    let result = runtime.block_on((arguments.experiment.run)(context));
    runtime.shutdown_background();
    match result {
        Ok(report) => {
            report.print(arguments.output);
            if report.goals_met() {
                ExitStatus::Success
            } else {
                ExitStatus::GoalMissed
            }
        }
        Err(error) => {
            eprintln!("anvil-bench {}: {error}", arguments.experiment.name);
            ExitStatus::Error
        }
    }
}
