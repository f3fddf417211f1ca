//! Settings of a gateway: reads the file, checks it and fills in defaults.

use std::{
    net::SocketAddr,
    path::Path,
    time::Duration, //
};

use anvil_core::{
    id::{
        DataCentreId,
        HostId, //
    },
    retry::window::WindowLimits, //
};
use derive_more::{
    Display,
    Error, //
};
use serde::Deserialize;

#[cfg(test)]
mod tests;

/// Memory of a host where the settings name none.
const MEMORY_DEFAULT_MEGABYTES: f64 = 128.0;
/// Share of the host's memory that bodies may take. A body that grows takes up to three times its size
/// while it is copied.
pub const BODY_MEMORY_SHARE: f64 = 0.16;

/// The content of a settings file, before checks and defaults.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Options {
    host_id: Option<HostId>,
    data_centre: Option<DataCentreId>,
    processor_share: Option<f64>,
    memory_megabytes: Option<f64>,
    #[serde(default)]
    listen: ListenOptions,
    #[serde(default)]
    platform: PlatformOptions,
    #[serde(default)]
    bounds: BoundsOptions,
    #[serde(default)]
    log: LogOptions,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct ListenOptions {
    callers: Option<SocketAddr>,
    readiness: Option<SocketAddr>,
    peers: Option<SocketAddr>,
    metrics: Option<SocketAddr>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlatformOptions {
    store: Option<SocketAddr>,
    heartbeat_ms: Option<f64>,
    lease_min_ms: Option<f64>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct BoundsOptions {
    leaving_target_ms: Option<f64>,
    stop_grace_s: Option<f64>,
    config_apply_ms: Option<f64>,
    revoke_ms: Option<f64>,
    retry_ratio: Option<f64>,
    retry_window_s: Option<f64>,
    retry_slack: Option<f64>,
    stall_ms: Option<f64>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct LogOptions {
    level: Option<String>,
}

/// The settings of a gateway, after checks and defaults.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Id of this host, unique among its peers.
    pub host_id: HostId,
    /// Data centre that this host runs in.
    pub data_centre: DataCentreId,
    /// Processor time available to this host, in cores. Above 0.
    pub processor_share: f64,
    /// Memory available to this host, in megabytes. Above 0.
    pub memory_megabytes: f64,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the listener that reports whether the host is ready for callers.
    pub readiness: SocketAddr,
    /// Address of the UDP socket for messages of other hosts.
    pub peers: SocketAddr,
    /// Address of the listener for metrics; `None` switches it off.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time between two renewals of a target's entry.
    pub heartbeat: Duration,
    /// Shortest lease that the store grants.
    pub lease_min: Duration,
    /// Bounds that the operators set.
    pub bounds: Bounds,
    /// Log levels as written in the file, not parsed yet: a default level, and levels for prefixes
    /// of module paths or event names.
    pub log_level: String,
}

impl Settings {
    /// Returns the memory that the bodies of all open requests may take together, in bytes.
    pub fn body_memory_bytes(&self) -> usize {
        // The conversion saturates for huge values.
        (self.memory_megabytes * 1e6 * BODY_MEMORY_SHARE) as usize
    }

    /// Returns the processor time available to the host, in thousandths of a core.
    pub fn processor_millis(&self) -> u32 {
        // The conversion saturates for huge values.
        (self.processor_share * 1e3).round() as u32
    }
}

/// Bounds that the operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time after which a leaving target must receive no new requests.
    pub leaving_target: Duration,
    /// Time from the signal to stop until the process is killed.
    pub stop_grace: Duration,
    /// Time after which a new table must be in force.
    pub config_apply: Duration,
    /// Time after which a revoked key must no longer be accepted.
    pub revoke: Duration,
    /// Limits of extra sends to a service within a time window.
    pub retries: WindowLimits,
    /// Longest time for which work that depends on a dead engine may stall.
    pub stall: Duration,
}

impl Bounds {
    /// Returns the smallest bound on the age of data from the store.
    pub fn newest_data(&self) -> Duration {
        self.config_apply.min(self.revoke).min(self.leaving_target)
    }
}

impl Default for Bounds {
    /// Returns the bounds that the operators publish, which hold where a settings file sets none.
    fn default() -> Self {
        Self {
            leaving_target: Duration::from_secs(2),
            stop_grace: Duration::from_secs(8),
            config_apply: Duration::from_secs(2),
            revoke: Duration::from_secs(5),
            retries: WindowLimits {
                ratio: 0.2,
                slack_sends: 20.0,
                window: Duration::from_secs(10),
            },
            stall: Duration::from_secs(3),
        }
    }
}

/// The error for settings that can't be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[display("{path}: can't be read: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is no valid TOML, or has an unknown key or a value of the wrong type.
    #[display("{path}: {message}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// Description of the fault with its position.
        message: String,
    },
    /// A required key is missing.
    #[display("{path}: `{key}` is missing; see docs/reference/gateway-settings.md")]
    Missing {
        /// Path of the file.
        path: String,
        /// Full name of the key, with its section.
        key: &'static str,
    },
    /// A number is not finite or not above 0.
    #[display("{path}: `{key}` must be a number above 0, not {value}")]
    OutOfBounds {
        /// Path of the file.
        path: String,
        /// Full name of the key, with its section.
        key: &'static str,
        /// Value in the file.
        value: f64,
    },
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns a [`SettingsError`] if the file can't be read or a setting is missing or invalid.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::File {
        path: name.clone(),
        source,
    })?;
    read(&name, &text)
}

