//! Prints a host's answers, as tables for people or as JSON.

use std::{
    io::Write,
    time::Duration, //
};

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::failure::Failure;

/// How answers are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Tables and sentences for people.
    Table,
    /// The host's answer as JSON on one line.
    Json,
}

/// Prints an answer as JSON, or as the text that `render` makes of it.
///
/// # Errors
///
/// Returns [`Failure::Call`] if a table is asked for and the answer can't be decoded as `T`, and
/// [`Failure::Output`] if the output can't be written.
pub fn print<T: DeserializeOwned>(
    output: &mut impl Write,
    format: OutputFormat,
    answer: &Value,
    render: impl FnOnce(T) -> String,
) -> Result<(), Failure> {
    let text = match format {
        OutputFormat::Json => format!("{answer}\n"),
        OutputFormat::Table => render(parse_answer(answer)?),
    };
    output.write_all(text.as_bytes())?;
    Ok(())
}

/// Decodes an answer.
///
/// # Errors
///
/// Returns [`Failure::Call`] if the answer can't be decoded as `T`.
pub fn parse_answer<T: DeserializeOwned>(answer: &Value) -> Result<T, Failure> {
    T::deserialize(answer).map_err(|error| Failure::Call {
        operation: "decoding an answer",
        host: "the host".to_owned(),
        message: format!(
            "the answer has an unexpected format; the host may run another release: {error}"
        ),
    })
}

/// Formats a duration for people, in at most two units.
pub fn duration_text(millis: u64) -> String {
    let seconds = Duration::from_millis(millis).as_secs();
    match seconds {
        0 => format!("{millis} ms"),
        1..60 => format!("{seconds} s"),
        60..3600 => format!("{} min {} s", seconds / 60, seconds % 60),
        3600..86_400 => format!("{} h {} min", seconds / 3600, seconds % 3600 / 60),
        _ => format!("{} d {} h", seconds / 86_400, seconds % 86_400 / 3600),
    }
}

#[cfg(test)]
mod tests;
