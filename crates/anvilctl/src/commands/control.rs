//! The subcommands `drain` and `log level`.

use std::io::Write;

use anvil_command_line::parse::Invocation;
use anvil_wire::generated::operators::{
    DrainAnswer,
    LogLevels, //
};
use http::Method;
use smol_str::SmolStr;

use crate::{
    failure::Failure,
    output::print,
    run::Session, //
};

/// Asks the host to refuse new requests and to stop when the open ones have ended.
pub async fn drain(session: &Session, output: &mut impl Write) -> Result<(), Failure> {
    let answer = session
        .client
        .send("drain", Method::POST, "/v1/drain", &())
        .await?;
    print(output, session.format, &answer, |answer: DrainAnswer| {
        format!(
            "the host accepts no new requests and stops when its {} open requests have ended\n",
            answer.open_requests
        )
    })
}

/// Prints the log levels, after setting them if `--set` is given.
pub async fn log_level(
    session: &Session,
    invocation: &Invocation,
    output: &mut impl Write,
) -> Result<(), Failure> {
    let path = "/v1/log/levels";
    let answer = match invocation.value("set") {
        None => session.client.get("log level", path).await?,
        Some(levels) => {
            let message = LogLevels {
                levels: SmolStr::new(levels),
            };
            let client = &session.client;
            client
                .send("log level", Method::PUT, path, &message)
                .await?
        }
    };
    print(output, session.format, &answer, |answer: LogLevels| {
        format!("{}\n", answer.levels)
    })
}
