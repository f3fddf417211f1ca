//! `balance`: queues when many hosts choose routes from the same stale load reports, relative to
//! the queues when every choice knows the exact loads.
//!
//! A simulation in virtual time runs the production code that chooses routes and estimates loads,
//! over the engines of the mixed fleet. A sequence adds its work to the engines of its route and
//! removes it after its last token. The time per token is the work at the engine of the route that
//! has the most, but at least the time per token without load.

use std::{
    cmp::Reverse,
    collections::BinaryHeap, //
};

use anvil_core::route::{
    Choice,
    Demand,
    Graph,
    Load,
    OwnLoad,
    Phase,
    ReportedLoad,
    Settings,
    choose,
    estimate_resident_ns,
    random_of_two,
    round_robin, //
};
use anvil_fleet::builder;
use futures::{
    FutureExt,
    future::BoxFuture, //
};
use hdrhistogram::Histogram;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

use super::{
    BenchError,
    Context,
    Experiment, //
};
use crate::{
    load::MixedFleet,
    report::{
        Report,
        print_progress, //
    },
};

/// Entry of this experiment in the list of all experiments.
pub const EXPERIMENT: Experiment = Experiment {
    name: "balance",
    about: "p99 of queues with stale load reports, relative to that with exact loads",
    run: |context| measure(context).boxed(),
};

const HOST_COUNTS: [usize; 3] = [3, 10, 20];
/// Time between two load reports, and so the age that a report reaches.
const REPORT_INTERVAL_US: u64 = 1_000_000;
const RUN_TIME_US: u64 = 30_000_000;
const WARM_UP_US: u64 = 5_000_000;
const SAMPLE_INTERVAL_US: u64 = 10_000;
const QUEUE_MAX_US: u64 = 60_000_000;
const FASTEST_LAYER_TIME_NS: u64 = 80_000;
/// Offered load as a fraction of the upper bound on the engines' throughput.
const UTILISATION: f64 = 0.8;
const BATCH_LIMIT_STEPS: u32 = 16;
const PROMPT_TOKENS: u32 = 16;
const ANSWER_TOKENS: std::ops::RangeInclusive<u32> = 32..=96;

/// Policy that chooses routes, with the loads that it sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoutingPolicy {
    /// As in production: from the load predicted from reports and the host's own sequences.
    Predicted,
    /// As in production, but from the exact present loads.
    ExactLoads,
    /// As in production, but from the reported loads alone and without perturbation.
    ReportsOnly,
    RoundRobin,
    RandomOfTwo,
}

fn measure(context: Context) -> BoxFuture<'static, Result<Report, BenchError>> {
    async move {
        let mut report = Report::new(EXPERIMENT.name, context.seed);
        for hosts in HOST_COUNTS {
            print_progress(format_args!("{hosts} hosts"));
            let policy_p99_ms = |policy| Simulation::new(context.seed, hosts, policy).p99_ms();
            let exact_p99_ms = policy_p99_ms(RoutingPolicy::ExactLoads);
            report.add_figure(
                format!("all_knowing_queue_ms_p99_{hosts}_hosts"),
                exact_p99_ms,
            );
            for (name, policy) in [
                ("queue_ratio", RoutingPolicy::Predicted),
                ("report_alone_queue_ratio", RoutingPolicy::ReportsOnly),
                ("round_robin_queue_ratio", RoutingPolicy::RoundRobin),
                ("random_of_two_queue_ratio", RoutingPolicy::RandomOfTwo),
            ] {
                report.add_figure(
                    format!("{name}_{hosts}_hosts"),
                    policy_p99_ms(policy) / exact_p99_ms,
                );
            }
        }
        Ok(report)
    }
    .boxed()
}

/// End of a sequence: time in microseconds, host, and work in nanoseconds at each engine. Reversed,
/// so that the heap returns the earliest end first.
type SequenceEnd = Reverse<(u64, usize, Vec<(usize, u64)>)>;

struct Simulation {
    policy: RoutingPolicy,
    graph: Graph,
    settings: Settings,
    rng: StdRng,
    hosts: usize,
    /// Work in nanoseconds and number of sequences, by host and engine.
    own: Vec<Vec<(u64, u32)>>,
    /// Work in nanoseconds and number of sequences of all hosts, by engine.
    total: Vec<(u64, u32)>,
    /// Number of sequences of all hosts at the last report, by engine.
    reported_total: Vec<u32>,
    /// Number of sequences at the last report, by host and engine.
    reported_own: Vec<Vec<u32>>,
    sequence_ends: BinaryHeap<SequenceEnd>,
    choice_count: u64,
}

impl Simulation {
    fn new(seed: u64, hosts: usize, policy: RoutingPolicy) -> Self {
        let graph = MixedFleet::new(FASTEST_LAYER_TIME_NS).graph(&builder::model());
        let nodes = graph.nodes.len();
        let settings = match policy {
            RoutingPolicy::ReportsOnly => Settings {
                perturbation: 0.0,
                ..Settings::default()
            },
            _ => Settings::default(),
        };
        Self {
            policy,
            settings,
            rng: StdRng::seed_from_u64(seed),
            hosts,
            own: vec![vec![(0, 0); nodes]; hosts],
            total: vec![(0, 0); nodes],
            reported_total: vec![0; nodes],
            reported_own: vec![vec![0; nodes]; hosts],
            sequence_ends: BinaryHeap::new(),
            choice_count: 0,
            graph,
        }
    }

