//! The home's side of the shares: grants that together stay within a team's limits.

use std::{collections::HashMap, time::Instant};

use derive_more::{
    Display,
    Error, //
};
use foldhash::fast::RandomState;

use crate::{
    id::{
        HostId,
        Incarnation,
        TeamId, //
    },
    limits::{
        Amounts,
        Grant,
        Report,
        Settings,
        allocation::allocate,
        share::floor, //
    }, //
};

#[cfg(test)]
mod tests;

/// Factor by which a share may exceed the demand.
const SHARE_OVER_DEMAND: f64 = 1.3;
/// Part of an equal division that every active host may have whatever its demand.
const SHARE_EVEN_PART: f64 = 0.2;
/// Part by which a share must fall to be taken back.
const KEEP_PART: f64 = 0.2;
/// Part of a share's life after which a new home has heard of nearly all shares in force.
const HEARD_PART: f64 = 0.25;

/// A report that gets no share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Refusal {
    /// A newer report of the host, or of a later run of it, has been answered.
    #[display("a newer report has been answered")]
    Outdated,
}

/// The hosts as the home sees them when it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Hosts that live by gossip, this one included.
    pub alive_hosts: u32,
    /// Hosts in service by the platform's list.
    pub listed_hosts: u32,
}

impl Fleet {
    /// Number of hosts for a floor: the larger count, so that floors never add up to more than the
    /// limit.
    pub fn host_count(self) -> u32 {
        self.alive_hosts.max(self.listed_hosts).max(1)
    }

    /// Part of the limits that this side of a partition may grant.
    fn reachable_part(self, settings: &Settings) -> f64 {
        let part = f64::from(self.alive_hosts) / f64::from(self.host_count());
        if part >= settings.partition_share {
            1.0
        } else {
            part
        }
    }
}

/// What a home's answers depend on beside the reports.
#[derive(Clone, Copy, Debug)]
pub struct GrantContext<'a> {
    /// The team's limits over all hosts.
    pub limits: Amounts,
    /// The hosts as the home sees them.
    pub fleet: Fleet,
    /// Settings of the limits.
    pub settings: &'a Settings,
}

impl GrantContext<'_> {
    /// What the home may grant.
    fn pool(&self) -> Amounts {
        self.limits.scaled(self.fleet.reachable_part(self.settings))
    }
}

/// What the home counts as in use at one host.
#[derive(Debug)]
struct Holder {
    incarnation: Incarnation,
    number: u64,
    demand: Amounts,
    granted: Amounts,
    granted_until: Instant,
    /// What the host said it holds until it has the grant.
    held: Amounts,
    held_until: Instant,
}

impl Holder {
    fn outstanding(&self, now: Instant) -> Amounts {
        let mut outstanding = Amounts::default();
        if now < self.granted_until {
            outstanding = outstanding.max(self.granted);
        }
        if now < self.held_until {
            outstanding = outstanding.max(self.held);
        }
        outstanding
    }

    fn is_expired(&self, now: Instant) -> bool {
        now >= self.granted_until && now >= self.held_until
    }
}

/// Shares of one team that its home has granted.
#[derive(Debug)]
pub struct Ledger {
    /// When this host became the team's home. Shares of an earlier home run out one life later.
    since: Instant,
    /// Sum of what earlier homes counted for the hosts that have reported: at most the limits, by
    /// the earlier home's invariant, so that it may be granted anew while other shares are unknown.
    learned: Amounts,
    holders: HashMap<HostId, Holder, RandomState>,
}

impl Ledger {
    /// Starts a ledger. `since` is when this host became the team's home.
    pub fn new(since: Instant) -> Self {
        Self {
            since,
            learned: Amounts::default(),
            holders: HashMap::default(),
        }
    }

    /// Tells whether nothing is outstanding.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Sum of the shares in force.
    pub fn outstanding(&self, now: Instant) -> Amounts {
        self.holders
            .values()
            .map(|holder| holder.outstanding(now))
            .fold(Amounts::default(), Amounts::plus)
    }

    /// Drops shares that have run out.
    pub fn expire(&mut self, now: Instant) {
        self.holders.retain(|_, holder| !holder.is_expired(now));
    }

    /// Answers a report.
    ///
    /// Invariant, asserted: the grant and what every other host may still use fit together into the
    /// limits, unless the grant is nothing.
    ///
    /// # Errors
    ///
    /// A report that is out of date.
    pub fn report(
        &mut self,
        host: &HostId,
        incarnation: Incarnation,
        report: &Report,
        terms: &GrantContext<'_>,
        now: Instant,
    ) -> Result<Grant, Refusal> {
        let settings = terms.settings;
        self.expire(now);
        self.note(host, incarnation, report, settings, now)?;
        let pool = terms.pool();
        let others = self
            .holders
            .iter()
            .filter(|(name, _)| *name != host)
            .map(|(_, holder)| holder.outstanding(now))
            .fold(Amounts::default(), Amounts::plus);
        let free = pool.zip(others, |pool, others| (pool - others).max(0.0));
        let free = self.restrain(free, others, terms, now);
        let share = keep_nearly(self.due_share(host, pool, settings), report.held).min(free);
        let share = Amounts {
            open_requests: share.open_requests.floor(),
            ..share
        };
        assert!(
            share == Amounts::default() || share.plus(others.min(pool)).fits_in(pool),
            "shares of a team exceed its limits"
        );
        let holder = self
            .holders
            .get_mut(host)
            .expect("a host that reports is noted");
        holder.granted = share;
        holder.granted_until = now + settings.share_lifetime;
        Ok(Grant {
            number: report.number,
            share,
            lifetime: settings.share_lifetime,
        })
    }

