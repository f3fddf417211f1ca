use std::time::Duration;

use googletest::prelude::*;

use super::*;

use service::{
    Load,
    play, //
};

mod service;

/// A service at three fifths of its capacity, with three ranks of equal demand.
fn calm() -> Load {
    Load {
        per_s: [60.0; 3],
        ..Load::default()
    }
}

/// The same, with other rates for twelve seconds.
fn surge(surge_per_s: [f64; 3]) -> Load {
    Load {
        surge_per_s,
        surge_ms: (5000, 17_000),
        ..calm()
    }
}

/// The least urgent rank surges to six times its demand.
const LEAST_URGENT_PER_S: [f64; 3] = [60.0, 60.0, 360.0];

/// Returns the shares served with admission by urgency and without it.
fn with_and_without(load: Load) -> ([f64; 3], [f64; 3]) {
    let served = |is_ungated| {
        let results = play(Load { is_ungated, ..load });
        [0, 1, 2].map(|rank| results.served(rank))
    };
    (served(false), served(true))
}

/// Expects that no rank is served clearly better than a more urgent one, and that none starves.
fn expect_order(served: [f64; 3]) {
    expect_that!(served[1], le(served[0] + 0.05));
    expect_that!(served[2], le(served[1] + 0.05));
    expect_that!(served[2], gt(0.05));
}

#[gtest]
fn urgency_spreads_ranks_and_is_none_for_one() {
    let of = |ranks: &[Rank]| -> Vec<Option<u8>> {
        ranks.iter().map(|rank| urgency(ranks, *rank)).collect()
    };
    expect_that!(
        of(&[0, 1, 2]),
        elements_are![some(eq(&0)), some(eq(&5)), some(eq(&9))]
    );
    expect_that!(of(&[3, 40]), elements_are![some(eq(&0)), some(eq(&9))]);
    expect_that!(of(&[4]), elements_are![none()]);
    expect_that!(urgency(&[0, 1], 7), none());
}

#[gtest]
fn draw_is_equal_on_all_hosts_and_uniform() {
    let draws: Vec<f64> = (0..2000).map(|id| draw(&format!("id-{id}"))).collect();
    expect_that!(draw("id-5"), eq(draws[5]));
    let below = |limit: f64| draws.iter().filter(|draw| **draw < limit).count() as f64 / 2000.0;
    expect_that!(below(0.05), near(0.05, 0.02));
    expect_that!(below(0.5), near(0.5, 0.05));
    expect_that!(below(1.0), eq(1.0));
}

#[gtest]
fn wait_limit_leaves_time_for_first_event() {
    let ms = Duration::from_millis;
    expect_that!(wait_limit(ms(500), ms(60)), eq(ms(250)));
    expect_that!(wait_limit(ms(500), ms(300)), eq(ms(150)));
    expect_that!(wait_limit(ms(500), ms(480)), eq(Duration::ZERO));
}

/// Guards against refused requests of less urgent ranks that come back before the more urgent ones, and
/// against times that callers don't honour.
#[gtest]
fn retry_after_is_later_for_less_urgent_and_within_time_left() {
    let ranks = [0, 1, 2];
    let forecast = Forecast::default();
    let at = |rank, draw| retry_after(&forecast, &ranks, rank, Duration::from_secs(20), draw);
    expect_that!(at(0, 0.0), eq(Duration::from_millis(300)));
    for rank in [1, 2] {
        expect_that!(at(rank, 0.0), ge(at(rank - 1, 1.0)));
    }
    let short = retry_after(&forecast, &ranks, 2, Duration::from_millis(900), 1.0);
    expect_that!(short, le(Duration::from_millis(300)));
}

/// Load: calm, at three fifths and at four fifths of the capacity. Nothing is held back.
/// Guards against a panic where ranks are so many that the delay of the last one exceeds all durations.
#[gtest]
fn retry_after_is_within_time_left_for_many_ranks() {
    const TIME_LEFT: Duration = Duration::from_secs(20);
    let forecast = Forecast::default();
    let ranks: Vec<Rank> = (0..5000).collect();
    for rank in [112, 113, 120, 4999] {
        let delay = retry_after(&forecast, &ranks, rank, TIME_LEFT, 1.0);
        expect_that!(delay, le(TIME_LEFT / 3), "{rank}");
        expect_that!(delay, gt(TIME_LEFT / 4), "{rank}");
    }
}

#[gtest]
fn play_calm_serves_all() {
    for per_s in [60.0, 80.0] {
        let results = play(Load {
            per_s: [per_s; 3],
            ..calm()
        });
        let served = [0, 1, 2].map(|rank| results.served(rank));
        expect_that!(served, each(ge(0.995)), "{per_s} a second");
    }
}

/// Load: the least urgent kind surges. The more urgent kinds don't notice.
#[gtest]
fn play_surge_of_least_urgent_serves_more_urgent() {
    let (served, without) = with_and_without(surge(LEAST_URGENT_PER_S));
    expect_order(served);
    expect_that!(served[0], ge(0.97));
    expect_that!(served[0], gt(without[0]));
    expect_that!(served[1], ge(0.95));
}

/// Load: 45 in 100 of the engines are lost for 8 s while the least urgent kind surges. Guards too against
/// refusals of the first second, in full memory, that close the second rank later.
#[gtest]
fn play_lost_engines_serves_by_rank() {
    let (served, without) = with_and_without(Load {
        lost_share: 0.45,
        lost_ms: (8000, 16_000),
        ..surge(LEAST_URGENT_PER_S)
    });
    expect_order(served);
    expect_that!(served[0], ge(0.95));
    expect_that!(served[0], gt(without[0] + 0.05));
    expect_that!(served[1], ge(0.9));
}

/// Load: all ranks surge to four times their demand.
#[gtest]
fn play_surge_of_all_ranks_serves_by_rank() {
    let (served, without) = with_and_without(surge([240.0; 3]));
    expect_order(served);
    expect_that!(served[0], gt(without[0] + 0.05));
}

/// Load: requests of eight times the usual size beside usual ones. The decision depends on the rank
/// alone, so that large ones fare no worse.
#[gtest]
fn play_surge_serves_large_requests_as_small_ones() {
    let results = play(Load {
        large_share: 0.1,
        ..surge(LEAST_URGENT_PER_S)
    });
    let (large, small) = (results.served_of_size(true), results.served_of_size(false));
    expect_that!(large, ge(small - 0.05));
}

/// Failure: the host with the freshest view dies in a surge. The others go on by their own sums.
#[gtest]
fn play_surge_survives_loss_of_host() {
    let (served, _) = with_and_without(Load {
        host_lost_ms: Some(9000),
        ..surge(LEAST_URGENT_PER_S)
    });
    expect_that!(served[0], ge(0.97));
    expect_that!(served[1], ge(0.95));
}

/// Failure: the exchange is cut in two. Each half sees half of the load, and what its own requests meet.
#[gtest]
fn play_surge_with_exchange_cut_in_two_prefers_urgent() {
    let (served, without) = with_and_without(Load {
        is_cut: true,
        ..surge(LEAST_URGENT_PER_S)
    });
    expect_order(served);
    expect_that!(served[0], ge(without[0]));
}
