use googletest::prelude::*;

use super::{
    PATH_PREFIXES,
    contains_machine_path, //
};

#[gtest]
fn contains_machine_path_ignores_urls() {
    for prefix in PATH_PREFIXES {
        let prefix = prefix.concat();
        expect_true!(contains_machine_path(&format!("see {prefix}x")));
        expect_true!(contains_machine_path(&prefix));
        expect_false!(contains_machine_path(&format!(
            "http://example.org{prefix}x"
        )));
    }
    expect_false!(contains_machine_path(
        "/v1/steps, /proc/self/stat, /peer/v1/"
    ));
}
