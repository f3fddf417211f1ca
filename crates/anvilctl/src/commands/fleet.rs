//! The subcommands `status`, `targets` and `teams`.

use std::io::Write;

use anvil_command_line::parse::Invocation;
use anvil_wire::generated::operators::{
    Status,
    TargetsAnswer,
    TeamsAnswer, //
};

use crate::{
    client::percent_encode,
    failure::Failure,
    output::{
        duration_text,
        print, //
    },
    run::Session,
    table::Table, //
};

/// Cell text for a value that the host does not know.
const UNKNOWN_CELL: &str = "-";

/// Prints the state of the host and the live hosts that it knows.
pub async fn status(session: &Session, output: &mut impl Write) -> Result<(), Failure> {
    let answer = session.client.get("status", "/v1/status").await?;
    print(output, session.format, &answer, status_text)
}

fn status_text(status: Status) -> String {
    let config = &status.config;
    let mut text = format!(
        "{} in {}: {}, release {}, up {}\n\
         configuration version {}: {} models, {} teams, {} targets, {} services\n\
         open requests: {}; requests available to `explain`: {}\n",
        status.host,
        status.data_centre,
        status.stage,
        status.program_version,
        duration_text(status.uptime_ms),
        config.version,
        config.model_count,
        config.team_count,
        config.target_count,
        config.service_count,
        status.open_requests,
        status.explained_requests,
    );
    if let (Some(cpu_time_s), Some(memory_bytes)) = (status.cpu_time_s, status.memory_bytes) {
        text.push_str(&format!(
            "CPU time {cpu_time_s:.1} s; memory {} MiB\n",
            memory_bytes >> 20
        ));
    }
    if let Some(log) = &status.log {
        text.push_str(&format!(
            "log levels {}; dropped lines {}\n",
            log.levels, log.dropped_lines
        ));
    }
    if status.peers.is_empty() {
        return text;
    }
    let mut table = Table::new(&["live host", "data centre", "address", "list read"]);
    for peer in status.peers {
        table.row(vec![
            peer.host.to_string(),
            peer.data_centre.to_string(),
            peer.address.to_string(),
            age_text(peer.listed_age_ms),
        ]);
    }
    format!("{text}\n{table}")
}

fn age_text(age_ms: Option<u64>) -> String {
    match age_ms {
        Some(age_ms) => format!("{} ago", duration_text(age_ms)),
        None => UNKNOWN_CELL.to_owned(),
    }
}

/// Prints the targets.
pub async fn targets(
    session: &Session,
    invocation: &Invocation,
    output: &mut impl Write,
) -> Result<(), Failure> {
    let path = path_with_query("/v1/targets", invocation)?;
    let answer = session.client.get("targets", &path).await?;
    print(output, session.format, &answer, targets_text)
}

fn targets_text(answer: TargetsAnswer) -> String {
    let mut table = Table::new(&[
        "target",
        "data centre",
        "address",
        "kind",
        "serves",
        "state",
        "in flight",
        "queue",
        "report",
    ]);
    let count = answer.targets.len();
    for target in answer.targets {
        table.row(vec![
            target.target.to_string(),
            target.data_centre.to_string(),
            target.address.to_string(),
            target.kind.to_string(),
            target.serves.join(", "),
            target.state.map_or(UNKNOWN_CELL.to_owned(), String::from),
            number_text(target.in_flight_steps),
            number_text(target.queue_depth_steps),
            age_text(target.report_age_ms),
        ]);
    }
    format!(
        "{table}{}",
        footer(count, answer.total, answer.config_version)
    )
}

fn number_text(number: Option<u64>) -> String {
    number.map_or(UNKNOWN_CELL.to_owned(), |number| number.to_string())
}

/// Prints the teams with their limits.
pub async fn teams(
    session: &Session,
    invocation: &Invocation,
    output: &mut impl Write,
) -> Result<(), Failure> {
    let path = path_with_query("/v1/teams", invocation)?;
    let answer = session.client.get("teams", &path).await?;
    print(output, session.format, &answer, teams_text)
}

fn teams_text(answer: TeamsAnswer) -> String {
    let mut table = Table::new(&[
        "team",
        "priority",
        "weight",
        "requests/s",
        "tokens/s",
        "open requests",
    ]);
    let count = answer.teams.len();
    for team in answer.teams {
        table.row(vec![
            team.team.to_string(),
            team.priority.to_string(),
            team.weight.to_string(),
            team.limit_requests_per_s.to_string(),
            team.limit_tokens_per_s.to_string(),
            team.limit_open_requests.to_string(),
        ]);
    }
    format!(
        "{table}{}",
        footer(count, answer.total, answer.config_version)
    )
}

fn footer(count: usize, total: u64, config_version: u64) -> String {
    format!("{count} of {total}, in configuration version {config_version}\n")
}

fn path_with_query(path: &str, invocation: &Invocation) -> Result<String, Failure> {
    let mut query = Vec::new();
    if let Some(limit) = invocation.number("limit")? {
        query.push(format!("limit={limit}"));
    }
    if let Some(prefix) = invocation.value("prefix") {
        query.push(format!("prefix={}", percent_encode(prefix)));
    }
    Ok(match query.is_empty() {
        true => path.to_owned(),
        false => format!("{path}?{}", query.join("&")),
    })
}
