use googletest::prelude::*;

use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn holder(host: &str) -> Holder {
    Holder {
        host: host.into(),
        incarnation: 1,
    }
}

fn take(host: &str) -> Record {
    Record::Take {
        holder: holder(host),
        duration: Settings::default().duration,
    }
}

fn asking(host: &str, now: Instant) -> PendingLease {
    PendingLease::new(holder(host), Settings::default(), now)
}

#[gtest]
fn apply_refuses_second_holder_until_first_lapses() {
    let start = Instant::now();
    let mut register = Register::default();
    let apply = |register: &mut Register, offset, host, at: Instant| {
        register.apply(offset, Duration::ZERO, Some(&take(host)), at)
    };
    expect_that!(apply(&mut register, 0, "a", start), eq(Applied::Taken));
    expect_that!(
        apply(&mut register, 1, "b", start + SECOND * 11),
        eq(Applied::Void)
    );
    expect_that!(
        apply(&mut register, 2, "a", start + SECOND * 11),
        eq(Applied::Renewed)
    );
    expect_that!(
        apply(&mut register, 3, "b", start + SECOND * 13),
        eq(Applied::Void)
    );
    expect_that!(
        apply(&mut register, 4, "b", start + SECOND * 23),
        eq(Applied::Taken)
    );
}

#[gtest]
fn apply_frees_yielded_lease_for_its_holder_alone() {
    let start = Instant::now();
    let mut register = Register::default();
    register.apply(0, Duration::ZERO, Some(&take("a")), start);
    let by_other = Record::Yield {
        holder: holder("b"),
    };
    expect_that!(
        register.apply(1, Duration::ZERO, Some(&by_other), start),
        eq(Applied::Ignored)
    );
    expect_that!(register.is_free(SECOND, start), eq(false));
    let by_holder = Record::Yield {
        holder: holder("a"),
    };
    register.apply(2, Duration::ZERO, Some(&by_holder), start);
    expect_that!(register.is_free(SECOND, start), eq(true));
}

#[gtest]
fn token_ends_before_another_may_start() {
    // The record reaches the log as late as it likes: the holder's time counts from before.
    let start = Instant::now();
    for delay_s in 0..20 {
        let born_at = start + SECOND * delay_s;
        let mut register = Register::default();
        let asking = asking("a", start);
        register.apply(0, Duration::ZERO, Some(&asking.record()), born_at);
        let holding = asking.resolve(&register).unwrap();
        for elapsed_s in 0..40 {
            let now = start + SECOND * elapsed_s;
            let holds = holding.token(now).is_some();
            let other = register
                .clone()
                .apply(1, Duration::ZERO, Some(&take("b")), now);
            expect_that!(
                holds && other == Applied::Taken,
                eq(false),
                "{delay_s} {elapsed_s}"
            );
        }
    }
}

#[gtest]
fn token_grows_with_each_holder() {
    let start = Instant::now();
    let mut register = Register::default();
    let first = asking("a", start);
    register.apply(0, Duration::ZERO, Some(&first.record()), start);
    let first = first.resolve(&register).unwrap();
    let later = start + SECOND * 14;
    let second = asking("b", later);
    register.apply(1, Duration::ZERO, Some(&second.record()), later);
    let second = second.resolve(&register).unwrap();
    expect_that!(first.token(start), some(eq(0)));
    expect_that!(first.token(later), none());
    expect_that!(second.token(later), some(eq(1)));
}

#[gtest]
fn judged_gives_nothing_to_loser() {
    let start = Instant::now();
    let mut register = Register::default();
    register.apply(0, Duration::ZERO, Some(&take("a")), start);
    let asking = asking("b", start);
    register.apply(1, Duration::ZERO, Some(&asking.record()), start);
    expect_that!(asking.resolve(&register).is_none(), eq(true));
}
