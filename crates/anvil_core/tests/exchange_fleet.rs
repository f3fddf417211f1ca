//! A fleet that exchanges observations over relays, in virtual time: messages are lost, hosts freeze,
//! restart, are cut off or can't be reached in one direction.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet,
        BinaryHeap, //
    },
    time::Duration, //
};

use anvil_core::{
    exchange::{
        Exchange,
        HostRecord,
        Message,
        MessageKind,
        Presence,
        SILENCE_TIMEOUT,
        Summary,
        TargetLoad, //
    },
    id::{
        DataCentreId,
        HostId, //
    },
};
use googletest::prelude::*;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use smol_str::format_smolstr;

const DELAY: Duration = Duration::from_millis(1);
/// Time from the start until all hosts know the sums.
const START_TIME: Duration = Duration::from_secs(2);
/// Time within which sums are complete again after a fault, besides the time that its duration adds:
/// a relay's silence is noticed, the next one hears each host, and what was said before is dropped.
const REPAIR_TIME: Duration = Duration::from_secs(4);

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Round(usize, u64),
    Arrival {
        to: usize,
        from: usize,
        to_run: u64,
        message: usize,
    },
    Wake(usize),
}

struct Host {
    id: HostId,
    data_centre: DataCentreId,
    processor_millis: u32,
    exchange: Exchange,
    run: u64,
    is_up: bool,
    frozen_until: Duration,
    sent: u64,
    received: u64,
}

struct Fleet {
    now: Duration,
    hosts: Vec<Host>,
    index: BTreeMap<HostId, usize>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    event_count: u64,
    messages: Vec<Option<Message>>,
    loss: f64,
    /// Directions in which no message arrives.
    cuts: BTreeSet<(usize, usize)>,
    rng: StdRng,
    clock: u64,
}

/// Each host has one request at a target of its own, so that sums show which hosts they cover.
fn own_summary(index: usize, data_centre: &DataCentreId) -> Summary {
    let load = TargetLoad {
        sequences: 1.0,
        token_layers: 1000.0,
        sent_requests: 1.0,
    };
    let presence = Presence {
        live_hosts: 1,
        heard_hosts: 1,
        requests_per_s: 2.0,
    };
    Summary {
        hosts: BTreeMap::from([(data_centre.clone(), presence)]),
        loads: BTreeMap::from([(index as u32, load)]),
        ..Summary::default()
    }
}

impl Fleet {
    fn start(host_count: usize, data_centre_count: usize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let hosts: Vec<Host> = (0..host_count)
            .map(|index| {
                let id = format_smolstr!("host-{index}");
                let data_centre = format_smolstr!("dc-{}", index % data_centre_count);
                let processor_millis = [120, 170, 250, 500][rng.random_range(0..4)];
                Host {
                    exchange: Exchange::new(HostRecord {
                        id: id.clone(),
                        data_centre: data_centre.clone(),
                        processor_millis,
                        run: 0,
                    }),
                    id,
                    data_centre,
                    processor_millis,
                    run: 0,
                    is_up: true,
                    frozen_until: Duration::ZERO,
                    sent: 0,
                    received: 0,
                }
            })
            .collect();
        let index = hosts
            .iter()
            .enumerate()
            .map(|(index, host)| (host.id.clone(), index))
            .collect();
        let mut fleet = Self {
            now: Duration::ZERO,
            hosts,
            index,
            events: BinaryHeap::new(),
            event_count: 0,
            messages: Vec::new(),
            loss: 0.0,
            cuts: BTreeSet::new(),
            rng,
            clock: 0,
        };
        for index in 0..host_count {
            fleet.list_at(index);
            let offset = fleet.rng.random_range(0..150);
            fleet.push(Duration::from_millis(offset), Event::Round(index, 0));
        }
        fleet
    }

