use std::time::{
    Duration,
    Instant, //
};

use googletest::prelude::*;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use smol_str::format_smolstr;

use super::*;
use crate::port::{
    ListEntry,
    ListRole,
    ListState, //
};

fn entry(name: &str, state: ListState) -> ListEntry {
    ListEntry {
        name: name.into(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "muc-a".into(),
        role: ListRole::Target,
        state,
    }
}

fn snapshot(names: &[&str]) -> Arc<Snapshot> {
    let entries = names.iter().map(|name| entry(name, ListState::Live));
    Arc::new(Snapshot::new(entries))
}

#[gtest]
fn delta_from_turns_any_list_into_any_other() {
    let mut rng = StdRng::seed_from_u64(4);
    let mut random_list = || {
        let mut entries = Vec::new();
        for number in 0..20 {
            let state = match rng.random_range(0..3) {
                0 => continue,
                1 => ListState::Live,
                _ => ListState::Leaving,
            };
            entries.push(entry(&format_smolstr!("t{number}"), state));
        }
        Snapshot::new(entries)
    };
    for _ in 0..200 {
        let (from, to) = (random_list(), random_list());
        let delta = to.delta_from(&from);
        let applied = from.apply(delta.clone());
        expect_that!(applied.map(|list| list.digest()), ok(eq(to.digest())));
        if from.digest() != EMPTY_DIGEST {
            expect_that!(Snapshot::default().apply(delta), err(anything()));
        }
    }
}

#[gtest]
fn apply_rejects_delta_without_an_entry() {
    let from = snapshot(&["a"]);
    let mut delta = snapshot(&["a", "b", "c"]).delta_from(&from);
    delta.put.pop();
    expect_that!(from.apply(delta), err(anything()));
}

#[gtest]
fn delta_from_returns_whole_list_if_base_is_not_kept() {
    let store = Store::default();
    let start = Instant::now();
    let mut digests = Vec::new();
    for number in 0..EARLIER_SNAPSHOTS_MAX + 2 {
        let list = snapshot(&[&format!("t{number}")]);
        digests.push(list.digest());
        store.update(list, start + Duration::from_millis(number as u64));
    }
    let newest = digests.pop().unwrap();

    let (from_kept, _) = store.delta_from(*digests.last().unwrap());
    let (from_dropped, _) = store.delta_from(digests[0]);

    expect_that!(from_kept.base, eq(*digests.last().unwrap()));
    expect_that!(from_dropped.base, eq(EMPTY_DIGEST));
    expect_that!(from_dropped.digest, eq(newest));
}

#[gtest]
fn update_ignores_older_list() {
    let store = Store::default();
    let start = Instant::now();
    let (old, new) = (snapshot(&["old"]), snapshot(&["new"]));
    store.update(Arc::clone(&new), start + Duration::from_secs(1));
    store.update(old, start);
    expect_that!(store.latest().snapshot.digest(), eq(new.digest()));
}
