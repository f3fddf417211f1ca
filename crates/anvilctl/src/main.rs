//! Entry point of `anvilctl`, the command-line tool of the operators.

use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = lexopt::Parser::from_env();
    let environment = |name: &str| std::env::var(name).ok();
    anvilctl::run::run(arguments, environment, &mut std::io::stdout().lock())
        .await
        .into()
}
