//! Compares three counters that find teams with very many distinct prefixes: an exact set, a
//! HyperLogLog per team, and RGS-Sketch. `docs/design/prefix-cardinality.md` gives the conclusion.
//!
//! The stream is one minute at design size: 24,000 requests per second from 41,000 teams, spread
//! over 410 hosts.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    time::Instant,
};

use googletest::prelude::*;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const TEAM_COUNT: u32 = 41_000;
const HOST_COUNT: usize = 410;
const REQUEST_COUNT: usize = 24_000 * 60;
/// Approximate number of teams with many prefixes, which are among the 1000 most frequent teams.
const HEAVY_TEAM_COUNT: u32 = 60;
/// Number of distinct prefixes in a minute over all hosts from which a team counts as heavy.
const HEAVY_THRESHOLD_PREFIXES: f64 = 400.0;

fn hash(first: u64, second: u64, seed: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&first.to_le_bytes());
    bytes[8..].copy_from_slice(&second.to_le_bytes());
    xxh3_64_with_seed(&bytes, seed)
}

/// Generates the requests of one minute by host, each as team and prefix.
fn stream() -> Vec<Vec<(u32, u64)>> {
    let mut rng = StdRng::seed_from_u64(5);
    let mut requests_by_host = vec![Vec::new(); HOST_COUNT];
    for number in 0..REQUEST_COUNT {
        // Draws the team by Zipf's law with exponent 1, using the inverse of its distribution.
        let team = f64::from(TEAM_COUNT).powf(rng.random::<f64>()) as u32 - 1;
        let is_heavy = team % (1000 / HEAVY_TEAM_COUNT) == 7 && team < 1000;
        let prefix = if is_heavy {
            number as u64
        } else {
            rng.random_range(0..30)
        };
        requests_by_host[rng.random_range(0..HOST_COUNT)].push((team, prefix));
    }
    requests_by_host
}

/// Returns the HyperLogLog estimate of the number of distinct items behind `registers`.
fn hll_estimate(registers: &[u8]) -> f64 {
    let count = registers.len() as f64;
    let sum: f64 = registers
        .iter()
        .map(|rank| 0.5_f64.powi(i32::from(*rank)))
        .sum();
    let raw_estimate = 0.7213 / (1.0 + 1.079 / count) * count * count / sum;
    let zero_count = registers.iter().filter(|rank| **rank == 0).count();
    if raw_estimate <= 2.5 * count && zero_count > 0 {
        count * (count / zero_count as f64).ln()
    } else {
        raw_estimate
    }
}

fn register_rank(bits: u64) -> u8 {
    (bits.leading_zeros() + 1).min(31) as u8
}

fn f1_score(found: &HashSet<u32>, heavy: &HashSet<u32>) -> f64 {
    let true_positives = found.intersection(heavy).count() as f64;
    2.0 * true_positives / (found.len() + heavy.len()) as f64
}

const HLL_REGISTER_COUNT: usize = 64;

fn hll_update(registers: &mut [u8; HLL_REGISTER_COUNT], prefix: u64) {
    let bits = hash(prefix, 0, 1);
    let register = &mut registers[bits as usize % HLL_REGISTER_COUNT];
    *register = (*register).max(register_rank(bits));
}

/// RGS-Sketch: updates follow algorithm 1 of its paper; queries are those of vHLL on merged
/// registers.
#[derive(Clone)]
struct RgsSketch {
    /// Team and counter of each cell, `CELLS_PER_BUCKET` in each bucket.
    cells: Vec<(u32, f64)>,
    registers: Vec<u8>,
}

const REGISTERS_PER_GROUP: usize = 8;
const VIRTUAL_GROUPS_PER_TEAM: u64 = 32;
const CELLS_PER_BUCKET: usize = 8;
const RANK_MAX: u8 = 31;

