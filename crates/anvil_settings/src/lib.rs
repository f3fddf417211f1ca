//! Settings of a host: the values given in the file ([`Options`]) and the checked settings with
//! defaults ([`Settings`]).
//!
//! One table, [`keys::all`], lists every key of the file. Parsing, checks, defaults, suggestions
//! for misspelt keys and the reference page are all derived from it.

pub mod form;
pub mod keys;
pub mod load;
pub mod log;
pub mod options;
pub mod problem;
pub mod reference;
pub mod rules;
pub mod settings;
pub mod targets;

pub use load::{
    load,
    parse, //
};
pub use options::Options;
pub use problem::Problem;
pub use settings::Settings;
