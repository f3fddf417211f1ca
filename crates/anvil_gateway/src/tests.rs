//! What the tests of several modules share.

pub(crate) mod fleet;
