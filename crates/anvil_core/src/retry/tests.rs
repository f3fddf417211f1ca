use googletest::prelude::*;

use super::*;

#[gtest]
fn budget_outage_grants_reserve_then_share() {
    let settings = Settings::default();
    let budget = Budget::new(&settings);
    let granted = (0..1000).filter(|_| budget.try_withdraw()).count();
    expect_that!(granted, eq(10));
    let mut extra = 0;
    for _ in 0..1000 {
        budget.deposit();
        extra += usize::from(budget.try_withdraw());
    }
    expect_that!(extra, eq(100));
}

#[gtest]
fn deposit_full_budget_stays_at_reserve() {
    let budget = Budget::new(&Settings::default());
    for _ in 0..1000 {
        budget.deposit();
    }
    expect_that!(budget.balance_retries(), eq(10.0));
}

#[gtest]
fn retry_at_most_once_requires_attempt_not_run() {
    let settings = Settings::default();
    let (team, target) = (Budget::new(&settings), Budget::new(&settings));
    let mut allowance = Allowance::new(&settings);
    let denied = allowance.retry(Repeatable::AtMostOnce, Failed::MayHaveRun, &team, &target);
    expect_that!(denied, err(eq(Denied::NotRepeatable)));
    let hedged = allowance.hedge(Repeatable::AtMostOnce, &team, &target);
    expect_that!(hedged, err(eq(Denied::NotRepeatable)));
    expect_that!(team.balance_retries(), eq(10.0));
    let granted = allowance.retry(Repeatable::AtMostOnce, Failed::NotRun, &team, &target);
    expect_that!(granted, ok(eq(())));
}

#[gtest]
fn retry_allowance_bounds_all_stages_together() {
    let settings = Settings::default();
    let team = Budget::new(&settings);
    let stages: Vec<_> = (0..5).map(|_| Budget::new(&settings)).collect();
    let mut allowance = Allowance::new(&settings);
    let mut granted = 0;
    for target in stages.iter().cycle().take(100) {
        let result = allowance.retry(Repeatable::Idempotent, Failed::NotRun, &team, target);
        granted += u32::from(result.is_ok());
    }
    expect_that!(granted, eq(settings.attempts_extra_max));
}

#[gtest]
fn retry_target_budget_spent_refunds_team() {
    let settings = Settings::default();
    let (team, target) = (Budget::new(&settings), Budget::new(&settings));
    while target.try_withdraw() {}
    let mut allowance = Allowance::new(&settings);
    let denied = allowance.retry(Repeatable::Idempotent, Failed::NotRun, &team, &target);
    expect_that!(denied, err(eq(Denied::TargetBudget)));
    expect_that!(team.balance_retries(), eq(10.0));
    expect_that!(allowance.attempts_left(), eq(3));
}

#[gtest]
fn hedge_delay_follows_service_times() {
    let settings = Settings::default();
    let times = ServiceTimes::default();
    expect_that!(times.hedge_delay(&settings), none());
    for _ in 0..100 {
        times.observe(Duration::from_millis(100));
    }
    let steady = times.hedge_delay(&settings).unwrap();
    expect_that!(steady, ge(Duration::from_millis(99)));
    expect_that!(steady, le(Duration::from_millis(110)));
}
