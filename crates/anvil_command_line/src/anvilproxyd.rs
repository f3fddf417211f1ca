//! The daemon's command line.

use crate::table::{
    Command,
    Opt,
    Program, //
};

/// The daemon.
pub static PROGRAM: Program = Program {
    name: "anvilproxyd",
    about: "Runs one entry host.",
    options: &[],
    commands: &[Command {
        name: "",
        about: "Runs one entry host until SIGTERM or SIGINT, then finishes the requests that are open.",
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
                about: "serve engines that drive their own pipelines, with the gateway's settings; their file may be named by ANVILPROXY_SETTINGS",
            },
        ],
    }],
};
