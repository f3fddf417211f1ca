//! Log settings: the levels by module path and event name, the line format and the rate limit.

use std::str::FromStr;

use derive_more::{
    Display,
    Error, //
};
use smol_str::{
    SmolStr,
    format_smolstr, //
};

/// Log settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// Levels by prefix of a module path or an event name.
    pub level: Levels,
    /// Format of log lines.
    pub format: Format,
    /// Maximum number of lines per second for one event.
    pub rate_lines_per_s: u32,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: Levels::default(),
            format: Format::Text,
            rate_lines_per_s: 200,
        }
    }
}

/// Least severe level that is logged. Each level includes all levels before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display(rename_all = "lowercase")]
pub enum Level {
    /// Logs nothing.
    Off,
    /// The host cannot continue.
    Critical,
    /// A failure from which the host does not recover by itself.
    Error,
    /// A failure despite which the host continues.
    Warn,
    /// Decisions and changes.
    #[default]
    Info,
    /// Details behind decisions.
    Debug,
    /// Logs everything.
    Trace,
}

/// Every level, from the least to the most verbose.
pub const LEVELS: [Level; 7] = [
    Level::Off,
    Level::Critical,
    Level::Error,
    Level::Warn,
    Level::Info,
    Level::Debug,
    Level::Trace,
];

/// The text is not the name of a level or format.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("unknown name {text:?}; expected one of {known}")]
pub struct UnknownName {
    /// The given text.
    pub text: SmolStr,
    /// Valid names, separated by commas.
    pub known: SmolStr,
}

impl FromStr for Level {
    type Err = UnknownName;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        LEVELS
            .into_iter()
            .find(|level| level.to_string() == text)
            .ok_or_else(|| UnknownName {
                text: SmolStr::new(text),
                known: SmolStr::new(LEVELS.map(|level| level.to_string()).join(", ")),
            })
    }
}

/// Levels by prefix of a module path or an event name, written
/// `info,anvil_host::pipeline=debug,route=trace`. The longest matching prefix applies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Levels {
    /// Level of records that match no prefix.
    pub default: Level,
    /// Levels of prefixes. Invariant: prefixes are unique and sorted by descending length.
    by_prefix: Vec<(SmolStr, Level)>,
}

impl Levels {
    /// Returns the level that applies to a record with this module path and event name.
    pub fn level_of(&self, module: &str, event: &str) -> Level {
        self.by_prefix
            .iter()
            .find(|(prefix, _)| module.starts_with(&**prefix) || event.starts_with(&**prefix))
            .map_or(self.default, |(_, level)| *level)
    }

    /// Returns the most verbose level of any prefix, the default level included.
    pub fn most_verbose(&self) -> Level {
        self.by_prefix
            .iter()
            .map(|(_, level)| *level)
            .fold(self.default, Level::max)
    }

    /// Sets the level of a prefix, or the default level if `prefix` is empty.
    pub fn set(&mut self, prefix: &str, level: Level) {
        if prefix.is_empty() {
            self.default = level;
            return;
        }
        self.by_prefix.retain(|(known, _)| known != prefix);
        self.by_prefix.push((SmolStr::new(prefix), level));
        self.by_prefix
            .sort_by_key(|(known, _)| std::cmp::Reverse(known.len()));
    }
}

impl FromStr for Levels {
    type Err = UnknownName;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut levels = Self::default();
        for part in text.split(',').map(str::trim) {
            match part.split_once('=') {
                Some((prefix, level)) => levels.set(prefix.trim(), level.trim().parse()?),
                None => levels.set("", part.parse()?),
            }
        }
        Ok(levels)
    }
}

impl std::fmt::Display for Levels {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.default)?;
        for (prefix, level) in &self.by_prefix {
            write!(formatter, ",{prefix}={level}")?;
        }
        Ok(())
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "lowercase")]
pub enum Format {
    /// Text for human readers.
    Text,
    /// One JSON object per line.
    Json,
}

impl FromStr for Format {
    type Err = UnknownName;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(UnknownName {
                text: SmolStr::new(text),
                known: format_smolstr!("{}, {}", Self::Text, Self::Json),
            }),
        }
    }
}

#[cfg(test)]
mod tests;
