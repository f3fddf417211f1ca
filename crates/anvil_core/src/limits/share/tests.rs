use googletest::prelude::*;

use super::*;

const LIMITS: Amounts = Amounts {
    requests_per_s: 100.0,
    tokens_per_s: 10_000.0,
    open_requests: 40.0,
};

fn amounts(requests_per_s: f64, tokens_per_s: f64, open_requests: f64) -> Amounts {
    Amounts {
        requests_per_s,
        tokens_per_s,
        open_requests,
    }
}

fn share(now: Instant) -> Arc<Share> {
    Arc::new(Share::new(&Settings::default(), LIMITS, 20, now))
}

/// Offers a request every `interval` for `time` and returns the number admitted.
fn offer(share: &Arc<Share>, start: Instant, time: Duration, interval: Duration) -> u32 {
    let count = time.as_nanos() / interval.as_nanos();
    (0..u32::try_from(count).unwrap())
        .filter(|index| share.try_charge(10, start + interval * *index).is_ok())
        .count() as u32
}

#[gtest]
fn try_charge_silent_admits_first_then_asks() {
    let now = Instant::now();
    let share = share(now);
    expect_that!(share.try_charge(10, now).is_ok(), eq(true));
    let exceeded = share.try_charge(10, now).unwrap_err();
    expect_that!(exceeded.ask, eq(Ask::Now));
    expect_that!(exceeded.dimension, eq(Dimension::Requests));
}

#[gtest]
fn try_charge_granted_admits_rate() {
    let now = Instant::now();
    let share = share(now);
    share.grant(
        amounts(50.0, 1e6, 10.0),
        now + Duration::from_secs(100),
        now,
    );
    let admitted = offer(
        &share,
        now,
        Duration::from_secs(10),
        Duration::from_millis(1),
    );
    expect_that!(admitted, all![ge(495), le(506)]);
}

#[gtest]
fn try_charge_token_debt_is_paid_before_next() {
    let now = Instant::now();
    let share = share(now);
    share.grant(
        amounts(50.0, 100.0, 10.0),
        now + Duration::from_secs(100),
        now,
    );
    drop(share.try_charge(1000, now).unwrap());
    let later = now + Duration::from_secs(9);
    let exceeded = share.try_charge(1, later).unwrap_err();
    expect_that!(exceeded.dimension, eq(Dimension::Tokens));
    let wait = exceeded.retry_after.unwrap().as_secs_f64();
    expect_that!(wait, near(1.0, 0.01));
    let paid_at = later + Duration::from_millis(1010);
    expect_that!(share.try_charge(1, paid_at).is_ok(), eq(true));
}

#[gtest]
fn close_refunds_unused_tokens() {
    let now = Instant::now();
    let share = share(now);
    share.grant(
        amounts(50.0, 100.0, 10.0),
        now + Duration::from_secs(100),
        now,
    );
    share.try_charge(1000, now).unwrap().close(0);
    let later = now + Duration::from_millis(50);
    expect_that!(share.try_charge(1, later).is_ok(), eq(true));
    expect_that!(share.open(), eq(0));
}

#[gtest]
fn cancel_refunds_request() {
    let now = Instant::now();
    let share = share(now);
    for _ in 0..100 {
        share.try_charge(10, now).unwrap().cancel();
    }
    expect_that!(share.offered(), eq((100, 1000)));
}

#[gtest]
fn try_charge_open_limit_counts_open_requests() {
    let now = Instant::now();
    let share = share(now);
    share.grant(amounts(1e6, 1e9, 2.0), now + Duration::from_secs(100), now);
    let at = |index: u32| now + Duration::from_millis(10) * index;
    let first = share.try_charge(1, at(1)).unwrap();
    let _second = share.try_charge(1, at(2)).unwrap();
    let exceeded = share.try_charge(1, at(3)).unwrap_err();
    expect_that!(exceeded.dimension, eq(Dimension::OpenRequests));
    first.close(1);
    expect_that!(share.try_charge(1, at(4)).is_ok(), eq(true));
}

#[gtest]
fn grant_expired_falls_to_silent_share() {
    let now = Instant::now();
    let share = share(now);
    share.grant(amounts(50.0, 1e6, 10.0), now + Duration::from_secs(1), now);
    let later = now + Duration::from_secs(1);
    let admitted = offer(
        &share,
        later,
        Duration::from_secs(10),
        Duration::from_millis(1),
    );
    expect_that!(share.basis(), eq(Basis::Silent));
    // The balance saved up under the grant, and then 2 % of one twentieth of 100 requests per
    // second.
    let saved = 50.0 * Settings::default().burst.as_secs_f64();
    expect_that!(f64::from(admitted), le(saved + 1.0));
}

#[gtest]
fn apply_floor_on_every_host_adds_up_to_limit() {
    let now = Instant::now();
    let sum = (0..20)
        .map(|_| {
            let share = share(now);
            share.apply_floor(floor(LIMITS, 20), now);
            share.amounts()
        })
        .fold(Amounts::default(), Amounts::plus);
    expect_that!(sum.requests_per_s, near(LIMITS.requests_per_s, 1e-6));
    expect_that!(sum.open_requests, eq(LIMITS.open_requests));
}
