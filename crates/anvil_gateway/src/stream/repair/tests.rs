use googletest::prelude::*;

use super::*;

#[gtest]
fn silence_is_looked_into_before_it_is_certain() {
    let since = Instant::now();
    let mut silence = Silence::since(since);
    expect_that!(silence.next_look(), lt(silence.certain()));
    silence.asked = Some(silence.next_look());
    expect_that!(silence.next_look(), gt(since + STALL_SUSPECT));
    expect_that!(silence.certain(), eq(since + STALL_CERTAIN));
}

/// Callers leave after two seconds without an event: the last send must come before.
#[gtest]
fn silence_ends_before_caller_leaves() {
    const CALLER_LEAVES: Duration = Duration::from_secs(2);
    let since = Instant::now();
    let mut silence = Silence::since(since);
    expect_that!(silence.certain(), lt(since + CALLER_LEAVES));
    silence.repaired = Some(since + STALL_SUSPECT + REPAIR_TIMEOUT);
    expect_that!(silence.certain(), lt(since + CALLER_LEAVES));
}

#[gtest]
fn silence_leaves_repaired_stream_its_time() {
    let since = Instant::now();
    let mut silence = Silence::since(since);
    let repaired = since + Duration::from_millis(1200);
    silence.repaired = Some(repaired);
    expect_that!(silence.certain(), eq(repaired + REPAIRED_CERTAIN));
}
