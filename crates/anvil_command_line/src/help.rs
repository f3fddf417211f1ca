//! Generates the help text.

use std::fmt::Write;

use crate::{
    exit,
    table::{
        Command,
        Opt,
        Program, //
    }, //
};

/// Column, counted from 0, at which descriptions begin.
const DESCRIPTION_COLUMN: usize = 30;

/// Returns the help text of a subcommand, or of the whole program if `command` is `None`.
pub fn text(program: &Program, command: Option<&Command>) -> String {
    let single = program.command("");
    match command.or(single) {
        Some(command) => command_text(program, command),
        None => program_text(program),
    }
}

/// Returns the usage line of a subcommand.
pub fn usage(program: &Program, command: &Command) -> String {
    let mut usage = program.name.to_owned();
    if !command.name.is_empty() {
        usage.push(' ');
        usage.push_str(command.name);
    }
    for argument in command.arguments {
        usage.push(' ');
        usage.push_str(argument);
    }
    usage + " [OPTIONS]"
}

/// Returns the names of an option with the name of its value, such as `-c, --config FILE`.
pub fn option_usage(option: &Opt) -> String {
    let short = match option.short {
        Some(short) => format!("-{short}, "),
        None => String::new(),
    };
    match option.value {
        Some(value) => format!("{short}--{} {value}", option.long),
        None => format!("{short}--{}", option.long),
    }
}

fn program_text(program: &Program) -> String {
    let mut text = format!(
        "{}\n\nUsage: {} SUBCOMMAND [OPTIONS]\n\nSubcommands:\n",
        program.about, program.name
    );
    for command in program.commands {
        let arguments = command.arguments.join(" ");
        write_row(
            &mut text,
            format!("{} {arguments}", command.name).trim(),
            command.about,
        );
    }
    text.push_str("\nOptions of every subcommand:\n");
    for option in program.options.iter().chain(crate::table::COMMON_OPTIONS) {
        write_row(&mut text, &option_usage(option), option.about);
    }
    write_exit_statuses(&mut text);
    text
}

fn command_text(program: &Program, command: &Command) -> String {
    let mut text = format!(
        "{}\n\nUsage: {}\n\nOptions:\n",
        command.about,
        usage(program, command)
    );
    for option in program.options_of(command) {
        write_row(&mut text, &option_usage(option), option.about);
    }
    write_exit_statuses(&mut text);
    text
}

fn write_exit_statuses(text: &mut String) {
    text.push_str("\nExit status:\n");
    for (status, meaning) in exit::MEANINGS {
        writeln!(text, "  {}  {meaning}", status as u8).expect("writing to a String cannot fail");
    }
}

fn write_row(text: &mut String, label: &str, description: &str) {
    let width = DESCRIPTION_COLUMN - 2;
    writeln!(text, "  {label:<width$}{}{description}", separator(label))
        .expect("writing to a String cannot fail");
}

/// Returns the separator between a label and its description. It is empty if the label is shorter
/// than its column, because the padding already separates them.
fn separator(label: &str) -> &'static str {
    if label.len() < DESCRIPTION_COLUMN - 2 {
        ""
    } else {
        "  "
    }
}
