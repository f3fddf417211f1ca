//! Tests across modules, and what the tests of several modules share.

mod broken_answers;
pub(crate) mod fleet;
