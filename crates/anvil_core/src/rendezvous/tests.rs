use googletest::prelude::*;

use super::*;

fn members(count: usize) -> Vec<SmolStr> {
    (0..count)
        .map(|number| format!("host-{number}").into())
        .collect()
}

#[gtest]
fn choose_moves_only_keys_of_removed_member() {
    let all = members(20);
    let remaining = &all[1..];
    for number in 0..2000 {
        let key = format!("team-{number}");
        let before = choose(&key, &all).unwrap();
        let after = choose(&key, remaining).unwrap();
        expect_that!(before == after, eq(before != &all[0]));
    }
}

#[gtest]
fn choose_spreads_keys_evenly() {
    let all = members(410);
    let mut counts = std::collections::HashMap::new();
    for number in 0..41_000 {
        let home = choose(&format!("team-{number}"), &all).unwrap();
        *counts.entry(home).or_insert(0) += 1;
    }
    let largest_count = *counts.values().max().unwrap();
    // The mean is 100 keys and the standard deviation 10: 145 is 4.5 deviations above the mean.
    expect_that!(largest_count, le(145));
    expect_that!(counts.len(), eq(410));
}

#[gtest]
fn choose_many_starts_with_chosen_member() {
    let all = members(9);
    let several = choose_many("key", &all, 3);
    expect_that!(several.len(), eq(3));
    expect_that!(several[0], eq(choose("key", &all).unwrap()));
}
