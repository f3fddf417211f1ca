//! `anvilproxyd`, the daemon that runs on each entry host.

pub mod gateway;
pub mod run;
