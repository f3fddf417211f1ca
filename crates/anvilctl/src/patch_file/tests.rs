use googletest::prelude::*;

use super::PatchFile;

#[gtest]
fn parse_reads_entries_by_section() {
    let text = "note = \"n\"\n[put.teams.a]\nweight = 2\n[delete]\ntargets = [\"t\"]\n";
    let file = PatchFile::parse(text).expect("the text should be valid");
    let put = file.put.expect("entries should be given");
    expect_that!(put["teams"]["a"]["weight"], eq(2));
    let delete = file.delete.expect("deletions should be given");
    expect_that!(delete.targets, elements_are![eq("t")]);
}

#[gtest]
fn parse_reports_errors() {
    let cases = [
        ("note = \"n\"", "the file changes nothing"),
        ("[putt.teams.a]", "unknown field `putt`"),
        ("[delete]\ntarget = [\"t\"]", "unknown field `target`"),
        ("[put", "TOML parse error at line 1"),
    ];
    for (text, message) in cases {
        expect_that!(PatchFile::parse(text), err(contains_substring(message)));
    }
}
