use googletest::prelude::*;
use smol_str::format_smolstr;

use super::*;

fn targets(count: usize) -> Vec<TargetId> {
    (0..count)
        .map(|number| format_smolstr!("t{number}"))
        .collect()
}

/// Runs the schedule at its rate for `duration` and counts each target's polls by kind.
fn count_polls(
    schedule: &mut Schedule,
    targets: &[TargetId],
    step_activity: impl Fn(&TargetId) -> StepActivity,
    duration: Duration,
) -> HashMap<(TargetId, PollKind), u32> {
    let mut counts = HashMap::new();
    let start = Instant::now();
    let call_interval = schedule.call_interval();
    let call_count = (duration.as_nanos() / call_interval.as_nanos()) as u32;
    for number in 0..call_count {
        let listed = targets.iter().map(|target| (target, step_activity(target)));
        if let Some(poll) = schedule.next(listed, start + call_interval * number) {
            *counts.entry(poll).or_default() += 1;
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
fn next_polls_few_targets_once_per_interval() {
    let targets = targets(2);
    let counts = count_polls(
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
fn next_divides_bounded_rate_evenly_among_many_targets() {
    let targets = targets(100);
    let counts = count_polls(
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
fn next_polls_idle_targets_more_often() {
    let targets = targets(100);
    let step_activity = |target: &TargetId| match target.ends_with('7') {
        true => StepActivity::Idle,
        false => StepActivity::Recent,
    };
    let counts = count_polls(
        &mut Schedule::new(settings()),
        &targets,
        step_activity,
        Duration::from_secs(100),
    );
    let loads = |target: &str| counts[&(target.into(), PollKind::Load)];
    expect_that!(loads("t7"), gt(3 * loads("t8")));
}

#[gtest]
fn next_polls_new_target_first() {
    let mut schedule = Schedule::new(settings());
    let known = targets(10);
    count_polls(
        &mut schedule,
        &known,
        |_| StepActivity::Idle,
        Duration::from_secs(10),
    );
    let joined = TargetId::from("joined");
    let listed = known.iter().chain([&joined]);
    let poll = schedule.next(
        listed.map(|target| (target, StepActivity::Idle)),
        Instant::now() + Duration::from_secs(60),
    );
    expect_that!(poll, some(eq(&(joined.clone(), PollKind::Load))));
}
