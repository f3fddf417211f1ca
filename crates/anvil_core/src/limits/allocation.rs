//! Divides an amount among demands.

#[cfg(test)]
mod tests;

/// Divides `pool` among `demands`.
///
/// If the demands exceed the pool, each gets a part in proportion. Each request of a team then has
/// the same chance at every host. No host gets more than its demand, because the excess would be
/// unused whenever its requests arrive slightly more slowly than measured.
///
/// Otherwise, each gets its demand. The rest except `reserve` is divided half evenly and half in
/// proportion, so that a host whose demand grows has room until its next report.
///
/// The shares add up to at most `pool`.
pub fn allocate(pool: f64, reserve: f64, demands: &[f64]) -> Vec<f64> {
    let sum: f64 = demands.iter().sum();
    if demands.is_empty() || pool <= 0.0 {
        return vec![0.0; demands.len()];
    }
    if sum > pool {
        return demands.iter().map(|demand| pool * demand / sum).collect();
    }
    let spare = (pool - sum - reserve).max(0.0);
    let evenly = spare / demands.len() as f64;
    demands
        .iter()
        .map(|demand| {
            let in_proportion = if sum > 0.0 {
                spare * demand / sum
            } else {
                evenly
            };
            demand + (evenly + in_proportion) / 2.0
        })
        .collect()
}
