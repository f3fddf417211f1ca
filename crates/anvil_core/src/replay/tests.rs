use googletest::prelude::*;

use super::*;

fn accepted(numbers: &[u64]) -> Vec<bool> {
    let mut window = Window::default();
    numbers
        .iter()
        .map(|number| window.accept(*number))
        .collect()
}

#[gtest]
fn accept_takes_each_number_once() {
    expect_that!(accepted(&[1, 2, 1, 2]), eq(&[true, true, false, false]));
    expect_that!(accepted(&[0, 0]), eq(&[true, false]));
}

#[gtest]
fn accept_takes_numbers_in_any_order() {
    expect_that!(
        accepted(&[5, 3, 4, 3, 5]),
        eq(&[true, true, true, false, false])
    );
}

#[gtest]
fn accept_refuses_numbers_below_window() {
    expect_that!(
        accepted(&[200, 72, 73, 73]),
        eq(&[true, false, true, false])
    );
    expect_that!(
        accepted(&[1, 5000, 1, u64::MAX, 5000]),
        eq(&[true, true, false, true, false])
    );
}
