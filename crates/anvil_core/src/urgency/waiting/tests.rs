use googletest::prelude::*;

use super::*;

fn entry(rank: Rank, team: &str, tokens: u64) -> Entry {
    Entry {
        rank,
        team: team.into(),
        tokens,
        bytes: 10,
        latest_start: Instant::now(),
    }
}

fn queue(requests: usize, bytes: usize) -> Queue<&'static str> {
    Queue::new(Bounds { requests, bytes })
}

fn drain(queue: &mut Queue<&'static str>) -> Vec<&'static str> {
    std::iter::from_fn(|| queue.pop()).collect()
}

#[gtest]
fn pop_goes_by_rank_then_team_then_arrival() {
    let mut queue = queue(10, 1000);
    for (rank, team, waiter) in [
        (2, "a", "late"),
        (0, "a", "a1"),
        (0, "a", "a2"),
        (0, "b", "b1"),
        (1, "a", "middle"),
    ] {
        queue.push(entry(rank, team, 100), waiter).unwrap();
    }
    let (ticket, _) = queue.push(entry(0, "c", 1), "left").unwrap();
    expect_that!(queue.cancel(&ticket), some(eq("left")));
    expect_that!(queue.has_before(1), eq(true));
    expect_that!(queue.tokens_before(1), eq(400));
    expect_that!(drain(&mut queue), eq(&["a1", "b1", "a2", "middle", "late"]));
    expect_that!(queue.has_before(9), eq(false));
}

/// Load: a queue full of the least urgent kind, or of one team.
#[gtest]
fn push_gives_up_least_urgent_and_longest_backlog() {
    let mut queue = queue(3, 1000);
    for waiter in ["b1", "b2", "b3"] {
        queue.push(entry(2, "b", 100), waiter).unwrap();
    }
    let (_, given_up) = queue.push(entry(0, "b", 100), "urgent").unwrap();
    expect_that!(given_up, elements_are![eq(&"b3")]);
    let (_, given_up) = queue.push(entry(2, "a", 100), "a1").unwrap();
    expect_that!(given_up, elements_are![eq(&"b2")]);
    let (ticket, given_up) = queue.push(entry(2, "b", 500), "b4").unwrap();
    expect_that!(given_up, elements_are![eq(&"b4")]);
    expect_that!(queue.cancel(&ticket), none());
    expect_that!(queue.len(), eq(3));
}

#[gtest]
fn push_keeps_bound_of_bytes() {
    let mut queue = queue(100, 25);
    queue.push(entry(0, "a", 1), "first").unwrap();
    queue.push(entry(0, "a", 1), "second").unwrap();
    let (_, given_up) = queue.push(entry(0, "b", 1), "third").unwrap();
    expect_that!(given_up, elements_are![eq(&"second")]);
    let mut too_large = entry(0, "a", 1);
    too_large.bytes = 26;
    expect_that!(queue.push(too_large, "large").is_none(), eq(true));
    expect_that!(drain(&mut queue), eq(&["first", "third"]));
}