    fn note(
        &mut self,
        host: &HostId,
        incarnation: Incarnation,
        report: &Report,
        settings: &Settings,
        now: Instant,
    ) -> Result<(), Refusal> {
        // A host can't hold a share for longer than the life of shares.
        let held_for = report.held_for.min(settings.share_lifetime);
        if let Some(holder) = self.holders.get(host) {
            let known = (holder.incarnation, holder.number);
            if (incarnation, report.number) <= known {
                return Err(Refusal::Outdated);
            }
        } else if now < self.since + settings.share_lifetime && !held_for.is_zero() {
            self.learned = self.learned.plus(report.counted.max(report.held));
        }
        // An earlier grant is void: the host obeys only the answer to its newest report, and what
        // it took over from earlier ones is in `held`.
        let holder = Holder {
            incarnation,
            number: report.number,
            demand: report.demand,
            granted: Amounts::default(),
            granted_until: now,
            held: report.held,
            held_until: now + held_for,
        };
        self.holders.insert(host.clone(), holder);
        Ok(())
    }

    /// Restrains a new home, which doesn't know every share of the earlier one, to what hosts have
    /// reported, and later to a floor for each host beside it.
    fn restrain(
        &self,
        free: Amounts,
        others: Amounts,
        terms: &GrantContext<'_>,
        now: Instant,
    ) -> Amounts {
        let life = terms.settings.share_lifetime;
        let age = now.saturating_duration_since(self.since);
        if age >= life {
            return free;
        }
        let known = self
            .learned
            .zip(others, |learned, others| (learned - others).max(0.0));
        let allowed = if age >= life.mul_f64(HEARD_PART) {
            known.max(floor(terms.limits, terms.fleet.host_count()))
        } else {
            known
        };
        free.min(allowed)
    }

    fn due_share(&self, host: &HostId, pool: Amounts, settings: &Settings) -> Amounts {
        let active = self.holders.len().max(1) as f64;
        let demand = self.holders[host].demand;
        let fair = Amounts {
            requests_per_s: self.fair(host, pool, settings, |amounts| amounts.requests_per_s),
            tokens_per_s: self.fair(host, pool, settings, |amounts| amounts.tokens_per_s),
            open_requests: self.fair(host, pool, settings, |amounts| amounts.open_requests),
        };
        let useful = demand
            .scaled(SHARE_OVER_DEMAND)
            .plus(pool.scaled(SHARE_EVEN_PART / active));
        let share = fair.min(useful);
        Amounts {
            // Slots are whole: a host that wants one gets one while any is free.
            open_requests: share.open_requests.max(demand.open_requests.min(1.0)),
            ..share
        }
    }

    fn fair(
        &self,
        host: &HostId,
        pool: Amounts,
        settings: &Settings,
        thing: impl Fn(Amounts) -> f64,
    ) -> f64 {
        let pool = thing(pool);
        let (names, demands): (Vec<_>, Vec<_>) = self
            .holders
            .iter()
            .map(|(name, holder)| (name, thing(holder.demand)))
            .unzip();
        let shares = allocate(pool, pool * settings.reserve_share, &demands);
        names
            .iter()
            .position(|name| *name == host)
            .map_or(0.0, |index| shares[index])
    }
}

/// Keeps what a host holds where it is due only little less: a share that is taken back lies idle
/// until the host has confirmed it, and demand measured anew is never quite the same.
fn keep_nearly(due: Amounts, held: Amounts) -> Amounts {
    due.zip(held, |due, held| {
        let nearly = due < held && due >= held * (1.0 - KEEP_PART);
        if nearly { held } else { due }
    })
}

/// The live hosts, and when each team's home last changed.
#[derive(Debug)]
pub struct Homes {
    /// Own name.
    own: HostId,
    /// Sets of live hosts with the moment from which each held, oldest first. Invariant: not empty.
    views: Vec<(Instant, Vec<HostId>)>,
}

impl Homes {
    /// Starts with this host alone. Every home may have changed just now.
    pub fn new(own: HostId, now: Instant) -> Self {
        Self {
            views: vec![(now, vec![own.clone()])],
            own,
        }
    }

    /// Takes over the live hosts; tells whether they changed.
    pub fn update(
        &mut self,
        mut live_hosts: Vec<HostId>,
        settings: &Settings,
        now: Instant,
    ) -> bool {
        live_hosts.sort_unstable();
        live_hosts.dedup();
        if self.live_hosts() == live_hosts {
            return false;
        }
        self.views.push((now, live_hosts));
        // The view that held one share's life ago is the oldest that matters.
        while self.views.len() > 1 && self.views[1].0 + settings.share_lifetime <= now {
            self.views.remove(0);
        }
        true
    }

    /// Hosts that live by the newest view, sorted.
    pub fn live_hosts(&self) -> &[HostId] {
        &self.views[self.views.len() - 1].1
    }

    /// A team's home by the newest view.
    pub fn home_of(&self, team: &TeamId) -> Option<&HostId> {
        crate::rendezvous::choose(team, self.live_hosts())
    }

    /// Since when this host is a team's home, or nothing where it isn't.
    pub fn home_since(&self, team: &TeamId) -> Option<Instant> {
        let mut since = None;
        for (from, hosts) in self.views.iter().rev() {
            if crate::rendezvous::choose(team, hosts) != Some(&self.own) {
                break;
            }
            since = Some(*from);
        }
        since
    }
}
