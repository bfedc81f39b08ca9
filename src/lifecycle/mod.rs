//! Start and stop of the serving process: configuration, subsystems, signals. The top layer of the library: it may use
//! all other modules, and none of them uses it.
//!
//! | part | what it does |
//! | --- | --- |
//! | [`serve`] | starts the subsystems, heeds signals, stops gracefully |
//! | [`subsystem`], [`subsystems`] | the shape of a subsystem; one adapter for each, in the order of the start |
//! | [`config`], [`subsystem_configs`], [`signed_urls`] | the files that operators and the platform write |
//! | [`descriptors`], [`engine_setup`] | the budget of file descriptors, and the engine within it |
//! | [`bind`], [`inherit`] | sockets: opened here, or handed over by the platform |
//! | [`maintenance`] | the file in which maintenance of endpoints outlives a process |
//! | [`signals`], [`reload`] | signals of the process, and the log lines of a reload |
//! | [`supervisor`] | tasks that must never end |

pub mod bind;
pub mod config;
pub mod descriptors;
pub mod engine_setup;
pub mod error;
pub mod inherit;
pub mod maintenance;
pub mod reload;
pub mod serve;
pub mod signals;
pub mod signed_urls;
pub mod subsystem;
pub mod subsystem_configs;
pub mod subsystems;
pub mod supervisor;
