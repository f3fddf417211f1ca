use googletest::prelude::*;

use super::*;

const LIMIT_BYTES: usize = 30 << 20;

#[gtest]
fn resize_accepts_two_bodies_of_4_mb() {
    let memory = BodyMemory::new(LIMIT_BYTES);
    let mut bodies = [memory.reserve(), memory.reserve()];
    for body in &mut bodies {
        expect_that!(body.resize(4 << 20), ok(anything()));
    }
    expect_that!(memory.used_bytes(), eq(8 << 20));
}

/// Guards against bodies without end that take all memory of a host (LOST).
#[gtest]
fn resize_bounds_sum_of_bodies_without_end() {
    for count in [1, 2, 30, 300, 2000] {
        let memory = BodyMemory::new(LIMIT_BYTES);
        let mut bodies: Vec<_> = (0..count).map(|_| (memory.reserve(), 0)).collect();
        let mut has_grown = true;
        while has_grown {
            has_grown = false;
            for (body, held_bytes) in &mut bodies {
                if body.resize(*held_bytes + 4096).is_ok() {
                    *held_bytes += 4096;
                    has_grown = true;
                }
            }
        }
        expect_that!(memory.used_bytes(), le(LIMIT_BYTES), "{count} bodies");
        // A small answer still finds room beside them.
        expect_that!(
            memory.reserve().resize(4096),
            ok(anything()),
            "{count} bodies"
        );
    }
}

#[gtest]
fn drop_frees_memory() {
    let memory = BodyMemory::new(LIMIT_BYTES);
    let mut body = memory.reserve();
    expect_that!(body.resize(1000), ok(anything()));
    expect_that!(body.resize(400), ok(anything()));
    expect_that!(memory.used_bytes(), eq(400));
    drop(body);
    expect_that!(memory.used_bytes(), eq(0));
}
