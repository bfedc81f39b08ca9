//! When the stages of a graceful shutdown begin. The platform kills a stopping process after a time that depends
//! on the longest deadline of its requests, so every request must be answered before that. No I/O.

/// The longest deadline that the platform counts towards the time until it kills a stopping process, in
/// milliseconds.
const MAX_COUNTED_DEADLINE_MS: f64 = 3_000.0;
/// How long new connections are still accepted after the stop signal, in milliseconds. The platform grants this
/// time beyond the counted deadline.
const ACCEPT_GRACE_MS: f64 = 700.0;
/// How long idle connections stay open during an upgrade at most, in milliseconds, so that most close after a
/// response and not while a client sends a request.
const MAX_IDLE_GRACE_MS: f64 = 2_000.0;
/// Fraction of the counted deadline that is left for a request that arrives on a connection just before it is
/// closed as idle.
const LAST_REQUEST_SHARE: f64 = 0.5;
/// Time between the last answers and the kill, in milliseconds: answers must be written, and the event loop may be
/// blocked for 250 ms by a file lock.
const MAX_ANSWER_MARGIN_MS: f64 = 300.0;
/// The largest share of the counted deadline that the margin takes.
const MAX_ANSWER_MARGIN_SHARE: f64 = 0.2;
/// How long after the kill was possible the process still writes responses to slow clients if it was not killed,
/// in milliseconds.
const LAST_WRITE_MS: f64 = 500.0;

/// The times of a graceful shutdown, in milliseconds after the stop signal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownSchedule {
    /// The listeners close.
    pub close_listeners_ms: f64,
    /// Idle connections close, and others after their next response.
    pub close_idle_ms: f64,
    /// Every request must have its answer.
    pub answer_by_ms: f64,
    /// The process ends, whatever is still open.
    pub end_by_ms: f64,
}

impl ShutdownSchedule {
    /// Plans a shutdown. `longest_deadline_ms` is the longest deadline of all request classes; `is_upgrade` is
    /// set if another process accepts connections on the same socket.
    pub fn new(longest_deadline_ms: f64, is_upgrade: bool) -> Self {
        let counted_ms = longest_deadline_ms.min(MAX_COUNTED_DEADLINE_MS);
        let kill_ms = counted_ms + ACCEPT_GRACE_MS;
        let answer_by_ms = kill_ms - MAX_ANSWER_MARGIN_MS.min(MAX_ANSWER_MARGIN_SHARE * counted_ms);
        let last_request_ms = answer_by_ms - LAST_REQUEST_SHARE * counted_ms;
        let (close_listeners_ms, close_idle_ms) = if is_upgrade {
            (0.0, last_request_ms.min(MAX_IDLE_GRACE_MS))
        } else {
            (ACCEPT_GRACE_MS, ACCEPT_GRACE_MS)
        };
        Self { close_listeners_ms, close_idle_ms, answer_by_ms, end_by_ms: kill_ms + LAST_WRITE_MS }
    }
}

#[cfg(test)]
mod tests;
