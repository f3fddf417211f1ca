use googletest::prelude::*;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

use super::*;
use crate::{
    document::Role,
    id::LayerRange, //
};

fn node(target: &str, first: u16, end: u16, layer_ns: f64) -> Node {
    Node {
        target: target.into(),
        layers: LayerRange { first, end },
        role: Role::Both,
        layer_ns,
        batch_ns: 50_000.0,
        round_trip_ns: 100_000.0,
        transfer_ns_per_token: 100.0,
    }
}

fn demand(graph: &Graph) -> Demand {
    Demand {
        layers: graph.layers().unwrap(),
        prompt_tokens: 64,
        answer_tokens: 32,
        urgency: 1.0,
        phase: Phase::Prompt,
    }
}

fn chosen(graph: &Graph, loads: &[Load]) -> Option<Vec<(String, LayerRange)>> {
    let mut rng = StdRng::seed_from_u64(1);
    let settings = Settings {
        perturbation: 0.0,
        ..Settings::default()
    };
    let choice = choose(graph, loads, &demand(graph), &settings, &mut rng)?;
    let name = |hop: &Hop| (graph.nodes[hop.node].target.to_string(), hop.layers);
    Some(choice.path.hops.iter().map(name).collect())
}

fn range(first: u16, end: u16) -> LayerRange {
    LayerRange { first, end }
}

#[gtest]
fn choose_covers_layers_with_overlapping_ranges() {
    let graph = Graph::new(
        40,
        [
            node("a", 0, 17, 1000.0),
            node("b", 11, 29, 1000.0),
            node("c", 23, 40, 1000.0),
        ],
    );
    let hops = chosen(&graph, &[Load::default(); 3]).unwrap();
    expect_that!(hops.len(), eq(3));
    expect_that!(hops[0].1.first, eq(0));
    expect_that!(hops[0].1.end, eq(hops[1].1.first));
    expect_that!(hops[1].1.end, eq(hops[2].1.first));
    expect_that!(hops[2].1.end, eq(40));
}

#[gtest]
fn choose_finds_no_route_if_a_layer_is_missing() {
    let graph = Graph::new(40, [node("a", 0, 17, 1000.0), node("c", 18, 40, 1000.0)]);
    expect_that!(chosen(&graph, &[Load::default(); 2]), none());
}

#[gtest]
fn choose_prefers_fast_engine_when_idle() {
    let graph = Graph::new(
        8,
        [node("slow", 0, 8, 80_000.0), node("fast", 0, 8, 10_000.0)],
    );
    let hops = chosen(&graph, &[Load::default(); 2]).unwrap();
    expect_that!(hops, elements_are![eq(&("fast".to_string(), range(0, 8)))]);
}

#[gtest]
fn choose_prefers_slow_engine_if_fast_one_is_loaded() {
    let graph = Graph::new(
        8,
        [node("slow", 0, 8, 80_000.0), node("fast", 0, 8, 10_000.0)],
    );
    let mut loads = vec![Load::default(); 2];
    loads[1].resident_ns = 20.0 * graph.unloaded_token_ns();
    let hops = chosen(&graph, &loads).unwrap();
    expect_that!(hops, elements_are![eq(&("slow".to_string(), range(0, 8)))]);
}

#[gtest]
fn choose_skips_closed_target() {
    let graph = Graph::new(8, [node("a", 0, 8, 1000.0), node("b", 0, 8, 9000.0)]);
    let mut loads = vec![Load::default(); 2];
    loads[0].availability = Availability::Closed;
    let hops = chosen(&graph, &loads).unwrap();
    expect_that!(hops, elements_are![eq(&("b".to_string(), range(0, 8)))]);
    loads[1].availability = Availability::Closed;
    expect_that!(chosen(&graph, &loads), none());
}

