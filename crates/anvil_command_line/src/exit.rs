//! Exit statuses, which are the same for every program.

use std::process::ExitCode;

/// Exit status of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The operation succeeded.
    Done = 0,
    /// The request is invalid, out of date or refers to something that does not exist; nothing was
    /// changed.
    Refused = 1,
    /// The command line is invalid, the operation failed, or its outcome is unknown.
    Error = 2,
}

/// Every status with its meaning, for the help and the reference page.
pub const MEANINGS: [(ExitStatus, &str); 3] = [
    (ExitStatus::Done, "done"),
    (
        ExitStatus::Refused,
        "refused: the request is invalid, out of date or refers to something that does not exist; nothing was changed",
    ),
    (
        ExitStatus::Error,
        "error: the command line is invalid, the operation failed, or its outcome is unknown",
    ),
];

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
