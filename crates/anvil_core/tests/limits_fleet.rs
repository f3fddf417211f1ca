//! Shares of one team over 20 hosts, in virtual time: demand that moves, and a home that dies.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use anvil_core::{
    id::HostId,
    limits::{
        Amounts,
        Grant,
        Settings,
        demand::{
            Reporter,
            Unanswered,
            Urgency, //
        },
        home::{
            Fleet,
            GrantContext,
            Ledger, //
        },
        share::{
            Ask,
            Share,
            floor, //
        }, //
    }, //
};
use googletest::prelude::*;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

const HOSTS: u32 = 20;
const LIMITS: Amounts = Amounts {
    requests_per_s: 1000.0,
    tokens_per_s: 1e9,
    open_requests: 1e6,
};
const TICK: Duration = Duration::from_millis(1);
const LOOK_TICKS: u32 = 25;
const FLEET: Fleet = Fleet {
    alive_hosts: HOSTS,
    listed_hosts: HOSTS,
};

struct Host {
    id: HostId,
    share: Arc<Share>,
    reporter: Reporter,
    rate_per_s: f64,
}

struct World {
    now: Instant,
    settings: Settings,
    hosts: Vec<Host>,
    /// The home's ledger; nothing while the home is dead.
    ledger: Option<Ledger>,
    /// Answers on their way, with the tick at which they arrive.
    flying: Vec<(Instant, usize, Grant)>,
    rng: StdRng,
    offered: u32,
    admitted: u32,
}

impl World {
    fn new(seed: u64) -> Self {
        let now = Instant::now() + Duration::from_secs(1000);
        let settings = Settings::default();
        let hosts = (0..HOSTS)
            .map(|index| Host {
                id: format!("host-{index}").into(),
                share: Arc::new(Share::new(&settings, LIMITS, HOSTS, now)),
                reporter: Reporter::new(0, now),
                rate_per_s: 0.0,
            })
            .collect();
        Self {
            now,
            settings,
            hosts,
            ledger: Some(Ledger::new(now - settings.share_lifetime)),
            flying: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            offered: 0,
            admitted: 0,
        }
    }

    /// Gives every host a new rate; some have none. The rates add up to `total_per_s`.
    fn move_demand(&mut self, total_per_s: f64) {
        let weights: Vec<_> = (0..HOSTS)
            .map(|_| match self.rng.random_bool(0.6) {
                true => 10_f64.powf(self.rng.random_range(0.0..1.0)),
                false => 0.0,
            })
            .collect();
        let sum: f64 = weights.iter().sum();
        for (host, weight) in self.hosts.iter_mut().zip(weights) {
            host.rate_per_s = total_per_s * weight / sum;
        }
    }

    fn run(&mut self, time: Duration) {
        for tick in 0..u32::try_from(time.as_millis()).unwrap() {
            self.now += TICK;
            self.deliver();
            for index in 0..self.hosts.len() {
                self.arrivals(index);
                if tick % LOOK_TICKS == index as u32 {
                    self.report(index, Urgency::Interval);
                }
            }
        }
    }

    fn arrivals(&mut self, index: usize) {
        let host = &self.hosts[index];
        let probability = host.rate_per_s * TICK.as_secs_f64();
        if !self.rng.random_bool(probability.min(1.0)) {
            return;
        }
        self.offered += 1;
        match host.share.try_charge(100, self.now) {
            Ok(charge) => {
                charge.close(100);
                self.admitted += 1;
            }
            Err(exceeded) if exceeded.ask == Ask::Now => self.report(index, Urgency::RequestWaits),
            Err(_) => {}
        }
    }

    fn report(&mut self, index: usize, urgency: Urgency) {
        let host = &mut self.hosts[index];
        let report = host
            .reporter
            .report(&host.share, &self.settings, urgency, self.now);
        let Some(report) = report else { return };
        let Some(ledger) = &mut self.ledger else {
            let settings = &self.settings;
            let floor = floor(LIMITS, HOSTS);
            host.reporter
                .fail(&host.share, Unanswered::NotSent, floor, settings, self.now);
            return;
        };
        let terms = GrantContext {
            limits: LIMITS,
            fleet: FLEET,
            settings: &self.settings,
        };
        let grant = ledger.report(&host.id, 1, &report, &terms, self.now);
        self.flying
            .push((self.now + TICK * 2, index, grant.unwrap()));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let hosts = &mut self.hosts;
        self.flying.retain(|(arrival, index, grant)| {
            if *arrival <= now {
                let host = &mut hosts[*index];
                host.reporter.answer(&host.share, grant, now);
            }
            *arrival > now
        });
    }

