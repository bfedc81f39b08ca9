//! Decides which listeners of the virtual addresses are open: all while the router is active, none otherwise.
//! A listener that cannot be opened is retried with exponential backoff. If not all are open within a
//! timeout, the router steps down for a while, because a backup may be able to serve. No I/O.

use super::machine::State;

/// Backoff after the first failure to open a listener, in milliseconds.
const MIN_BACKOFF_MS: f64 = 20.0;
/// Upper bound of the backoff, in milliseconds.
const MAX_BACKOFF_MS: f64 = 500.0;

/// A command to open or close the listener with the given index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerCommand {
    /// Open the listener and pass the result to [`ListenerSet::record_open_result`].
    Open(usize),
    /// Stop accepting connections and drain the open ones.
    Close(usize),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ListenerState {
    Closed,
    /// The last attempt to open the listener failed; the next one is due at `retry_ms`.
    Backoff {
        retry_ms: f64,
        next_backoff_ms: f64,
    },
    /// [`ListenerCommand::Open`] was returned and its result is not yet known.
    Opening {
        backoff_ms: f64,
    },
    Open,
}

/// The states of the listeners of one virtual router.
#[derive(Clone, Debug)]
pub struct ListenerSet {
    listeners: Vec<ListenerState>,
    active: bool,
    /// Since when the router has been active with a listener that is not open, in milliseconds.
    incomplete_since_ms: Option<f64>,
    open_timeout_ms: f64,
    step_down_ms: f64,
    step_down_until_ms: f64,
    step_downs: u64,
}

impl ListenerSet {
    /// Creates a set of closed listeners.
    ///
    /// An active router with a listener that is not open for `open_timeout_ms` must step down for
    /// `step_down_ms`.
    pub fn new(count: usize, open_timeout_ms: f64, step_down_ms: f64) -> Self {
        Self {
            listeners: vec![ListenerState::Closed; count],
            active: false,
            incomplete_since_ms: None,
            open_timeout_ms,
            step_down_ms,
            step_down_until_ms: f64::NEG_INFINITY,
            step_downs: 0,
        }
    }

    /// Applies the router's state. Returns the commands to execute.
    pub fn apply_state(&mut self, now: f64, state: State) -> Vec<ListenerCommand> {
        self.active = state == State::Active;
        let active = self.active;
        let commands = self
            .listeners
            .iter_mut()
            .enumerate()
            .filter_map(|(index, listener)| listener.next_command(now, active, index))
            .collect();
        self.check_timeout(now);
        commands
    }

    /// Makes the router step down if not all listeners were opened within the timeout.
    fn check_timeout(&mut self, now: f64) {
        let incomplete = self.active && self.listeners.iter().any(|state| *state != ListenerState::Open);
        self.incomplete_since_ms = incomplete.then(|| self.incomplete_since_ms.unwrap_or(now));
        if self.incomplete_since_ms.is_some_and(|since| now - since >= self.open_timeout_ms) {
            self.step_downs += 1;
            self.incomplete_since_ms = None;
            self.step_down_until_ms = now + self.step_down_ms;
        }
    }

    /// Records the result of an attempt to open a listener.
    pub fn record_open_result(&mut self, now: f64, index: usize, success: bool) {
        let Some(listener) = self.listeners.get_mut(index) else { return };
        let ListenerState::Opening { backoff_ms } = *listener else { return };
        *listener = if success {
            ListenerState::Open
        } else {
            let next_backoff_ms = (backoff_ms * 2.0).min(MAX_BACKOFF_MS);
            ListenerState::Backoff { retry_ms: now + backoff_ms, next_backoff_ms }
        };
    }

    /// Whether the router must stay out of the election because listeners could not be opened.
    pub fn must_step_down(&self, now: f64) -> bool {
        now < self.step_down_until_ms
    }

    /// Number of times that the router stepped down because listeners could not be opened.
    pub fn step_downs(&self) -> u64 {
        self.step_downs
    }

    /// Whether a listener is open.
    pub fn is_open(&self, index: usize) -> bool {
        self.listeners.get(index) == Some(&ListenerState::Open)
    }

    /// The latest time for the next call of [`Self::apply_state`], in milliseconds.
    pub fn due_ms(&self) -> f64 {
        let retries = self.listeners.iter().map(|listener| match listener {
            ListenerState::Backoff { retry_ms, .. } if self.active => *retry_ms,
            _ => f64::INFINITY,
        });
        let timeout = self.incomplete_since_ms.map_or(f64::INFINITY, |since| since + self.open_timeout_ms);
        retries.fold(timeout, f64::min)
    }
}

impl ListenerState {
    /// Returns the command that is due, if any, and updates the state: the listener is opened while the
    /// router is active and closed otherwise.
    fn next_command(&mut self, now: f64, active: bool, index: usize) -> Option<ListenerCommand> {
        match (*self, active) {
            (Self::Closed, true) => {
                *self = Self::Opening { backoff_ms: MIN_BACKOFF_MS };
                Some(ListenerCommand::Open(index))
            }
            (Self::Backoff { retry_ms, next_backoff_ms }, true) if now >= retry_ms => {
                *self = Self::Opening { backoff_ms: next_backoff_ms };
                Some(ListenerCommand::Open(index))
            }
            (Self::Open | Self::Opening { .. }, false) => {
                *self = Self::Closed;
                Some(ListenerCommand::Close(index))
            }
            (Self::Backoff { .. }, false) => {
                *self = Self::Closed;
                None
            }
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
