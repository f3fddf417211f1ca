//! Cost of the configuration: memory per team, time and bytes per change.

use std::{
    sync::Arc,
    time::Instant, //
};

use anvil_core::{
    config::{
        Change,
        Entry,
        Patch,
        Record,
        State,
        Verdict, //
    },
    document::Team,
    key_digest::KeyDigest,
};
use anvil_host::shared::ConfigView;
use smol_str::format_smolstr;

use super::memory::resident_bytes;
use crate::{
    experiments::BenchError,
    report::{
        Bound,
        Report,
        print_progress, //
    },
};

/// Teams at the design size.
const TEAMS: u32 = 41_000;
/// Teams that each patch adds while the state is filled.
const TEAMS_PER_PATCH: u32 = 500;
/// Number of changes over which the cost is averaged.
const CHANGES: u32 = 500;
/// Changes per day at the design size.
const CHANGES_PER_DAY: f64 = 31_000.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Largest fraction of one core that control may use on a host.
const CONTROL_CORE_SHARE_MAX: f64 = 0.043;
/// Largest amount of memory that control may use on a host.
const CONTROL_MEMORY_MAX_BYTES: f64 = 32.0 * 1024.0 * 1024.0;

/// Configuration state under test, with the view that requests read from it.
struct ConfigUnderTest {
    state: State,
    view: ConfigView,
    next_offset: u64,
    record_bytes: u64,
}

impl ConfigUnderTest {
    fn apply(&mut self, teams: std::ops::Range<u32>) -> Result<(), BenchError> {
        let patch = Patch {
            patch_id: format_smolstr!("patch-{}", self.next_offset),
            base_version: self.state.version(),
            author: "bench".into(),
            note: "".into(),
            changes: teams
                .map(|number| put_team(number, self.next_offset))
                .collect(),
        };
        let payload = Record::Patch(patch).encode();
        self.record_bytes += payload.len() as u64;
        let verdict = self.state.apply(self.next_offset, &payload);
        self.next_offset += 1;
        let Verdict::Accepted { version } = verdict else {
            return Err(BenchError::new("apply a patch", format!("{verdict:?}")));
        };
        self.view = self.view.next(version, Arc::clone(self.state.document()));
        Ok(())
    }
}

fn put_team(number: u32, salt: u64) -> Change {
    Change::Put(Entry::Team {
        name: format_smolstr!("team-{number}"),
        value: Arc::new(Team {
            key_sha256: vec![KeyDigest::of(&format!("key-{number}-{salt}"))],
            priority: 1,
            weight: 1,
            limit_requests_per_s: 10,
            limit_tokens_per_s: 1000,
            limit_open_requests: 20,
        }),
    })
}

/// Adds the memory per team and the time and bytes per change to the report.
pub fn measure(report: &mut Report) -> Result<(), BenchError> {
    print_progress(format_args!("configuration of {TEAMS} teams"));
    let before_bytes = resident_bytes()?;
    let mut config = ConfigUnderTest {
        state: State::default(),
        view: ConfigView::default(),
        next_offset: 0,
        record_bytes: 0,
    };
    for first in (0..TEAMS).step_by(TEAMS_PER_PATCH as usize) {
        config.apply(first..TEAMS.min(first + TEAMS_PER_PATCH))?;
    }
    let state_bytes = resident_bytes()?.saturating_sub(before_bytes) as f64;
    report.add_figure("config_bytes_per_team", state_bytes / f64::from(TEAMS));
    report.add_goal(
        "config_memory_of_control_share",
        state_bytes / CONTROL_MEMORY_MAX_BYTES,
        Bound::AtMost(1.0),
    );

    config.record_bytes = 0;
    let started = Instant::now();
    for number in 0..CHANGES {
        config.apply(number..number + 1)?;
    }
    let change_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(CHANGES);
    let core_share = change_us * 1e-6 * CHANGES_PER_DAY / SECONDS_PER_DAY;
    report.add_figure("config_us_per_change", change_us);
    report.add_figure(
        "config_record_bytes_per_change",
        config.record_bytes as f64 / f64::from(CHANGES),
    );
    report.add_goal(
        "config_core_of_control_share",
        core_share / CONTROL_CORE_SHARE_MAX,
        Bound::AtMost(1.0),
    );
    Ok(())
}
