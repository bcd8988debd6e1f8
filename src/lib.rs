//! The library behind the programs of cyclamenloft: it combines the other crates
//! into the daemons and the command line. Each program calls one function of it.

pub mod cli;
pub mod control;
pub mod current_config;
pub mod daemon;
pub mod entry;
pub mod local;
pub mod logging;
pub mod metrics;
pub mod process;
pub mod settings;
pub mod standin;
