use std::time::Duration;

use anvil_core::{
    document::{
        Holding,
        Role, //
    },
    id::LayerRange,
    step::{
        Failure,
        Input,
        Name,
        Output,
        Refusal,
        Step, //
    },
};
use anvil_host::port::{
    Engine,
    TargetAddress, //
};
use anvil_standins::{
    engine::{
        AnswerFault,
        Config,
        RetainedState,
        Standin, //
    },
    fault::Rate,
    reference,
};
use googletest::prelude::*;

use super::*;

const TIMEOUT: Duration = Duration::from_secs(5);
const SHORT_TIMEOUT: Duration = Duration::from_millis(50);
const LAYERS: LayerRange = LayerRange { first: 0, end: 4 };

struct Bench {
    engines: Engines,
    standin: Standin,
    target: TargetAddress,
}

async fn bench() -> Bench {
    let mut config = Config {
        layer_count: LAYERS.end,
        time_scale: 0.0,
        ..Config::default()
    };
    config.engine.holds = vec![Holding {
        model: "m".into(),
        version: "1".into(),
        layers: LAYERS,
        role: Role::Both,
    }];
    let standin = Standin::start(config).await.unwrap();
    let target = TargetAddress {
        id: "engine".into(),
        address: standin.address(),
    };
    Bench {
        engines: Engines::new(Client::new(Arc::default())),
        standin,
        target,
    }
}

fn step(request: &str, position: u32, tokens: &[u32]) -> Step {
    Step {
        name: Name {
            request: request.into(),
            attempt: 0,
            position,
            layers: LAYERS,
        },
        model: "m".into(),
        version: "1".into(),
        priority: 0,
        time_left: TIMEOUT,
        input: Input::Tokens(tokens.to_vec()),
    }
}

fn first_token(prompt: &[u32]) -> Output {
    Output::Token(reference::expected_answer("m", "1", LAYERS.end, prompt, 1)[0])
}

impl Bench {
    async fn step(&self, step: Step, timeout: Duration) -> std::result::Result<Output, Failure> {
        let answer = self.engines.step(&self.target, step, timeout).await;
        answer.map(|answer| answer.output)
    }
}

#[gtest]
#[tokio::test]
async fn step_gives_reference_token() {
    let bench = bench().await;
    expect_that!(
        bench.step(step("r", 0, &[1, 2, 3]), TIMEOUT).await,
        ok(eq(&first_token(&[1, 2, 3])))
    );
    bench.standin.close().await;
}

#[gtest]
#[tokio::test]
async fn step_concurrent_answers_are_not_mixed_up() {
    let bench = bench().await;
    let steps = (0..500_u32).map(|number| {
        let step = step(&format!("r{number}"), 0, &[number]);
        bench.step(step, TIMEOUT)
    });
    let outputs = futures::future::join_all(steps).await;
    for (number, output) in (0..).zip(outputs) {
        expect_that!(output, ok(eq(&first_token(&[number]))));
    }
    bench.standin.close().await;
}

#[gtest]
#[tokio::test]
async fn step_times_out_on_silent_connection_and_resumes_on_new_one() {
    let bench = bench().await;
    bench.step(step("a", 0, &[1]), TIMEOUT).await.unwrap();
    tokio::time::sleep(RECONNECT_INTERVAL).await;
    bench.standin.silence_connections();
    expect_that!(
        bench.step(step("b", 0, &[7]), SHORT_TIMEOUT).await,
        err(matches_pattern!(Failure::Timeout { .. }))
    );
    bench.engines.reconnect(&bench.target);
    expect_that!(
        bench.step(step("b", 0, &[7]), TIMEOUT).await,
        ok(eq(&first_token(&[7])))
    );
    bench.standin.close().await;
}

