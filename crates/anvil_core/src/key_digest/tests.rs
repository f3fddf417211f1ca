use googletest::prelude::*;

use super::*;

#[gtest]
fn from_str_parses_display_output() {
    let digest = KeyDigest::of("key");
    expect_that!(digest.to_string().parse::<KeyDigest>(), ok(eq(digest)));
    expect_that!(
        digest.to_string().to_uppercase().parse::<KeyDigest>(),
        ok(eq(digest))
    );
}

#[gtest]
fn from_str_rejects_malformed_digest() {
    for text in ["", "ab", &"g".repeat(64), &"+1".repeat(32), &"é".repeat(32)] {
        expect_that!(text.parse::<KeyDigest>(), err(anything()), "{text}");
    }
}
