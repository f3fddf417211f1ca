//! The subcommands `config show`, `config history` and `config diff`.

use std::io::Write;

use anvil_command_line::{
    UsageError,
    parse::Invocation, //
};
use anvil_wire::generated::operators::{
    ChangeEntry,
    ConfigAnswer,
    DiffAnswer,
    HistoryAnswer, //
};

use smol_str::SmolStr;

use crate::{
    failure::Failure,
    output::print,
    run::Session,
    table::Table, //
};

/// Number of changed entries that a row of the history lists; the others are only counted.
const LISTED_CHANGES: usize = 3;

/// Prints the configuration in force, as TOML whose entries can be copied into a patch file.
pub async fn show(session: &Session, output: &mut impl Write) -> Result<(), Failure> {
    let answer = session.client.get("config show", "/v1/config").await?;
    print(output, session.format, &answer, |config: ConfigAnswer| {
        let document = toml::to_string_pretty(&config.document)
            .unwrap_or_else(|_| config.document.to_string());
        format!("# configuration version {}\n{document}", config.version)
    })
}

/// Prints recent versions of the configuration.
pub async fn history(
    session: &Session,
    invocation: &Invocation,
    output: &mut impl Write,
) -> Result<(), Failure> {
    let path = match invocation.number("limit")? {
        Some(limit) => format!("/v1/config/history?limit={limit}"),
        None => "/v1/config/history".to_owned(),
    };
    let answer = session.client.get("config history", &path).await?;
    print(output, session.format, &answer, history_text)
}

fn history_text(answer: HistoryAnswer) -> String {
    let mut table = Table::new(&["version", "patch", "author", "changed", "note"]);
    for entry in answer.entries {
        table.row(vec![
            entry.version.to_string(),
            entry.patch_id.to_string(),
            entry.author.to_string(),
            changed_text(&entry.changed),
            entry.note.to_string(),
        ]);
    }
    format!("{table}version {} is in force\n", answer.version)
}

/// Lists the first [`LISTED_CHANGES`] entries and the number of the others.
fn changed_text(changed: &[SmolStr]) -> String {
    let listed = &changed[..changed.len().min(LISTED_CHANGES)];
    let rest = changed.len() - listed.len();
    match rest {
        0 => listed.join(", "),
        rest => format!("{} and {rest} more", listed.join(", ")),
    }
}

/// Prints the changes after a version.
pub async fn diff(
    session: &Session,
    invocation: &Invocation,
    output: &mut impl Write,
) -> Result<(), Failure> {
    let text = &invocation.arguments[0];
    let version: u64 = text.parse().map_err(|_| UsageError::BadValue {
        option: "VERSION",
        value: text.clone(),
        expected: "a whole number",
    })?;
    let path = format!("/v1/config/diff/{version}");
    let answer = session.client.get("config diff", &path).await?;
    print(output, session.format, &answer, diff_text)
}

fn diff_text(answer: DiffAnswer) -> String {
    let missing = match answer.complete {
        true => "",
        false => "older changes are no longer available\n",
    };
    format!(
        "{}{missing}from version {} to {}\n",
        changes_table(answer.changes),
        answer.from,
        answer.to
    )
}

/// Lists each change with its version and entry.
pub fn changes_table(changes: Vec<ChangeEntry>) -> Table {
    let mut table = Table::new(&["version", "change", "entry"]);
    for change in changes {
        table.row(vec![
            change.version.to_string(),
            change.change.to_string(),
            change.entry.to_string(),
        ]);
    }
    table
}
