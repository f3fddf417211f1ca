//! `anvil-demo`: shows three hosts and their stand-ins in one process, in use and with a fault.

mod scenes;

use std::process::ExitCode;

use scenes::DemoError;

const HELP: &str = "\
Runs three hosts and stand-ins for all systems around them in one process, and shows them in use:
a permit drafted as a complete and as a streamed answer, a submission repeated under one key, a
stage killed during a stream, and two competing patches.

Usage: anvil-demo

  -h, --help     print this help
";

/// Exit status of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExitStatus {
    /// Every scene gave the expected result.
    Done = 0,
    /// A scene failed or gave an unexpected result.
    Failed = 1,
    /// The fleet did not start or stop, or the command line is invalid.
    Error = 2,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

fn main() -> ExitCode {
    if let Err(error) = parse(lexopt::Parser::from_env()) {
        eprintln!("anvil-demo: {error}\n\n{HELP}");
        return ExitStatus::Error.into();
    }
    run().into()
}

/// Accepts no arguments except the help flag, which prints the help and exits the program.
fn parse(mut parser: lexopt::Parser) -> Result<(), lexopt::Error> {
    match parser.next()? {
        None => Ok(()),
        Some(lexopt::Arg::Short('h') | lexopt::Arg::Long("help")) => {
            print!("{HELP}");
            std::process::exit(0);
        }
        Some(argument) => Err(argument.unexpected()),
    }
}

fn run() -> ExitStatus {
    // The scenes print what happens. The hosts' log lines would hide that output.
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("anvil-demo: cannot start the runtime: {error}");
            return ExitStatus::Error;
        }
    };
    let result = runtime.block_on(scenes::run());
    runtime.shutdown_background();
    match result {
        Ok(()) => ExitStatus::Done,
        Err(error @ DemoError::Fleet { .. }) => {
            eprintln!("anvil-demo: {error}");
            ExitStatus::Error
        }
        Err(error) => {
            eprintln!("anvil-demo: {error}");
            ExitStatus::Failed
        }
    }
}
