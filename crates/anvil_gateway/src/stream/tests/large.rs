//! Answers of streaming routes that are larger than an event may be.

use googletest::prelude::*;
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};

use crate::{
    events::EVENT_LIMIT_BYTES,
    tests::fleet::{
        Behaviour,
        EVENTS_ONCE_PATH,
        EVENTS_PATH,
        Fleet,
        Host,
        LargeBody,
        LargeFraming,
        MODEL_PATH,
        run, //
    },
};

const FRAMINGS: [LargeFraming; 3] = [
    LargeFraming::Length,
    LargeFraming::Chunked,
    LargeFraming::UntilClose,
];

/// Has all targets send an answer, and expects that two requests on one connection get it whole, or that
/// the connection ends visibly within it.
async fn expect_whole(fleet: &Fleet, host: &Host, path: &str, behaviour: Behaviour) {
    let Behaviour::Large { body, framing, .. } = behaviour else {
        unreachable!("only large answers are expected here")
    };
    for target in &fleet.engines {
        target.behaviour.set(behaviour);
    }
    let expected = body.to_bytes();
    let answers = host.call_kept(path, 2).await;
    let is_whole = |answer: &(u16, bytes::Bytes)| answer.0 == 200 && answer.1 == expected;
    let whole = answers.iter().filter(|answer| is_whole(answer)).count();
    // Without a frame, a body that ends with no event looks like one that was cut.
    let may_be_cut = framing == LargeFraming::UntilClose || path == MODEL_PATH;
    let whole_min = if may_be_cut { 0 } else { 2 };
    expect_that!(whole, ge(whole_min), "{path}, {behaviour:?}");
    // Whatever seems complete is the target's answer, or an error of the host.
    let lengths: Vec<_> = answers
        .iter()
        .filter(|answer| answer.0 == 200 && !is_whole(answer))
        .map(|(status, body)| (*status, body.len()))
        .collect();
    expect_that!(lengths, is_empty(), "{path}, {behaviour:?}");
}

/// Guards against a large answer that ends early and looks whole, with the rest where the next answer is
/// due (MIXED).
#[gtest]
fn serve_passes_large_answer_whole() {
    run(async {
        let fleet = Fleet::start_plain(175, 2, None).await;
        let host = fleet.start_host(0).await;
        for part_bytes in [
            EVENT_LIMIT_BYTES - 1,
            EVENT_LIMIT_BYTES,
            EVENT_LIMIT_BYTES + 1,
            1_000_000,
        ] {
            for framing in FRAMINGS {
                for (events_before, has_event_after) in
                    [(0, false), (1, false), (0, true), (2, true)]
                {
                    let behaviour = Behaviour::Large {
                        body: LargeBody {
                            events_before,
                            part_bytes,
                            has_event_after,
                        },
                        framing,
                        piece_bytes: 50_000,
                    };
                    expect_whole(&fleet, &host, EVENTS_PATH, behaviour).await;
                }
            }
        }
    });
}

/// The same for drawn bodies, framings and sizes of pieces, at both kinds of targets. `SEEDS` is the number
/// of draws.
#[gtest]
fn serve_passes_drawn_answer_whole_or_visibly_cut() {
    let seeds = std::env::var("SEEDS").ok();
    let seeds = seeds.and_then(|text| text.parse().ok()).unwrap_or(200);
    run(async {
        let fleet = Fleet::start_both(176, 2).await;
        let host = fleet.start_host(0).await;
        for seed in 0..seeds {
            let mut rng = SmallRng::seed_from_u64(seed);
            let near_limit = EVENT_LIMIT_BYTES - 40 + rng.random_range(0..80);
            let part_bytes = match rng.random_range(0..4) {
                0 => rng.random_range(0..2000),
                1 => near_limit,
                _ => rng.random_range(0..600_000),
            };
            let piece_bytes = match (rng.random_range(0..3), part_bytes) {
                (0, ..4000) => 1,
                (1, _) => rng.random_range(500..9000),
                _ => rng.random_range(9000..70_000),
            };
            let behaviour = Behaviour::Large {
                body: LargeBody {
                    events_before: rng.random_range(0..4),
                    part_bytes,
                    has_event_after: rng.random_bool(0.5),
                },
                framing: FRAMINGS[rng.random_range(0..FRAMINGS.len())],
                piece_bytes,
            };
            let paths = [EVENTS_PATH, EVENTS_ONCE_PATH, MODEL_PATH];
            let path = paths[rng.random_range(0..paths.len())];
            expect_whole(&fleet, &host, path, behaviour).await;
        }
    });
}