#[gtest]
fn choose_uses_last_resort_only_for_uncovered_layers() {
    let graph = Graph::new(
        8,
        [
            node("a", 0, 8, 1000.0),
            node("b", 0, 4, 90_000.0),
            node("c", 4, 6, 90_000.0),
        ],
    );
    let mut loads = vec![Load::default(); 3];
    loads[0].availability = Availability::LastResort;
    let hops = chosen(&graph, &loads).unwrap();
    expect_that!(
        hops,
        elements_are![
            eq(&("b".to_string(), range(0, 4))),
            eq(&("c".to_string(), range(4, 6))),
            eq(&("a".to_string(), range(6, 8))),
        ]
    );
}

#[gtest]
fn choose_avoids_slow_link() {
    let mut far = node("far", 0, 8, 1000.0);
    far.round_trip_ns *= 100.0;
    let graph = Graph::new(8, [far, node("near", 0, 8, 1200.0)]);
    let hops = chosen(&graph, &[Load::default(); 2]).unwrap();
    expect_that!(hops, elements_are![eq(&("near".to_string(), range(0, 8)))]);
}

#[gtest]
fn choose_follows_cached_prefix_unless_loaded() {
    let graph = Graph::new(8, [node("a", 0, 8, 9000.0), node("b", 0, 8, 9000.0)]);
    let mut loads = vec![Load::default(); 2];
    loads[1].cached_tokens = 48;
    let hops = chosen(&graph, &loads).unwrap();
    expect_that!(hops, elements_are![eq(&("b".to_string(), range(0, 8)))]);
    loads[1].resident_ns = 10.0 * graph.unloaded_token_ns();
    let hops = chosen(&graph, &loads).unwrap();
    expect_that!(hops, elements_are![eq(&("a".to_string(), range(0, 8)))]);
}

#[gtest]
fn choose_keeps_roles_apart() {
    let mut prefill = node("prefill", 0, 8, 9000.0);
    prefill.role = Role::Prefill;
    let mut decode = node("decode", 0, 8, 1000.0);
    decode.role = Role::Decode;
    let graph = Graph::new(8, [prefill, decode]);
    let loads = vec![Load::default(); 2];
    let hops = chosen(&graph, &loads).unwrap();
    expect_that!(hops[0].0, eq("prefill"));
    let answer = Demand {
        phase: Phase::Answer,
        ..demand(&graph)
    };
    let mut rng = StdRng::seed_from_u64(1);
    let choice = choose(&graph, &loads, &answer, &Settings::default(), &mut rng).unwrap();
    expect_that!(graph.nodes[choice.path.hops[0].node].target, eq("decode"));
}

#[gtest]
fn choose_spreads_hosts_with_the_same_loads() {
    let nodes = (0..8).map(|index| node(&format!("t{index}"), 0, 8, 9000.0));
    let graph = Graph::new(8, nodes);
    let loads = vec![Load::default(); 8];
    let mut chosen = [0; 8];
    for seed in 0..400 {
        let mut rng = StdRng::seed_from_u64(seed);
        let choice = choose(
            &graph,
            &loads,
            &demand(&graph),
            &Settings::default(),
            &mut rng,
        );
        chosen[choice.unwrap().path.hops[0].node] += 1;
    }
    expect_that!(chosen, each(all![ge(25), le(80)]));
}

/// Returns a graph of `count` nodes with four speeds and random ranges that do not line up.
fn mixed_fleet(rng: &mut StdRng, count: usize) -> Graph {
    let nodes = (0..count).map(|index| {
        let width = rng.random_range(8..24);
        let first = match index % 4 {
            0 => 0,
            1 => 40 - width,
            _ => rng.random_range(0..=40 - width),
        };
        let layer_ns = [10_000.0, 20_000.0, 40_000.0, 80_000.0][index % 3 + index % 2];
        let mut node = node(&format!("t{index}"), first, first + width, layer_ns);
        node.batch_ns = 0.0;
        node
    });
    Graph::new(40, nodes)
}

