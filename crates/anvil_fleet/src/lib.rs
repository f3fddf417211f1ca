//! Runs hosts and stand-ins in one process, for the demo, the experiments and tests.
//!
//! Each host runs on its own threads, so that it can be killed while it works and its processor
//! time can be distinguished from that of the stand-ins.

pub mod builder;
pub mod client;
pub mod cpu;
pub mod engine;
pub mod fleet;
pub mod running_host;
pub mod service;

pub use builder::Builder;
pub use client::Client;
pub use fleet::{
    Fleet,
    FleetError, //
};