    /// Sum of what the hosts may use now.
    fn in_force(&self) -> f64 {
        self.hosts
            .iter()
            .map(|host| host.share.amounts().requests_per_s)
            .sum()
    }
}

/// What a run found.
#[derive(Debug, Default)]
struct Found {
    due: f64,
    missed: f64,
    /// Largest number admitted in a window of 5 s.
    admitted_most: u32,
    /// Largest sum of shares at any moment.
    in_force_most: f64,
}

impl Found {
    fn unused_ratio(&self) -> f64 {
        self.missed / self.due
    }
}

/// Runs `seconds`, moving the demand every 4 s, with an action at the start of each second.
fn observe(
    world: &mut World,
    total_per_s: f64,
    seconds: u32,
    mut act: impl FnMut(&mut World, u32),
) -> Found {
    let mut found = Found::default();
    let mut admitted = Vec::new();
    for second in 0..seconds {
        act(world, second);
        if second % 4 == 0 {
            world.move_demand(total_per_s);
        }
        (world.offered, world.admitted) = (0, 0);
        for _ in 0..20 {
            world.run(Duration::from_millis(50));
            found.in_force_most = found.in_force_most.max(world.in_force());
        }
        let due = f64::from(world.offered).min(LIMITS.requests_per_s);
        found.due += due;
        found.missed += (due - f64::from(world.admitted)).max(0.0);
        admitted.push(world.admitted);
    }
    found.admitted_most = admitted
        .windows(5)
        .map(|window| window.iter().sum())
        .max()
        .unwrap_or_default();
    found
}

#[gtest]
fn shares_moving_demand_uses_limit() {
    // At the limit itself the noise of the arrivals counts most: a host that gets a few requests less
    // than its share loses them, and one that gets a few more refuses them.
    let cases = [
        (1.6, 1, 0.05),
        (1.6, 2, 0.05),
        (0.7, 4, 0.05),
        (1.05, 3, 0.1),
    ];
    for (part, seed, unused_max) in cases {
        let mut world = World::new(seed);
        observe(&mut world, 1000.0 * part, 2, |_, _| {});
        let found = observe(&mut world, 1000.0 * part, 40, |_, _| {});
        expect_that!(found.unused_ratio(), le(unused_max), "at {part}: {found:?}");
        expect_that!(found.admitted_most, le(5150), "at {part}: {found:?}");
        // Silent parts come on top of what the home grants: 2 % of the limit at most.
        expect_that!(found.in_force_most, le(1020.1), "at {part}: {found:?}");
    }
}

/// Kills the home with the move of the demand, and starts the next one after `gap`.
fn kill_home(part: f64, seed: u64, gap: Duration) -> Found {
    let mut world = World::new(seed);
    let total_per_s = LIMITS.requests_per_s * part;
    observe(&mut world, total_per_s, 8, |_, _| {});
    observe(&mut world, total_per_s, 12, |world, second| {
        if second == 0 {
            world.move_demand(total_per_s);
            world.ledger = None;
            world.run(gap);
            world.ledger = Some(Ledger::new(world.now));
        }
    })
}

#[gtest]
fn shares_home_killed_next_takes_over() {
    for (part, seed) in [(1.6, 1), (0.7, 2)] {
        let found = kill_home(part, seed, Duration::from_millis(300));
        expect_that!(found.unused_ratio(), le(0.08), "at {part}: {found:?}");
        expect_that!(found.admitted_most, le(5150), "at {part}: {found:?}");
        expect_that!(found.in_force_most, le(1020.1), "at {part}: {found:?}");
    }
}

#[gtest]
fn shares_home_gone_for_long_falls_to_floors() {
    for (part, seed) in [(1.6, 1), (0.7, 2)] {
        let found = kill_home(part, seed, Duration::from_secs(10));
        // Hosts without a share use floors beside the shares that still run: for two seconds, the
        // rest of a share's life after `floor_delay`, by a twentieth of the limit each.
        expect_that!(found.admitted_most, le(6000), "at {part}: {found:?}");
    }
}
