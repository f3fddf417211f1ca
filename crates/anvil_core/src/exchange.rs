//! Exchange of what hosts observe, by a few relays in each data centre.
//!
//! Load that it answers: hundreds of hosts that each need the sum of the others' loads. If each sent
//! its own to every other, messages would grow with the square of the fleet. Here each host reports
//! to two relays of its data centre, which answer with the sum over all other hosts and exchange the
//! sums of their data centres. What a host sends doesn't depend on the size of the fleet, and what a
//! relay sends grows with the hosts of its data centre, up to [`REPORTS_PER_S_MAX`].
//!
//! The relays are the first two hosts of a data centre that answer, in an order that all hosts derive
//! from the host list alone: no message appoints them. Each host judges by its own messages who
//! answers, so that hosts may disagree for a while. This costs completeness of the sums, and nothing
//! else: no duty depends on agreement about the relays.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    rc::Rc,
    time::Duration, //
};

use crate::{
    id::{
        DataCentreId,
        HostId, //
    },
    rendezvous,
};

use contact::Contact;

pub use summary::{
    Presence,
    Summary,
    TargetLoad, //
};

mod contact;
mod summary;
mod sums;

#[cfg(test)]
mod tests;

/// Shortest interval between two reports of a host to its first relay. Two hosts that choose targets
/// within one interval don't know of each other's requests.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(150);
/// Most reports a second that the hosts of a data centre send to one relay. With more hosts, each
/// reports less often.
pub const REPORTS_PER_S_MAX: f64 = 400.0;
/// Time without a message after which a host no longer counts as live, and after which what it said
/// is dropped.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Relays of a data centre. With two, the loss of one is made up for by the next report.
const RELAYS_PER_DATA_CENTRE: usize = 2;
/// Rounds between two reports to the second relay, and to a host that may become a relay.
const SECOND_RELAY_ROUNDS: u64 = 4;
/// Rounds between two exchanges with the relays of another data centre.
const REGION_ROUNDS: u64 = 2;
/// Rounds between two messages to hosts that come before the relays in the order and don't answer.
const PROBE_ROUNDS: u64 = 4;
/// Hosts that are probed in one round while there are fewer relays than there should be.
const PROBES_MAX: usize = 3;
/// Other data centres whose readers make up for the loss of a reader.
const OTHER_REGIONS_MIN: usize = 2;
/// Key of the order in which hosts with equal processor time become relays.
const RELAY_ORDER_KEY: &str = "relay";

/// A host as the host list names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostRecord {
    /// Name of the host.
    pub id: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Processor time available to the host, in thousandths of a core.
    pub processor_millis: u32,
    /// Number that tells one run of the host's process from the next.
    pub run: u64,
}

/// What a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MessageKind {
    /// A host's own observations, for a relay of its data centre. Answered by [`Self::Summary`].
    Report,
    /// Observations of all other hosts, from a relay.
    Summary,
    /// Observations of the hosts of the sender's data centre, for a relay of another one.
    Region,
    /// The same, as the answer of a host that doesn't send them by itself.
    RegionAnswer,
}

/// A message that was received.
#[derive(Clone, Debug)]
pub struct Message {
    /// What the message is for.
    pub kind: MessageKind,
    /// Sender's clock when it sent the message. Messages that aren't newer than the last one are
    /// dropped.
    pub sent: u64,
    /// Observations that it carries.
    pub summary: Summary,
    /// Whether loads of some targets were left out because the message would have been too large.
    pub is_cut: bool,
}

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Receiver of the message.
    pub to: HostId,
    /// What the message is for.
    pub kind: MessageKind,
}

/// A change of this host's part in the exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// This host became a relay, or is none any more.
    IsRelay(bool),
    /// This host takes the sum from another relay. `None` stands for this host, which adds up the
    /// reports.
    FirstRelay {
        /// First relay before.
        before: Option<HostId>,
        /// First relay from now on.
        after: Option<HostId>,
        /// Why it changed.
        reason: &'static str,
    },
}

/// Observations with the time of their arrival.
#[derive(Clone, Debug)]
struct Received {
    at: Duration,
    summary: Rc<Summary>,
    /// Arrival of each load, if some were left out of the last message.
    load_times: Option<BTreeMap<u32, Duration>>,
}

impl Received {
    fn is_fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.at) < SILENCE_TIMEOUT
    }
}

#[derive(Clone, Debug)]
struct Peer {
    data_centre: DataCentreId,
    processor_millis: u32,
    run: u64,
    /// Whether the host list names the host.
    is_listed: bool,
    /// Sender's clock in the last message that was taken.
    last_sent: Option<u64>,
    heard_at: Option<Duration>,
    contact: Contact,
    /// Whether the host's last message was one that only relays send.
    acts_as_relay: bool,
    answer: Option<Received>,
}

