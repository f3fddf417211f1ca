//! Settings for selecting, observing and calling targets.

use anvil_core::{
    concurrency,
    health,
    polling,
    recovery,
    retry,
    route,
    subset, //
};

/// Settings for selecting, observing and calling targets.
#[derive(Clone, Debug)]
pub struct Targets {
    /// Selection of routes over targets.
    pub route: route::Settings,
    /// Health checks and ejection of targets.
    pub health: health::Settings,
    /// Recovery of requests after a target has failed.
    pub recovery: recovery::Settings,
    /// Adaptive limit on concurrent steps, per target.
    pub concurrency: concurrency::Settings,
    /// Retry budget per target, and hedging of steps.
    pub retry: retry::Settings,
    /// Selection of the subset of targets that this host uses.
    pub subset: subset::Settings,
    /// Rate at which load reports and cache events are requested from targets.
    pub polling: polling::Settings,
    /// Maximum number of cached blocks that are tracked per target.
    pub cache_blocks: usize,
}

impl Default for Targets {
    fn default() -> Self {
        Self {
            route: route::Settings::default(),
            health: health::Settings::default(),
            recovery: recovery::Settings::default(),
            concurrency: concurrency::Settings::default(),
            retry: retry::Settings::default(),
            subset: subset::Settings::default(),
            polling: polling::Settings::default(),
            cache_blocks: 2048,
        }
    }
}
