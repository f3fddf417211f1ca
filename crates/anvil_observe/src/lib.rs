//! Logs and metrics of a host process.

pub mod control;
pub mod events;
pub mod log;
pub mod metrics;
pub mod request;
