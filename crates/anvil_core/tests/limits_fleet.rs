//! Shares of one team over 20 hosts in virtual time, with demand that moves between hosts and a
//! home that is killed.

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
const REPORT_CHECK_TICKS: u32 = 25;
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

struct Simulation {
    now: Instant,
    settings: Settings,
    hosts: Vec<Host>,
    /// The home's ledger; `None` while no home runs.
    ledger: Option<Ledger>,
    /// Answers in transit, with the moment at which they arrive, the host and the grant.
    in_transit: Vec<(Instant, usize, Grant)>,
    rng: StdRng,
    offered: u32,
    admitted: u32,
}

impl Simulation {
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
            in_transit: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            offered: 0,
            admitted: 0,
        }
    }

    /// Sets a new rate for every host; some get none. The rates add up to `total_per_s`.
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
            self.deliver_answers();
            for index in 0..self.hosts.len() {
                self.offer_request(index);
                if tick % REPORT_CHECK_TICKS == index as u32 {
                    self.report(index, Urgency::Interval);
                }
            }
        }
    }

    fn offer_request(&mut self, index: usize) {
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
        let context = GrantContext {
            limits: LIMITS,
            fleet: FLEET,
            settings: &self.settings,
        };
        let grant = ledger.report(&host.id, 1, &report, &context, self.now);
        self.in_transit
            .push((self.now + TICK * 2, index, grant.unwrap()));
    }

    fn deliver_answers(&mut self) {
        let now = self.now;
        let hosts = &mut self.hosts;
        self.in_transit.retain(|(arrival, index, grant)| {
            if *arrival <= now {
                let host = &mut hosts[*index];
                host.reporter.answer(&host.share, grant, now);
            }
            *arrival > now
        });
    }

    /// Returns the sum of what the hosts may use now.
    fn in_force(&self) -> f64 {
        self.hosts
            .iter()
            .map(|host| host.share.amounts().requests_per_s)
            .sum()
    }
}

/// Results of a run.
#[derive(Debug, Default)]
struct Measurements {
    admissible: f64,
    unused: f64,
    /// Largest number admitted in a window of 5 s.
    admitted_max: u32,
    /// Largest sum of shares at any moment.
    in_force_max: f64,
}

impl Measurements {
    fn unused_ratio(&self) -> f64 {
        self.unused / self.admissible
    }
}

/// Runs for `seconds` and moves the demand every 4 s. Calls `action` at the start of each second.
fn observe(
    simulation: &mut Simulation,
    total_per_s: f64,
    seconds: u32,
    mut action: impl FnMut(&mut Simulation, u32),
) -> Measurements {
    let mut measured = Measurements::default();
    let mut admitted = Vec::new();
    for second in 0..seconds {
        action(simulation, second);
        if second % 4 == 0 {
            simulation.move_demand(total_per_s);
        }
        (simulation.offered, simulation.admitted) = (0, 0);
        for _ in 0..20 {
            simulation.run(Duration::from_millis(50));
            measured.in_force_max = measured.in_force_max.max(simulation.in_force());
        }
        let admissible = f64::from(simulation.offered).min(LIMITS.requests_per_s);
        measured.admissible += admissible;
        measured.unused += (admissible - f64::from(simulation.admitted)).max(0.0);
        admitted.push(simulation.admitted);
    }
    measured.admitted_max = admitted
        .windows(5)
        .map(|window| window.iter().sum())
        .max()
        .unwrap_or_default();
    measured
}

#[gtest]
fn shares_moving_demand_use_limit() {
    // At the limit itself the noise of the arrivals has the largest effect: a host that gets a few
    // requests less than its share loses them, and one that gets a few more refuses them.
    let cases = [
        (1.6, 1, 0.05),
        (1.6, 2, 0.05),
        (0.7, 4, 0.05),
        (1.05, 3, 0.1),
    ];
    for (fraction, seed, unused_max) in cases {
        let mut simulation = Simulation::new(seed);
        observe(&mut simulation, 1000.0 * fraction, 2, |_, _| {});
        let measured = observe(&mut simulation, 1000.0 * fraction, 40, |_, _| {});
        expect_that!(
            measured.unused_ratio(),
            le(unused_max),
            "at {fraction}: {measured:?}"
        );
        expect_that!(
            measured.admitted_max,
            le(5150),
            "at {fraction}: {measured:?}"
        );
        // Silent shares come on top of what the home grants: 2 % of the limit at most.
        expect_that!(
            measured.in_force_max,
            le(1020.1),
            "at {fraction}: {measured:?}"
        );
    }
}

/// Kills the home when the demand moves, and starts the next home after `gap`.
fn kill_home(fraction: f64, seed: u64, gap: Duration) -> Measurements {
    let mut simulation = Simulation::new(seed);
    let total_per_s = LIMITS.requests_per_s * fraction;
    observe(&mut simulation, total_per_s, 8, |_, _| {});
    observe(&mut simulation, total_per_s, 12, |simulation, second| {
        if second == 0 {
            simulation.move_demand(total_per_s);
            simulation.ledger = None;
            simulation.run(gap);
            simulation.ledger = Some(Ledger::new(simulation.now));
        }
    })
}

#[gtest]
fn shares_home_killed_next_takes_over() {
    for (fraction, seed) in [(1.6, 1), (0.7, 2)] {
        let measured = kill_home(fraction, seed, Duration::from_millis(300));
        expect_that!(
            measured.unused_ratio(),
            le(0.08),
            "at {fraction}: {measured:?}"
        );
        expect_that!(
            measured.admitted_max,
            le(5150),
            "at {fraction}: {measured:?}"
        );
        expect_that!(
            measured.in_force_max,
            le(1020.1),
            "at {fraction}: {measured:?}"
        );
    }
}

#[gtest]
fn shares_home_lost_for_long_fall_to_floors() {
    for (fraction, seed) in [(1.6, 1), (0.7, 2)] {
        let measured = kill_home(fraction, seed, Duration::from_secs(10));
        // Hosts without a share use floors while other shares are still in force. This lasts two
        // seconds, the rest of a share's lifetime after `floor_delay`. Each such host adds one
        // twentieth of the limit.
        expect_that!(
            measured.admitted_max,
            le(6000),
            "at {fraction}: {measured:?}"
        );
    }
}
