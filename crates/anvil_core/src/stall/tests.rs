use googletest::prelude::*;

use super::*;

#[gtest]
fn probe_delay_follows_pauses_of_stream() {
    for (predicted_ms, longest_ms, expected_ms) in [
        (0, 0, Some(100)),
        (30, 60, Some(100)),
        (50, 60, Some(150)),
        (30, 120, Some(180)),
        (90, 60, None),
        (30, 200, None),
    ] {
        let millis = Duration::from_millis;
        expect_that!(
            probe_delay(millis(predicted_ms), millis(longest_ms)),
            eq(expected_ms.map(millis)),
            "{predicted_ms} ms predicted, {longest_ms} ms at most"
        );
    }
}

#[gtest]
fn lost_engines_blames_few_of_path() {
    use Evidence::{
        Alive,
        Lost, //
    };
    let cases: [(&[Evidence], &[usize]); 6] = [
        (&[], &[]),
        (&[Alive, Alive, Alive], &[]),
        (&[Alive, Lost, Alive], &[1]),
        (&[Lost, Alive, Lost, Alive], &[0, 2]),
        (&[Lost, Lost, Alive], &[]),
        (&[Lost], &[]),
    ];
    for (evidence, lost) in cases {
        expect_that!(lost_engines(evidence), eq(&lost.to_vec()), "{evidence:?}");
    }
}