/// One host's part in the exchange.
#[derive(Debug)]
pub struct Exchange {
    own: HostRecord,
    /// When the host list was first taken over. Hosts that answer soon after need not prove
    /// themselves.
    listed_at: Option<Duration>,
    peers: BTreeMap<HostId, Peer>,
    /// Hosts by data centre, this one included, in the order in which they become relays.
    order: BTreeMap<DataCentreId, Vec<HostId>>,
    /// Last report of each host that reports to this one.
    reports: BTreeMap<HostId, Received>,
    /// Sum of the reports. Invariant: each of `reports` is added once.
    members: Summary,
    /// Hosts of this data centre from which a message has arrived.
    heard_members: BTreeSet<HostId>,
    /// Last observations of other data centres, by the host that sent them.
    regions: BTreeMap<HostId, Received>,
    round: u64,
    /// Position in the order of the next silent host to probe, by data centre.
    probe_position: BTreeMap<DataCentreId, usize>,
    was_relay: bool,
    first_relay: Option<HostId>,
    /// Observations of all other hosts, and when they were put together. Dropped when a message
    /// arrives.
    view: Option<(Duration, Rc<Summary>)>,
}

impl Exchange {
    /// Creates the part of a host that knows of no other host.
    pub fn new(own: HostRecord) -> Self {
        let order = BTreeMap::from([(own.data_centre.clone(), vec![own.id.clone()])]);
        Self {
            own,
            listed_at: None,
            peers: BTreeMap::new(),
            order,
            reports: BTreeMap::new(),
            members: Summary::default(),
            heard_members: BTreeSet::new(),
            regions: BTreeMap::new(),
            round: 0,
            probe_position: BTreeMap::new(),
            was_relay: false,
            first_relay: None,
            view: None,
        }
    }

    /// Takes over the host list. Hosts that are no longer listed are not chosen as relays any more;
    /// what they say still counts.
    pub fn replace_list(&mut self, hosts: impl IntoIterator<Item = HostRecord>, now: Duration) {
        self.listed_at.get_or_insert(now);
        for peer in self.peers.values_mut() {
            peer.is_listed = false;
        }
        for host in hosts {
            if host.id != self.own.id {
                self.insert(host);
            }
        }
        self.sort_order();
    }

    fn insert(&mut self, host: HostRecord) {
        if let Some(peer) = self.peers.get_mut(&host.id)
            && peer.run == host.run
        {
            peer.is_listed = true;
            return;
        }
        self.drop_report(&host.id);
        self.heard_members.remove(&host.id);
        self.regions.remove(&host.id);
        let peer = Peer {
            data_centre: host.data_centre,
            processor_millis: host.processor_millis,
            run: host.run,
            is_listed: true,
            last_sent: None,
            heard_at: None,
            contact: Contact::default(),
            acts_as_relay: false,
            answer: None,
        };
        self.peers.insert(host.id, peer);
        self.view = None;
    }

    fn sort_order(&mut self) {
        let mut keyed: BTreeMap<DataCentreId, Vec<_>> = BTreeMap::new();
        let own = (
            &self.own.id,
            &self.own.data_centre,
            self.own.processor_millis,
        );
        let listed = self.peers.iter().filter(|(_, peer)| peer.is_listed);
        let listed = listed.map(|(id, peer)| (id, &peer.data_centre, peer.processor_millis));
        for (id, data_centre, processor_millis) in listed.chain([own]) {
            let score = rendezvous::score(RELAY_ORDER_KEY, id);
            keyed.entry(data_centre.clone()).or_default().push((
                processor_millis,
                score,
                id.clone(),
            ));
        }
        self.order = keyed
            .into_iter()
            .map(|(data_centre, mut hosts)| {
                hosts.sort_unstable_by(|left, right| right.cmp(left));
                let ids = hosts.into_iter().map(|(_, _, id)| id).collect();
                (data_centre, ids)
            })
            .collect();
    }

    /// Returns the first hosts of a data centre, in the order, that are relied on. This host always
    /// counts among those of its own.
    fn relays_of(&self, data_centre: &DataCentreId, now: Duration) -> Vec<HostId> {
        let order = self.order.get(data_centre).into_iter().flatten();
        order
            .filter(|id| {
                **id == self.own.id
                    || self
                        .peers
                        .get(*id)
                        .is_some_and(|peer| peer.contact.is_reliable(now))
            })
            .take(RELAYS_PER_DATA_CENTRE)
            .cloned()
            .collect()
    }

