//! The subcommand `explain`.

use std::io::Write;

use anvil_command_line::parse::Invocation;
use anvil_wire::generated::operators::Explanation;

use crate::{
    client::percent_encode,
    failure::Failure,
    output::print,
    run::Session,
    table::Table, //
};

/// Prints the decisions that the host recorded about a request.
pub async fn explain(
    session: &Session,
    invocation: &Invocation,
    output: &mut impl Write,
) -> Result<(), Failure> {
    let path = format!("/v1/requests/{}", percent_encode(&invocation.arguments[0]));
    let answer = session.client.get("explain", &path).await?;
    print(output, session.format, &answer, explanation_text)
}

fn explanation_text(explanation: Explanation) -> String {
    let mut table = Table::new(&["time", "event", "attempt", "chosen", "runner-up", "reason"]);
    for record in explanation.records {
        let attempt = record.attempt.map(|attempt| attempt.to_string());
        table.row(vec![
            record.time.to_string(),
            record.event.to_string(),
            attempt.unwrap_or_else(|| "-".to_owned()),
            record.chosen.to_string(),
            record.runner_up.map_or("-".to_owned(), String::from),
            record.reason.to_string(),
        ]);
    }
    let dropped = match explanation.dropped_records {
        0 => String::new(),
        count => format!("{count} decisions in the middle were dropped\n"),
    };
    format!("request {}\n{table}{dropped}", explanation.request)
}
