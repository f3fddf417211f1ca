use std::collections::HashMap;

use googletest::prelude::*;
use smol_str::{
    SmolStr,
    format_smolstr, //
};

use super::*;
use crate::{
    document::Role,
    id::LayerRange, //
};

const HOST_COUNT: usize = 60;
const TARGET_COUNT: usize = 1200;
const MODEL_COUNT: usize = 6;
const LAYER_COUNT: Layer = 24;
const STAGE_COUNT: usize = 4;

struct Fleet {
    hosts: Vec<(SmolStr, SmolStr)>,
    targets: Vec<(SmolStr, SmolStr, Vec<Holding>)>,
}

impl Fleet {
    fn new() -> Self {
        let data_centre = |number: usize| format_smolstr!("dc-{}", number % 3);
        let stage_layers = LAYER_COUNT / STAGE_COUNT as Layer;
        let hosts =
            (0..HOST_COUNT).map(|number| (format_smolstr!("host-{number}"), data_centre(number)));
        let targets = (0..TARGET_COUNT).map(|number| {
            let first = (number / MODEL_COUNT % STAGE_COUNT) as Layer * stage_layers;
            let holding = Holding {
                model: format_smolstr!("model-{}", number % MODEL_COUNT),
                version: "1".into(),
                layers: LayerRange::new(first, first + stage_layers).unwrap(),
                role: Role::Both,
            };
            let id = format_smolstr!("target-{number}");
            (id, data_centre(number / 7), vec![holding])
        });
        Self {
            hosts: hosts.collect(),
            targets: targets.collect(),
        }
    }

    fn members(&self) -> Vec<Member<'_>> {
        let member = |(id, data_centre)| Member { id, data_centre };
        self.hosts
            .iter()
            .map(|(id, data_centre)| member((id, data_centre)))
            .collect()
    }

    fn candidates(&self) -> Vec<Candidate<'_>> {
        self.targets
            .iter()
            .map(|(id, data_centre, holds)| Candidate {
                id,
                data_centre,
                holds,
            })
            .collect()
    }

    fn subsets(&self, settings: &Settings) -> Vec<Subset> {
        let (members, candidates) = (self.members(), self.candidates());
        members
            .iter()
            .map(|own| choose(*own, &members, &candidates, settings))
            .collect()
    }
}

#[gtest]
fn choose_takes_all_if_there_are_few_targets() {
    let fleet = Fleet::new();
    let settings = Settings {
        targets_per_host: TARGET_COUNT,
        ..Settings::default()
    };
    expect_that!(fleet.subsets(&settings)[0].len(), eq(TARGET_COUNT));
}

#[gtest]
fn choose_assigns_each_target_to_the_same_number_of_hosts() {
    // The number is exact if no targets are added to cover layers.
    let settings = Settings {
        replicas_min: 0,
        ..Settings::default()
    };
    let mut host_counts: HashMap<SmolStr, usize> = HashMap::new();
    for subset in Fleet::new().subsets(&settings) {
        for target in subset {
            *host_counts.entry(target).or_default() += 1;
        }
    }
    expect_that!(host_counts.len(), eq(TARGET_COUNT));
    let counts: Vec<_> = host_counts.into_values().collect();
    expect_that!(
        counts,
        each(eq(&(settings.targets_per_host * HOST_COUNT / TARGET_COUNT)))
    );
}

#[gtest]
fn choose_covers_every_layer_on_every_host() {
    let fleet = Fleet::new();
    let settings = Settings {
        targets_per_host: 20,
        ..Settings::default()
    };
    for subset in fleet.subsets(&settings) {
        for model in 0..MODEL_COUNT {
            for layer in 0..LAYER_COUNT {
                let name = format_smolstr!("model-{model}");
                let holders = fleet.targets.iter().filter(|(id, _, holdings)| {
                    let layers = holdings[0].layers;
                    subset.contains(id)
                        && holdings[0].model == name
                        && (layers.first..layers.end).contains(&layer)
                });
                expect_that!(holders.count(), ge(settings.replicas_min));
            }
        }
    }
}

#[gtest]
fn choose_moves_few_targets_when_a_host_leaves() {
    let settings = Settings::default();
    let mut fleet = Fleet::new();
    let before = fleet.subsets(&settings);
    fleet.hosts.pop();
    let after = fleet.subsets(&settings);
    let mean_size = before.iter().map(Subset::len).sum::<usize>() / HOST_COUNT;
    let moved_count: usize = before
        .iter()
        .zip(&after)
        .map(|(before, after)| before.symmetric_difference(after).count())
        .sum();
    // The removed host's targets are each taken over by one other host.
    expect_that!(moved_count, le(mean_size * 3 / 2));
}

#[gtest]
fn choose_spreads_evenly_and_prefers_own_data_centre() {
    let fleet = Fleet::new();
    let subsets = fleet.subsets(&Settings::default());
    let sizes: Vec<_> = subsets.iter().map(Subset::len).collect();
    let mean_size = sizes.iter().sum::<usize>() / sizes.len();
    expect_that!(
        sizes,
        each(all![ge(&(mean_size * 7 / 10)), le(&(mean_size * 13 / 10))])
    );
    let near_count = fleet
        .targets
        .iter()
        .filter(|(id, data_centre, _)| *data_centre == fleet.hosts[0].1 && subsets[0].contains(id))
        .count();
    expect_that!(near_count, gt(subsets[0].len() / 2));
}
