//! Gateway for model engines that pass requests on among themselves, and for plain services.
//!
//! A request to a model is sent once, along a path of engines. The gateway chooses the path, relays
//! the events, and resumes the stream on another path if one fails. The module [`port`] defines the
//! interfaces to the platform that the gateway runs on.

pub mod abandoned;
pub mod answer;
pub mod calls;
pub mod clock;
pub mod events;
pub mod exchange;
pub mod faults;
pub mod follow;
pub mod gateway;
pub mod held_prompts;
pub mod http1;
pub mod intake;
pub mod knowledge;
pub mod limits;
pub mod link;
pub mod liveness;
pub mod metrics;
pub mod paths;
pub mod peers;
pub mod placer;
pub mod plain;
pub mod pool;
pub mod port;
pub mod quarantine;
pub mod retries;
pub mod run;
pub mod run_clock;
pub mod settings;
pub mod stream;
pub mod target;
pub mod targets;
pub mod trial_place;
pub mod urgency;

#[cfg(test)]
mod tests;
