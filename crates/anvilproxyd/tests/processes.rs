//! Tests of the daemon as a separate process. The client and the simulated engines and platform
//! services run in the test process.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::Stdio,
    time::Duration, //
};

use anvil_fleet::{
    Builder, Client, Fleet, builder,
    client::{
        ClientError,
        CompletionParams, //
    },
    fleet::{
        OPERATOR_TOKEN,
        PEER_KEY, //
    },
};
use futures::{
    StreamExt,
    TryStreamExt, //
};
use googletest::prelude::*;
use tokio::{
    io::{
        AsyncBufReadExt,
        BufReader, //
    },
    process::{
        Child,
        Command, //
    },
};

/// Time limit for each wait on the daemon; only a failing test reaches it.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// A running daemon process.
struct Daemon {
    process: Child,
    callers: SocketAddr,
    settings_file: PathBuf,
}

impl Daemon {
    /// Starts a daemon in front of the fleet's simulated services and waits until it listens.
    async fn start(name: &str, fleet: &Fleet) -> Self {
        let file_name = format!("{name}-{}.toml", std::process::id());
        let settings_file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(file_name);
        fs::write(&settings_file, settings_text(name, fleet)).unwrap();
        let mut process = Command::new(env!("CARGO_BIN_EXE_anvilproxyd"))
            .arg("--config")
            .arg(&settings_file)
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(process.stderr.take().unwrap()).lines();
        let callers = loop {
            let line = tokio::time::timeout(WAIT_LIMIT, lines.next_line());
            let line = line
                .await
                .unwrap()
                .unwrap()
                .expect("the daemon should listen before its log ends");
            if let Some(address) = listening_address(&line) {
                break address;
            }
        };
        // Reads the remaining log lines, because the daemon would block on a full pipe.
        tokio::spawn(async move { while let Ok(Some(_line)) = lines.next_line().await {} });
        Self {
            process,
            callers,
            settings_file,
        }
    }

    fn client(&self) -> Client {
        Client::new(self.callers, builder::team_key(builder::TEAM))
    }

    /// Repeats a request until the daemon has a configuration, and returns the first answer.
    async fn complete_when_ready(&self, completion: &CompletionParams) -> Vec<u32> {
        let client = self.client();
        let first_answer = async {
            loop {
                match client.complete(completion).await {
                    Ok(answer) => return answer,
                    Err(ClientError::Refused { reason, .. }) if reason == "not_ready" => {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                    Err(error) => panic!("the daemon failed to answer: {error}"),
                }
            }
        };
        tokio::time::timeout(WAIT_LIMIT, first_answer)
            .await
            .unwrap()
    }

    /// Sends SIGTERM, on which the daemon drains and stops.
    async fn terminate(&self) {
        let id = self
            .process
            .id()
            .expect("the daemon should be running")
            .to_string();
        let kill_status = Command::new("kill").args(["-TERM", &id]).status().await;
        assert!(
            kill_status.unwrap().success(),
            "the signal should be delivered"
        );
    }

    /// Waits for the process to end and returns its exit code, or `None` if a signal ended it.
    async fn exit_code(mut self) -> Option<i32> {
        let exit_status = tokio::time::timeout(WAIT_LIMIT, self.process.wait()).await;
        fs::remove_file(&self.settings_file).unwrap();
        exit_status.unwrap().unwrap().code()
    }
}

fn settings_text(name: &str, fleet: &Fleet) -> String {
    format!(
        r#"
host_id = "{name}"
data_centre = "muc-a"

[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "127.0.0.1:0"

[credentials]
operator_token = "{OPERATOR_TOKEN}"
peer_key = "{PEER_KEY}"

[platform]
log = "{}"
host_list = "{}"
weight_store = "{}"
"#,
        fleet.log.address(),
        fleet.host_list.address(),
        fleet.weight_store.address()
    )
}

/// Returns the callers' address from the log line `host.listening`, and `None` for other lines.
fn listening_address(line: &str) -> Option<SocketAddr> {
    let (_, fields) = line.split_once("host.listening")?;
    let (_, address) = fields.split_once("callers=")?;
    address.split_whitespace().next()?.parse().ok()
}

async fn fleet_without_hosts() -> Fleet {
    let builder = Builder::default().hosts(0).pipeline(3, 1);
    builder.start().await.unwrap()
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemon_answers_complete_and_streamed_requests() {
    let fleet = fleet_without_hosts().await;
    let daemon = Daemon::start("answers", &fleet).await;
    let completion = CompletionParams::new([1, 2, 3], 6);
    expect_that!(
        daemon.complete_when_ready(&completion).await,
        eq(&completion.expected_tokens())
    );
    expect_that!(
        daemon.client().stream_to_end(&completion).await,
        ok(eq(&completion.expected_tokens()))
    );
    daemon.terminate().await;
    expect_that!(daemon.exit_code().await, some(eq(0)));
    fleet.close().await.unwrap();
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemon_finishes_stream_on_sigterm() {
    let fleet = fleet_without_hosts().await;
    let daemon = Daemon::start("drains", &fleet).await;
    let first = CompletionParams::new([1], 1);
    expect_that!(
        daemon.complete_when_ready(&first).await,
        eq(&first.expected_tokens())
    );
    let completion = CompletionParams::new([4, 5, 6], 120);
    let mut stream = daemon.client().stream(&completion).await.unwrap();
    let mut tokens = vec![stream.next().await.unwrap().unwrap()];
    daemon.terminate().await;
    let rest: std::result::Result<Vec<u32>, ClientError> = stream.try_collect().await;
    tokens.extend(rest.unwrap());
    expect_that!(tokens, eq(&completion.expected_tokens()));
    expect_that!(daemon.exit_code().await, some(eq(0)));
    fleet.close().await.unwrap();
}