    /// Returns whether this host is a relay of its data centre, as far as it knows.
    pub fn is_relay(&self, now: Duration) -> bool {
        self.relays_of(&self.own.data_centre, now)
            .contains(&self.own.id)
    }

    /// Returns whether this host is one of those that read the store for the others: the first relay
    /// of each data centre, and the second one too while less than two other data centres are heard
    /// that would make up for the loss of the first.
    pub fn is_reader(&self, now: Duration) -> bool {
        let relays = self.relays_of(&self.own.data_centre, now);
        match relays.iter().position(|id| *id == self.own.id) {
            None => false,
            Some(0) => true,
            Some(_) => self.heard_regions(now) < OTHER_REGIONS_MIN,
        }
    }

    /// Returns the number of other data centres whose relays were heard recently.
    fn heard_regions(&self, now: Duration) -> usize {
        let fresh = self
            .regions
            .iter()
            .filter(|(_, region)| region.is_fresh(now));
        let data_centres: BTreeSet<&DataCentreId> = fresh
            .filter_map(|(id, _)| Some(&self.peers.get(id)?.data_centre))
            .collect();
        data_centres.len()
    }

    /// Returns the relays of this host's data centre but for itself, the first one first.
    pub fn other_relays(&self, now: Duration) -> Vec<HostId> {
        let mut relays = self.relays_of(&self.own.data_centre, now);
        relays.retain(|id| *id != self.own.id);
        relays
    }

    /// Returns whether this host is the one among the relays of all data centres that does the work
    /// for a key. A host that hears no other one chooses among all that are listed.
    pub fn is_chosen(&self, key: &str, now: Duration) -> bool {
        let relays = self.relays_of(&self.own.data_centre, now);
        if !relays.contains(&self.own.id) {
            return false;
        }
        if !self.peers.is_empty() && !self.hears_any(now) {
            // Others may be isolated, too, and take themselves for relays.
            let listed = self.order.values().flatten();
            return rendezvous::choose(key, listed) == Some(&self.own.id);
        }
        let remote = self.regions.iter().filter(|(id, region)| {
            let acts_as_relay = self.peers.get(*id).is_some_and(|peer| peer.acts_as_relay);
            acts_as_relay && region.is_fresh(now)
        });
        let candidates = relays.iter().chain(remote.map(|(id, _)| id));
        rendezvous::choose(key, candidates) == Some(&self.own.id)
    }

    /// Returns the interval between two rounds.
    pub fn interval(&self) -> Duration {
        let hosts = self.order.get(&self.own.data_centre).map_or(1, Vec::len);
        ROUND_INTERVAL.max(Duration::from_secs_f64(hosts as f64 / REPORTS_PER_S_MAX))
    }

    /// Returns the messages of a round, which is due every [`Exchange::interval`], and what changed
    /// in this host's part.
    pub fn round(&mut self, now: Duration) -> (Vec<Outgoing>, Vec<Change>) {
        self.expire(now);
        let round = self.round;
        self.round += 1;
        let mut outgoing = Vec::new();
        let data_centre = self.own.data_centre.clone();
        let relays = self.relays_of(&data_centre, now);
        for (index, id) in relays.iter().enumerate() {
            let is_due = index == 0 || round.is_multiple_of(SECOND_RELAY_ROUNDS);
            if *id != self.own.id && is_due {
                self.push(&mut outgoing, id.clone(), MessageKind::Report);
            }
        }
        for id in self.probes(&data_centre, &relays, round) {
            self.push(&mut outgoing, id, MessageKind::Report);
        }
        let is_relay = relays.contains(&self.own.id);
        if is_relay && round.is_multiple_of(REGION_ROUNDS) {
            let others: Vec<DataCentreId> = self
                .order
                .keys()
                .filter(|other| **other != data_centre && !other.is_empty())
                .cloned()
                .collect();
            for other in others {
                let remote = self.relays_of(&other, now);
                let probes = self.probes(&other, &remote, round);
                for id in remote.into_iter().chain(probes) {
                    self.push(&mut outgoing, id, MessageKind::Region);
                }
            }
        }
        (outgoing, self.changes(&relays))
    }

    fn push(&mut self, outgoing: &mut Vec<Outgoing>, to: HostId, kind: MessageKind) {
        if let Some(peer) = self.peers.get_mut(&to) {
            peer.contact.record_sent();
            outgoing.push(Outgoing { to, kind });
        }
    }

