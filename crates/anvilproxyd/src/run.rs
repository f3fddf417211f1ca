//! Parses the command line and runs the entry host or the gateway.

use std::path::Path;

use anvil_adapters::Adapters;
use anvil_command_line::{
    ExitStatus,
    Parsed,
    UsageError,
    anvilproxyd::PROGRAM,
    help, //
};
use anvil_host::{
    Host,
    host::ShutdownOutcome, //
};
use anvil_observe::{
    log::Logs,
    metrics::ControlBytes, //
};
use anvil_settings::Settings;

use crate::gateway;

/// Runs a command line: help, version, a check of the settings, the gateway or the entry host.
/// Errors before the log starts are printed to standard error.
pub fn run(arguments: lexopt::Parser) -> ExitStatus {
    let invocation = match anvil_command_line::parse(&PROGRAM, arguments) {
        Ok(Parsed::Help(command)) => {
            println!("{}", help::text(&PROGRAM, command));
            return ExitStatus::Done;
        }
        Ok(Parsed::Version) => {
            println!("{} {}", PROGRAM.name, env!("CARGO_PKG_VERSION"));
            return ExitStatus::Done;
        }
        Ok(Parsed::Command(invocation)) => invocation,
        Err(error) => return report_usage_error(&error),
    };
    if invocation.has("gateway") {
        return gateway::run(invocation.value("config"), invocation.has("check"));
    }
    let config = match invocation.required("config") {
        Ok(config) => Path::new(config),
        Err(error) => return report_usage_error(&error),
    };
    match load_settings(config) {
        Err(status) => status,
        Ok(_) if invocation.has("check") => {
            println!("{}: the settings are valid", config.display());
            ExitStatus::Done
        }
        Ok(settings) => run_host(settings),
    }
}

fn report_usage_error(error: &UsageError) -> ExitStatus {
    eprintln!("anvilproxyd: {error}; see anvilproxyd --help");
    ExitStatus::Error
}

fn load_settings(config: &Path) -> Result<Settings, ExitStatus> {
    anvil_settings::load(config).map_err(|problems| {
        for problem in &problems {
            eprintln!("anvilproxyd: {problem}");
        }
        ExitStatus::Refused
    })
}

fn run_host(settings: Settings) -> ExitStatus {
    let logs = match Logs::new(&settings.log, std::io::stderr()) {
        Ok(logs) => logs,
        Err(error) => {
            eprintln!("anvilproxyd: can't start logging: {error}");
            return ExitStatus::Error;
        }
    };
    logs.install();
    let status = run_in_runtime(settings);
    logs.flush();
    status
}

fn run_in_runtime(settings: Settings) -> ExitStatus {
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("anvilproxyd: can't start the threads of the async runtime: {error}");
            return ExitStatus::Error;
        }
    };
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> ExitStatus {
    spdlog::info!("host.starting", kv: { host = settings.host_id.as_str() });
    let adapters = Adapters::new(&settings);
    let host = match Host::start(settings, adapters.ports()).await {
        Ok(host) => host,
        Err(error) => {
            spdlog::error!("host.start_failed", kv: { error: });
            return ExitStatus::Error;
        }
    };
    let metrics = &host.shared().metrics;
    metrics.set_control_bytes_source(move || {
        let traffic = adapters.control_traffic();
        ControlBytes {
            sent_bytes: traffic.sent_bytes(),
            received_bytes: traffic.received_bytes(),
        }
    });
    spdlog::info!("host.listening", kv: {
        callers: = host.callers_address(),
        operators: = host.operators_address(),
    });
    tokio::select! {
        signal = stop_signal() => if let Err(error) = signal {
            spdlog::error!("host.signal_failed", kv: { error: });
            return ExitStatus::Error;
        },
        () = host.stop_requested() => {}
    }
    match host.close().await {
        ShutdownOutcome::Drained => ExitStatus::Done,
        ShutdownOutcome::CutOff { open_requests } => {
            spdlog::error!("host.cut_off", kv: { open_requests });
            ExitStatus::Error
        }
    }
}

/// Waits for SIGTERM or SIGINT.
async fn stop_signal() -> std::io::Result<()> {
    use tokio::signal::unix::{
        SignalKind,
        signal, //
    };
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