#[gtest]
#[tokio::test]
async fn step_asked_again_after_lost_answer_is_applied_once() {
    let bench = bench().await;
    bench
        .standin
        .set_answer_fault(AnswerFault::Lost, Rate::Next(1));
    let lost = bench.step(step("r", 0, &[1, 2]), SHORT_TIMEOUT).await;
    expect_that!(lost, err(matches_pattern!(Failure::Timeout { .. })));
    let again = bench.step(step("r", 0, &[1, 2]), TIMEOUT).await;
    expect_that!(again, ok(eq(&first_token(&[1, 2]))));
    expect_that!(bench.standin.counts().applied_steps, eq(1));
    expect_that!(bench.standin.counts().kept_answers, eq(1));
    expect_that!(bench.standin.ledger().duplicate_applications(), eq(0));
    bench.standin.close().await;
}

#[gtest]
#[tokio::test]
async fn step_drops_late_and_duplicate_answers() {
    let bench = bench().await;
    bench.standin.set_late_delay(SHORT_TIMEOUT * 2);
    bench
        .standin
        .set_answer_fault(AnswerFault::Late, Rate::Next(1));
    let late = bench.step(step("r", 0, &[1]), SHORT_TIMEOUT).await;
    expect_that!(late, err(matches_pattern!(Failure::Timeout { .. })));
    bench
        .standin
        .set_answer_fault(AnswerFault::Duplicated, Rate::Next(1));
    let duplicated = bench.step(step("s", 0, &[2]), TIMEOUT).await;
    expect_that!(duplicated, ok(eq(&first_token(&[2]))));
    while bench.engines.dropped_answers().late_count() < 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    bench.standin.close().await;
}

#[gtest]
#[tokio::test]
async fn step_never_takes_a_crossed_answer() {
    let bench = bench().await;
    bench
        .standin
        .set_answer_fault(AnswerFault::Crossed, Rate::Always);
    let ask = |request: &'static str, token| {
        let bench = &bench;
        async move {
            loop {
                let asked = bench.step(step(request, 0, &[token]), SHORT_TIMEOUT).await;
                if let Ok(output) = asked {
                    return output;
                }
                bench
                    .standin
                    .set_answer_fault(AnswerFault::Crossed, Rate::Never);
            }
        }
    };
    let (first, second) = tokio::join!(ask("a", 3), ask("b", 4));
    expect_that!(first, eq(&first_token(&[3])));
    expect_that!(second, eq(&first_token(&[4])));
    bench.standin.close().await;
}

#[gtest]
#[tokio::test]
async fn step_fails_at_once_when_engine_dies() {
    let bench = bench().await;
    bench.step(step("a", 0, &[1]), TIMEOUT).await.unwrap();
    bench.standin.set_time_scale(1e6);
    let (lost, ()) = tokio::join!(bench.step(step("b", 0, &[1]), TIMEOUT), async {
        while bench.standin.queue_depth_steps() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        bench.standin.kill().await;
    });
    expect_that!(lost, err(matches_pattern!(Failure::ConnectionLost { .. })));
    expect_that!(
        bench.step(step("c", 0, &[1]), TIMEOUT).await,
        err(matches_pattern!(Failure::Connect { .. }))
    );
    bench.standin.close().await;
}

#[gtest]
#[tokio::test]
async fn step_reports_cache_mismatch_after_state_was_lost() {
    let bench = bench().await;
    bench.step(step("a", 0, &[1, 2]), TIMEOUT).await.unwrap();
    bench.standin.kill().await;
    bench.standin.restart(RetainedState::Lost).await.unwrap();
    let mut outcome = bench.step(step("a", 2, &[9]), TIMEOUT).await;
    while matches!(
        outcome,
        Err(Failure::ConnectionLost { .. } | Failure::Connect { .. })
    ) {
        outcome = bench.step(step("a", 2, &[9]), TIMEOUT).await;
    }
    expect_that!(
        outcome,
        err(matches_pattern!(Failure::Refused {
            refusal: eq(&Refusal::CacheMismatch { held_position: 0 }),
            ..
        }))
    );
    bench.standin.close().await;
}

#[gtest]
#[tokio::test]
async fn cancel_frees_the_sequence() {
    let bench = bench().await;
    bench.step(step("a", 0, &[1]), TIMEOUT).await.unwrap();
    expect_that!(bench.standin.open_sequences(), eq(1));
    bench.engines.cancel(&bench.target, "a".into(), 0);
    while bench.standin.open_sequences() > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    bench.standin.close().await;
}