    /// Runs the simulation and returns the p99 in milliseconds of the resident work, sampled over
    /// all engines and over time.
    fn p99_ms(mut self) -> f64 {
        let bound = anvil_core::route::bound_tokens_per_s(&self.graph, BATCH_LIMIT_STEPS);
        let mean_tokens = f64::from(PROMPT_TOKENS) + 64.0;
        let arrivals_per_us = bound * UTILISATION / mean_tokens / 1e6;
        let mut next_arrival_us = 0.0;
        let mut queues: Histogram<u64> = Histogram::new_with_bounds(1, QUEUE_MAX_US, 3)
            .expect("the bounds of the histogram are valid");
        for now_us in (0..RUN_TIME_US).step_by(1_000) {
            self.end_sequences(now_us);
            if now_us % REPORT_INTERVAL_US == 0 {
                self.update_reports();
            }
            while next_arrival_us <= now_us as f64 {
                let host = self.rng.random_range(0..self.hosts);
                self.start_sequence(host, now_us);
                next_arrival_us -= self.rng.random::<f64>().max(1e-12).ln() / arrivals_per_us;
            }
            if now_us >= WARM_UP_US && now_us % SAMPLE_INTERVAL_US == 0 {
                for (work_ns, _) in &self.total {
                    queues.saturating_record(work_ns / 1_000);
                }
            }
        }
        queues.value_at_quantile(0.99) as f64 / 1e3
    }

    fn start_sequence(&mut self, host: usize, now_us: u64) {
        let answer_tokens = self.rng.random_range(ANSWER_TOKENS);
        let demand = Demand {
            layers: self.graph.layers().expect("the model has layers"),
            prompt_tokens: PROMPT_TOKENS,
            answer_tokens,
            urgency: 1.0,
            phase: Phase::Prompt,
        };
        let loads = self.loads(host);
        let choice = self
            .choose(&loads, &demand)
            .expect("the engines hold every layer");
        let node_work: Vec<(usize, u64)> = choice
            .path
            .hops
            .iter()
            .map(|hop| {
                let work_ns = f64::from(hop.layers.count()) * self.graph.nodes[hop.node].layer_ns;
                (hop.node, work_ns as u64)
            })
            .collect();
        for &(node, work_ns) in &node_work {
            self.total[node] = (self.total[node].0 + work_ns, self.total[node].1 + 1);
            let own = &mut self.own[host][node];
            *own = (own.0 + work_ns, own.1 + 1);
        }
        let most_work_ns = node_work.iter().map(|&(node, _)| self.total[node].0).max();
        let unloaded_ns = self.graph.unloaded_token_ns() as u64;
        let token_us = most_work_ns.unwrap_or(0).max(unloaded_ns) / 1_000;
        let tokens = u64::from(answer_tokens + PROMPT_TOKENS);
        self.sequence_ends
            .push(Reverse((now_us + tokens * token_us, host, node_work)));
    }

    fn end_sequences(&mut self, now_us: u64) {
        while let Some(Reverse((end_us, ..))) = self.sequence_ends.peek()
            && *end_us <= now_us
        {
            let Some(Reverse((_, host, node_work))) = self.sequence_ends.pop() else {
                return;
            };
            for (node, work_ns) in node_work {
                self.total[node] = (self.total[node].0 - work_ns, self.total[node].1 - 1);
                let own = &mut self.own[host][node];
                *own = (own.0 - work_ns, own.1 - 1);
            }
        }
    }

    fn update_reports(&mut self) {
        self.reported_total = sequence_counts(&self.total);
        self.reported_own = self.own.iter().map(|own| sequence_counts(own)).collect();
    }

    fn loads(&self, host: usize) -> Vec<Load> {
        let load = |node: usize| Load {
            resident_ns: self.resident_ns(host, node),
            reported_queue_steps: self.reported_total[node],
            ..Load::default()
        };
        (0..self.total.len()).map(load).collect()
    }

    fn resident_ns(&self, host: usize, node: usize) -> f64 {
        let properties = &self.graph.nodes[node];
        let sequence_ns = f64::from(properties.layers.count()) * properties.layer_ns;
        match self.policy {
            RoutingPolicy::ExactLoads => self.total[node].0 as f64,
            RoutingPolicy::ReportsOnly => f64::from(self.reported_total[node]) * sequence_ns,
            RoutingPolicy::Predicted | RoutingPolicy::RoundRobin | RoutingPolicy::RandomOfTwo => {
                let (work_ns, sequences) = self.own[host][node];
                let own = OwnLoad {
                    sequences,
                    resident_ns: work_ns as f64,
                };
                let reported = ReportedLoad {
                    open_sequences: self.reported_total[node],
                    own_sequences: self.reported_own[host][node],
                };
                estimate_resident_ns(own, Some(reported), sequence_ns)
            }
        }
    }

    fn choose(&mut self, loads: &[Load], demand: &Demand) -> Option<Choice> {
        self.choice_count += 1;
        let (graph, rng) = (&self.graph, &mut self.rng);
        match self.policy {
            RoutingPolicy::Predicted | RoutingPolicy::ExactLoads | RoutingPolicy::ReportsOnly => {
                choose(graph, loads, demand, &self.settings, rng)
            }
            RoutingPolicy::RoundRobin => round_robin(graph, loads, demand, self.choice_count),
            RoutingPolicy::RandomOfTwo => random_of_two(graph, loads, demand, rng),
        }
    }
}

fn sequence_counts(entries: &[(u64, u32)]) -> Vec<u32> {
    entries.iter().map(|entry| entry.1).collect()
}
