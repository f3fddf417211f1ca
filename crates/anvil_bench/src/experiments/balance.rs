//! `balance`: queues where many hosts choose by the same stale reports, over those of a chooser
//! that knows every queue.
//!
//! The real choice and estimate are driven in virtual time over the engines of the mixed fleet.
//! A sequence adds its work to the engines of its route and leaves after its tokens, whose pace
//! is that of the slowest engine.

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
        progress, //
    },
};

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "balance",
    about: "p99 of queues under reports that lag, over an all-knowing chooser's",
    run: |context| measure(context).boxed(),
};

const HOST_COUNTS: [usize; 3] = [3, 10, 20];
/// Age of a report when the next one replaces it.
const REPORT_LAG_US: u64 = 1_000_000;
const RUN_US: u64 = 30_000_000;
const WARM_UP_US: u64 = 5_000_000;
const SAMPLE_US: u64 = 10_000;
const LONGEST_QUEUE_US: u64 = 60_000_000;
const FASTEST_LAYER_TIME_NS: u64 = 80_000;
/// Part of the engines' bound that is asked for.
const UTILISATION: f64 = 0.8;
const BATCH_LIMIT_STEPS: u32 = 16;
const PROMPT_TOKENS: u32 = 16;
const ANSWER_TOKENS: std::ops::RangeInclusive<u32> = 32..=96;

/// How routes are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Chooser {
    /// The daemon's way.
    Predicted,
    /// The daemon's way with the present loads.
    AllKnowing,
    /// The daemon's prices by report alone, without perturbation.
    ReportAlone,
    RoundRobin,
    RandomOfTwo,
}

fn measure(context: Context) -> BoxFuture<'static, Result<Report, BenchError>> {
    async move {
        let mut report = Report::new(EXPERIMENT.name, context.seed);
        for hosts in HOST_COUNTS {
            progress(format_args!("{hosts} hosts"));
            let p99 = |chooser| Run::new(context.seed, hosts, chooser).p99_ms();
            let ideal = p99(Chooser::AllKnowing);
            report.figure(format!("all_knowing_queue_ms_p99_{hosts}_hosts"), ideal);
            for (name, chooser) in [
                ("queue_ratio", Chooser::Predicted),
                ("report_alone_queue_ratio", Chooser::ReportAlone),
                ("round_robin_queue_ratio", Chooser::RoundRobin),
                ("random_of_two_queue_ratio", Chooser::RandomOfTwo),
            ] {
                report.figure(format!("{name}_{hosts}_hosts"), p99(chooser) / ideal);
            }
        }
        Ok(report)
    }
    .boxed()
}

/// A sequence that ends.
type End = Reverse<(u64, usize, Vec<(usize, u64)>)>;

struct Run {
    chooser: Chooser,
    graph: Graph,
    settings: Settings,
    rng: StdRng,
    hosts: usize,
    /// Work and sequences of each host at each engine.
    own: Vec<Vec<(u64, u32)>>,
    /// Work and sequences of all hosts at each engine.
    total: Vec<(u64, u32)>,
    /// Sequences of all hosts and of each host at the last report.
    reported_total: Vec<u32>,
    reported_own: Vec<Vec<u32>>,
    ends: BinaryHeap<End>,
    turn: u64,
}

impl Run {
    fn new(seed: u64, hosts: usize, chooser: Chooser) -> Self {
        let graph = MixedFleet::new(FASTEST_LAYER_TIME_NS).graph(&builder::model());
        let nodes = graph.nodes.len();
        let settings = match chooser {
            Chooser::ReportAlone => Settings {
                perturbation: 0.0,
                ..Settings::default()
            },
            _ => Settings::default(),
        };
        Self {
            chooser,
            settings,
            rng: StdRng::seed_from_u64(seed),
            hosts,
            own: vec![vec![(0, 0); nodes]; hosts],
            total: vec![(0, 0); nodes],
            reported_total: vec![0; nodes],
            reported_own: vec![vec![0; nodes]; hosts],
            ends: BinaryHeap::new(),
            turn: 0,
            graph,
        }
    }

