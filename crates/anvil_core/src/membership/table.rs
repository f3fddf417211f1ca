//! Table of hosts: merges facts, times out suspects, and selects the facts to send.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    }, //
};

use foldhash::fast::RandomState;

use crate::{
    id::{
        DataCentreId,
        HostId, //
    },
    membership::{
        Fact,
        FactVersion,
        Settings,
        State, //
    }, //
};

#[cfg(test)]
mod tests;

/// Number of times that a fact is sent, as a multiple of the binary logarithm of the fleet's size.
const SEND_COUNT_FACTOR: u32 = 3;

/// Why the table's state of a host changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The platform's list names a host that the table did not contain.
    Listed,
    /// Another host reported the new state.
    Gossip,
    /// The host did not answer a probe.
    ProbeFailed,
    /// The host did not refute a suspicion within `suspect_timeout`.
    SuspectTimeout,
    /// The host was dead or departed for `forget_timeout`, so its entry was removed.
    Forgotten,
}

impl Cause {
    /// Returns the stable name that logs use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Listed => "listed",
            Self::Gossip => "gossip",
            Self::ProbeFailed => "probe_failed",
            Self::SuspectTimeout => "suspect_timeout",
            Self::Forgotten => "forgotten",
        }
    }
}

/// A change to the state of one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Host whose state changed.
    pub host: HostId,
    /// State before the change; `None` for a new host.
    pub from: Option<State>,
    /// State after the change; `None` for a forgotten host.
    pub to: Option<State>,
    /// Event that led to the change.
    pub cause: Cause,
}

#[derive(Debug)]
struct Entry {
    fact: Fact,
    /// When the host entered its current state.
    state_since: Instant,
    /// When this run of the host was first seen.
    joined_at: Instant,
    /// Number of messages in which the fact has been sent.
    sent_count: u32,
}

/// A host in the platform's list, reduced to what the table needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// Name of the host.
    pub host: HostId,
    /// Address of the host's peer listener.
    pub address: SocketAddr,
    /// Data centre in which the host runs.
    pub data_centre: DataCentreId,
}

/// Membership of the fleet as this host knows it.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    /// Fact that this host publishes about itself. Invariant: its version never decreases.
    own: Fact,
    /// Other hosts. Invariant: never contains this host.
    entries: HashMap<HostId, Entry, RandomState>,
    /// Number of hosts in service according to the newest list.
    listed_hosts: usize,
}

impl Table {
    /// Creates a table that contains only this host.
    ///
    /// # Panics
    ///
    /// Panics if `settings` violates an invariant.
    pub fn new(own: Fact, settings: Settings) -> Self {
        settings.check();
        Self {
            settings,
            own,
            entries: HashMap::default(),
            listed_hosts: 0,
        }
    }

    /// Returns the fact that this host publishes about itself.
    pub fn own(&self) -> &Fact {
        &self.own
    }

    /// Sets the address of the peer listener in the fact that this host publishes.
    pub fn set_address(&mut self, address: SocketAddr) {
        self.own.address = address;
    }

    /// Returns the facts about the other live hosts, in no particular order.
    pub fn live(&self) -> impl Iterator<Item = &Fact> + Clone {
        self.entries
            .values()
            .map(|entry| &entry.fact)
            .filter(|fact| fact.state.is_live())
    }

    /// Returns the names of the live hosts, including this one unless it is leaving.
    pub fn live_names(&self) -> Vec<HostId> {
        let own = self.own.state.is_live().then(|| self.own.host.clone());
        self.live()
            .map(|fact| fact.host.clone())
            .chain(own)
            .collect()
    }

    /// Returns the names of the live hosts that aren't suspected, including this one unless it is
    /// leaving.
    pub fn alive_names(&self) -> Vec<HostId> {
        let own = self.own.state.is_live().then(|| self.own.host.clone());
        self.live()
            .filter(|fact| fact.state == State::Alive)
            .map(|fact| fact.host.clone())
            .chain(own)
            .collect()
    }

    /// Returns the hosts that are suspected now, with the version of the host's own statement on
    /// which the suspicion is based.
    pub fn suspects(&self) -> impl Iterator<Item = (&HostId, FactVersion)> {
        self.live()
            .filter(|fact| fact.state == State::Suspect)
            .map(|fact| (&fact.host, fact.version))
    }

    /// Merges another host's suspicion like a fact received by gossip. Returns `None` if the
    /// suspected host is unknown or its state does not change.
    pub fn merge_suspicion(
        &mut self,
        host: &HostId,
        version: FactVersion,
        now: Instant,
    ) -> Option<Change> {
        let known = self.get(host)?;
        let fact = Fact {
            version,
            state: State::Suspect,
            ..known.clone()
        };
        self.merge(fact, now)
    }

    /// Returns the current fact about another host, or `None` if the host is unknown.
    pub fn get(&self, host: &HostId) -> Option<&Fact> {
        self.entries.get(host).map(|entry| &entry.fact)
    }

    /// Returns the time since this run of a host was first seen, or `None` if the host is unknown.
    pub fn joined_for(&self, host: &HostId, now: Instant) -> Option<Duration> {
        let entry = self.entries.get(host)?;
        Some(now.saturating_duration_since(entry.joined_at))
    }

    /// Returns the number of hosts in service according to the newest list.
    pub fn listed_hosts(&self) -> usize {
        self.listed_hosts
    }

