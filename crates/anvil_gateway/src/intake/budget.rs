//! How the memory and the descriptors of a host are divided.

use rustix::process::{
    Resource,
    getrlimit, //
};

use super::ledger::Limits;

#[cfg(test)]
mod tests;

/// Share of the host's memory that requests and answers may hold. The rest is for the process itself, for
/// the fixed part of each connection, and for what the allocator can't reuse at once.
pub const BYTES_SHARE: f64 = 0.35;
/// Share of the host's memory for the fixed part of connections.
const CONNECTIONS_SHARE: f64 = 0.1;
/// Memory for the fixed part of a connection: its task, its socket and its timers.
const CONNECTION_BYTES: usize = 4096;
/// Descriptors for the store, peers, readiness checks, metrics, files, and connections to targets that no
/// request uses.
const RESERVED_DESCRIPTORS: usize = 200;
/// The same where a host has few, as a part of all.
const RESERVED_PART: usize = 4;
/// Shares of the reserved descriptors for the listeners that callers don't use.
const PEERS_PART: usize = 2;
const READINESS_PART: usize = 8;
const METRICS_PART: usize = 16;
/// Memory for a connection to one of them. Their heads are small.
const OTHER_CONNECTION_BYTES: usize = 32 << 10;
/// Most tunnels to targets that a host serves to others. Each takes two descriptors.
const TUNNELS_MAX: usize = 512;
/// The same where a host has few descriptors, as a part of all.
const TUNNELS_PART: usize = 16;

/// The parts of a host's memory and descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// The most that callers may hold together.
    pub callers: Limits,
    /// The same for connections of peers that don't carry a tunnel.
    pub peers: Limits,
    /// The same for readiness checks.
    pub readiness: Limits,
    /// The same for readers of the metrics.
    pub metrics: Limits,
    /// Most tunnels to targets that this host serves to others.
    pub tunnels: usize,
}

impl Budget {
    /// Divides the memory and the descriptors of a host. For each connection of a caller, a descriptor is
    /// left for a connection to a target.
    pub fn new(memory_megabytes: f64, descriptors: usize) -> Self {
        let memory_bytes = memory_megabytes * 1e6;
        let reserved = RESERVED_DESCRIPTORS.min(descriptors / RESERVED_PART);
        let tunnels = TUNNELS_MAX.min(descriptors / TUNNELS_PART);
        let by_descriptors = (descriptors - reserved - 2 * tunnels) / 2;
        // The conversions saturate for huge values.
        let by_memory = (memory_bytes * CONNECTIONS_SHARE) as usize / CONNECTION_BYTES;
        let other = |part: usize| {
            let connections = (reserved / part).max(1);
            Limits {
                bytes: connections * OTHER_CONNECTION_BYTES,
                connections,
            }
        };
        Self {
            peers: other(PEERS_PART),
            readiness: other(READINESS_PART),
            metrics: other(METRICS_PART),
            callers: Limits {
                bytes: (memory_bytes * BYTES_SHARE) as usize,
                connections: by_descriptors.min(by_memory).max(1),
            },
            tunnels,
        }
    }
}

/// Returns the descriptors that the system lets this process open.
pub fn process_descriptors() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(usize::MAX, |limit| {
        usize::try_from(limit).unwrap_or(usize::MAX)
    })
}