/// Parses and checks the text of a settings file. `path` only names the file in errors.
///
/// # Errors
///
/// Returns a [`SettingsError`] if the text can't be parsed or a setting is missing or invalid.
pub fn read(path: &str, text: &str) -> Result<Settings, SettingsError> {
    let options: Options = toml::from_str(text).map_err(|error| SettingsError::Invalid {
        path: path.to_owned(),
        message: error.to_string(),
    })?;
    Checker { path }.settings(options)
}

/// Checks single settings; errors name the file and the key.
struct Checker<'a> {
    path: &'a str,
}

impl Checker<'_> {
    fn settings(&self, options: Options) -> Result<Settings, SettingsError> {
        let listen = options.listen;
        let platform = options.platform;
        Ok(Settings {
            host_id: self.required("host_id", options.host_id)?,
            data_centre: self.required("data_centre", options.data_centre)?,
            processor_share: self.positive("processor_share", options.processor_share, 1.0)?,
            memory_megabytes: self.positive(
                "memory_megabytes",
                options.memory_megabytes,
                MEMORY_DEFAULT_MEGABYTES,
            )?,
            callers: self.required("listen.callers", listen.callers)?,
            readiness: self.required("listen.readiness", listen.readiness)?,
            peers: self.required("listen.peers", listen.peers)?,
            metrics: listen.metrics,
            store: self.required("platform.store", platform.store)?,
            heartbeat: self.millis(
                "platform.heartbeat_ms",
                platform.heartbeat_ms,
                Duration::from_millis(1200),
            )?,
            lease_min: self.millis(
                "platform.lease_min_ms",
                platform.lease_min_ms,
                Duration::from_secs(1),
            )?,
            bounds: self.bounds(options.bounds)?,
            log_level: options.log.level.unwrap_or_else(|| "info".to_owned()),
        })
    }

    fn bounds(&self, options: BoundsOptions) -> Result<Bounds, SettingsError> {
        let default = Bounds::default();
        Ok(Bounds {
            leaving_target: self.millis(
                "bounds.leaving_target_ms",
                options.leaving_target_ms,
                default.leaving_target,
            )?,
            stop_grace: self.seconds(
                "bounds.stop_grace_s",
                options.stop_grace_s,
                default.stop_grace,
            )?,
            config_apply: self.millis(
                "bounds.config_apply_ms",
                options.config_apply_ms,
                default.config_apply,
            )?,
            revoke: self.millis("bounds.revoke_ms", options.revoke_ms, default.revoke)?,
            retries: WindowLimits {
                ratio: self.positive(
                    "bounds.retry_ratio",
                    options.retry_ratio,
                    default.retries.ratio,
                )?,
                slack_sends: self.positive(
                    "bounds.retry_slack",
                    options.retry_slack,
                    default.retries.slack_sends,
                )?,
                window: self.seconds(
                    "bounds.retry_window_s",
                    options.retry_window_s,
                    default.retries.window,
                )?,
            },
            stall: self.millis("bounds.stall_ms", options.stall_ms, default.stall)?,
        })
    }

    fn required<T>(&self, key: &'static str, value: Option<T>) -> Result<T, SettingsError> {
        value.ok_or_else(|| SettingsError::Missing {
            path: self.path.to_owned(),
            key,
        })
    }

    fn positive(
        &self,
        key: &'static str,
        value: Option<f64>,
        default: f64,
    ) -> Result<f64, SettingsError> {
        match value {
            None => Ok(default),
            Some(value) if value.is_finite() && value > 0.0 => Ok(value),
            Some(value) => Err(SettingsError::OutOfBounds {
                path: self.path.to_owned(),
                key,
                value,
            }),
        }
    }

    fn millis(
        &self,
        key: &'static str,
        value: Option<f64>,
        default: Duration,
    ) -> Result<Duration, SettingsError> {
        let millis = self.positive(key, value, default.as_secs_f64() * 1e3)?;
        Ok(Duration::from_secs_f64(millis / 1e3))
    }

    fn seconds(
        &self,
        key: &'static str,
        value: Option<f64>,
        default: Duration,
    ) -> Result<Duration, SettingsError> {
        let seconds = self.positive(key, value, default.as_secs_f64())?;
        Ok(Duration::from_secs_f64(seconds))
    }
}
