//! The subcommands.

pub mod check;
mod claims;
mod config;
mod control;
mod fleet;
mod patch;
mod requests;

use std::{
    io::Write,
    path::Path, //
};

use anvil_command_line::parse::Invocation;
use smol_str::SmolStr;

use crate::{
    failure::Failure,
    run::Session, //
};

/// Checks a settings file on this machine.
///
/// # Errors
///
/// Returns [`Failure::Settings`] with every problem found in the file, and [`Failure::Output`] if
/// the output can't be written.
pub fn settings_check(invocation: &Invocation, output: &mut impl Write) -> Result<(), Failure> {
    let path = &invocation.arguments[0];
    anvil_settings::load(Path::new(path)).map_err(|problems| Failure::Settings { problems })?;
    writeln!(output, "{path}: the settings are valid")?;
    Ok(())
}

/// Runs a subcommand that calls a host.
///
/// # Errors
///
/// Returns an error if an argument is wrong, if the host can't be reached or refuses, or if the
/// output can't be written.
///
/// # Panics
///
/// Panics if the subcommand is in the table of subcommands but has no function here.
pub async fn call_host(
    session: &Session,
    invocation: &Invocation,
    environment: &impl Fn(&str) -> Option<String>,
    output: &mut impl Write,
) -> Result<(), Failure> {
    match invocation.command.name {
        "status" => fleet::status(session, output).await,
        "targets" => fleet::targets(session, invocation, output).await,
        "teams" => fleet::teams(session, invocation, output).await,
        "explain" => requests::explain(session, invocation, output).await,
        "config show" => config::show(session, output).await,
        "config history" => config::history(session, invocation, output).await,
        "config diff" => config::diff(session, invocation, output).await,
        "patch submit" => patch::submit(session, invocation, environment, output).await,
        "patch result" => patch::result(session, invocation, output).await,
        "claims list" => claims::list(session, output).await,
        "claims settle" => claims::settle(session, invocation, environment, output).await,
        "drain" => control::drain(session, output).await,
        "log level" => control::log_level(session, invocation, output).await,
        name => unreachable!("subcommand `{name}` is in the table but has no function"),
    }
}

/// Returns the author from `--author`, else from the environment variable `USER`; `None` if neither
/// is given.
fn author(
    invocation: &Invocation,
    environment: &impl Fn(&str) -> Option<String>,
) -> Option<SmolStr> {
    invocation
        .value("author")
        .map(SmolStr::new)
        .or_else(|| environment("USER").map(SmolStr::from))
}
