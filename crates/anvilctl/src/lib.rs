//! `anvilctl`, the command-line tool of the operators.

pub mod client;
pub mod commands;
pub mod failure;
pub mod output;
pub mod patch_file;
pub mod run;
pub mod table;
