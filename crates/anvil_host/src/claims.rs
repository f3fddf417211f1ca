//! Calls that must run at most once, decided by the order of claims on the platform's log.
//!
//! The [`ServiceDispatcher`] runs calls to plain services. Hosts send their claims to the shard's
//! combiner, the host that comes first for the shard by rendezvous hashing; it batches them into few
//! appends and knows how each key stands. Any host can do its work, so losing it loses nothing.

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
