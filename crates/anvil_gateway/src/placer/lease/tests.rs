use googletest::prelude::*;

use super::*;

const DURATION: Duration = Duration::from_secs(3);

fn membership(era: Era, generation: u64, is_placer: bool) -> GroupMembership {
    GroupMembership {
        era,
        generation,
        is_placer,
    }
}

/// Returns the token that a host gets for a membership as placer.
fn token_of(era: Era, generation: u64) -> Option<FencingToken> {
    let mut lease = Lease::default();
    lease.renew(membership(era, generation, true), BootTime::now());
    lease.token(DURATION, era)
}

/// Guards against a placer whose orders are refused after a restore because generations are counted
/// from a lower number again.
#[gtest]
fn token_rises_across_restore() {
    let before = token_of(1, 4000);
    for generation in [1, 2, 4000] {
        expect_that!(token_of(2, generation), gt(before));
    }
    expect_that!(token_of(0, 7), some(eq(7)));
    expect_that!(token_of(1, 8), gt(token_of(1, 7)));
}

/// Guards against orders of a placer whose lease the store has forgotten.
#[gtest]
fn token_is_void_in_other_era() {
    let mut lease = Lease::default();
    lease.renew(membership(1, 9, true), BootTime::now());
    expect_that!(lease.token(DURATION, 1), some(anything()));
    expect_that!(lease.token(DURATION, 2), none());
    expect_that!(lease.generation(1), eq(9));
    expect_that!(lease.generation(2), eq(0));
    expect_that!(lease.expire(DURATION, 1), none());
    expect_that!(
        lease.expire(DURATION, 2),
        some(eq("the store was restored"))
    );
    expect_that!(lease.is_held(), eq(false));
}

#[gtest]
fn token_needs_placer_and_higher_number_than_refused() {
    let mut lease = Lease::default();
    expect_that!(lease.token(DURATION, 0), none());
    lease.renew(membership(0, 5, false), BootTime::now());
    expect_that!(lease.token(DURATION, 0), none());
    lease.renew(membership(0, 5, true), BootTime::now());
    expect_that!(lease.token(DURATION, 0), some(eq(5)));
    lease.record_refused(5);
    expect_that!(lease.token(DURATION, 0), none());
    lease.renew(membership(0, 6, true), BootTime::now());
    expect_that!(lease.token(DURATION, 0), some(eq(6)));
}

#[gtest]
fn token_expires_before_lease() {
    let mut lease = Lease::default();
    let requested_at = BootTime::now().earlier(DURATION.mul_f64(0.8));
    lease.renew(membership(0, 5, true), requested_at);
    expect_that!(lease.token(DURATION, 0), none());
    expect_that!(lease.expire(DURATION, 0), none());
    lease.renew(
        membership(0, 5, true),
        BootTime::now().earlier(DURATION.mul_f64(1.1)),
    );
    expect_that!(lease.expire(DURATION, 0), some(eq("lease expired")));
}

#[gtest]
fn token_is_none_if_number_is_too_large() {
    expect_that!(token_of(0, 1 << 32), none());
    expect_that!(token_of(1 << 21, 1), none());
    expect_that!(token_of((1 << 21) - 1, (1 << 32) - 1), some(lt(1 << 53)));
}
