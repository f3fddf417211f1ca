//! The home's side of shares: grants that together stay within a team's limits.

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
const SHARE_PER_DEMAND: f64 = 1.3;
/// Fraction of an equal division that every active host may have in addition, whatever its demand.
const EVEN_SHARE_FRACTION: f64 = 0.2;
/// Fraction by which a share must fall before the home takes the difference back.
const RECLAIM_FRACTION: f64 = 0.2;
/// Fraction of a share's lifetime after which nearly all shares in force were reported to a new
/// home.
const MOST_REPORTED_FRACTION: f64 = 0.25;

/// Why a report gets no share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Refusal {
    /// A newer report of the host, or of a later run of it, has been answered.
    #[display("a newer report has been answered")]
    Outdated,
}

/// The hosts as the home sees them when it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Hosts that are alive according to gossip, this one included.
    pub alive_hosts: u32,
    /// Hosts in service according to the platform's list.
    pub listed_hosts: u32,
}

impl Fleet {
    /// Returns the number of hosts for a floor: the larger count, so that floors never add up to
    /// more than the limit.
    pub fn host_count(self) -> u32 {
        self.alive_hosts.max(self.listed_hosts).max(1)
    }

    /// Returns the fraction of the limits that this side of a partition may grant.
    fn grantable_fraction(self, settings: &Settings) -> f64 {
        let fraction = f64::from(self.alive_hosts) / f64::from(self.host_count());
        if fraction >= settings.partition_share {
            1.0
        } else {
            fraction
        }
    }
}

/// What a home's answers depend on besides the reports.
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
    /// Returns the amounts that the home may grant.
    fn pool(&self) -> Amounts {
        self.limits
            .scaled(self.fleet.grantable_fraction(self.settings))
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
    /// Amounts that the host keeps until it has the grant.
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
    /// When this host became the team's home. Shares of an earlier home expire one share lifetime
    /// later.
    since: Instant,
    /// Sum of what earlier homes counted for the hosts that have reported. By the earlier home's
    /// invariant it is at most the limits, so it may be granted again while other shares are
    /// unknown.
    inherited: Amounts,
    holders: HashMap<HostId, Holder, RandomState>,
}

impl Ledger {
    /// Returns an empty ledger. `since` is when this host became the team's home.
    pub fn new(since: Instant) -> Self {
        Self {
            since,
            inherited: Amounts::default(),
            holders: HashMap::default(),
        }
    }

    /// Returns whether no share is outstanding.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Returns the sum of the shares in force.
    pub fn outstanding(&self, now: Instant) -> Amounts {
        self.holders
            .values()
            .map(|holder| holder.outstanding(now))
            .fold(Amounts::default(), Amounts::plus)
    }

    /// Removes shares that have expired.
    pub fn expire(&mut self, now: Instant) {
        self.holders.retain(|_, holder| !holder.is_expired(now));
    }

    /// Answers a report.
    ///
    /// Invariant, asserted: the grant and what every other host may still use fit together into the
    /// limits, unless the grant is zero.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Outdated`] if a newer report of the host, or of a later run of it, has
    /// been answered.
    pub fn report(
        &mut self,
        host: &HostId,
        incarnation: Incarnation,
        report: &Report,
        context: &GrantContext<'_>,
        now: Instant,
    ) -> Result<Grant, Refusal> {
        let settings = context.settings;
        self.expire(now);
        self.record_report(host, incarnation, report, settings, now)?;
        let pool = context.pool();
        let others = self
            .holders
            .iter()
            .filter(|(id, _)| *id != host)
            .map(|(_, holder)| holder.outstanding(now))
            .fold(Amounts::default(), Amounts::plus);
        let free = pool.zip(others, |pool, others| (pool - others).max(0.0));
        let free = self.limit_after_takeover(free, others, context, now);
        let share =
            keep_small_decreases(self.compute_share(host, pool, settings), report.held).min(free);
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
            .expect("a host that reports is recorded");
        holder.granted = share;
        holder.granted_until = now + settings.share_lifetime;
        Ok(Grant {
            number: report.number,
            share,
            lifetime: settings.share_lifetime,
        })
    }

