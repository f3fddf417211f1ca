use googletest::prelude::*;

use crate::{
    Builder,
    client::CompletionParams, //
};

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn client_receives_reference_answer_complete_and_streamed() {
    let fleet = Builder::default().hosts(2).pipeline(3, 1).start().await;
    let fleet = fleet.unwrap();
    let completion = CompletionParams::new([11, 12, 13], 8);
    expect_that!(
        fleet.client(0).complete(&completion).await,
        ok(eq(&completion.expected_tokens()))
    );
    expect_that!(
        fleet.client(1).stream_to_end(&completion).await,
        ok(eq(&completion.expected_tokens()))
    );
    expect_that!(fleet.close().await, ok(len(eq(2))));
}
