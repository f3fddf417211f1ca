//! The daemon of an entry host.

pub mod gateway;
pub mod run;