    fn list_at(&mut self, index: usize) {
        let records: Vec<HostRecord> = self
            .hosts
            .iter()
            .map(|host| HostRecord {
                id: host.id.clone(),
                data_centre: host.data_centre.clone(),
                processor_millis: host.processor_millis,
                run: host.run,
            })
            .collect();
        self.hosts[index].exchange.replace_list(records, self.now);
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn send(&mut self, from: usize, to: &HostId, kind: MessageKind) {
        let own = own_summary(from, &self.hosts[from].data_centre);
        let exchange = &self.hosts[from].exchange;
        let summary = match kind {
            MessageKind::Report => own,
            MessageKind::Summary => exchange.summary_for(to, &own, self.now),
            MessageKind::Region | MessageKind::RegionAnswer => exchange.region(&own),
        };
        self.clock += 1;
        let message = Message {
            kind,
            sent: self.clock,
            summary,
            is_cut: false,
        };
        let to = self.index[to];
        self.hosts[from].sent += 1;
        if self.rng.random_bool(self.loss) || self.cuts.contains(&(from, to)) {
            return;
        }
        let to_run = self.hosts[to].run;
        self.messages.push(Some(message));
        let message = self.messages.len() - 1;
        let event = Event::Arrival {
            to,
            from,
            to_run,
            message,
        };
        self.push(self.now + DELAY, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Round(index, run) => {
                if self.hosts[index].run != run || !self.hosts[index].is_up {
                    return;
                }
                if self.hosts[index].frozen_until > self.now {
                    let until = self.hosts[index].frozen_until;
                    self.push(until, Event::Round(index, run));
                    return;
                }
                let (outgoing, _) = self.hosts[index].exchange.round(self.now);
                for message in outgoing {
                    self.send(index, &message.to, message.kind);
                }
                let interval = self.hosts[index].exchange.interval();
                let interval = interval.mul_f64(self.rng.random_range(0.9..1.0));
                self.push(self.now + interval, Event::Round(index, run));
            }
            Event::Arrival {
                to,
                from,
                to_run,
                message,
            } => {
                if self.hosts[to].run != to_run || !self.hosts[to].is_up {
                    return;
                }
                if self.hosts[to].frozen_until > self.now {
                    let until = self.hosts[to].frozen_until;
                    let event = Event::Arrival {
                        to,
                        from,
                        to_run,
                        message,
                    };
                    self.push(until, event);
                    return;
                }
                let message = self.messages[message].take().unwrap();
                let sender = self.hosts[from].id.clone();
                self.hosts[to].received += 1;
                let answer = self.hosts[to].exchange.record(&sender, message, self.now);
                if let Some(kind) = answer {
                    self.send(to, &sender, kind);
                }
            }
            Event::Wake(index) => {
                self.hosts[index].is_up = true;
                let run = self.hosts[index].run;
                self.list_at(index);
                // The other hosts meet a datagram of a run that they don't know, and read the list.
                for other in 0..self.hosts.len() {
                    if self.hosts[other].is_up {
                        self.list_at(other);
                    }
                }
                self.push(self.now, Event::Round(index, run));
            }
        }
    }

    /// Plays until `end` and checks at some steps that no host is counted twice, nor by itself.
    fn run_until(&mut self, end: Duration) {
        let check_interval = self.hosts.len() as u64 / 4;
        while let Some(Reverse((at, _, _))) = self.events.peek() {
            if *at > end {
                break;
            }
            let Reverse((at, _, event)) = self.events.pop().unwrap();
            self.now = at;
            let touched = match &event {
                Event::Round(index, _) | Event::Wake(index) => *index,
                Event::Arrival { to, .. } => *to,
            };
            self.handle(event);
            if self.event_count.is_multiple_of(check_interval) {
                self.check_sums(touched);
            }
        }
        self.now = end;
    }

    fn check_sums(&mut self, index: usize) {
        if !self.hosts[index].is_up {
            return;
        }
        let view = self.hosts[index].exchange.view(self.now);
        assert!(
            !view.loads.contains_key(&(index as u32)),
            "host {index} counts itself at {:?}",
            self.now
        );
        for (target, load) in &view.loads {
            assert_eq!(
                load.sequences, 1.0,
                "host {index} counts host {target} wrongly at {:?}",
                self.now
            );
        }
    }

    fn restart(&mut self, index: usize, down_for: Duration) {
        let host = &mut self.hosts[index];
        host.run += 1;
        host.is_up = false;
        host.exchange = Exchange::new(HostRecord {
            id: host.id.clone(),
            data_centre: host.data_centre.clone(),
            processor_millis: host.processor_millis,
            run: host.run,
        });
        self.push(self.now + down_for, Event::Wake(index));
    }

    fn stop(&mut self, index: usize) {
        self.hosts[index].is_up = false;
    }

    /// Returns the share of the other live hosts that the live hosts know of, the lowest and the mean.
    fn completeness(&mut self) -> (f64, f64) {
        let live: Vec<usize> = (0..self.hosts.len())
            .filter(|index| self.hosts[*index].is_up)
            .collect();
        let mut lowest: f64 = 1.0;
        let mut sum = 0.0;
        for index in &live {
            let view = self.hosts[*index].exchange.view(self.now);
            let known = live
                .iter()
                .filter(|other| view.loads.contains_key(&(**other as u32)))
                .count();
            let share = known as f64 / (live.len() - 1).max(1) as f64;
            lowest = lowest.min(share);
            sum += share;
        }
        (lowest, sum / live.len() as f64)
    }

    fn relays(&self) -> Vec<usize> {
        (0..self.hosts.len())
            .filter(|index| self.hosts[*index].is_up)
            .filter(|index| self.hosts[*index].exchange.is_relay(self.now))
            .collect()
    }

    fn live_counts(&mut self) -> Vec<u32> {
        let now = self.now;
        let live = self.hosts.iter_mut().filter(|host| host.is_up);
        live.map(|host| host.exchange.view(now).live_hosts())
            .collect()
    }

    /// Returns the messages sent and received a second: of the median host, and of the host with the
    /// most.
    fn message_rates(&mut self, time: Duration) -> (f64, f64) {
        for host in &mut self.hosts {
            host.sent = 0;
            host.received = 0;
        }
        self.run_until(self.now + time);
        let mut counts: Vec<u64> = self
            .hosts
            .iter()
            .map(|host| host.sent + host.received)
            .collect();
        counts.sort_unstable();
        let per_s = |count: u64| count as f64 / time.as_secs_f64();
        (
            per_s(counts[counts.len() / 2]),
            per_s(*counts.last().unwrap()),
        )
    }
}

/// Guards against messages that grow with the fleet: a host's don't, and a relay's are bounded.
#[gtest]
fn round_sends_same_number_of_messages_at_any_size() {
    for (host_count, data_centre_count) in [(20, 3), (100, 3), (195, 5), (300, 5), (1000, 6)] {
        let mut fleet = Fleet::start(host_count, data_centre_count, 1);
        fleet.run_until(START_TIME);
        expect_that!(fleet.relays().len(), eq(2 * data_centre_count));
        expect_that!(fleet.completeness().0, eq(1.0), "{host_count} hosts");
        let (median, most) = fleet.message_rates(Duration::from_secs(3));
        println!(
            "{host_count} hosts: {median:.1} messages/s at the median host, {most:.1} at most"
        );
        expect_that!(median, lt(40.0), "{host_count} hosts");
        // Reports and answers, and exchanges with two relays of each other data centre.
        let bound = 2.0 * 1.3 * 400.0 + 4.0 * 8.0 * (data_centre_count as f64 - 1.0);
        expect_that!(most, lt(bound), "{host_count} hosts");
    }
}

/// Guards against a fleet whose hosts know only part of the loads under loss of datagrams.
#[gtest]
fn view_stays_nearly_complete_under_loss() {
    for seed in 0..3 {
        let mut fleet = Fleet::start(60, 3, seed);
        fleet.run_until(START_TIME);
        fleet.loss = 0.05;
        for _ in 0..20 {
            let at = fleet.now + Duration::from_millis(500);
            fleet.run_until(at);
            let (_, mean) = fleet.completeness();
            expect_that!(mean, ge(0.97), "seed {seed} at {at:?}");
        }
    }
}

/// Guards against sums that stay incomplete, or count hosts that are gone, after relays were lost.
#[gtest]
fn view_is_complete_soon_after_relays_stop() {
    for seed in 0..5 {
        let mut fleet = Fleet::start(60, 3, seed);
        fleet.run_until(START_TIME);
        for index in fleet.relays() {
            fleet.stop(index);
        }
        let stopped_at = fleet.now;
        fleet.run_until(stopped_at + SILENCE_TIMEOUT);
        // A silent relay is noticed within three rounds, and the next one answers at once.
        expect_that!(fleet.completeness().1, ge(0.9), "seed {seed}");
        fleet.run_until(stopped_at + REPAIR_TIME);
        expect_that!(fleet.completeness().0, eq(1.0), "seed {seed}");
        expect_that!(fleet.live_counts(), each(eq(&53)), "seed {seed}");
    }
}

/// Guards against a first relay that is relied on as soon as it wakes, when it hears few hosts.
#[gtest]
fn view_stays_complete_when_relay_wakes() {
    for seed in 0..5 {
        let mut fleet = Fleet::start(60, 3, seed);
        fleet.run_until(START_TIME);
        let frozen_until = fleet.now + Duration::from_secs(4);
        for index in fleet.relays().into_iter().step_by(2) {
            fleet.hosts[index].frozen_until = frozen_until;
        }
        fleet.run_until(frozen_until - Duration::from_millis(1));
        let mut lowest_mean: f64 = 1.0;
        while fleet.now < frozen_until + REPAIR_TIME {
            let at = fleet.now + Duration::from_millis(50);
            fleet.run_until(at);
            lowest_mean = lowest_mean.min(fleet.completeness().1);
        }
        expect_that!(lowest_mean, ge(0.9), "seed {seed}");
        expect_that!(fleet.completeness().0, eq(1.0), "seed {seed}");
    }
}

/// Guards against hosts that can't reach a relay in one direction and are left out for good.
#[gtest]
fn view_is_complete_when_relays_are_cut_off_one_way() {
    for seed in 0..5 {
        for is_towards in [true, false] {
            let mut fleet = Fleet::start(40, 2, seed);
            fleet.run_until(START_TIME);
            let relay = fleet.relays()[0];
            for other in 0..40 {
                fleet.cuts.insert(match is_towards {
                    true => (other, relay),
                    false => (relay, other),
                });
            }
            let cut_at = fleet.now;
            fleet.run_until(cut_at + REPAIR_TIME);
            let unreached: Vec<f64> = (0..40)
                .filter(|index| *index != relay)
                .map(|index| {
                    let view = fleet.hosts[index].exchange.view(fleet.now);
                    let others = view.loads.keys().filter(|other| **other != relay as u32);
                    others.count() as f64 / 38.0
                })
                .collect();
            expect_that!(unreached, each(ge(&1.0)), "seed {seed}, {is_towards}");
        }
    }
}

/// Guards against double counts and lost hosts when hosts restart one after another.
#[gtest]
fn view_is_complete_after_rolling_restart() {
    for seed in 0..3 {
        let mut fleet = Fleet::start(30, 3, seed);
        fleet.run_until(START_TIME);
        for index in 0..30 {
            fleet.restart(index, Duration::from_millis(800));
            let at = fleet.now + Duration::from_millis(500);
            fleet.run_until(at);
        }
        let at = fleet.now + REPAIR_TIME;
        fleet.run_until(at);
        expect_that!(fleet.completeness().0, eq(1.0), "seed {seed}");
        expect_that!(fleet.live_counts(), each(eq(&29)), "seed {seed}");
        expect_that!(fleet.relays().len(), eq(6), "seed {seed}");
    }
}

/// Guards against sums that count hosts twice while many things fail together.
#[gtest]
fn view_counts_each_host_once_under_mixed_faults() {
    for seed in 0..6 {
        let mut fleet = Fleet::start(45, 3, seed);
        fleet.run_until(START_TIME);
        fleet.loss = 0.02;
        for step in 0..40 {
            let host = fleet.rng.random_range(0..45);
            match step % 4 {
                0 if fleet.hosts[host].is_up => fleet.restart(host, Duration::from_millis(900)),
                1 => {
                    let frozen_for = Duration::from_millis(fleet.rng.random_range(100..4000));
                    fleet.hosts[host].frozen_until = fleet.now + frozen_for;
                }
                2 => {
                    let other = fleet.rng.random_range(0..45);
                    fleet.cuts.insert((host, other));
                }
                _ => fleet.cuts.clear(),
            }
            let at = fleet.now + Duration::from_millis(300);
            fleet.run_until(at);
        }
        fleet.cuts.clear();
        fleet.loss = 0.0;
        let at = fleet.now + Duration::from_secs(4) + REPAIR_TIME;
        fleet.run_until(at);
        expect_that!(fleet.completeness().0, eq(1.0), "seed {seed}");
    }
}
