//! Meanings of the log events, for the reference page.
//!
//! `anvil_dev check` compares this table with the events that the sources log: one without a
//! meaning, or a meaning without an event, fails.

/// An event that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its name, stable over releases.
    pub name: &'static str,
    /// When it is logged, as one sentence.
    pub meaning: &'static str,
}

macro_rules! events {
    ($($name:literal: $meaning:literal),* $(,)?) => {
        &[$(Event { name: $name, meaning: $meaning }),*]
    };
}

/// Every event, by name.
pub const EVENTS: &[Event] = events! {
    "admission.refused": "A request was refused at admission; the line tells the predicted wait and the queue.",
    "claims.answer_lost": "A call was sent under a claim and its answer was lost; its outcome is unknown.",
    "claims.append_failed": "Records of a shard could not be appended; they are read back before they are appended again.",
    "claims.applied": "A record of a shard's stream was applied.",
    "claims.combiner_failed": "A shard's combiner could not be asked; the next host, or this one, does its work.",
    "claims.gap": "Records of a shard were dropped from the log before this host read them; it begins again at the horizon.",
    "claims.halted": "A shard's stream holds a record of a schema that this release doesn't know; the shard answers nothing from then on.",
    "claims.handed_over": "At a planned stop, a shard was handed to the host that comes next.",
    "claims.malformed": "A record of a shard's stream is malformed and is passed over.",
    "claims.read_failed": "A shard's stream could not be read; it is read again after a pause.",
    "claims.record_not_kept": "A record about a claim could not be put on the log in its time.",
    "claims.released": "A claim was released unsent; its caller was told that the call did not run.",
    "claims.retention_too_short": "The log drops claims before their keys' life is over; claims.key_life_ms must be shortened or the retention raised.",
    "claims.settled": "An operator settled a claim without an outcome.",
    "claims.shard_started": "This host began to follow a shard's stream.",
    "claims.unavailable": "A call was given up because the log could not be asked.",
    "config.adopted": "A state from a snapshot or another host was taken over, because its version is not below this host's.",
    "config.diverged": "Another host holds the same version with another digest; this must never happen.",
    "config.gap": "Records of the configuration stream were dropped from the log before this host read them; it catches up from a snapshot or a peer.",
    "config.halted": "The configuration stream holds a record of a schema that this release doesn't know; the version in force stays.",
    "config.in_force": "A configuration version came into force on this host.",
    "config.judged": "A record of the configuration stream was judged.",
    "config.log_unavailable": "The configuration stream could not be read; peers are asked meanwhile.",
    "config.malformed": "A record of the configuration stream is malformed and is passed over.",
    "config.peer_message_refused": "Another host's message about the configuration can't be read.",
    "config.pull_failed": "Another host could not be asked for records of the configuration.",
    "config.push_failed": "Records of the configuration could not be pushed to another host; it will ask for them.",
    "config.snapshot_unavailable": "The snapshots could not be read from the log.",
    "config.snapshot_unreadable": "A snapshot can't be read and is passed over.",
    "host.cut_off": "The drain timeout passed with requests open.",
    "host.listening": "The host's listeners are open.",
    "host.signal_failed": "The host can't wait for a stop signal and stops.",
    "host.start_failed": "The host could not start.",
    "host.starting": "The host reads its configuration and opens its listeners.",
    "lease.lapsed": "This host's lease ran out before it was renewed; it gives no more orders.",
    "lease.lost": "Another host holds the lease.",
    "lease.taken": "This host holds the lease.",
    "limits.home_unreachable": "The host that grants a team's shares could not be asked; the share holds until it expires.",
    "limits.homes_changed": "The live hosts changed, and with them the teams that this host grants shares for.",
    "limits.refused": "A request was refused because a limit of its team is reached; the line tells this host's share.",
    "limits.share_changed": "This host's share of a team's limits changed.",
    "listener.failed": "A listener ended with a fault.",
    "listing.ask_failed": "A reader of the platform's list could not be asked for it, or its list is stale; the next reader, or this host, takes its place.",
    "listing.read_failed": "The platform's list could not be read; the one that is known stays, and it is read again after a pause.",
    "membership.changed": "Another host's state changed, as this host sees it; the line tells why.",
    "operators.drain": "An operator asked for a planned stop.",
    "operators.log_levels": "An operator set the log levels.",
    "operators.patch": "An operator submitted a patch; the line tells its outcome.",
    "peer.malformed": "Another host sent a message that can't be read.",
    "placement.lease_failed": "The log could not be asked for the lease.",
    "placement.lease_not_yielded": "At a planned stop the lease could not be given up; the next placer waits until it runs out.",
    "placement.order_failed": "An engine refused an order, or could not be reached.",
    "placement.order_lost": "An engine did not answer an order in time; its state is read back before another.",
    "placement.ordered": "An engine was ordered to load or unload layers; the line tells why.",
    "placement.weight_store_unavailable": "The weight store could not be asked; nothing is ordered until it answers.",
    "recovery.chosen": "A request lost a stage, and a way to go on was chosen.",
    "recovery.diverged": "A rebuilt range gave another token than the one given out; the range is not trusted.",
    "recovery.moved": "A range was moved to another target in the middle of a request.",
    "request.refused": "A request was refused; the line tells whether it may have run, and why.",
    "route.chosen": "A route was chosen for a request.",
    "service.chosen": "A target was chosen for a call to a plain service.",
    "target.cache_events_missed": "A gap in a target's cache events; what is known of its cache is out of date.",
    "target.connection_silent": "A connection to a target went silent; a new one is opened.",
    "target.health": "A target was ejected, or let in again.",
    "target.reached": "A target that took no connection answered a load report; a request may try it now.",
    "target.state": "A target began to leave, or stays after all.",
};
