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

struct Fixture {
    engines: Engines,
    standin: Standin,
    target: TargetAddress,
}

async fn fixture() -> Fixture {
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
    Fixture {
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

impl Fixture {
    async fn step(&self, step: Step, timeout: Duration) -> std::result::Result<Output, Failure> {
        let answer = self.engines.step(&self.target, step, timeout).await;
        answer.map(|answer| answer.output)
    }
}

#[gtest]
#[tokio::test]
async fn step_returns_reference_token() {
    let fixture = fixture().await;
    expect_that!(
        fixture.step(step("r", 0, &[1, 2, 3]), TIMEOUT).await,
        ok(eq(&first_token(&[1, 2, 3])))
    );
    fixture.standin.close().await;
}

#[gtest]
#[tokio::test]
async fn step_concurrent_calls_get_their_own_answers() {
    let fixture = fixture().await;
    let steps = (0..500_u32).map(|number| {
        let step = step(&format!("r{number}"), 0, &[number]);
        fixture.step(step, TIMEOUT)
    });
    let outputs = futures::future::join_all(steps).await;
    for (number, output) in (0..).zip(outputs) {
        expect_that!(output, ok(eq(&first_token(&[number]))));
    }
    fixture.standin.close().await;
}

#[gtest]
#[tokio::test]
async fn step_times_out_on_silent_connection_and_succeeds_on_new_one() {
    let fixture = fixture().await;
    fixture.step(step("a", 0, &[1]), TIMEOUT).await.unwrap();
    tokio::time::sleep(RECONNECT_INTERVAL).await;
    fixture.standin.silence_connections();
    expect_that!(
        fixture.step(step("b", 0, &[7]), SHORT_TIMEOUT).await,
        err(matches_pattern!(Failure::Timeout { .. }))
    );
    fixture.engines.reconnect(&fixture.target);
    expect_that!(
        fixture.step(step("b", 0, &[7]), TIMEOUT).await,
        ok(eq(&first_token(&[7])))
    );
    fixture.standin.close().await;
}

#[gtest]
#[tokio::test]
async fn step_repeated_after_lost_answer_is_applied_once() {
    let fixture = fixture().await;
    fixture
        .standin
        .set_answer_fault(AnswerFault::Lost, Rate::Next(1));
    let lost = fixture.step(step("r", 0, &[1, 2]), SHORT_TIMEOUT).await;
    expect_that!(lost, err(matches_pattern!(Failure::Timeout { .. })));
    let repeated = fixture.step(step("r", 0, &[1, 2]), TIMEOUT).await;
    expect_that!(repeated, ok(eq(&first_token(&[1, 2]))));
    expect_that!(fixture.standin.counts().applied_steps, eq(1));
    expect_that!(fixture.standin.counts().kept_answers, eq(1));
    expect_that!(fixture.standin.ledger().duplicate_applications(), eq(0));
    fixture.standin.close().await;
}

#[gtest]
#[tokio::test]
async fn step_drops_late_and_duplicate_answers() {
    let fixture = fixture().await;
    fixture.standin.set_late_delay(SHORT_TIMEOUT * 2);
    fixture
        .standin
        .set_answer_fault(AnswerFault::Late, Rate::Next(1));
    let late = fixture.step(step("r", 0, &[1]), SHORT_TIMEOUT).await;
    expect_that!(late, err(matches_pattern!(Failure::Timeout { .. })));
    fixture
        .standin
        .set_answer_fault(AnswerFault::Duplicated, Rate::Next(1));
    let duplicated = fixture.step(step("s", 0, &[2]), TIMEOUT).await;
    expect_that!(duplicated, ok(eq(&first_token(&[2]))));
    while fixture.engines.dropped_answers().late_count() < 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    fixture.standin.close().await;
}

#[gtest]
#[tokio::test]
async fn step_ignores_answer_with_tag_of_another_step() {
    let fixture = fixture().await;
    fixture
        .standin
        .set_answer_fault(AnswerFault::Crossed, Rate::Always);
    let step_until_answered = |request: &'static str, token| {
        let fixture = &fixture;
        async move {
            loop {
                let result = fixture
                    .step(step(request, 0, &[token]), SHORT_TIMEOUT)
                    .await;
                if let Ok(output) = result {
                    return output;
                }
                fixture
                    .standin
                    .set_answer_fault(AnswerFault::Crossed, Rate::Never);
            }
        }
    };
    let (first, second) = tokio::join!(step_until_answered("a", 3), step_until_answered("b", 4));
    expect_that!(first, eq(&first_token(&[3])));
    expect_that!(second, eq(&first_token(&[4])));
    fixture.standin.close().await;
}

#[gtest]
#[tokio::test]
async fn step_fails_immediately_when_engine_dies() {
    let fixture = fixture().await;
    fixture.step(step("a", 0, &[1]), TIMEOUT).await.unwrap();
    fixture.standin.set_time_scale(1e6);
    let (lost, ()) = tokio::join!(fixture.step(step("b", 0, &[1]), TIMEOUT), async {
        while fixture.standin.queue_depth_steps() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        fixture.standin.kill().await;
    });
    expect_that!(lost, err(matches_pattern!(Failure::ConnectionLost { .. })));
    expect_that!(
        fixture.step(step("c", 0, &[1]), TIMEOUT).await,
        err(matches_pattern!(Failure::Connect { .. }))
    );
    fixture.standin.close().await;
}

#[gtest]
#[tokio::test]
async fn step_reports_cache_mismatch_after_state_was_lost() {
    let fixture = fixture().await;
    fixture.step(step("a", 0, &[1, 2]), TIMEOUT).await.unwrap();
    fixture.standin.kill().await;
    fixture.standin.restart(RetainedState::Lost).await.unwrap();
    let mut outcome = fixture.step(step("a", 2, &[9]), TIMEOUT).await;
    while matches!(
        outcome,
        Err(Failure::ConnectionLost { .. } | Failure::Connect { .. })
    ) {
        outcome = fixture.step(step("a", 2, &[9]), TIMEOUT).await;
    }
    expect_that!(
        outcome,
        err(matches_pattern!(Failure::Refused {
            refusal: eq(&Refusal::CacheMismatch { held_position: 0 }),
            ..
        }))
    );
    fixture.standin.close().await;
}

#[gtest]
#[tokio::test]
async fn cancel_frees_sequence() {
    let fixture = fixture().await;
    fixture.step(step("a", 0, &[1]), TIMEOUT).await.unwrap();
    expect_that!(fixture.standin.open_sequences(), eq(1));
    fixture.engines.cancel(&fixture.target, "a".into(), 0);
    while fixture.standin.open_sequences() > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    fixture.standin.close().await;
}
