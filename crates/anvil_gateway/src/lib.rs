//! Entry host for engines that drive their own pipelines.
//!
//! A request is sent once, along a path of engines that pass it on among themselves. The host
//! chooses the path, relays the events, and resumes the stream on another path if one fails. The
//! module [`port`] defines the interfaces to the platform that the host runs on.

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
