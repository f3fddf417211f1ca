//! Messages between processes: the types generated from `schemas/`, and their codec.
//!
//! Only the code that sends and receives messages uses these types. It converts them to and from
//! the domain types.

pub mod codec;
pub mod frame;
#[allow(missing_docs, clippy::all, reason = "generated code")]
pub mod generated;