    /// Returns the hosts of a data centre that are to be tried in a round because they come before
    /// the last relay in the order, or because there are too few relays.
    fn probes(&mut self, data_centre: &DataCentreId, relays: &[HostId], round: u64) -> Vec<HostId> {
        let Some(order) = self.order.get(data_centre) else {
            return Vec::new();
        };
        let is_complete = relays.len() >= RELAYS_PER_DATA_CENTRE;
        let end = match relays.last() {
            Some(last) if is_complete => order.iter().position(|id| id == last),
            Some(_) | None => None,
        };
        let is_candidate = |id: &&HostId| **id != self.own.id && !relays.contains(*id);
        let candidates: Vec<&HostId> = order[..end.unwrap_or(order.len())]
            .iter()
            .filter(is_candidate)
            .collect();
        let mut probes: Vec<HostId> = Vec::new();
        let mut silent: Vec<&HostId> = Vec::new();
        for id in candidates {
            let is_answering = self
                .peers
                .get(id)
                .is_some_and(|peer| peer.contact.is_answering());
            if !is_answering {
                silent.push(id);
            } else if round.is_multiple_of(SECOND_RELAY_ROUNDS) {
                probes.push(id.clone());
            }
        }
        let count = match is_complete {
            true if round.is_multiple_of(PROBE_ROUNDS) => 1,
            true => 0,
            false => PROBES_MAX,
        };
        if silent.is_empty() || count == 0 {
            return probes;
        }
        let position = self.probe_position.entry(data_centre.clone()).or_insert(0);
        let tried = count.min(silent.len());
        let chosen = (0..tried).map(|index| silent[(*position + index) % silent.len()].clone());
        probes.extend(chosen);
        *position = (*position + tried) % silent.len();
        probes
    }

    fn changes(&mut self, relays: &[HostId]) -> Vec<Change> {
        let mut changes = Vec::new();
        let is_relay = relays.contains(&self.own.id);
        if is_relay != self.was_relay {
            self.was_relay = is_relay;
            changes.push(Change::IsRelay(is_relay));
        }
        let first_relay = relays.first().filter(|id| **id != self.own.id).cloned();
        if first_relay != self.first_relay {
            let before = std::mem::replace(&mut self.first_relay, first_relay.clone());
            self.view = None;
            let peer = before.as_ref().and_then(|id| self.peers.get(id));
            let reason = match peer {
                Some(peer) if !peer.contact.is_answering() => "silent",
                Some(_) | None => "order",
            };
            changes.push(Change::FirstRelay {
                before,
                after: first_relay,
                reason,
            });
        }
        changes
    }

    /// Returns the hosts that a relay informs without waiting for their reports: those that report to
    /// it, and the relays of other data centres.
    pub fn urgent_recipients(&self, now: Duration) -> Vec<Outgoing> {
        let relays = self.relays_of(&self.own.data_centre, now);
        let mut outgoing: Vec<Outgoing> = relays
            .iter()
            .filter(|id| **id != self.own.id)
            .map(|id| Outgoing {
                to: id.clone(),
                kind: MessageKind::Report,
            })
            .collect();
        if !relays.contains(&self.own.id) {
            return outgoing;
        }
        let members = self.members_heard(now).filter(|id| !relays.contains(*id));
        outgoing.extend(members.map(|id| Outgoing {
            to: id.clone(),
            kind: MessageKind::Summary,
        }));
        for data_centre in self.order.keys() {
            if *data_centre != self.own.data_centre {
                let remote = self.relays_of(data_centre, now).into_iter();
                outgoing.extend(remote.map(|to| Outgoing {
                    to,
                    kind: MessageKind::Region,
                }));
            }
        }
        outgoing
    }

    /// Returns whether a message arrived from another host recently.
    pub fn hears_any(&self, now: Duration) -> bool {
        self.peers.values().any(|peer| {
            peer.heard_at
                .is_some_and(|at| now.saturating_sub(at) < SILENCE_TIMEOUT)
        })
    }

    /// Returns whether a message ever arrived from another host.
    pub fn has_heard_any(&self) -> bool {
        self.peers.values().any(|peer| peer.heard_at.is_some())
    }

    /// Returns the name of this host.
    pub fn own_id(&self) -> &HostId {
        &self.own.id
    }

    /// Returns the other hosts that the host list names, with their data centres.
    pub fn listed_hosts(&self) -> impl Iterator<Item = (&HostId, &DataCentreId)> {
        let listed = self.peers.iter().filter(|(_, peer)| peer.is_listed);
        listed.map(|(id, peer)| (id, &peer.data_centre))
    }

    /// Returns the data centre of another host that was ever listed.
    pub fn data_centre_of(&self, id: &HostId) -> Option<&DataCentreId> {
        self.peers.get(id).map(|peer| &peer.data_centre)
    }

    /// Returns the number of other hosts that were ever listed.
    pub fn known_hosts(&self) -> usize {
        self.peers.len()
    }
}
