//! `anvil-standins`: the stand-ins of a small fleet in a process of their own.
//!
//! It appends a first configuration to the log, prints one JSON object of addresses and runs until
//! it is asked to stop, so that daemons can be tried as plain processes.

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

/// How the program ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExitStatus {
    /// It was asked to stop.
    Done = 0,
    /// It could not start, or the command line is wrong.
    Error = 2,
}

/// What the command line asks for.
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
            format!("--stages must lie from 1 to {}", builder::LAYER_COUNT).into(),
        ));
    }
    Ok(Command::Run { stages, replicas })
}

fn run(stages: u16, replicas: usize) -> ExitStatus {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("anvil-standins: start the runtime: {error}");
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
    println!("{}", addresses(&fleet));
    stop_signal().await.map_err(|error| FleetError {
        operation: "wait for a signal",
        component: "process".into(),
        message: error.to_string(),
    })?;
    fleet.close().await.map(|_stopped| ())
}

fn addresses(fleet: &Fleet) -> serde_json::Value {
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

async fn stop_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