impl RgsSketch {
    /// Creates a sketch of `memory_bytes`. A third of the memory holds cells of 8 bytes each, and
    /// the rest holds registers of 5 bits each.
    fn new(memory_bytes: usize) -> Self {
        let buckets = memory_bytes / 3 / (8 * CELLS_PER_BUCKET);
        let groups = (memory_bytes - buckets * 8 * CELLS_PER_BUCKET) * 8 / 5 / REGISTERS_PER_GROUP;
        Self {
            cells: vec![(0, 0.0); buckets * CELLS_PER_BUCKET],
            registers: vec![0; groups * REGISTERS_PER_GROUP],
        }
    }

    fn group(&self, team: u32, virtual_group: u64) -> usize {
        let groups = (self.registers.len() / REGISTERS_PER_GROUP) as u64;
        (hash(u64::from(team), virtual_group, 2) % groups) as usize * REGISTERS_PER_GROUP
    }

    fn update(&mut self, team: u32, prefix: u64) {
        let bits = hash(u64::from(team), prefix, 3);
        let group = self.group(team, bits % VIRTUAL_GROUPS_PER_TEAM);
        let register = group + (bits / VIRTUAL_GROUPS_PER_TEAM) as usize % REGISTERS_PER_GROUP;
        let rank = register_rank(bits);
        if rank <= self.registers[register] {
            return;
        }
        let probability: f64 = self.registers[group..group + REGISTERS_PER_GROUP]
            .iter()
            .filter(|rank| **rank != RANK_MAX)
            .map(|rank| 0.5_f64.powi(i32::from(*rank)))
            .sum::<f64>()
            / REGISTERS_PER_GROUP as f64;
        if self.record(team, prefix, 1.0 / probability) {
            self.registers[register] = rank;
        }
    }

    fn record(&mut self, team: u32, prefix: u64, increment: f64) -> bool {
        let buckets = (self.cells.len() / CELLS_PER_BUCKET) as u64;
        let start = (hash(u64::from(team), 0, 4) % buckets) as usize * CELLS_PER_BUCKET;
        let bucket = &mut self.cells[start..start + CELLS_PER_BUCKET];
        let own_cell = bucket
            .iter()
            .position(|cell| cell.0 == team && cell.1 > 0.0);
        let free_cell = || bucket.iter().position(|cell| cell.1 == 0.0);
        if let Some(index) = own_cell.or_else(free_cell) {
            bucket[index].0 = team;
            bucket[index].1 += increment;
            return true;
        }
        let smallest = bucket
            .iter_mut()
            .min_by(|left, right| left.1.total_cmp(&right.1))
            .expect("a bucket has cells");
        let draw = hash(u64::from(team), prefix, 5) as f64 / u64::MAX as f64;
        if draw >= 1.0 / (smallest.1 + 1.0) {
            return false;
        }
        *smallest = (team, smallest.1 + 1.0);
        true
    }

    fn merge(&mut self, other: &Self) {
        for (own, other) in self.registers.iter_mut().zip(&other.registers) {
            *own = (*own).max(*other);
        }
    }

    /// Returns the estimate over all registers divided by their number, which is the mean
    /// contribution of the other teams to each register.
    fn noise(&self) -> f64 {
        hll_estimate(&self.registers) / self.registers.len() as f64
    }

    fn query(&self, team: u32, noise: f64) -> f64 {
        let own_registers: Vec<u8> = (0..VIRTUAL_GROUPS_PER_TEAM)
            .flat_map(|index| {
                let group = self.group(team, index);
                self.registers[group..group + REGISTERS_PER_GROUP].to_vec()
            })
            .collect();
        let (total_count, own_count) = (self.registers.len() as f64, own_registers.len() as f64);
        total_count * own_count / (total_count - own_count)
            * (hll_estimate(&own_registers) / own_count - noise)
    }
}