    /// Merges the platform's list and returns the changes. An unknown host in it is entered as
    /// alive with the lowest version, so that any fact from the host itself, or a failed probe,
    /// replaces the entry.
    pub fn apply_list(&mut self, list: &[ListedHost], now: Instant) -> Vec<Change> {
        self.listed_hosts = list.len();
        let mut changes = Vec::new();
        for listed in list {
            if listed.host == self.own.host || self.entries.contains_key(&listed.host) {
                continue;
            }
            let fact = Fact {
                host: listed.host.clone(),
                address: listed.address,
                data_centre: listed.data_centre.clone(),
                version: FactVersion::default(),
                state: State::Alive,
            };
            changes.extend(self.insert_fact(fact, Cause::Listed, now));
        }
        changes
    }

    /// Merges a fact received from another host. Returns `None` if no other host's state changes.
    pub fn merge(&mut self, fact: Fact, now: Instant) -> Option<Change> {
        if fact.host == self.own.host {
            self.refute(&fact);
            return None;
        }
        let known = self.entries.get(&fact.host);
        if known.is_some_and(|entry| !fact.supersedes(&entry.fact)) {
            return None;
        }
        if known.is_none() && !fact.state.is_live() {
            return None;
        }
        self.insert_fact(fact, Cause::Gossip, now)
    }

    /// Marks an alive host as suspected because it answered neither a direct nor an indirect probe.
    /// Returns `None` if the host is unknown or not alive.
    pub fn probe_failed(&mut self, host: &HostId, now: Instant) -> Option<Change> {
        let fact = &self.entries.get(host)?.fact;
        if fact.state != State::Alive {
            return None;
        }
        let suspect = Fact {
            state: State::Suspect,
            ..fact.clone()
        };
        self.insert_fact(suspect, Cause::ProbeFailed, now)
    }

    /// Declares suspects dead after `suspect_timeout`, removes dead and departed hosts after
    /// `forget_timeout`, and returns the changes.
    pub fn advance(&mut self, now: Instant) -> Vec<Change> {
        let is_expired = |entry: &Entry, state: State, timeout: Duration| {
            entry.fact.state == state && now.saturating_duration_since(entry.state_since) >= timeout
        };
        let suspects: Vec<_> = self
            .entries
            .values()
            .filter(|entry| is_expired(entry, State::Suspect, self.settings.suspect_timeout))
            .map(|entry| Fact {
                state: State::Dead,
                ..entry.fact.clone()
            })
            .collect();
        let mut changes: Vec<_> = suspects
            .into_iter()
            .filter_map(|fact| self.insert_fact(fact, Cause::SuspectTimeout, now))
            .collect();
        let forget_timeout = self.settings.forget_timeout;
        self.entries.retain(|host, entry| {
            let is_forgotten = is_expired(entry, State::Dead, forget_timeout)
                || is_expired(entry, State::Left, forget_timeout);
            if is_forgotten {
                changes.push(Change {
                    host: host.clone(),
                    from: Some(entry.fact.state),
                    to: None,
                    cause: Cause::Forgotten,
                });
            }
            !is_forgotten
        });
        changes
    }

    /// Marks this host as leaving in the fact that it publishes.
    pub fn leave(&mut self) {
        self.own.state = State::Left;
        self.own.version.refutations += 1;
    }

    /// Selects the facts of the next message: this host's own, then those sent least often. The
    /// size of a message doesn't grow with the fleet.
    pub fn facts_to_send(&mut self) -> Vec<Fact> {
        let fleet_size = u32::try_from(self.entries.len() + 2).unwrap_or(u32::MAX);
        let sent_limit = SEND_COUNT_FACTOR * fleet_size.ilog2().max(1);
        let mut selected: Vec<_> = self
            .entries
            .values_mut()
            .filter(|entry| entry.sent_count < sent_limit)
            .collect();
        selected.sort_unstable_by(|left, right| {
            (left.sent_count, &left.fact.host).cmp(&(right.sent_count, &right.fact.host))
        });
        selected.truncate(self.settings.facts_per_message);
        let mut facts = vec![self.own.clone()];
        for entry in selected {
            entry.sent_count += 1;
            facts.push(entry.fact.clone());
        }
        facts
    }

    /// Returns the fact that a probed host must receive so that it can refute a suspicion, or
    /// `None` if the host is unknown or alive.
    pub fn fact_for(&self, host: &HostId) -> Option<Fact> {
        let fact = self.get(host)?;
        (fact.state != State::Alive).then(|| fact.clone())
    }

    fn insert_fact(&mut self, fact: Fact, cause: Cause, now: Instant) -> Option<Change> {
        let known = self.entries.get(&fact.host);
        let from = known.map(|entry| entry.fact.state);
        let same_run_entry =
            known.filter(|entry| entry.fact.version.incarnation == fact.version.incarnation);
        let joined_at = same_run_entry.map_or(now, |entry| entry.joined_at);
        let state_since = match known {
            Some(entry) if from == Some(fact.state) => entry.state_since,
            Some(_) | None => now,
        };
        let change = Change {
            host: fact.host.clone(),
            from,
            to: Some(fact.state),
            cause,
        };
        let entry = Entry {
            state_since,
            joined_at,
            sent_count: 0,
            fact,
        };
        self.entries.insert(change.host.clone(), entry);
        (change.from != change.to).then_some(change)
    }

    /// Raises the version of this host's own fact above a received one that calls this run suspect,
    /// dead or departed, so that the own fact wins.
    fn refute(&mut self, received: &Fact) {
        if received.version.incarnation != self.own.version.incarnation
            || self.own.state == State::Left
        {
            return;
        }
        if received.state != State::Alive
            && received.version.refutations >= self.own.version.refutations
        {
            self.own.version.refutations = received.version.refutations + 1;
        }
    }
}
