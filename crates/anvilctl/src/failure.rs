//! Errors of the command-line tool.

use anvil_command_line::{
    ExitStatus,
    UsageError, //
};
use anvil_settings::Problem;
use derive_more::{
    Display,
    Error,
    From, //
};
use smol_str::SmolStr;

/// Why a command failed. The display text is printed to the operator.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// The command line is invalid.
    #[display("{_0}; see anvilctl --help")]
    Usage(UsageError),
    /// A value that every call to a host needs is missing.
    #[display("{what} is missing; {hint}")]
    #[from(skip)]
    Missing {
        /// What is missing.
        what: &'static str,
        /// How the operator can provide it.
        hint: &'static str,
    },
    /// The host's address can't be parsed.
    #[display("invalid address {text:?}; expected IP:PORT")]
    #[from(skip)]
    Address {
        /// The text that was given as the address.
        text: String,
    },
    /// The host could not be reached, failed or timed out, or its answer could not be decoded.
    /// The host may still have carried out the request.
    #[display("{operation} at {host}: {message}")]
    #[from(skip)]
    Call {
        /// The subcommand or action that failed.
        operation: &'static str,
        /// The host.
        host: String,
        /// The error of the transport, the host or the decoder.
        message: String,
    },
    /// The host refused the request.
    #[display("{operation} at {host}: refused: {message}")]
    #[from(skip)]
    Refused {
        /// The subcommand or action that failed.
        operation: &'static str,
        /// The host.
        host: String,
        /// The reason that the host gave.
        message: SmolStr,
    },
    /// A patch file can't be read or is invalid.
    #[display("patch file {path}: {message}")]
    #[from(skip)]
    PatchFile {
        /// The file.
        path: String,
        /// What is wrong.
        message: String,
    },
    /// The host refused a patch, or it is unknown whether the patch was accepted.
    #[display("{message}")]
    #[from(skip)]
    Patch {
        /// Exit status: refused, or error if the result is unknown.
        #[error(not(source))]
        status: ExitStatus,
        /// The host's explanation, or the error of the call.
        message: String,
    },
    /// A settings file is invalid.
    #[display("{}", problem_lines(problems))]
    #[from(skip)]
    Settings {
        /// Every problem found in the file.
        problems: Vec<Problem>,
    },
    /// A file with a configuration can't be read, or the version in force can't be decoded.
    #[display("configuration file {path}: {message}")]
    #[from(skip)]
    ConfigFile {
        /// The file.
        path: String,
        /// What is wrong.
        message: String,
    },
    /// A configuration has findings, which are printed to the output.
    #[display("{path}: errors: {error_count}, warnings: {warning_count}")]
    #[from(skip)]
    ConfigCheck {
        /// The file.
        path: String,
        /// Number of errors.
        error_count: usize,
        /// Number of warnings.
        warning_count: usize,
    },
    /// The output can't be written.
    #[display("can't write the output: {_0}")]
    Output(std::io::Error),
}

fn problem_lines(problems: &[Problem]) -> String {
    let lines: Vec<_> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n")
}

impl Failure {
    /// Returns the exit status of the program after this failure.
    pub fn status(&self) -> ExitStatus {
        match self {
            Self::Usage(_)
            | Self::Missing { .. }
            | Self::Address { .. }
            | Self::Call { .. }
            | Self::ConfigFile { .. }
            | Self::Output(_) => ExitStatus::Error,
            Self::Refused { .. } | Self::PatchFile { .. } | Self::Settings { .. } => {
                ExitStatus::Refused
            }
            Self::ConfigCheck { error_count: 0, .. } => ExitStatus::Refused,
            Self::ConfigCheck { .. } => ExitStatus::Error,
            Self::Patch { status, .. } => *status,
        }
    }
}
