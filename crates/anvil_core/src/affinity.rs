//! Estimates which prompt prefixes a target has cached.
//!
//! Cache events arrive late and with gaps, so the estimate is only a hint: it lowers the predicted
//! cost of a route, but no decision depends on it alone.

mod table;

pub use table::Table;

#[cfg(test)]
mod tests;
