//! An entry host: its listeners, its request pipelines and its background tasks.

pub mod admit;
pub mod callers;
pub mod claims;
pub mod config;
pub mod explain;
#[cfg(test)]
mod fakes;
pub mod host;
pub mod instances;
pub mod limits;
pub mod listener;
pub mod listing;
pub mod membership;
pub mod operators;
pub mod peers;
pub mod pipeline;
pub mod placement;
pub mod port;
pub mod roster;
pub mod shared;
pub mod targets;
pub mod tokenizer;

pub use host::Host;