#[gtest]
fn counts_minute_at_design_size() {
    let requests_by_host = stream();
    let mut prefixes_by_team: HashMap<u32, HashSet<u64>> = HashMap::new();
    for (team, prefix) in requests_by_host.iter().flatten() {
        prefixes_by_team.entry(*team).or_default().insert(*prefix);
    }
    let heavy: HashSet<u32> = prefixes_by_team
        .iter()
        .filter(|(_, prefixes)| prefixes.len() as f64 >= HEAVY_THRESHOLD_PREFIXES)
        .map(|(team, _)| *team)
        .collect();

    // The exact counter at one host is a set of 8-byte hashes of team and prefix.
    let start = Instant::now();
    let mut exact_set: HashSet<u64> = HashSet::new();
    for (team, prefix) in &requests_by_host[0] {
        exact_set.insert(hash(u64::from(*team), *prefix, 9));
    }
    let exact_ns = start.elapsed().as_nanos() / requests_by_host[0].len() as u128;
    let exact_bytes = exact_set.capacity() * 9;

    let start = Instant::now();
    let mut hll_by_team: HashMap<u32, [u8; HLL_REGISTER_COUNT]> = HashMap::new();
    let mut active_teams_max = 0;
    for requests in &requests_by_host {
        let mut active_teams: HashSet<u32> = HashSet::new();
        for (team, prefix) in requests {
            active_teams.insert(*team);
            hll_update(
                hll_by_team.entry(*team).or_insert([0; HLL_REGISTER_COUNT]),
                *prefix,
            );
        }
        active_teams_max = active_teams_max.max(active_teams.len());
    }
    let hll_ns = start.elapsed().as_nanos() / REQUEST_COUNT as u128;
    let hll_bytes = active_teams_max * (HLL_REGISTER_COUNT * 5 / 8 + 4);
    let found: HashSet<u32> = hll_by_team
        .iter()
        .filter(|(_, registers)| hll_estimate(&registers[..]) >= HEAVY_THRESHOLD_PREFIXES)
        .map(|(team, _)| *team)
        .collect();
    let hll_f1 = f1_score(&found, &heavy);

    println!(
        "heavy teams {}, requests per host {}",
        heavy.len(),
        requests_by_host[0].len()
    );
    println!("exact: f1 1, {exact_bytes} bytes per host, {exact_ns} ns per update");
    println!("hll:   f1 {hll_f1:.3}, {hll_bytes} bytes per host, {hll_ns} ns per update");
    let mut rgs_f1_at_exact_size = 0.0;
    for memory_bytes in [exact_bytes, 100_000] {
        let start = Instant::now();
        let mut merged_sketch = RgsSketch::new(memory_bytes);
        let mut candidates = HashSet::new();
        for requests in &requests_by_host {
            let mut sketch = RgsSketch::new(memory_bytes);
            for (team, prefix) in requests {
                sketch.update(*team, *prefix);
            }
            candidates.extend(
                sketch
                    .cells
                    .iter()
                    .filter(|cell| cell.1 > 0.0)
                    .map(|cell| cell.0),
            );
            merged_sketch.merge(&sketch);
        }
        let rgs_ns = start.elapsed().as_nanos() / REQUEST_COUNT as u128;
        let noise = merged_sketch.noise();
        let found = candidates
            .into_iter()
            .filter(|team| merged_sketch.query(*team, noise) >= HEAVY_THRESHOLD_PREFIXES)
            .collect();
        let rgs_f1 = f1_score(&found, &heavy);
        println!("rgs:   f1 {rgs_f1:.3}, {memory_bytes} bytes per host, {rgs_ns} ns per update");
        if memory_bytes == exact_bytes {
            rgs_f1_at_exact_size = rgs_f1;
        }
    }
    expect_that!(heavy.len(), ge(20));
    // The exact set is preferred for two reasons: a sketch of the same size has a lower F1 score,
    // and HyperLogLog registers for each active team need more memory.
    expect_that!(rgs_f1_at_exact_size, lt(0.9));
    expect_that!(hll_bytes, gt(exact_bytes));
    // The exact set needs at most a hundredth of the memory that a host has for control.
    expect_that!(exact_bytes, le(320_000));
}
