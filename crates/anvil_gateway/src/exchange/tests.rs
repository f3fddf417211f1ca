use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use crate::tests::fleet::{
    CallerResult,
    Fleet,
    SAFE_PATH,
    SOUND_KEY,
    run, //
};

/// Guards against connections of callers that went away without a sign and that are kept for good.
#[gtest]
fn serve_ends_connections_of_silent_callers() {
    const POLL_INTERVAL: Duration = Duration::from_millis(50);
    run(async {
        let fleet = Fleet::start_plain(31, 1, None).await;
        let host = fleet.start_host(0).await;
        let head = format!("POST {SAFE_PATH} HTTP/1.1\r\nHost: test\r\n");
        let whole = format!("{head}id: 1\r\nkey: {SOUND_KEY}\r\nContent-Length: 0\r\n\r\n");
        let mut silent = Vec::new();
        for bytes in ["", head.as_str(), whole.as_str()] {
            silent.push(host.open_silent_connection(bytes.as_bytes()).await);
        }
        while host.gateway.open_connections.get() < silent.len() as u32 {
            sleep(POLL_INTERVAL).await;
        }
        // Ends only if the host closes them, although the callers keep them open.
        while host.gateway.open_connections.get() > 0 {
            sleep(POLL_INTERVAL).await;
        }
        expect_that!(silent.len(), eq(3));
        let answered = host.call_plain(SAFE_PATH, SOUND_KEY, "sound").await;
        expect_that!(answered, eq(CallerResult::Complete));
    });
}
