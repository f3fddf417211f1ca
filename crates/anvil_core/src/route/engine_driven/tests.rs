use googletest::prelude::*;

use super::*;

mod held;
use crate::engine_model::tests::engine;

fn worker(name: &str, kind: &str, data_centre: usize, first: Layer, end: Layer) -> Worker {
    Worker {
        target: name.into(),
        data_centre,
        kind: engine().kinds[kind],
        layers: LayerRange { first, end },
        sequences: 0.0,
        used_token_layers: 0.0,
        first_requests: 0.0,
        slowdown: 1.0,
        prefill_wait_ms: 0.0,
        open: true,
        may_be_first: true,
        held: Vec::new(),
    }
}

const DEMAND: Demand = Demand {
    prompt_tokens: 800.0,
    answer_tokens: 200.0,
    data_centre: 0,
    may_cross: true,
};

fn path(workers: &[Worker]) -> Option<Path> {
    choose(&engine(), workers, &DEMAND, 2, || 1.0).ok()
}

fn names(workers: &[Worker], path: &Path) -> Vec<String> {
    let name = |hop: &Hop| workers[hop.worker].target.to_string();
    path.hops.iter().map(name).collect()
}

#[gtest]
fn choose_covers_layers_with_overlapping_ranges() {
    let workers = [
        worker("a", "large", 0, 0, 30),
        worker("b", "middle", 0, 25, 45),
        worker("c", "large", 0, 40, 70),
        worker("d", "small", 0, 70, 80),
    ];
    let path = path(&workers).unwrap();
    expect_that!(
        names(&workers, &path),
        elements_are![eq("a"), eq("b"), eq("c"), eq("d")]
    );
    expect_that!(path.hops[0].layers.end, eq(30));
    expect_that!(path.hops[2].layers.first, eq(40));
}

#[gtest]
fn choose_stays_in_one_data_centre_if_possible() {
    let workers = [
        worker("near-1", "middle", 0, 0, 40),
        worker("near-2", "middle", 0, 40, 80),
        worker("far-1", "middle", 1, 0, 40),
    ];
    let mut workers = workers.to_vec();
    workers[0].sequences = 10.0;
    for worker in &mut workers {
        // Enough memory for 40 layers; the speeds stay those of the kinds.
        worker.kind.memory_megabytes = 100_000.0;
    }
    let path = path(&workers).unwrap();
    expect_that!(
        names(&workers, &path),
        elements_are![eq("near-1"), eq("near-2")]
    );
}

#[gtest]
fn choose_finds_no_path_without_free_memory() {
    let mut workers = [
        worker("a", "large", 0, 0, 30),
        worker("b", "large", 0, 30, 60),
    ]
    .to_vec();
    workers.push(worker("c", "large", 0, 60, 80));
    expect_that!(path(&workers).is_some(), eq(true));
    let kind = workers[1].kind;
    workers[1].used_token_layers = engine().capacity_token_layers(kind, 30);
    expect_that!(path(&workers), none());
}

#[gtest]
fn choose_avoids_closed_worker() {
    let mut workers = vec![
        worker("a", "large", 0, 0, 40),
        worker("b", "large", 0, 0, 40),
        worker("c", "large", 0, 40, 80),
    ];
    workers[0].open = false;
    for worker in &mut workers {
        worker.kind.memory_megabytes = 100_000.0;
    }
    let path = path(&workers).unwrap();
    expect_that!(names(&workers, &path), elements_are![eq("b"), eq("c")]);
    workers[1].open = false;
    expect_that!(self::path(&workers), none());
}

#[gtest]
fn choose_uses_each_worker_once() {
    let workers = [
        worker("a", "middle", 0, 0, 24),
        worker("b", "large", 0, 5, 15),
        worker("c", "large", 0, 24, 54),
        worker("d", "large", 0, 50, 80),
    ];
    let path = path(&workers).unwrap();
    expect_that!(
        names(&workers, &path),
        elements_are![eq("a"), eq("c"), eq("d")]
    );
    expect_that!(path.hops[0].layers.end, eq(24));
}

#[gtest]
fn choose_avoids_loaded_worker() {
    let mut workers = vec![
        worker("a", "middle", 0, 0, 20),
        worker("b", "middle", 0, 0, 20),
        worker("c", "large", 0, 20, 50),
        worker("d", "large", 0, 50, 80),
    ];
    workers[0].sequences = 30.0;
    let path = path(&workers).unwrap();
    expect_that!(names(&workers, &path)[0].as_str(), eq("b"));
}

fn repaired_path(workers: &[Worker], kept: &[Hop]) -> Option<Path> {
    repair(&engine(), workers, &DEMAND, 2, kept, || 1.0).ok()
}

fn kept_hop(worker: usize, first: Layer, end: Layer) -> Hop {
    Hop {
        worker,
        layers: LayerRange { first, end },
    }
}

#[gtest]
fn repair_replaces_only_lost_hops() {
    let mut workers = vec![
        worker("a", "large", 0, 0, 30),
        worker("b", "middle", 0, 30, 50),
        worker("c", "large", 0, 50, 80),
        worker("spare", "middle", 0, 30, 50),
        worker("better-a", "large", 0, 0, 30),
        worker("better-c", "large", 0, 50, 80),
    ];
    workers[1].open = false;
    // The kept workers are full, and this request is among those that use their memory.
    for index in [0, 2] {
        let kind = workers[index].kind;
        workers[index].used_token_layers = engine().capacity_token_layers(kind, 30);
    }
    let path = repaired_path(&workers, &[kept_hop(0, 0, 30), kept_hop(2, 50, 80)]).unwrap();
    expect_that!(
        names(&workers, &path),
        elements_are![eq("a"), eq("spare"), eq("c")]
    );
}

#[gtest]
fn repair_keeps_first_hop_unchanged() {
    let mut workers = vec![
        worker("a", "large", 0, 0, 30),
        worker("b", "large", 0, 30, 60),
        worker("c", "large", 0, 50, 80),
        worker("d", "large", 0, 20, 60),
    ];
    workers[1].open = false;
    let path = repaired_path(&workers, &[kept_hop(0, 0, 20), kept_hop(2, 60, 80)]).unwrap();
    expect_that!(path.hops[0], eq(kept_hop(0, 0, 20)));
    expect_that!(
        names(&workers, &path),
        elements_are![eq("a"), eq("d"), eq("c")]
    );
}

#[gtest]
fn repair_finds_no_path_without_first_hop() {
    let workers = [
        worker("a", "large", 0, 0, 40),
        worker("b", "large", 0, 40, 80),
    ];
    expect_that!(repaired_path(&workers, &[kept_hop(1, 40, 80)]), none());
}

#[gtest]
fn repair_needs_free_memory_in_added_workers() {
    let mut workers = vec![
        worker("a", "large", 0, 0, 40),
        worker("b", "large", 0, 40, 80),
        worker("full", "large", 0, 40, 80),
    ];
    workers[1].open = false;
    let kind = workers[2].kind;
    workers[2].used_token_layers = engine().capacity_token_layers(kind, 40);
    expect_that!(repaired_path(&workers, &[kept_hop(0, 0, 40)]), none());
}
