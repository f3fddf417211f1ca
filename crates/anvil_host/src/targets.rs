//! The engines that this host routes to: what is known of each, and one graph per model.

mod chosen;
mod counts;
mod residency;
mod table;
mod target;
mod view;
mod watch;

pub use chosen::{
    HostLocation, //
    SubsetCache,
};
pub use counts::Counters;
pub use residency::Residency;
pub use table::Table;
pub use target::{
    Leaving,
    Target, //
    TargetActivity,
};
pub use view::{
    ModelView,
    TargetView, //
};
pub use watch::follow;
