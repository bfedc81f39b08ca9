//! The signals that a serving process heeds.

use super::error::ServeError;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// SIGTERM or SIGINT: stop gracefully.
    Stop,
    /// SIGHUP: read the configuration files again.
    Reload,
    /// SIGUSR1: log the counters.
    ReportCounters,
}

/// The signals, from when they were installed.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    user1: Signal,
}

impl Signals {
    /// Installs the handlers.
    pub fn install() -> Result<Self, ServeError> {
        let install = |kind| signal(kind).map_err(ServeError::Signals);
        Ok(Self {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hangup: install(SignalKind::hangup())?,
            user1: install(SignalKind::user_defined1())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> Request {
        tokio::select! {
            _ = self.terminate.recv() => Request::Stop,
            _ = self.interrupt.recv() => Request::Stop,
            _ = self.hangup.recv() => Request::Reload,
            _ = self.user1.recv() => Request::ReportCounters,
        }
    }
}
