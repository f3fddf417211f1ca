//! `anvil-standins`: runs the stand-ins of a small fleet in one process, without hosts.
//!
//! It appends a first configuration to the log, prints the addresses as one JSON object and runs
//! until it receives SIGTERM or SIGINT, so that daemons can be tried as separate processes.

use std::process::ExitCode;

use anvil_fleet::{
    Builder,
    Fleet,
    FleetError,
    builder,
    service::Spec as ServiceSpec, //
};
use lexopt::prelude::*;
use serde_json::json;
use tokio::signal::unix::{
    SignalKind,
    signal, //
};

const HELP: &str = "\
Runs the stand-ins of a small fleet on loopback and prints their addresses as JSON.

Usage: anvil-standins [--stages N] [--replicas N]

  --stages N     ranges into which the model's layers are split [default: 3]
  --replicas N   engines that hold each range [default: 2]
  -h, --help     print this help
";

/// Exit status of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExitStatus {
    /// The program was asked to stop or printed its help.
    Done = 0,
    /// The stand-ins could not start or stop, or the command line is invalid.
    Error = 2,
}

/// Parsed command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Command {
    Help,
    Run { stages: u16, replicas: usize },
}

fn main() -> ExitCode {
    let status = match parse(lexopt::Parser::from_env()) {
        Ok(Command::Help) => {
            print!("{HELP}");
            ExitStatus::Done
        }
        Ok(Command::Run { stages, replicas }) => run(stages, replicas),
        Err(error) => {
            eprintln!("anvil-standins: {error}\n\n{HELP}");
            ExitStatus::Error
        }
    };
    ExitCode::from(status as u8)
}

fn parse(mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let (mut stages, mut replicas) = (3, 2);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("stages") => stages = parser.value()?.parse()?,
            Long("replicas") => replicas = parser.value()?.parse()?,
            Short('h') | Long("help") => return Ok(Command::Help),
            _ => return Err(argument.unexpected()),
        }
    }
    if !(1..=builder::LAYER_COUNT).contains(&stages) {
        return Err(lexopt::Error::Custom(
            format!("--stages must be between 1 and {}", builder::LAYER_COUNT).into(),
        ));
    }
    Ok(Command::Run { stages, replicas })
}

fn run(stages: u16, replicas: usize) -> ExitStatus {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("anvil-standins: cannot start the runtime: {error}");
            return ExitStatus::Error;
        }
    };
    match runtime.block_on(serve(stages, replicas)) {
        Ok(()) => ExitStatus::Done,
        Err(error) => {
            eprintln!("anvil-standins: {error}");
            ExitStatus::Error
        }
    }
}

async fn serve(stages: u16, replicas: usize) -> Result<(), FleetError> {
    let fleet = Builder::default()
        .hosts(0)
        .pipeline(stages, replicas)
        .service(ServiceSpec::not_repeatable("permits"))
        .start()
        .await?;
    println!("{}", addresses_json(&fleet));
    wait_for_stop_signal().await.map_err(|error| FleetError {
        operation: "handle stop signals in",
        component: "process".into(),
        message: error.to_string(),
    })?;
    fleet.close().await.map(|_outcomes| ())
}

fn addresses_json(fleet: &Fleet) -> serde_json::Value {
    let engines = fleet.engines.iter();
    let services = fleet.services.iter();
    json!({
        "log": fleet.log.address(),
        "host_list": fleet.host_list.address(),
        "weight_store": fleet.weight_store.address(),
        "config_stream": fleet.settings_of(0).platform.config_stream,
        "model": builder::MODEL,
        "bearer_key": builder::team_key(builder::TEAM),
        "engines": engines.map(|engine| (engine.spec.id.to_string(), engine.standin.address()))
            .collect::<std::collections::BTreeMap<_, _>>(),
        "services": services.map(|service| service.spec.id.as_str()).collect::<Vec<_>>(),
    })
}

async fn wait_for_stop_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
