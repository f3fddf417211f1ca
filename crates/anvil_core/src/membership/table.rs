//! The table of hosts: merges facts, times out suspects, and chooses what to pass on.

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

/// Factor on the logarithm of the fleet's size that gives how often a fact is passed on.
const SPREAD_FACTOR: u32 = 3;

/// Why the table changed its mind about a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The platform's list names a host that was not known.
    Listed,
    /// Another host said so.
    Gossip,
    /// It did not answer a probe.
    ProbeFailed,
    /// It did not refute a suspicion in time.
    SuspectTimeout,
    /// Its entry was old enough to be forgotten.
    Forgotten,
}

impl Cause {
    /// Stable name for logs.
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

/// A change of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The host.
    pub host: HostId,
    /// State before; nothing for a new one.
    pub from: Option<State>,
    /// State after; nothing for a forgotten one.
    pub to: Option<State>,
    /// Why.
    pub cause: Cause,
}

#[derive(Debug)]
struct Entry {
    fact: Fact,
    /// Since when the state holds.
    since: Instant,
    /// When this run of the host was first seen.
    joined: Instant,
    /// Times that the fact has been passed on.
    sent_count: u32,
}

/// An entry of the platform's list, as the table needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// The host.
    pub host: HostId,
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
}

/// What this host knows of the fleet.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    /// The host's own word. Invariant: its age never falls.
    own: Fact,
    /// Other hosts. Invariant: never holds the own name.
    entries: HashMap<HostId, Entry, RandomState>,
    /// Hosts in service by the newest list.
    listed_hosts: usize,
}

impl Table {
    /// Starts with this host alone.
    ///
    /// # Panics
    ///
    /// Settings that break their invariants.
    pub fn new(own: Fact, settings: Settings) -> Self {
        settings.check();
        Self {
            settings,
            own,
            entries: HashMap::default(),
            listed_hosts: 0,
        }
    }

    /// The host's own word.
    pub fn own(&self) -> &Fact {
        &self.own
    }

    /// Sets the address of this host's peer listener.
    pub fn set_address(&mut self, address: SocketAddr) {
        self.own.address = address;
    }

    /// Other hosts that live, in no order.
    pub fn live(&self) -> impl Iterator<Item = &Fact> + Clone {
        self.entries
            .values()
            .map(|entry| &entry.fact)
            .filter(|fact| fact.state.is_live())
    }

    /// Names of the live hosts, this one included unless it leaves.
    pub fn live_names(&self) -> Vec<HostId> {
        let own = self.own.state.is_live().then(|| self.own.host.clone());
        self.live()
            .map(|fact| fact.host.clone())
            .chain(own)
            .collect()
    }

    /// Names of the hosts that live and aren't suspected, this one included unless it leaves.
    pub fn alive_names(&self) -> Vec<HostId> {
        let own = self.own.state.is_live().then(|| self.own.host.clone());
        self.live()
            .filter(|fact| fact.state == State::Alive)
            .map(|fact| fact.host.clone())
            .chain(own)
            .collect()
    }

    /// Hosts that are suspected now, with the age of the word on which that rests.
    pub fn suspects(&self) -> impl Iterator<Item = (&HostId, FactVersion)> {
        self.live()
            .filter(|fact| fact.state == State::Suspect)
            .map(|fact| (&fact.host, fact.version))
    }

    /// Takes in another host's suspicion, which counts like gossip.
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

    /// What is known of another host.
    pub fn get(&self, host: &HostId) -> Option<&Fact> {
        self.entries.get(host).map(|entry| &entry.fact)
    }

    /// Time since this run of a host was first seen.
    pub fn joined_for(&self, host: &HostId, now: Instant) -> Option<Duration> {
        let entry = self.entries.get(host)?;
        Some(now.saturating_duration_since(entry.joined))
    }

    /// Number of hosts in service by the newest list.
    pub fn listed_hosts(&self) -> usize {
        self.listed_hosts
    }

