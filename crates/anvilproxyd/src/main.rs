//! Entry point of `anvilproxyd`, the daemon that runs on each entry host.

use std::process::ExitCode;

fn main() -> ExitCode {
    anvilproxyd::run::run(lexopt::Parser::from_env()).into()
}