    /// Runs to the end and gives the p99 of resident work over engines and time.
    fn p99_ms(mut self) -> f64 {
        let bound = anvil_core::route::bound_tokens_per_s(&self.graph, BATCH_LIMIT_STEPS);
        let mean_tokens = f64::from(PROMPT_TOKENS) + 64.0;
        let arrivals_per_us = bound * UTILISATION / mean_tokens / 1e6;
        let mut next_arrival_us = 0.0;
        let mut queues: Histogram<u64> =
            Histogram::new_with_bounds(1, LONGEST_QUEUE_US, 3).expect("valid bounds");
        for now_us in (0..RUN_US).step_by(1_000) {
            self.end_sequences(now_us);
            if now_us % REPORT_LAG_US == 0 {
                self.take_reports();
            }
            while next_arrival_us <= now_us as f64 {
                let host = self.rng.random_range(0..self.hosts);
                self.arrive(host, now_us);
                next_arrival_us -= self.rng.random::<f64>().max(1e-12).ln() / arrivals_per_us;
            }
            if now_us >= WARM_UP_US && now_us % SAMPLE_US == 0 {
                for (work_ns, _) in &self.total {
                    queues.saturating_record(work_ns / 1_000);
                }
            }
        }
        queues.value_at_quantile(0.99) as f64 / 1e3
    }

    fn arrive(&mut self, host: usize, now_us: u64) {
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
        let works: Vec<(usize, u64)> = choice
            .path
            .hops
            .iter()
            .map(|hop| {
                let work_ns = f64::from(hop.layers.count()) * self.graph.nodes[hop.node].layer_ns;
                (hop.node, work_ns as u64)
            })
            .collect();
        for &(node, work_ns) in &works {
            self.total[node] = (self.total[node].0 + work_ns, self.total[node].1 + 1);
            let own = &mut self.own[host][node];
            *own = (own.0 + work_ns, own.1 + 1);
        }
        let slowest_ns = works.iter().map(|&(node, _)| self.total[node].0).max();
        let idle_ns = self.graph.unloaded_token_ns() as u64;
        let token_us = slowest_ns.unwrap_or(0).max(idle_ns) / 1_000;
        let tokens = u64::from(answer_tokens + PROMPT_TOKENS);
        self.ends
            .push(Reverse((now_us + tokens * token_us, host, works)));
    }

    fn end_sequences(&mut self, now_us: u64) {
        while let Some(Reverse((end_us, ..))) = self.ends.peek()
            && *end_us <= now_us
        {
            let Some(Reverse((_, host, works))) = self.ends.pop() else {
                return;
            };
            for (node, work_ns) in works {
                self.total[node] = (self.total[node].0 - work_ns, self.total[node].1 - 1);
                let own = &mut self.own[host][node];
                *own = (own.0 - work_ns, own.1 - 1);
            }
        }
    }

    fn take_reports(&mut self) {
        self.reported_total = sequences(&self.total);
        self.reported_own = self.own.iter().map(|own| sequences(own)).collect();
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
        match self.chooser {
            Chooser::AllKnowing => self.total[node].0 as f64,
            Chooser::ReportAlone => f64::from(self.reported_total[node]) * sequence_ns,
            Chooser::Predicted | Chooser::RoundRobin | Chooser::RandomOfTwo => {
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
        self.turn += 1;
        let (graph, rng) = (&self.graph, &mut self.rng);
        match self.chooser {
            Chooser::Predicted | Chooser::AllKnowing | Chooser::ReportAlone => {
                choose(graph, loads, demand, &self.settings, rng)
            }
            Chooser::RoundRobin => round_robin(graph, loads, demand, self.turn),
            Chooser::RandomOfTwo => random_of_two(graph, loads, demand, rng),
        }
    }
}

fn sequences(entries: &[(u64, u32)]) -> Vec<u32> {
    entries.iter().map(|entry| entry.1).collect()
}
