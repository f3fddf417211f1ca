//! Command line of `anvilctl`, the operators' tool.

use crate::table::{
    Command,
    Opt,
    Program, //
};

const LIMIT: Opt = Opt {
    long: "limit",
    short: None,
    value: Some("N"),
    about: "maximum number of entries to print",
};

const AUTHOR: Opt = Opt {
    long: "author",
    short: None,
    value: Some("NAME"),
    about: "author of the change; the name of the current user by default",
};

const NOTE: Opt = Opt {
    long: "note",
    short: None,
    value: Some("TEXT"),
    about: "reason for the change",
};

/// Options and subcommands of `anvilctl`.
pub static PROGRAM: Program = Program {
    name: "anvilctl",
    about: "Queries entry hosts and submits configuration changes.",
    options: &[
        Opt {
            long: "host",
            short: Some('H'),
            value: Some("ADDRESS"),
            about: "address of a host's operator listener, IP:PORT; the value of ANVIL_HOST by default",
        },
        Opt {
            long: "token-env",
            short: None,
            value: Some("NAME"),
            about: "environment variable that contains the operator token; ANVIL_TOKEN by default",
        },
        Opt {
            long: "timeout-ms",
            short: None,
            value: Some("N"),
            about: "maximum time to wait for the host; 15000 by default",
        },
        Opt {
            long: "json",
            short: None,
            value: None,
            about: "print the response of the host, or the findings of a check, as JSON",
        },
    ],
    commands: &[
        Command {
            name: "status",
            about: "Shows the state of the host and its view of the fleet.",
            arguments: &[],
            options: &[],
        },
        Command {
            name: "targets",
            about: "Lists targets with what they serve and their state as observed by this host.",
            arguments: &[],
            options: &[LIMIT],
        },
        Command {
            name: "teams",
            about: "Lists teams and their limits.",
            arguments: &[],
            options: &[
                Opt {
                    long: "prefix",
                    short: None,
                    value: Some("TEXT"),
                    about: "list only teams whose names start with this text",
                },
                LIMIT,
            ],
        },
        Command {
            name: "explain",
            about: "Shows the recorded decisions of this host about a recent request.",
            arguments: &["REQUEST"],
            options: &[],
        },
        Command {
            name: "config show",
            about: "Prints the current configuration.",
            arguments: &[],
            options: &[],
        },
        Command {
            name: "config history",
            about: "Lists recent configuration versions and their patches.",
            arguments: &[],
            options: &[LIMIT],
        },
        Command {
            name: "config diff",
            about: "Shows the changes since a configuration version.",
            arguments: &["VERSION"],
            options: &[],
        },
        Command {
            name: "config check",
            about: "Checks a configuration file of the platform's store on this machine, by the rules of the hosts. The exit status is 0 without findings, 1 with warnings only and 2 with errors; differences don't count.",
            arguments: &["FILE"],
            options: &[Opt {
                long: "against",
                short: None,
                value: Some("CURRENT"),
                about: "file with the configuration now in force, with which FILE is compared",
            }],
        },
        Command {
            name: "patch submit",
            about: "Submits a patch file in TOML. The patch is rejected if the configuration has changed since its base version.",
            arguments: &["FILE"],
            options: &[
                Opt {
                    long: "base",
                    short: None,
                    value: Some("N"),
                    about: "configuration version on which the patch is based (required)",
                },
                Opt {
                    long: "patch-id",
                    short: None,
                    value: Some("ID"),
                    about: "identifier for a safe retry after a lost response; a new one by default",
                },
                AUTHOR,
                NOTE,
            ],
        },
        Command {
            name: "patch result",
            about: "Shows the result of a patch.",
            arguments: &["ID"],
            options: &[],
        },
        Command {
            name: "claims list",
            about: "Lists claimed calls without an outcome.",
            arguments: &[],
            options: &[],
        },
        Command {
            name: "claims settle",
            about: "Records the outcome of a claimed call that has none.",
            arguments: &["CLAIM"],
            options: &[
                Opt {
                    long: "outcome",
                    short: None,
                    value: Some("OUTCOME"),
                    about: "`ran` or `not_run`, according to the records of the service (required)",
                },
                AUTHOR,
                NOTE,
            ],
        },
        Command {
            name: "drain",
            about: "Starts a graceful shutdown of the host: it accepts no new requests and finishes the open ones.",
            arguments: &[],
            options: &[],
        },
        Command {
            name: "log level",
            about: "Shows the log levels, or sets them until the host stops.",
            arguments: &[],
            options: &[Opt {
                long: "set",
                short: None,
                value: Some("LEVELS"),
                about: "levels to set, for example info,route=debug",
            }],
        },
        Command {
            name: "settings check",
            about: "Checks a settings file on this machine.",
            arguments: &["FILE"],
            options: &[],
        },
        Command {
            name: "completion",
            about: "Prints a completion script for bash.",
            arguments: &[],
            options: &[],
        },
    ],
};
