use anvil_core::{
    document::{
        Fencing,
        Holding,
        Role, //
    },
    id::LayerRange,
};
use googletest::prelude::*;

use super::*;

fn holding(first: u16, end: u16) -> Holding {
    Holding {
        model: "m".into(),
        version: "1".into(),
        layers: LayerRange { first, end },
        role: Role::Both,
    }
}

#[gtest]
fn unload_splits_a_holding() {
    let mut holdings = Holdings::new(vec![holding(0, 10)], Fencing::Checked);
    holdings.unload(&holding(3, 5));
    expect_that!(
        holdings.all(),
        elements_are![eq(&holding(0, 3)), eq(&holding(5, 10))]
    );
}

#[gtest]
fn check_token_refuses_older_token() {
    let mut holdings = Holdings::new(Vec::new(), Fencing::Checked);
    expect_that!(holdings.check_token(5), ok(anything()));
    expect_that!(holdings.check_token(5), ok(anything()));
    expect_that!(holdings.check_token(4), err(anything()));
}

#[gtest]
fn check_token_accepts_older_token_when_fencing_is_ignored() {
    let mut holdings = Holdings::new(Vec::new(), Fencing::Ignored);
    expect_that!(holdings.check_token(5), ok(anything()));
    expect_that!(holdings.check_token(4), ok(anything()));
    expect_that!(holdings.fencing_token(), eq(0));
}
