//! Runs the daemon as a gateway (`--gateway`).

use std::path::PathBuf;

use anvil_command_line::ExitStatus;
use anvil_gateway::{
    run::ShutdownOutcome,
    settings::{
        self,
        Settings, //
    }, //
};
use anvil_observe::log::Logs;
use anvil_settings::log::{
    Format,
    Log, //
};
use tokio::task::LocalSet;

/// Environment variable with the path of the settings file, read if `--config` is not given.
const SETTINGS_VARIABLE: &str = "ANVILPROXY_SETTINGS";
/// Maximum number of lines per second that are logged for each event, about ten times the request
/// rate of a busy host.
const LOG_RATE_LINES_PER_S: u32 = 100;

/// Runs the gateway until it is asked to stop, or only checks its settings.
pub fn run(config: Option<&str>, check_only: bool) -> ExitStatus {
    let path = match config {
        Some(path) => PathBuf::from(path),
        None => match std::env::var_os(SETTINGS_VARIABLE) {
            Some(path) => PathBuf::from(path),
            None => {
                eprintln!(
                    "anvilproxyd: no settings file given; use --config or set {SETTINGS_VARIABLE}"
                );
                return ExitStatus::Error;
            }
        },
    };
    let settings = match settings::load(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("anvilproxyd: {error}");
            return ExitStatus::Refused;
        }
    };
    if check_only {
        println!("{}: the settings are valid", path.display());
        return ExitStatus::Done;
    }
    let level = match settings.log_level.parse() {
        Ok(level) => level,
        Err(error) => {
            eprintln!("anvilproxyd: {}: log.level: {error}", path.display());
            return ExitStatus::Refused;
        }
    };
    let log = Log {
        level,
        format: Format::Json,
        rate_lines_per_s: LOG_RATE_LINES_PER_S,
    };
    let logs = match Logs::new(&log, std::io::stdout()) {
        Ok(logs) => logs,
        Err(error) => {
            eprintln!("anvilproxyd: can't start logging: {error}");
            return ExitStatus::Error;
        }
    };
    logs.install();
    let status = serve(settings);
    logs.flush();
    status
}

fn serve(settings: Settings) -> ExitStatus {
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("anvilproxyd: can't start the async runtime: {error}");
            return ExitStatus::Error;
        }
    };
    spdlog::info!("host.starting", kv: { host = settings.host_id.as_str() });
    let platform = anvil_platform::connect(settings.store, settings.bounds.newest_data());
    let local = LocalSet::new();
    match local.block_on(&runtime, anvil_gateway::run::run(settings, platform)) {
        Ok(ShutdownOutcome::Drained) => ExitStatus::Done,
        Ok(ShutdownOutcome::GracePeriodExpired { open_requests }) => {
            spdlog::error!("host.cut_off", kv: { open_requests });
            ExitStatus::Error
        }
        Err(error) => {
            spdlog::error!("host.start_failed", kv: { error: });
            ExitStatus::Error
        }
    }
}
