//! The subcommand `config check`.

use std::io::Write;

use anvil_command_line::parse::Invocation;
use anvil_core::entry::check::{
    Finding,
    HostBounds,
    Report,
    Severity,
    check, //
};
use anvil_gateway::{
    intake::budget::BYTES_SHARE,
    settings::Bounds, //
};
use anvil_platform::{
    decode_configuration,
    place_name, //
};
use serde_json::json;

use crate::{
    failure::Failure,
    output::OutputFormat, //
};

/// Memory of the smallest host in use, by docs/design/competing-load.md.
const SMALLEST_HOST_MEGABYTES: f64 = 112.0;

/// Checks a configuration file on this machine.
///
/// # Errors
///
/// Returns [`Failure::ConfigCheck`] if the file has errors or warnings, [`Failure::ConfigFile`] if a
/// file can't be read or the version in force can't be decoded, and [`Failure::Output`] if the output
/// can't be written.
pub fn config_check(
    invocation: &Invocation,
    format: OutputFormat,
    output: &mut impl Write,
) -> Result<(), Failure> {
    let path = &invocation.arguments[0];
    let text = read(path)?;
    let in_force = match invocation.value("against") {
        Some(path) => {
            let decoded = decode_configuration(&read(path)?);
            Some(decoded.map_err(|finding| file_failure(path, finding.message))?)
        }
        None => None,
    };
    let report = match decode_configuration(&text) {
        Ok(configuration) => check(&configuration, in_force.as_ref(), host_bounds()),
        Err(error) => Report::new(vec![error]),
    };
    let text = match format {
        OutputFormat::Table => report_text(path, &report),
        OutputFormat::Json => report_json(&report),
    };
    output.write_all(text.as_bytes())?;
    match (report.error_count, report.warning_count) {
        (0, 0) => Ok(()),
        (error_count, warning_count) => Err(Failure::ConfigCheck {
            path: path.clone(),
            error_count,
            warning_count,
        }),
    }
}

fn read(path: &str) -> Result<Vec<u8>, Failure> {
    std::fs::read(path).map_err(|error| file_failure(path, error.to_string()))
}

fn file_failure(path: &str, message: String) -> Failure {
    Failure::ConfigFile {
        path: path.to_owned(),
        message,
    }
}

fn host_bounds() -> HostBounds {
    HostBounds {
        // The conversion saturates and drops the fraction of a byte.
        body_memory_bytes: (SMALLEST_HOST_MEGABYTES * 1e6 * BYTES_SHARE) as usize,
        retry_slack_sends: Bounds::default().retries.slack_sends,
    }
}

fn severity_name(finding: &Finding) -> &'static str {
    match finding.severity {
        Severity::Error => "error",
        Severity::Warning => "warning",
        Severity::Difference => "difference",
    }
}

fn report_text(path: &str, report: &Report) -> String {
    let mut text = String::new();
    for finding in &report.findings {
        let (severity, place) = (severity_name(finding), place_name(finding.place));
        text.push_str(&format!("{severity}: {place}: {}\n", finding.message));
    }
    if report.omitted_count > 0 {
        text.push_str(&format!("{} more are not listed\n", report.omitted_count));
    }
    if report.error_count + report.warning_count == 0 {
        text.push_str(&format!("{path}: the configuration is valid\n"));
    }
    text
}

fn report_json(report: &Report) -> String {
    let finding = |finding: &Finding| {
        json!({
            "severity": severity_name(finding),
            "place": place_name(finding.place),
            "message": finding.message,
        })
    };
    let findings: Vec<_> = report.findings.iter().map(finding).collect();
    let report = json!({
        "errors": report.error_count,
        "warnings": report.warning_count,
        "omitted": report.omitted_count,
        "findings": findings,
    });
    format!("{report}\n")
}
