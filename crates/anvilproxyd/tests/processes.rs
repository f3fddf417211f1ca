//! The daemon as a process of its own, before stand-ins and a client in this one.

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
        Completion, //
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

/// Bound on every wait for the daemon; only a failing test reaches it.
const PATIENCE: Duration = Duration::from_secs(30);

/// A running daemon.
struct Daemon {
    process: Child,
    callers: SocketAddr,
    settings_file: PathBuf,
}

impl Daemon {
    /// Starts a daemon before a fleet's stand-ins.
    async fn start(name: &str, fleet: &Fleet) -> Self {
        let file_name = format!("{name}-{}.toml", std::process::id());
        let settings_file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(file_name);
        fs::write(&settings_file, settings(name, fleet)).unwrap();
        let mut process = Command::new(env!("CARGO_BIN_EXE_anvilproxyd"))
            .arg("--config")
            .arg(&settings_file)
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(process.stderr.take().unwrap()).lines();
        let callers = loop {
            let line = tokio::time::timeout(PATIENCE, lines.next_line());
            let line = line.await.unwrap().unwrap().expect("the daemon listens");
            if let Some(address) = listening_address(&line) {
                break address;
            }
        };
        // The daemon must not block on a full pipe.
        tokio::spawn(async move { while let Ok(Some(_line)) = lines.next_line().await {} });
        Self {
            process,
            callers,
            settings_file,
        }
    }

    fn client(&self) -> Client {
        Client::new(self.callers, builder::key_of(builder::TEAM))
    }

    /// Waits until the daemon has a configuration, and answers.
    async fn first_answer(&self, completion: &Completion) -> Vec<u32> {
        let client = self.client();
        let answered = async {
            loop {
                match client.complete(completion).await {
                    Ok(answer) => return answer,
                    Err(ClientError::Refused { reason, .. }) if reason == "not_ready" => {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                    Err(error) => panic!("the daemon answers: {error}"),
                }
            }
        };
        tokio::time::timeout(PATIENCE, answered).await.unwrap()
    }

    /// Asks the process to stop as planned.
    async fn terminate(&self) {
        let id = self.process.id().expect("the daemon runs").to_string();
        let signalled = Command::new("kill").args(["-TERM", &id]).status().await;
        assert!(signalled.unwrap().success(), "the signal is delivered");
    }

    /// Waits for the process to end; gives its exit code.
    async fn exit_code(mut self) -> Option<i32> {
        let ended = tokio::time::timeout(PATIENCE, self.process.wait()).await;
        fs::remove_file(&self.settings_file).unwrap();
        ended.unwrap().unwrap().code()
    }
}

fn settings(name: &str, fleet: &Fleet) -> String {
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

/// The callers' address, from the line that announces it.
fn listening_address(line: &str) -> Option<SocketAddr> {
    let (_, fields) = line.split_once("host.listening")?;
    let (_, address) = fields.split_once("callers=")?;
    address.split_whitespace().next()?.parse().ok()
}

async fn standins() -> Fleet {
    let builder = Builder::default().hosts(0).pipeline(3, 1);
    builder.start().await.unwrap()
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemon_answers_whole_and_streamed() {
    let fleet = standins().await;
    let daemon = Daemon::start("answers", &fleet).await;
    let completion = Completion::new([1, 2, 3], 6);
    expect_that!(
        daemon.first_answer(&completion).await,
        eq(&completion.expected())
    );
    expect_that!(
        daemon.client().stream_whole(&completion).await,
        ok(eq(&completion.expected()))
    );
    daemon.terminate().await;
    expect_that!(daemon.exit_code().await, some(eq(0)));
    fleet.close().await.unwrap();
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemon_drains_stream_on_sigterm() {
    let fleet = standins().await;
    let daemon = Daemon::start("drains", &fleet).await;
    let first = Completion::new([1], 1);
    expect_that!(daemon.first_answer(&first).await, eq(&first.expected()));
    let completion = Completion::new([4, 5, 6], 120);
    let mut stream = daemon.client().stream(&completion).await.unwrap();
    let mut tokens = vec![stream.next().await.unwrap().unwrap()];
    daemon.terminate().await;
    let rest: std::result::Result<Vec<u32>, ClientError> = stream.try_collect().await;
    tokens.extend(rest.unwrap());
    expect_that!(tokens, eq(&completion.expected()));
    expect_that!(daemon.exit_code().await, some(eq(0)));
    fleet.close().await.unwrap();
}
