//! Writes each log record as one line, on a separate thread and with a rate limit for each event.
//!
//! A line whose level is disabled costs one atomic load. A line that is logged is formatted by the
//! task that logs it and passed to the writer thread through a bounded queue, so that no task waits
//! for the output.

mod line;
mod rate;
mod sink;
mod writer;

use std::{
    io::Write,
    sync::Arc,
    time::Duration, //
};

use anvil_settings::log::{
    Level,
    Levels,
    Log, //
};
use arc_swap::ArcSwapOption;
use spdlog::{
    LevelFilter,
    Logger,
    sink::Sink, //
};

pub use line::time_text;
use sink::LineSink;

/// Longest time that a flush waits for the queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Logs that the whole process writes to. Empty until [`Logs::install`] is called.
static INSTALLED: ArcSwapOption<Logs> = ArcSwapOption::const_empty();

/// Logger of this process, with the sink that filters, formats and writes its records.
#[derive(Clone)]
pub struct Logs {
    logger: Arc<Logger>,
    sink: Arc<LineSink>,
}

impl Logs {
    /// Creates a logger that writes to `output`, and starts its writer thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the logger can't be built or the writer thread can't be started.
    pub fn new(
        settings: &Log,
        output: impl Write + Send + 'static,
    ) -> Result<Self, Box<dyn std::error::Error + Send + Sync>> {
        let sink = Arc::new(LineSink::new(settings, output)?);
        let shared_sink: Arc<dyn Sink> = Arc::clone(&sink) as Arc<dyn Sink>;
        let logger = Logger::builder().sink(shared_sink).build_arc()?;
        let logs = Self { logger, sink };
        logs.set_levels(settings.level.clone());
        Ok(logs)
    }

    /// Makes this the default logger of the whole process.
    pub fn install(&self) {
        spdlog::set_default_logger(Arc::clone(&self.logger));
        INSTALLED.store(Some(Arc::new(self.clone())));
    }

    /// Returns the logs that the process writes to, or `None` before the first [`Logs::install`].
    pub fn installed() -> Option<Arc<Self>> {
        INSTALLED.load_full()
    }

    /// Returns the logger, for the `logger:` argument of the log macros.
    pub fn logger(&self) -> &Arc<Logger> {
        &self.logger
    }

    /// Returns the levels that are in force.
    pub fn levels(&self) -> Levels {
        self.sink.levels()
    }

    /// Replaces the levels. Takes effect at the next record.
    pub fn set_levels(&self, levels: Levels) {
        self.logger
            .set_level_filter(level_filter(levels.most_verbose()));
        self.sink.set_levels(levels);
    }

    /// Returns how many lines were dropped because the output was too slow.
    pub fn dropped_lines(&self) -> u64 {
        self.sink.dropped_lines()
    }

    /// Waits until the lines logged so far are written, for at most one second.
    pub fn flush(&self) {
        self.logger.flush();
    }
}

fn level_filter(level: Level) -> LevelFilter {
    match level {
        Level::Off => LevelFilter::Off,
        Level::Critical => LevelFilter::MoreSevereEqual(spdlog::Level::Critical),
        Level::Error => LevelFilter::MoreSevereEqual(spdlog::Level::Error),
        Level::Warn => LevelFilter::MoreSevereEqual(spdlog::Level::Warn),
        Level::Info => LevelFilter::MoreSevereEqual(spdlog::Level::Info),
        Level::Debug => LevelFilter::MoreSevereEqual(spdlog::Level::Debug),
        Level::Trace => LevelFilter::All,
    }
}

#[cfg(test)]
mod tests;
