//! Rules that relate the values of several keys.

use crate::settings::Settings;

/// A rule that the value of one key must satisfy with respect to others.
#[derive(Debug)]
pub struct Rule {
    /// Full name of the key for which a violation is reported.
    pub key: &'static str,
    /// What the value must be; completes the message "must be ...".
    pub relation: &'static str,
    /// Returns whether the rule holds.
    pub holds: fn(&Settings) -> bool,
}

macro_rules! rule {
    ($key:literal, $relation:literal, $holds:expr) => {
        Rule {
            key: $key,
            relation: $relation,
            holds: $holds,
        }
    };
}

/// Every rule, checked after all values have been read.
pub static RULES: &[Rule] = &[
    rule!(
        "admission.retry_after_max_ms",
        "at least `admission.retry_after_min_ms`",
        |settings| settings.admission.retry_after_min <= settings.admission.retry_after_max
    ),
    rule!(
        "admission.open_limit_initial",
        "from `admission.open_limit_min` to `callers.connection_limit`",
        |settings| {
            let admission = &settings.admission;
            admission.open_limit_min <= admission.open_limit_initial
                && admission.open_limit_initial as usize <= settings.callers.connection_limit
        }
    ),
    rule!(
        "team_limits.share_lifetime_ms",
        "at least four times `team_limits.report_interval_ms`",
        |settings| {
            settings.team_limits.share_lifetime >= settings.team_limits.report_interval * 4
        }
    ),
    rule!(
        "team_limits.idle_timeout_ms",
        "above `team_limits.share_lifetime_ms`",
        |settings| settings.team_limits.idle_timeout > settings.team_limits.share_lifetime
    ),
    rule!(
        "claims.key_life_ms",
        "above `claims.send_window_ms`",
        |settings| settings.claims.key_life > settings.claims.send_window
    ),
    rule!(
        "claims.settle_age_ms",
        "above `claims.send_window_ms`",
        |settings| settings.claims.settle_age > settings.claims.send_window
    ),
    rule!(
        "claims.read_back_timeout_ms",
        "below `claims.send_window_ms`",
        |settings| settings.claims.read_back_timeout < settings.claims.send_window
    ),
    rule!(
        "targets.health.ejection_max_ms",
        "at least `targets.health.ejection_min_ms`",
        |settings| settings.targets.health.ejection_min <= settings.targets.health.ejection_max
    ),
    rule!(
        "targets.health.step_deadline_max_ms",
        "at least `targets.health.step_deadline_min_ms`",
        |settings| {
            let health = &settings.targets.health;
            health.step_deadline_min <= health.step_deadline_max
        }
    ),
    rule!(
        "targets.concurrency.limit_initial",
        "from `targets.concurrency.limit_min` to `targets.concurrency.limit_max`",
        |settings| {
            let concurrency = &settings.targets.concurrency;
            (concurrency.limit_min..=concurrency.limit_max).contains(&concurrency.limit_initial)
        }
    ),
    rule!(
        "lease.renew_after_ms",
        "below `lease.duration_ms` less `lease.margin_ms`",
        |settings| {
            let lease = &settings.lease;
            lease.renew_after + lease.margin < lease.duration
        }
    ),
    rule!(
        "placement.quarantine_ms",
        "above `lease.duration_ms`",
        |settings| settings.placement.quarantine > settings.lease.duration
    ),
    rule!(
        "placement.utilisation_low",
        "at most half of `placement.utilisation_high`",
        |settings| {
            settings.placement.utilisation_low * 2.0 <= settings.placement.utilisation_high
        }
    ),
];
