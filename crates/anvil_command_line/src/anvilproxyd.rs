//! Command line of `anvilproxyd`, the daemon.

use crate::table::{
    Command,
    Opt,
    Program, //
};

/// Options of `anvilproxyd`, which has no subcommands.
pub static PROGRAM: Program = Program {
    name: "anvilproxyd",
    about: "Runs one entry host.",
    options: &[],
    commands: &[Command {
        name: "",
        about: "Runs one entry host until SIGTERM or SIGINT, then finishes the open requests.",
        arguments: &[],
        options: &[
            Opt {
                long: "config",
                short: Some('c'),
                value: Some("FILE"),
                about: "settings file in TOML (required)",
            },
            Opt {
                long: "check",
                short: None,
                value: None,
                about: "check the settings file and exit",
            },
            Opt {
                long: "gateway",
                short: None,
                value: None,
                about: "run as a gateway for engines that manage their own pipelines, with a gateway settings file; ANVILPROXY_SETTINGS names the file if --config is absent",
            },
        ],
    }],
};