    /// Takes over the platform's list. A listed host that isn't known is taken for alive with no
    /// word of its own, so that any word of it, or a failed probe, wins.
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
            changes.extend(self.put(fact, Cause::Listed, now));
        }
        changes
    }

    /// Takes in a fact from another host.
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
        self.put(fact, Cause::Gossip, now)
    }

    /// Counts a probe, direct and indirect, that a host did not answer.
    pub fn probe_failed(&mut self, host: &HostId, now: Instant) -> Option<Change> {
        let fact = &self.entries.get(host)?.fact;
        if fact.state != State::Alive {
            return None;
        }
        let suspect = Fact {
            state: State::Suspect,
            ..fact.clone()
        };
        self.put(suspect, Cause::ProbeFailed, now)
    }

    /// Declares suspects dead and forgets hosts long gone.
    pub fn advance(&mut self, now: Instant) -> Vec<Change> {
        let due = |entry: &Entry, state: State, after: Duration| {
            entry.fact.state == state && now.saturating_duration_since(entry.since) >= after
        };
        let suspects: Vec<_> = self
            .entries
            .values()
            .filter(|entry| due(entry, State::Suspect, self.settings.suspect_timeout))
            .map(|entry| Fact {
                state: State::Dead,
                ..entry.fact.clone()
            })
            .collect();
        let mut changes: Vec<_> = suspects
            .into_iter()
            .filter_map(|fact| self.put(fact, Cause::SuspectTimeout, now))
            .collect();
        let forget_timeout = self.settings.forget_timeout;
        self.entries.retain(|host, entry| {
            let forget =
                due(entry, State::Dead, forget_timeout) || due(entry, State::Left, forget_timeout);
            if forget {
                changes.push(Change {
                    host: host.clone(),
                    from: Some(entry.fact.state),
                    to: None,
                    cause: Cause::Forgotten,
                });
            }
            !forget
        });
        changes
    }

    /// Says that this host leaves.
    pub fn leave(&mut self) {
        self.own.state = State::Left;
        self.own.version.refutations += 1;
    }

    /// Chooses the facts of the next message: the own one, then those passed on least often. The
    /// size of a message doesn't grow with the fleet.
    pub fn facts_to_send(&mut self) -> Vec<Fact> {
        let fleet = u32::try_from(self.entries.len() + 2).unwrap_or(u32::MAX);
        let sent_limit = SPREAD_FACTOR * fleet.ilog2().max(1);
        let mut fresh: Vec<_> = self
            .entries
            .values_mut()
            .filter(|entry| entry.sent_count < sent_limit)
            .collect();
        fresh.sort_unstable_by(|left, right| {
            (left.sent_count, &left.fact.host).cmp(&(right.sent_count, &right.fact.host))
        });
        fresh.truncate(self.settings.facts_per_message);
        let mut facts = vec![self.own.clone()];
        for entry in fresh {
            entry.sent_count += 1;
            facts.push(entry.fact.clone());
        }
        facts
    }

    /// The fact that a probed host must hear, so that it can refute a suspicion.
    pub fn fact_for(&self, host: &HostId) -> Option<Fact> {
        let fact = self.get(host)?;
        (fact.state != State::Alive).then(|| fact.clone())
    }

    fn put(&mut self, fact: Fact, cause: Cause, now: Instant) -> Option<Change> {
        let known = self.entries.get(&fact.host);
        let from = known.map(|entry| entry.fact.state);
        let same_run =
            known.filter(|entry| entry.fact.version.incarnation == fact.version.incarnation);
        let joined = same_run.map_or(now, |entry| entry.joined);
        let since = match known {
            Some(entry) if from == Some(fact.state) => entry.since,
            Some(_) | None => now,
        };
        let change = Change {
            host: fact.host.clone(),
            from,
            to: Some(fact.state),
            cause,
        };
        let entry = Entry {
            since,
            joined,
            sent_count: 0,
            fact,
        };
        self.entries.insert(change.host.clone(), entry);
        (change.from != change.to).then_some(change)
    }

    /// The own word wins against any other on this run: it is raised above what was said.
    fn refute(&mut self, said: &Fact) {
        if said.version.incarnation != self.own.version.incarnation || self.own.state == State::Left
        {
            return;
        }
        if said.state != State::Alive && said.version.refutations >= self.own.version.refutations {
            self.own.version.refutations = said.version.refutations + 1;
        }
    }
}
