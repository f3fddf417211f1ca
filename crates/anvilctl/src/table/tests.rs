use googletest::prelude::*;

use super::Table;

#[gtest]
fn display_counts_width_in_characters() {
    let mut table = Table::new(&["name", "count"]);
    table.row(vec!["Büro".to_owned(), "7".to_owned()]);
    table.row(vec!["planners".to_owned(), "12".to_owned()]);
    expect_that!(
        table.to_string(),
        eq("NAME      COUNT\nBüro      7\nplanners  12\n")
    );
}
