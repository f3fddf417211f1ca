//! Entry host for engines that drive their own pipelines.
//!
//! A request is sent once, along a path of engines that pass it on among themselves; the host
//! chooses the path, relays the events and resumes the stream elsewhere where a path fails. What
//! the host needs of the platform that it runs on is stated in [`port`].

pub mod answer;
pub mod clock;
pub mod events;
pub mod exchange;
pub mod faults;
pub mod follow;
pub mod gateway;
pub mod http1;
pub mod knowledge;
pub mod metrics;
pub mod paths;
pub mod peers;
pub mod placer;
pub mod plain;
pub mod pool;
pub mod port;
pub mod run;
pub mod settings;
pub mod stream;
pub mod target;
pub mod targets;
