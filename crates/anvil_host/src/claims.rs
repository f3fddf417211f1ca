//! Runs calls to plain services, and ensures that a call with an idempotency key runs at most once.
//!
//! The order of claim records on the platform's log decides which host may send such a call. The
//! [`ServiceDispatcher`] runs the calls. Hosts send their claims to the shard's combiner, the host
//! that comes first for the shard by rendezvous hashing. The combiner batches the claims into few
//! appends and knows the status of each key. Any host can do this work, so losing the combiner
//! loses no data.

mod client;
mod codec;
mod gate;
mod messages;
mod operators;
mod outbox;
mod shard;
mod shards;

pub use client::Client;
pub use gate::{
    CallContext,
    DispatcherContext, //
    Instances,
    ServiceDispatcher,
};
pub use operators::{
    SettleError,
    UnsettledClaims, //
};
pub use shards::{
    PEER_PATH,
    Shards, //
};

#[cfg(test)]
mod tests;
