//! Signal handling of the server process.

use super::error::ServeError;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalAction {
    /// SIGTERM or SIGINT: stop gracefully.
    Stop,
    /// SIGHUP: read the configuration files again.
    Reload,
    /// SIGUSR1: log the counters.
    LogCounters,
}

/// The installed signal handlers.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    user1: Signal,
}

impl Signals {
    /// Installs handlers for all signals of [`SignalAction`].
    pub fn install() -> Result<Self, ServeError> {
        let install = |kind| signal(kind).map_err(ServeError::Signals);
        Ok(Self {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hangup: install(SignalKind::hangup())?,
            user1: install(SignalKind::user_defined1())?,
        })
    }

    /// Waits for the next signal and returns its action.
    pub async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.hangup.recv() => SignalAction::Reload,
            _ = self.user1.recv() => SignalAction::LogCounters,
        }
    }
}
