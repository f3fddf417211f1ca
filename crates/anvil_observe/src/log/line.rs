//! Renders a log record as one line of text or JSON.

use std::{
    fmt::Write,
    time::SystemTime, //
};

use anvil_settings::log::Format;
use chrono::{
    DateTime,
    SecondsFormat,
    Utc, //
};
use serde_json::{
    Map,
    Value, //
};
use spdlog::{
    Record,
    kv, //
};

use crate::request;

/// Field that holds the id of the request.
const REQUEST_FIELD: &str = "request";
/// Field that counts the lines of the event that were suppressed since its last line.
const SUPPRESSED_FIELD: &str = "suppressed_lines";

/// Formats a time as logs write it: RFC 3339, in UTC, with milliseconds.
pub fn time_text(time: SystemTime) -> String {
    DateTime::<Utc>::from(time).to_rfc3339_opts(SecondsFormat::Millis, true)
}

/// Renders a record as a line that ends in a line break.
///
/// Adds the id of the current request unless the record has a field of that name.
pub fn render(format: Format, record: &Record<'_>, suppressed_lines: u64) -> String {
    let request = match has_request_field(record) {
        true => None,
        false => request::current(),
    };
    let context = ContextFields {
        request: request.as_deref(),
        suppressed_lines,
    };
    match format {
        Format::Text => render_text(record, &context),
        Format::Json => render_json(record, &context),
    }
}

/// Fields of a line that do not come from the record.
struct ContextFields<'a> {
    request: Option<&'a str>,
    suppressed_lines: u64,
}

fn has_request_field(record: &Record<'_>) -> bool {
    record
        .key_values()
        .into_iter()
        .any(|(key, _)| key.as_str() == REQUEST_FIELD)
}

fn render_text(record: &Record<'_>, context: &ContextFields<'_>) -> String {
    let mut line = format!(
        "{} {:<5} ",
        time_text(record.time()),
        record.level().as_str()
    );
    push_escaped(&mut line, record.payload());
    if let Some(request) = context.request {
        push_field(&mut line, REQUEST_FIELD, request);
    }
    for (key, value) in record.key_values() {
        push_field(&mut line, key.as_str(), &value.to_string());
    }
    if context.suppressed_lines > 0 {
        push_field(
            &mut line,
            SUPPRESSED_FIELD,
            &context.suppressed_lines.to_string(),
        );
    }
    line.push('\n');
    line
}

fn push_field(line: &mut String, key: &str, value: &str) {
    line.push(' ');
    line.push_str(key);
    line.push('=');
    let needs_no_quotes = !value.is_empty()
        && !value
            .chars()
            .any(|char| char.is_whitespace() || char.is_control() || char == '"' || char == '=');
    if needs_no_quotes {
        line.push_str(value);
    } else {
        // The value may come from a caller. Quotes and escapes prevent it from adding fields or
        // lines of its own.
        write!(line, "{value:?}").expect("writing to a String cannot fail");
    }
}

fn push_escaped(line: &mut String, text: &str) {
    for char in text.chars() {
        if char.is_control() {
            line.extend(char.escape_default());
        } else {
            line.push(char);
        }
    }
}

fn render_json(record: &Record<'_>, context: &ContextFields<'_>) -> String {
    let mut object = Map::new();
    let module = record
        .source_location()
        .map_or("", |source| source.module_path());
    object.insert("time".to_owned(), time_text(record.time()).into());
    object.insert("level".to_owned(), record.level().as_str().into());
    object.insert("event".to_owned(), record.payload().into());
    object.insert("module".to_owned(), module.into());
    if let Some(request) = context.request {
        object.insert(REQUEST_FIELD.to_owned(), request.into());
    }
    for (key, value) in record.key_values() {
        object.insert(key.as_str().to_owned(), json_value(&value));
    }
    if context.suppressed_lines > 0 {
        object.insert(SUPPRESSED_FIELD.to_owned(), context.suppressed_lines.into());
    }
    let mut line = Value::Object(object).to_string();
    line.push('\n');
    line
}

fn json_value(value: &kv::Value<'_>) -> Value {
    if let Some(number) = value.to_u64() {
        return number.into();
    }
    if let Some(number) = value.to_i64() {
        return number.into();
    }
    if let Some(number) = value.to_f64() {
        return number.into();
    }
    if let Some(boolean) = value.to_bool() {
        return boolean.into();
    }
    value.to_string().into()
}
