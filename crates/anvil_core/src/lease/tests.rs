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

fn pending(host: &str, now: Instant) -> PendingLease {
    PendingLease::new(holder(host), Settings::default(), now)
}

#[gtest]
fn apply_rejects_second_holder_until_first_expires() {
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
fn apply_frees_lease_only_when_its_holder_yields() {
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
fn token_expires_before_another_host_takes_lease() {
    // The record may reach the log at any later time, because the holder counts the duration from
    // before it sent the record.
    let start = Instant::now();
    for delay_s in 0..20 {
        let created_at = start + SECOND * delay_s;
        let mut register = Register::default();
        let pending = pending("a", start);
        register.apply(0, Duration::ZERO, Some(&pending.record()), created_at);
        let lease = pending.resolve(&register).unwrap();
        for elapsed_s in 0..40 {
            let now = start + SECOND * elapsed_s;
            let is_valid = lease.token(now).is_some();
            let other = register
                .clone()
                .apply(1, Duration::ZERO, Some(&take("b")), now);
            expect_that!(
                is_valid && other == Applied::Taken,
                eq(false),
                "{delay_s} {elapsed_s}"
            );
        }
    }
}

#[gtest]
fn token_increases_with_each_holder() {
    let start = Instant::now();
    let mut register = Register::default();
    let first = pending("a", start);
    register.apply(0, Duration::ZERO, Some(&first.record()), start);
    let first = first.resolve(&register).unwrap();
    let later = start + SECOND * 14;
    let second = pending("b", later);
    register.apply(1, Duration::ZERO, Some(&second.record()), later);
    let second = second.resolve(&register).unwrap();
    expect_that!(first.token(start), some(eq(0)));
    expect_that!(first.token(later), none());
    expect_that!(second.token(later), some(eq(1)));
}

#[gtest]
fn resolve_returns_none_if_another_host_holds_lease() {
    let start = Instant::now();
    let mut register = Register::default();
    register.apply(0, Duration::ZERO, Some(&take("a")), start);
    let pending = pending("b", start);
    register.apply(1, Duration::ZERO, Some(&pending.record()), start);
    expect_that!(pending.resolve(&register).is_none(), eq(true));
}
