use googletest::prelude::*;

use super::*;

/// Guards against limits that a host without untrusted clients would meet.
#[gtest]
fn new_leaves_room_for_ordinary_callers_on_smallest_host() {
    let budget = Budget::new(112.0, 2870);
    expect_that!(budget.callers.connections, ge(1000));
    // Several of the largest bodies.
    expect_that!(budget.callers.request_bytes(), ge(5 * (4 << 20)));
    // The fleet's requests for the table after a change.
    expect_that!(budget.peers.connections, ge(100));
}

/// Guards against descriptors that callers take from targets, the store and peers (LOST).
#[gtest]
fn new_divides_descriptors() {
    for descriptors in [4, 64, 256, 320, 1024, 2870, 20_000, 1 << 40] {
        let budget = Budget::new(1e6, descriptors);
        let callers = &budget.callers;
        // Each caller may need a connection to a target.
        let taken = 2 * callers.connections + 2 * budget.tunnels;
        let others =
            budget.peers.connections + budget.readiness.connections + budget.metrics.connections;
        if descriptors >= 64 {
            expect_that!(taken + others, lt(descriptors), "{descriptors}");
        }
        expect_that!(callers.connections, ge(1), "{descriptors}");
    }
}

#[gtest]
fn new_bounds_connections_by_memory() {
    let budget = Budget::new(16.0, usize::MAX);
    expect_that!(budget.callers.connections * CONNECTION_BYTES, le(1_600_000));
}
