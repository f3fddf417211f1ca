use googletest::prelude::*;

use super::*;

const LAYER_COUNT: Layer = 4;

fn holder(first: Layer, end: Layer, process_hash: u32) -> Holder {
    Holder {
        layers: LayerRange::new(first, end).unwrap(),
        data_centre: 0,
        process_hash,
        is_available: true,
        may_be_first: true,
        has_suspect: false,
    }
}

/// Returns `count` engines that hold all layers.
fn whole_holders(count: u32) -> Vec<Holder> {
    (1..=count)
        .map(|process_hash| holder(0, LAYER_COUNT, process_hash))
        .collect()
}

fn firsts(places: &[Place]) -> Vec<usize> {
    let firsts = places.iter().enumerate();
    firsts
        .filter(|(_, place)| **place == Place::First)
        .map(|(index, _)| index)
        .collect()
}

#[gtest]
fn places_of_suspect_never_opens_last_holders() {
    for count in 0..=SPARE_HOLDERS_MIN as u32 {
        let places = places_of_suspect(&whole_holders(count), LAYER_COUNT);
        expect_that!(places, each(eq(&Place::Closed)), "{count} holders");
    }
}

#[gtest]
fn places_of_suspect_begins_at_one_engine() {
    let mut holders = whole_holders(5);
    expect_that!(
        firsts(&places_of_suspect(&holders, LAYER_COUNT)),
        elements_are![eq(&4)]
    );
    holders.reverse();
    expect_that!(
        firsts(&places_of_suspect(&holders, LAYER_COUNT)),
        elements_are![eq(&0)]
    );
}

#[gtest]
fn places_of_suspect_counts_available_holders() {
    let mut holders = whole_holders(4);
    holders[0].is_available = false;
    expect_that!(
        firsts(&places_of_suspect(&holders, LAYER_COUNT)),
        elements_are![eq(&3)]
    );
    holders[1].is_available = false;
    expect_that!(
        places_of_suspect(&holders, LAYER_COUNT),
        each(eq(&Place::Closed))
    );
}

#[gtest]
fn places_of_suspect_waits_for_suspect_in_same_group() {
    let mut holders = whole_holders(6);
    holders[5].has_suspect = true;
    expect_that!(
        firsts(&places_of_suspect(&holders, LAYER_COUNT)),
        is_empty()
    );
}

/// Guards against the end of an engine whose first layers have spare holders and whose last layers have
/// none.
#[gtest]
fn places_of_suspect_counts_each_layer() {
    let mut holders: Vec<Holder> = (1..=4).map(|hash| holder(0, 2, hash)).collect();
    holders.extend((5..=6).map(|hash| holder(2, 4, hash)));
    holders.push(holder(0, 4, 0));
    let places = places_of_suspect(&holders, LAYER_COUNT);
    expect_that!(firsts(&places), elements_are![eq(&3)]);
    expect_that!(places[6], eq(Place::Later));
    holders.pop();
    let places = places_of_suspect(&holders, LAYER_COUNT);
    expect_that!(places[4..], each(eq(&Place::Closed)));
}

#[gtest]
fn places_of_suspect_counts_within_data_centre_that_holds_all_layers() {
    let mut holders = whole_holders(6);
    for holder in &mut holders[..2] {
        holder.data_centre = 1;
    }
    let places = places_of_suspect(&holders, LAYER_COUNT);
    expect_that!(places[..2], each(eq(&Place::Closed)));
    expect_that!(firsts(&places), elements_are![eq(&5)]);
}

#[gtest]
fn places_of_others_avoids_suspects() {
    let mut holders = whole_holders(3);
    holders[1].has_suspect = true;
    expect_that!(
        firsts(&places_of_others(&holders, LAYER_COUNT, false)),
        elements_are![eq(&0), eq(&2)]
    );
}

/// Guards against a stream that is resumed at the engine where a suspect of the same end is tried next.
#[gtest]
fn places_of_others_avoids_next_engine_of_suspects_when_resumed() {
    let holders = whole_holders(3);
    expect_that!(
        firsts(&places_of_others(&holders, LAYER_COUNT, true)),
        elements_are![eq(&0), eq(&1)]
    );
    expect_that!(
        firsts(&places_of_others(&holders[1..], LAYER_COUNT, true)),
        elements_are![eq(&0), eq(&1)]
    );
}
