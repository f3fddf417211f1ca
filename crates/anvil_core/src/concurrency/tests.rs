use std::thread;

use googletest::prelude::*;

use super::*;

/// Runs `windows` windows whose stretch grows linearly with the work in flight beyond `capacity`.
/// Returns the time at the end of the last window.
fn run_windows(limiter: &Arc<Limiter>, capacity: u32, windows: u32, start: Instant) -> Instant {
    let idle_time = Duration::from_millis(10);
    let mut now = start;
    for _ in 0..windows {
        let permits: Vec<_> = std::iter::from_fn(|| limiter.try_acquire()).collect();
        let load = permits.len() as f64 / f64::from(capacity);
        now += Duration::from_millis(101);
        for permit in permits {
            permit.close(
                Outcome::Answered {
                    service_time: idle_time.mul_f64(load.max(1.0)),
                    idle_time,
                },
                now,
            );
        }
        for _ in 0..limiter.settings.window_samples {
            limiter.observe(
                Outcome::Answered {
                    service_time: idle_time.mul_f64(load.max(1.0)),
                    idle_time,
                },
                now,
            );
        }
    }
    now
}

#[gtest]
fn limiter_settles_near_tolerated_stretch() {
    let start = Instant::now();
    let limiter = Arc::new(Limiter::new(Settings::default(), start));
    run_windows(&limiter, 40, 300, start);
    let tolerated = 40.0 * Settings::default().stretch_tolerance;
    expect_that!(f64::from(limiter.limit()), ge(tolerated * 0.8));
    expect_that!(f64::from(limiter.limit()), le(tolerated * 1.4));
}

#[gtest]
fn limiter_lost_capacity_lowers_limit() {
    let start = Instant::now();
    let limiter = Arc::new(Limiter::new(Settings::default(), start));
    let now = run_windows(&limiter, 40, 300, start);
    let before = limiter.limit();
    run_windows(&limiter, 20, 60, now);
    expect_that!(f64::from(limiter.limit()), le(f64::from(before) * 0.65));
}

#[gtest]
fn limiter_slower_target_is_still_tried() {
    let start = Instant::now();
    let limiter = Arc::new(Limiter::new(Settings::default(), start));
    let now = run_windows(&limiter, 40, 300, start);
    let slow = Outcome::Answered {
        service_time: Duration::from_millis(200),
        idle_time: Duration::from_millis(10),
    };
    for window in 1..400 {
        let now = now + Duration::from_millis(101) * window;
        let permits: Vec<_> = std::iter::from_fn(|| limiter.try_acquire()).collect();
        drop(permits);
        for _ in 0..8 {
            limiter.observe(slow, now);
        }
    }
    // The floor rises until the limit passes `limit_initial` = 8 again. At this limit, growth by
    // sqrt(8) balances a gradient of 1 - sqrt(8) / 8 = 0.65, so the floor is 20 * 0.65 / 2.5 = 5.2.
    expect_that!(limiter.stretch_floor(), ge(5.0));
    expect_that!(limiter.limit(), ge(Settings::default().limit_initial / 2));
}

#[gtest]
fn limiter_underused_does_not_grow() {
    let start = Instant::now();
    let limiter = Arc::new(Limiter::new(Settings::default(), start));
    let fast = Outcome::Answered {
        service_time: Duration::from_millis(1),
        idle_time: Duration::from_millis(1),
    };
    for window in 1..100 {
        let now = start + Duration::from_millis(101) * window;
        for _ in 0..10 {
            limiter.try_acquire().unwrap().close(fast, now);
        }
    }
    expect_that!(limiter.limit(), eq(Settings::default().limit_initial));
}

#[gtest]
fn limiter_refusals_in_one_window_lower_limit_once() {
    let start = Instant::now();
    let limiter = Arc::new(Limiter::new(Settings::default(), start));
    let now = start + Duration::from_secs(1);
    for _ in 0..1000 {
        limiter.observe(Outcome::Overloaded, now);
    }
    expect_that!(limiter.limit(), eq(7));
    for window in 1..200 {
        limiter.observe(Outcome::Overloaded, now + Duration::from_secs(window));
    }
    expect_that!(limiter.limit(), eq(Settings::default().limit_min));
}

#[gtest]
fn try_acquire_threads_never_exceed_limit() {
    let limiter = Arc::new(Limiter::new(Settings::default(), Instant::now()));
    let threads: Vec<_> = (0..4)
        .map(|_| {
            let limiter = Arc::clone(&limiter);
            thread::spawn(move || {
                let mut in_flight_max = 0;
                for _ in 0..20_000 {
                    let permit = limiter.try_acquire();
                    in_flight_max = in_flight_max.max(limiter.in_flight());
                    drop(permit);
                }
                in_flight_max
            })
        })
        .collect();
    for thread in threads {
        expect_that!(thread.join().unwrap(), le(limiter.limit()));
    }
    expect_that!(limiter.in_flight(), eq(0));
}
