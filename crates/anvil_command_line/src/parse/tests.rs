use googletest::prelude::*;
use lexopt::Parser;

use super::{
    Invocation,
    Parsed,
    parse, //
};
use crate::{
    anvilctl,
    anvilproxyd,
    completion,
    help,
    table::Program, //
};

fn try_parse(program: &'static Program, arguments: &[&str]) -> std::result::Result<Parsed, String> {
    parse(program, Parser::from_args(arguments)).map_err(|error| error.to_string())
}

fn parse_invocation(program: &'static Program, arguments: &[&str]) -> Invocation {
    match try_parse(program, arguments) {
        Ok(Parsed::Command(invocation)) => invocation,
        other => panic!("{arguments:?} gave {other:?}"),
    }
}

#[gtest]
fn parse_accepts_subcommand_of_two_words() {
    let invocation = parse_invocation(
        &anvilctl::PROGRAM,
        &[
            "--json",
            "patch",
            "submit",
            "p.toml",
            "--base",
            "7",
            "-H1.2.3.4:5",
        ],
    );
    expect_that!(invocation.command.name, eq("patch submit"));
    expect_that!(invocation.arguments, elements_are![eq("p.toml")]);
    expect_that!(invocation.number("base"), ok(some(eq(&7))));
    expect_that!(invocation.value("host"), some(eq("1.2.3.4:5")));
    expect_true!(invocation.has("json"));
}

#[gtest]
fn parse_accepts_program_without_subcommands() {
    let invocation = parse_invocation(&anvilproxyd::PROGRAM, &["-c", "host.toml", "--check"]);
    expect_that!(invocation.required("config"), ok(eq(&"host.toml")));
    expect_true!(invocation.has("check"));
}

#[gtest]
fn parse_reports_usage_errors() {
    let cases: [(&[&str], &str); 8] = [
        (&[], "no subcommand given"),
        (
            &["statsu"],
            "unknown subcommand `statsu`; did you mean `status`?",
        ),
        (&["config"], "unknown subcommand `config`"),
        (&["explain"], "argument REQUEST is missing"),
        (&["status", "x"], "unexpected argument \"x\""),
        (
            &["teams", "--prefx", "a"],
            "unknown option `--prefx`; did you mean `prefix`?",
        ),
        (
            &["status", "--host"],
            "missing argument for option '--host'",
        ),
        (&["status", "--base", "1"], "unknown option `--base`"),
    ];
    for (arguments, message) in cases {
        expect_that!(
            try_parse(&anvilctl::PROGRAM, arguments),
            err(contains_substring(message))
        );
    }
}

#[gtest]
fn number_rejects_text() {
    let invocation = parse_invocation(&anvilctl::PROGRAM, &["teams", "--limit", "many"]);
    expect_that!(
        invocation
            .number("limit")
            .map_err(|error| error.to_string()),
        err(eq("--limit: \"many\" is not a whole number"))
    );
}

#[gtest]
fn help_of_subcommand_lists_its_options() {
    let Ok(Parsed::Help(Some(command))) = try_parse(&anvilctl::PROGRAM, &["patch", "submit", "-h"])
    else {
        panic!("expected help for a subcommand");
    };
    expect_that!(
        help::text(&anvilctl::PROGRAM, Some(command)),
        all!(
            contains_substring("Usage: anvilctl patch submit FILE [OPTIONS]"),
            contains_substring("--base N"),
            contains_substring("-H, --host ADDRESS")
        )
    );
}

#[gtest]
fn bash_completes_every_subcommand() {
    let script = completion::bash(&anvilctl::PROGRAM);
    for command in anvilctl::PROGRAM.commands {
        expect_that!(
            script,
            contains_substring(format!("\"{}\"*)", command.name))
        );
    }
}
