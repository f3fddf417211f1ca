//! The table of all keys of the settings file.

mod control;
mod host;
mod load;
mod placement;
mod routing;

use std::ops::RangeInclusive;

use crate::{
    form::{
        Value, //
        ValueType,
    },
    settings::Settings, //
};

/// A key of the settings file.
#[derive(Debug)]
pub struct Key {
    /// Full name, including the table, such as `listen.callers`.
    pub name: &'static str,
    /// Description for the reference page, in whole sentences.
    pub doc: &'static str,
    /// Type of the value.
    pub value_type: ValueType,
    /// Smallest and largest permitted value, for numbers only.
    pub bounds: Option<RangeInclusive<f64>>,
    /// Whether the key must be present in the file.
    pub presence: Presence,
    /// Stores the value in the settings. Returns a message for the user if it does not fit.
    pub set: fn(&mut Settings, ValueType, &Value) -> Result<(), String>,
    /// Returns the value from the settings.
    pub get: fn(&Settings, ValueType) -> Value,
}

/// Whether a key must be present in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The key must be present.
    Required,
    /// Either this key or the named one must be present.
    RequiredUnless(&'static str),
    /// The default applies if the key is absent.
    Optional,
}

impl Key {
    /// Returns a hint for error messages that states the expected type, the bounds and an example.
    pub fn hint(&self) -> String {
        let bounds = match &self.bounds {
            Some(bounds) => format!(" from {} to {}", bounds.start(), bounds.end()),
            None => String::new(),
        };
        format!(
            "expected {}{bounds}, for example `{} = {}`",
            self.value_type,
            self.short_name(),
            self.value_type.example()
        )
    }

    /// Returns the name without its table.
    pub fn short_name(&self) -> &'static str {
        self.name
            .rsplit_once('.')
            .map_or(self.name, |(_, name)| name)
    }

    /// Returns the name of the table that contains the key; empty for the top level.
    pub fn table(&self) -> &'static str {
        self.name.rsplit_once('.').map_or("", |(table, _)| table)
    }
}

/// Returns the key with this full name, or `None` if there is no such key.
pub fn find(name: &str) -> Option<&'static Key> {
    all().find(|key| key.name == name)
}

/// Returns whether any key belongs to the table of this name or to one of its subtables.
pub fn is_table(name: &str) -> bool {
    all().any(|key| {
        key.name
            .strip_prefix(name)
            .is_some_and(|rest| rest.starts_with('.'))
    })
}

macro_rules! key {
    ($name:literal, $($field:ident).+, $value_type:ident, $presence:expr, $bounds:expr, $doc:literal) => {
        $crate::keys::Key {
            name: $name,
            doc: $doc,
            value_type: $crate::form::ValueType::$value_type,
            bounds: $bounds,
            presence: $presence,
            set: |settings, value_type, value| {
                settings.$($field).+ = $crate::form::Field::from_value(value_type, value)?;
                Ok(())
            },
            get: |settings, value_type| $crate::form::Field::to_value(&settings.$($field).+, value_type),
        }
    };
}
pub(crate) use key;

macro_rules! required {
    ($name:literal, $($field:ident).+, $value_type:ident, $doc:literal) => {
        $crate::keys::key!(
            $name, $($field).+, $value_type, $crate::keys::Presence::Required, None, $doc
        )
    };
}
pub(crate) use required;

macro_rules! optional {
    ($name:literal, $($field:ident).+, $value_type:ident, $doc:literal) => {
        $crate::keys::key!(
            $name, $($field).+, $value_type, $crate::keys::Presence::Optional, None, $doc
        )
    };
    ($name:literal, $($field:ident).+, $value_type:ident, $bounds:expr, $doc:literal) => {
        $crate::keys::key!(
            $name, $($field).+, $value_type, $crate::keys::Presence::Optional, Some($bounds), $doc
        )
    };
}
pub(crate) use optional;

/// Upper bound of durations in the settings file, in milliseconds: one day.
pub(crate) const DAY_MS: f64 = 86_400_000.0;

/// Returns every key, in the order of the reference page.
pub fn all() -> impl Iterator<Item = &'static Key> {
    [
        host::KEYS,
        load::KEYS,
        routing::KEYS,
        control::KEYS,
        placement::KEYS,
    ]
    .into_iter()
    .flatten()
}
