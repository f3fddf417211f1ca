use googletest::prelude::*;

use super::*;

/// Longest time that passing a result on to the hosts of the same data centre takes: two digests,
/// the first of which may be lost.
const RELAY_TIME: Duration = Duration::from_millis(150);
/// Time that a check for an overdue copy and the store's answer take.
const ANSWER_TIME: Duration = Duration::from_millis(150);

#[gtest]
fn for_bound_leaves_time_to_relay_and_to_answer() {
    for bound in [2, 3, 5, 10].map(Duration::from_secs) {
        let limits = Limits::for_bound(bound);
        expect_that!(limits.wait + RELAY_TIME, le(limits.overdue_age));
        expect_that!(
            limits.overdue_age + limits.overdue_delay_max + limits.answer_doubt + ANSWER_TIME,
            le(bound)
        );
    }
}

#[gtest]
fn first_wait_never_exceeds_wait() {
    let limits = Limits::for_bound(Duration::from_secs(2));
    for random_unit in [0.0, 0.3, 0.999] {
        expect_that!(limits.first_wait(random_unit), le(limits.wait));
        expect_that!(limits.first_wait(random_unit), gt(Duration::ZERO));
    }
}
