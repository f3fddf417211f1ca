//! Decision logic of an entry host, without I/O or access to clocks.
//!
//! Every module takes the current time and any randomness as arguments, so that the daemon, the
//! tests and `anvil-bench` run the same code.

pub mod admission;
pub mod affinity;
pub mod claims;
pub mod concurrency;
pub mod config;
pub mod document;
pub mod engine_model;
pub mod entry;
pub mod exchange;
pub mod freshness;
pub mod health;
pub mod id;
pub mod intermediary;
pub mod key_digest;
pub mod layout;
pub mod lease;
pub mod limits;
pub mod membership;
pub mod outcome;
pub mod placement;
pub mod polling;
pub mod prefix;
pub mod quarantine;
pub mod reachability;
pub mod recovery;
pub mod rendezvous;
pub mod replay;
pub mod request_digest;
pub mod residency;
pub mod retry;
pub mod route;
pub mod stall;
pub mod step;
pub mod subset;
pub mod target_limit;
pub mod urgency;
