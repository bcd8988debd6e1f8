//! The library that ties the packages of cyclamenloft together. Its programs
//! parse settings, start logging and call one function of this library.

pub mod cli;
pub mod current_config;

pub mod control;
pub mod daemon;
pub mod entry;

pub mod local;
pub mod logging;
pub mod metrics;
pub mod process;
pub mod settings;
pub mod standin;