    fn record_report(
        &mut self,
        host: &HostId,
        incarnation: Incarnation,
        report: &Report,
        settings: &Settings,
        now: Instant,
    ) -> Result<(), Refusal> {
        // A host can't hold a share for longer than the lifetime of shares.
        let held_for = report.held_for.min(settings.share_lifetime);
        if let Some(holder) = self.holders.get(host) {
            let newest = (holder.incarnation, holder.number);
            if (incarnation, report.number) <= newest {
                return Err(Refusal::Outdated);
            }
        } else if now < self.since + settings.share_lifetime && !held_for.is_zero() {
            self.inherited = self.inherited.plus(report.counted.max(report.held));
        }
        // An earlier grant is void: the host applies only the answer to its newest report, and what
        // it kept of earlier grants is in `held`.
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

    /// Limits what a new home grants while it doesn't know every share of the earlier home. At
    /// first it may grant only what hosts have reported, and later a floor for each host if that is
    /// more.
    fn limit_after_takeover(
        &self,
        free: Amounts,
        others: Amounts,
        context: &GrantContext<'_>,
        now: Instant,
    ) -> Amounts {
        let lifetime = context.settings.share_lifetime;
        let age = now.saturating_duration_since(self.since);
        if age >= lifetime {
            return free;
        }
        let inherited_left = self
            .inherited
            .zip(others, |inherited, others| (inherited - others).max(0.0));
        let allowed = if age >= lifetime.mul_f64(MOST_REPORTED_FRACTION) {
            inherited_left.max(floor(context.limits, context.fleet.host_count()))
        } else {
            inherited_left
        };
        free.min(allowed)
    }

    fn compute_share(&self, host: &HostId, pool: Amounts, settings: &Settings) -> Amounts {
        let active = self.holders.len().max(1) as f64;
        let demand = self.holders[host].demand;
        let allocated = Amounts {
            requests_per_s: self.allocated(host, pool, settings, |amounts| amounts.requests_per_s),
            tokens_per_s: self.allocated(host, pool, settings, |amounts| amounts.tokens_per_s),
            open_requests: self.allocated(host, pool, settings, |amounts| amounts.open_requests),
        };
        let usable = demand
            .scaled(SHARE_PER_DEMAND)
            .plus(pool.scaled(EVEN_SHARE_FRACTION / active));
        let share = allocated.min(usable);
        Amounts {
            // Open requests are whole: a host that wants one gets one while any is free.
            open_requests: share.open_requests.max(demand.open_requests.min(1.0)),
            ..share
        }
    }

    fn allocated(
        &self,
        host: &HostId,
        pool: Amounts,
        settings: &Settings,
        dimension: impl Fn(Amounts) -> f64,
    ) -> f64 {
        let pool = dimension(pool);
        let (hosts, demands): (Vec<_>, Vec<_>) = self
            .holders
            .iter()
            .map(|(id, holder)| (id, dimension(holder.demand)))
            .unzip();
        let shares = allocate(pool, pool * settings.reserve_share, &demands);
        hosts
            .iter()
            .position(|id| *id == host)
            .map_or(0.0, |index| shares[index])
    }
}

/// Keeps what a host holds if its new share is only slightly smaller. An amount that is taken back
/// stays unused until the host has confirmed the decrease, and the measured demand always varies a
/// little.
fn keep_small_decreases(computed: Amounts, held: Amounts) -> Amounts {
    computed.zip(held, |computed, held| {
        let is_slightly_lower = computed < held && computed >= held * (1.0 - RECLAIM_FRACTION);
        if is_slightly_lower { held } else { computed }
    })
}

/// The live hosts, and when each team's home last changed.
#[derive(Debug)]
pub struct Homes {
    /// Id of this host.
    own_host: HostId,
    /// Sets of live hosts, each with the moment from which it was valid, oldest first. Invariant:
    /// not empty.
    views: Vec<(Instant, Vec<HostId>)>,
}

impl Homes {
    /// Starts with this host alone, as if the home of every team had changed now.
    pub fn new(own_host: HostId, now: Instant) -> Self {
        Self {
            views: vec![(now, vec![own_host.clone()])],
            own_host,
        }
    }

    /// Stores the live hosts and returns whether they changed.
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
        // The view that was valid one share lifetime ago is the oldest one that matters.
        while self.views.len() > 1 && self.views[1].0 + settings.share_lifetime <= now {
            self.views.remove(0);
        }
        true
    }

    /// Returns the live hosts by the newest view, sorted.
    pub fn live_hosts(&self) -> &[HostId] {
        &self.views[self.views.len() - 1].1
    }

    /// Returns a team's home by the newest view, or `None` if that has no live host.
    pub fn home_of(&self, team: &TeamId) -> Option<&HostId> {
        crate::rendezvous::choose(team, self.live_hosts())
    }

    /// Returns since when this host is a team's home, or `None` if it isn't.
    pub fn home_since(&self, team: &TeamId) -> Option<Instant> {
        let mut since = None;
        for (from, hosts) in self.views.iter().rev() {
            if crate::rendezvous::choose(team, hosts) != Some(&self.own_host) {
                break;
            }
            since = Some(*from);
        }
        since
    }
}
