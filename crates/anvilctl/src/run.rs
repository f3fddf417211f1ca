//! Parses the command line and runs the command.

use std::{
    io::Write,
    net::SocketAddr,
    time::Duration, //
};

use anvil_command_line::{
    ExitStatus,
    Parsed,
    anvilctl::PROGRAM,
    completion,
    help,
    parse::Invocation, //
};

use crate::{
    client::Client,
    commands::{
        self,
        check, //
    },
    failure::Failure,
    output::OutputFormat, //
};

/// Time limit for a call without `--timeout-ms`, whose help text names the same number.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

/// What every command that calls a host needs.
pub struct Session {
    /// Client for the host that the command line or the environment names.
    pub client: Client,
    /// How answers are printed.
    pub format: OutputFormat,
}

/// Runs a command line and prints a failure to standard error. `environment` looks up an
/// environment variable.
pub async fn run(
    arguments: lexopt::Parser,
    environment: impl Fn(&str) -> Option<String>,
    output: &mut impl Write,
) -> ExitStatus {
    match execute(arguments, environment, output).await {
        Ok(()) => ExitStatus::Done,
        Err(failure) => {
            eprintln!("anvilctl: {failure}");
            failure.status()
        }
    }
}

async fn execute(
    arguments: lexopt::Parser,
    environment: impl Fn(&str) -> Option<String>,
    output: &mut impl Write,
) -> Result<(), Failure> {
    let invocation = match anvil_command_line::parse(&PROGRAM, arguments)? {
        Parsed::Help(command) => {
            write!(output, "{}", help::text(&PROGRAM, command))?;
            return Ok(());
        }
        Parsed::Version => {
            writeln!(output, "{} {}", PROGRAM.name, env!("CARGO_PKG_VERSION"))?;
            return Ok(());
        }
        Parsed::Command(invocation) => invocation,
    };
    match invocation.command.name {
        "completion" => {
            write!(output, "{}", completion::bash(&PROGRAM))?;
            Ok(())
        }
        "config check" => check::config_check(&invocation, output_format(&invocation), output),
        "settings check" => commands::settings_check(&invocation, output),
        _ => {
            let session = open_session(&invocation, &environment)?;
            commands::call_host(&session, &invocation, &environment, output).await
        }
    }
}

fn open_session(
    invocation: &Invocation,
    environment: &impl Fn(&str) -> Option<String>,
) -> Result<Session, Failure> {
    let host = invocation
        .value("host")
        .map(str::to_owned)
        .or_else(|| environment("ANVIL_HOST"))
        .ok_or(Failure::Missing {
            what: "the host's address",
            hint: "give --host IP:PORT or set ANVIL_HOST",
        })?;
    let address: SocketAddr = host
        .parse()
        .map_err(|_| Failure::Address { text: host.clone() })?;
    let variable = invocation.value("token-env").unwrap_or("ANVIL_TOKEN");
    let token = environment(variable).ok_or(Failure::Missing {
        what: "the operators' token",
        hint: "set ANVIL_TOKEN, or name another variable with --token-env",
    })?;
    let timeout = invocation
        .number("timeout-ms")?
        .map_or(DEFAULT_TIMEOUT, Duration::from_millis);
    Ok(Session {
        client: Client::new(address, token.trim(), timeout),
        format: output_format(invocation),
    })
}

fn output_format(invocation: &Invocation) -> OutputFormat {
    match invocation.has("json") {
        true => OutputFormat::Json,
        false => OutputFormat::Table,
    }
}
