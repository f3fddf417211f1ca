//! The sink of all log records: filters by level, limits the rate of each event, and queues lines
//! for the writer thread.

use std::{
    io::Write,
    sync::Arc,
    time::Instant, //
};

use anvil_settings::log::{
    Format,
    Level,
    Levels,
    Log, //
};
use arc_swap::ArcSwap;
use spdlog::{
    Record,
    sink::{
        GetSinkProp,
        Sink,
        SinkProp, //
    }, //
};

use super::{
    FLUSH_TIMEOUT,
    line,
    rate::{
        Decision,
        RateLimiter, //
    },
    writer::Writer, //
};

/// Sink that turns all records of a process into lines.
pub struct LineSink {
    prop: SinkProp,
    format: Format,
    levels: ArcSwap<Levels>,
    limiter: RateLimiter,
    start: Instant,
    writer: Writer,
}

impl LineSink {
    /// Creates a sink that writes to `output`, and starts its writer thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the writer thread can't be started.
    pub fn new(settings: &Log, output: impl Write + Send + 'static) -> std::io::Result<Self> {
        Ok(Self {
            prop: SinkProp::default(),
            format: settings.format,
            levels: ArcSwap::from_pointee(settings.level.clone()),
            limiter: RateLimiter::new(settings.rate_lines_per_s),
            start: Instant::now(),
            writer: Writer::start(output)?,
        })
    }

    /// Returns the levels that are in force.
    pub fn levels(&self) -> Levels {
        Levels::clone(&self.levels.load())
    }

    /// Replaces the levels. Takes effect at the next record.
    pub fn set_levels(&self, levels: Levels) {
        self.levels.store(Arc::new(levels));
    }

    /// Returns how many lines were dropped because the output was too slow.
    pub fn dropped_lines(&self) -> u64 {
        self.writer.dropped_lines()
    }
}

impl GetSinkProp for LineSink {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for LineSink {
    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        let module = record
            .source_location()
            .map_or("", |source| source.module_path());
        let threshold = self.levels.load().level_of(module, record.payload());
        if settings_level(record.level()) > threshold {
            return Ok(());
        }
        match self
            .limiter
            .try_acquire(record.payload(), self.start.elapsed())
        {
            Decision::Suppress => {}
            Decision::Write { suppressed_lines } => {
                let line = line::render(self.format, record, suppressed_lines);
                self.writer.write(line);
            }
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        self.writer.flush(FLUSH_TIMEOUT);
        Ok(())
    }
}

fn settings_level(level: spdlog::Level) -> Level {
    match level {
        spdlog::Level::Critical => Level::Critical,
        spdlog::Level::Error => Level::Error,
        spdlog::Level::Warn => Level::Warn,
        spdlog::Level::Info => Level::Info,
        spdlog::Level::Debug => Level::Debug,
        spdlog::Level::Trace => Level::Trace,
    }
}