/// Places sequences one by one and returns the ratio of the rate that their resident load allows to
/// the upper bound.
fn placed_rate_over_bound(graph: &Graph, sequences: usize, rng: &mut StdRng) -> f64 {
    let mut loads = vec![Load::default(); graph.nodes.len()];
    let demand = demand(graph);
    for _ in 0..sequences {
        let choice = choose(graph, &loads, &demand, &Settings::default(), rng).unwrap();
        for hop in choice.path.hops {
            loads[hop.node].resident_ns +=
                f64::from(hop.layers.count()) * graph.nodes[hop.node].layer_ns;
        }
    }
    let busiest_ns = loads
        .iter()
        .map(|load| load.resident_ns)
        .fold(0.0, f64::max);
    sequences as f64 * 1e9 / busiest_ns / bound_tokens_per_s(graph, 64)
}

#[gtest]
fn choose_reaches_nearly_the_bound_of_mixed_fleet() {
    for seed in 0..8 {
        let mut rng = StdRng::seed_from_u64(seed);
        let graph = mixed_fleet(&mut rng, 24);
        expect_that!(
            placed_rate_over_bound(&graph, 1000, &mut rng),
            all![ge(0.95), le(1.001)]
        );
    }
}

#[gtest]
fn bound_of_chain_is_rate_of_slowest_stage() {
    let mut graph = Graph::new(
        20,
        [node("a", 0, 10, 10_000.0), node("b", 10, 20, 20_000.0)],
    );
    for node in &mut graph.nodes {
        node.batch_ns = 0.0;
    }
    expect_that!(bound_tokens_per_s(&graph, 64), near(5000.0, 5.0));
}

#[gtest]
fn bound_shares_overlapping_layers() {
    // b applies 5 of the 15 layers to each token: a then needs 10 times 10 µs, and b 5 times 20 µs.
    let mut graph = Graph::new(15, [node("a", 0, 15, 10_000.0), node("b", 5, 15, 20_000.0)]);
    for node in &mut graph.nodes {
        node.batch_ns = 0.0;
    }
    // With both fully used: 100,000 + 50,000 layers per second over 15 layers.
    expect_that!(bound_tokens_per_s(&graph, 64), near(10_000.0, 10.0));
}

#[gtest]
fn bound_respects_links() {
    let mut slow = node("a", 0, 10, 10.0);
    slow.batch_ns = 0.0;
    slow.transfer_ns_per_token = 2e6;
    let graph = Graph::new(10, [slow]);
    expect_that!(bound_tokens_per_s(&graph, 64), near(1000.0, 1.0));
}

#[gtest]
fn bound_counts_target_with_two_nodes_once() {
    let mut first = node("a", 0, 10, 10_000.0);
    let mut second = node("a", 10, 20, 10_000.0);
    first.batch_ns = 0.0;
    second.batch_ns = 0.0;
    let graph = Graph::new(20, [first, second]);
    expect_that!(bound_tokens_per_s(&graph, 64), near(5000.0, 5.0));
}

#[gtest]
fn estimate_resident_ns_follows_own_change_since_report() {
    let own = OwnLoad {
        sequences: 6,
        resident_ns: 600.0,
    };
    let reported = Some(ReportedLoad {
        open_sequences: 12,
        own_sequences: 4,
    });
    expect_that!(estimate_resident_ns(own, None, 100.0), near(600.0, 1e-9));
    // The others had 8 sequences; own sequences grew by half, so the others are assumed to have 12.
    expect_that!(
        estimate_resident_ns(own, reported, 100.0),
        near(1800.0, 1e-9)
    );
}

#[gtest]
fn baselines_cover_all_layers() {
    let mut rng = StdRng::seed_from_u64(5);
    let graph = mixed_fleet(&mut rng, 24);
    let loads = vec![Load::default(); graph.nodes.len()];
    let demand = demand(&graph);
    let ends = |choice: Choice| {
        let hops = &choice.path.hops;
        (hops[0].layers.first, hops[hops.len() - 1].layers.end)
    };
    for turn in 0..50 {
        let choice = round_robin(&graph, &loads, &demand, turn).unwrap();
        expect_that!(ends(choice), eq((0, 40)));
        let choice = random_of_two(&graph, &loads, &demand, &mut rng).unwrap();
        expect_that!(ends(choice), eq((0, 40)));
    }
}
