//! Command lines of the programs. Parsing, help, shell completion and the reference page of a
//! program are all derived from one table.

pub mod anvilctl;
pub mod anvilproxyd;
pub mod completion;
pub mod exit;
pub mod help;
pub mod parse;
pub mod reference;
pub mod table;

pub use exit::ExitStatus;
pub use parse::{
    Parsed,
    UsageError,
    parse, //
};
