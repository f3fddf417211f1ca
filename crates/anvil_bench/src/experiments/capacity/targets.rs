//! Cost of targets on a host: choosing the subset that it uses, and keeping the platform's list.

use std::{
    hint::black_box,
    time::Instant, //
};

use anvil_core::{
    document::{
        Holding,
        Role, //
    },
    id::{
        DataCentreId,
        HostId,
        LayerRange,
        TargetId, //
    },
    subset::{
        self,
        Candidate,
        Member, //
    },
};
use anvil_host::{
    listing::Snapshot,
    port::{
        ListEntry,
        ListRole,
        ListState, //
    },
};
use smol_str::format_smolstr;

use super::memory::resident_bytes;
use crate::{
    experiments::BenchError,
    report::{
        Report,
        print_progress, //
    },
};

/// Hosts at the design size.
const HOSTS: usize = 410;
/// Engine workers at the design size.
const TARGETS: usize = 7_500;
const DATA_CENTRES: usize = 6;
const MODELS: usize = 19;
const STAGES: u16 = 6;
const LAYERS_PER_STAGE: u16 = 8;
/// Number of hosts whose subsets are measured.
const SAMPLED_HOSTS: usize = 20;
/// Number of times that each timed call is repeated.
const REPEATS: u32 = 20;

/// Adds the cost of choosing a subset and of keeping the list to the report.
pub fn measure(report: &mut Report) -> Result<(), BenchError> {
    print_progress(format_args!("{TARGETS} targets, {HOSTS} hosts"));
    measure_subset(report);
    measure_list(report)
}

fn data_centre(number: usize) -> DataCentreId {
    format_smolstr!("dc-{}", number % DATA_CENTRES)
}

fn holding(number: usize) -> Result<Holding, BenchError> {
    let stage = (number / MODELS) as u16 % STAGES;
    let first = stage * LAYERS_PER_STAGE;
    let layers = LayerRange::new(first, first + LAYERS_PER_STAGE)
        .ok_or_else(|| BenchError::new("create a holding", "the layer range is empty"))?;
    Ok(Holding {
        model: format_smolstr!("model-{}", number % MODELS),
        version: "1".into(),
        layers,
        role: Role::Both,
    })
}

fn measure_subset(report: &mut Report) {
    let hosts: Vec<(HostId, DataCentreId)> = (0..HOSTS)
        .map(|number| (format_smolstr!("host-{number}"), data_centre(number)))
        .collect();
    let targets: Vec<(TargetId, DataCentreId, Vec<Holding>)> = (0..TARGETS)
        .map(|number| {
            let holds = holding(number).into_iter().collect();
            (
                format_smolstr!("engine-{number}"),
                data_centre(number / 7),
                holds,
            )
        })
        .collect();
    let members: Vec<_> = hosts
        .iter()
        .map(|(id, data_centre)| Member { id, data_centre })
        .collect();
    let candidates: Vec<_> = targets
        .iter()
        .map(|(id, data_centre, holds)| Candidate {
            id,
            data_centre,
            holds,
        })
        .collect();
    let settings = subset::Settings::default();
    let started = Instant::now();
    let mut sizes: Vec<_> = members[..SAMPLED_HOSTS]
        .iter()
        .map(|own| subset::choose(*own, &members, &candidates, &settings).len())
        .collect();
    let choose_us = started.elapsed().as_secs_f64() * 1e6 / SAMPLED_HOSTS as f64;
    sizes.sort_unstable();
    report.add_figure("subset_us_per_choice", choose_us);
    report.add_figure("subset_targets_min", sizes[0]);
    report.add_figure("subset_targets_max", sizes[SAMPLED_HOSTS - 1]);
}

fn measure_list(report: &mut Report) -> Result<(), BenchError> {
    let address = "10.20.30.40:8000"
        .parse()
        .map_err(|error| BenchError::new("parse the address of the list entries", error))?;
    let entry = |number: usize, role, name| ListEntry {
        name,
        address,
        data_centre: data_centre(number),
        role,
        state: ListState::Live,
    };
    let hosts =
        (0..HOSTS).map(|number| entry(number, ListRole::Host, format_smolstr!("host-{number}")));
    let targets = (0..TARGETS)
        .map(|number| entry(number, ListRole::Target, format_smolstr!("engine-{number}")));
    let mut entries: Vec<_> = hosts.chain(targets).collect();
    let before_bytes = resident_bytes()?;
    // Several lists, because a single one might fit mostly into memory that was freed earlier and
    // is still resident.
    let lists: Vec<_> = (0..REPEATS)
        .map(|_| Snapshot::new(entries.iter().cloned()))
        .collect();
    let list_bytes = resident_bytes()?.saturating_sub(before_bytes) as f64 / f64::from(REPEATS);
    report.add_figure("list_bytes_per_entry", list_bytes / entries.len() as f64);
    let old_list = &lists[0];
    entries[HOSTS].state = ListState::Leaving;
    let started = Instant::now();
    for _ in 0..REPEATS {
        black_box(Snapshot::new(entries.iter().cloned()));
    }
    report.add_figure("list_us_per_read", per_call_us(started));
    let new_list = Snapshot::new(entries);
    let started = Instant::now();
    for _ in 0..REPEATS {
        let delta = new_list.delta_from(old_list);
        let applied = old_list.apply(black_box(delta));
        black_box(applied.map_err(|error| BenchError::new("apply a delta", error))?);
    }
    report.add_figure("list_us_per_change", per_call_us(started));
    Ok(())
}

fn per_call_us(started: Instant) -> f64 {
    started.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS)
}
