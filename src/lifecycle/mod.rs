//! Start and stop: configuration, the serving process, signals.

pub mod config;
pub mod descriptors;
pub mod front;
pub mod inherit;
pub mod maintenance;
pub mod serve;
