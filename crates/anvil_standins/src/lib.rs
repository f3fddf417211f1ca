//! Stand-ins for the systems around a host: simulated systems that run in the process that
//! starts them, are served over loopback and support fault injection.
//!
//! Each stand-in is started with a configuration, reports its address, takes faults through its
//! handle and is closed explicitly. The stand-ins imitate only the interfaces: they are small,
//! answer deterministically, and model time only as closely as a test needs.

pub mod arithmetic;
pub mod engine;
pub mod fault;
pub mod host_list;
pub mod log;
pub mod reference;
pub mod service;
pub mod weight_store;

mod reply;
mod server;
