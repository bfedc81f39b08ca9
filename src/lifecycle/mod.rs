//! Startup and shutdown of the server process: configuration, subsystems, signals. The top layer of the
//! library: it may use all other modules, and none of them uses it.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`serve`] | starts the subsystems and handles signals |
//! | [`shutdown`], [`shutdown_schedule`] | the graceful shutdown, and when its stages begin |
//! | [`subsystem`], [`subsystems`] | the `Subsystem` trait; its implementations, in startup order |
//! | [`config`], [`subsystem_configs`], [`signed_urls`] | configuration files of operators and the platform |
//! | [`descriptors`], [`engine_setup`] | the file descriptor budget, and engine creation within it |
//! | [`bind`], [`inherit`] | binding of sockets, or inheriting one from the platform |
//! | [`shared_folder`], [`write_log`] | files that the processes of one proxy share, and the ids of recent writes in them |
//! | [`maintenance`] | persistence of endpoint maintenance |
//! | [`signals`], [`reload`] | signal handling, and logging of configuration reloads |
//! | [`supervisor`] | restart of tasks that panicked |

pub mod bind;
pub mod config;
pub mod descriptors;
pub mod engine_setup;
pub mod error;
pub mod inherit;
pub mod maintenance;
pub mod reload;
pub mod serve;
pub mod shared_folder;
pub mod shutdown;
pub mod shutdown_schedule;
pub mod signals;
pub mod signed_urls;
pub mod subsystem;
pub mod subsystem_configs;
pub mod subsystems;
pub mod supervisor;
pub mod write_log;
