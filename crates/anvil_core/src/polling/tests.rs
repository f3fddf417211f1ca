use googletest::prelude::*;
use smol_str::format_smolstr;

use super::*;

fn targets(count: usize) -> Vec<TargetId> {
    (0..count)
        .map(|number| format_smolstr!("t{number}"))
        .collect()
}

/// Runs the schedule at its rate and counts each target's questions.
fn run(
    schedule: &mut Schedule,
    targets: &[TargetId],
    step_activity: impl Fn(&TargetId) -> StepActivity,
    time: Duration,
) -> HashMap<(TargetId, PollKind), u32> {
    let mut counts = HashMap::new();
    let start = Instant::now();
    let step = schedule.call_interval();
    let steps = (time.as_nanos() / step.as_nanos()) as u32;
    for number in 0..steps {
        let listed = targets.iter().map(|target| (target, step_activity(target)));
        if let Some(asked) = schedule.next(listed, start + step * number) {
            *counts.entry(asked).or_default() += 1;
        }
    }
    counts
}

fn settings() -> Settings {
    Settings {
        report_interval: Duration::from_millis(500),
        limit_calls_per_s: 16,
    }
}

#[gtest]
fn next_asks_few_targets_once_a_period() {
    let targets = targets(2);
    let counts = run(
        &mut Schedule::new(settings()),
        &targets,
        |_| StepActivity::Idle,
        Duration::from_secs(10),
    );
    for target in targets {
        expect_that!(counts[&(target.clone(), PollKind::Load)], eq(20));
        expect_that!(counts[&(target, PollKind::CacheEvents)], eq(5));
    }
}

#[gtest]
fn next_shares_bounded_rate_evenly_over_many_targets() {
    let targets = targets(100);
    let counts = run(
        &mut Schedule::new(settings()),
        &targets,
        |_| StepActivity::Idle,
        Duration::from_secs(100),
    );
    expect_that!(counts.values().sum::<u32>(), eq(1600));
    for target in targets {
        let loads = counts[&(target.clone(), PollKind::Load)];
        expect_that!(loads, all![ge(10), le(15)], "{target}");
        expect_that!(counts[&(target, PollKind::CacheEvents)], ge(2));
    }
}

#[gtest]
fn next_asks_quiet_targets_more_than_heard_ones() {
    let targets = targets(100);
    let step_activity = |target: &TargetId| match target.ends_with('7') {
        true => StepActivity::Idle,
        false => StepActivity::Recent,
    };
    let counts = run(
        &mut Schedule::new(settings()),
        &targets,
        step_activity,
        Duration::from_secs(100),
    );
    let loads = |target: &str| counts[&(target.into(), PollKind::Load)];
    expect_that!(loads("t7"), gt(3 * loads("t8")));
}

#[gtest]
fn next_asks_new_target_first() {
    let mut schedule = Schedule::new(settings());
    let old = targets(10);
    run(
        &mut schedule,
        &old,
        |_| StepActivity::Idle,
        Duration::from_secs(10),
    );
    let joined = TargetId::from("joined");
    let listed = old.iter().chain([&joined]);
    let asked = schedule.next(
        listed.map(|target| (target, StepActivity::Idle)),
        Instant::now() + Duration::from_secs(60),
    );
    expect_that!(asked, some(eq(&(joined.clone(), PollKind::Load))));
}
