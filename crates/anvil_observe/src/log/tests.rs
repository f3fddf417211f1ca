use std::{
    io::{
        self,
        Write, //
    },
    sync::{
        Arc,
        Mutex, //
    }, //
};

use anvil_core::id::RequestId;
use anvil_settings::log::{
    Format,
    Log, //
};
use googletest::prelude::*;

use super::Logs;
use crate::request;

#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0
            .lock()
            .expect("the mutex is not poisoned")
            .extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Output {
    fn lines(&self) -> Vec<String> {
        let bytes = self.0.lock().expect("the mutex is not poisoned").clone();
        let text = String::from_utf8(bytes).expect("lines are UTF-8");
        text.lines().map(str::to_owned).collect()
    }
}

fn logs(settings: &Log) -> (Logs, Output) {
    let output = Output::default();
    let logs = Logs::new(settings, output.clone()).expect("the logger can be built");
    (logs, output)
}

fn settings(format: Format, level: &str) -> Log {
    Log {
        level: level.parse().expect("the levels are valid"),
        format,
        rate_lines_per_s: 100,
    }
}

#[gtest]
fn render_json_keeps_field_types() {
    let (logs, output) = logs(&settings(Format::Json, "info"));
    spdlog::info!(logger: logs.logger(), "route.chosen", kv: { target = "a\nb", steps = 3_u32 });
    logs.flush();
    let lines = output.lines();
    expect_that!(lines.len(), eq(1));
    let line: serde_json::Value = serde_json::from_str(&lines[0]).expect("the line is valid JSON");
    expect_that!(line["event"], eq("route.chosen"));
    expect_that!(line["target"], eq("a\nb"));
    expect_that!(line["steps"], eq(3));
    expect_that!(
        line["module"].as_str(),
        some(starts_with("anvil_observe::log"))
    );
}

#[gtest]
fn render_text_escapes_forged_fields_and_lines() {
    let (logs, output) = logs(&settings(Format::Text, "info"));
    spdlog::warn!(logger: logs.logger(), "a.b", kv: { key = "x y=z\nforged", plain = "ok" });
    logs.flush();
    expect_that!(
        output.lines(),
        elements_are![ends_with(r#" warn  a.b key="x y=z\nforged" plain=ok"#)]
    );
}

#[gtest]
fn set_levels_applies_by_prefix_at_run_time() {
    let (logs, output) = logs(&settings(Format::Text, "warn"));
    let log_both = || {
        spdlog::debug!(logger: logs.logger(), "route.chosen");
        spdlog::debug!(logger: logs.logger(), "peer.left");
    };
    log_both();
    logs.set_levels("warn,route=debug".parse().expect("the levels are valid"));
    log_both();
    logs.flush();
    expect_that!(
        output.lines(),
        elements_are![contains_substring("route.chosen")]
    );
}

#[gtest]
#[tokio::test]
async fn scope_adds_request_to_log_lines() {
    let (logs, output) = logs(&settings(Format::Text, "info"));
    request::scope(RequestId::new("r-7"), async {
        spdlog::info!(logger: logs.logger(), "a.first");
        tokio::task::yield_now().await;
        spdlog::info!(logger: logs.logger(), "a.second", kv: { request = "r-8" });
    })
    .await;
    spdlog::info!(logger: logs.logger(), "a.third");
    logs.flush();
    expect_that!(
        output.lines(),
        elements_are![
            ends_with("a.first request=r-7"),
            ends_with("a.second request=r-8"),
            ends_with("a.third"),
        ]
    );
}
