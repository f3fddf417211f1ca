use googletest::prelude::*;

use super::duration_text;

#[gtest]
fn duration_text_prints_at_most_two_units() {
    let cases = [
        (0, "0 ms"),
        (999, "999 ms"),
        (1_000, "1 s"),
        (61_000, "1 min 1 s"),
        (3_600_000, "1 h 0 min"),
        (90_000_000, "1 d 1 h"),
    ];
    for (millis, text) in cases {
        expect_that!(duration_text(millis), eq(text));
    }
}
