//! The watch on the discovery service: a connection over which endpoint lists and purges arrive as sequenced
//! events.
//!
//! The watch reconnects whenever its connection ends, and resumes after the last event that was applied: the
//! platform counts an event as known to the proxy once the service has it, whether the proxy is connected or
//! not.

use super::discovery_codec::{Frame, FrameCodec, FrameError};
use crate::clock::duration_from_ms;
use crate::engine::executor::Executor;
use futures_util::{SinkExt, StreamExt};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// Bounds of the idle timeout, in milliseconds, after which a connection counts as broken; a frame is due
/// each second. Each connection draws a random value between them, so that the proxies of a fleet do not all
/// reconnect at the same time after an outage.
pub const IDLE_TIMEOUT_MS: (f64, f64) = (1_600.0, 2_000.0);
/// Time limit of a connect and of the first write, in milliseconds.
const CONNECT_TIMEOUT_MS: f64 = 700.0;
/// The least backoff after a malformed frame or a gap, in milliseconds.
const MALFORMED_BACKOFF_MS: f64 = 200.0;
/// The backoff after the first connection without a valid frame, in milliseconds. It doubles with each
/// further such connection.
const INITIAL_BACKOFF_MS: f64 = 50.0;
/// The longest backoff, in milliseconds: a drain must take effect within 250 ms.
const MAX_BACKOFF_MS: f64 = 240.0;
/// The largest share of a backoff that jitter subtracts.
const BACKOFF_JITTER: f64 = 0.5;
/// Number of consecutive failures at which an event is skipped. A frame that was only corrupted in transit is
/// applied when it is requested again.
const MAX_EVENT_FAILURES: u32 = 3;

/// Why a connection to the discovery service ended.
#[derive(Debug, Error)]
enum WatchError {
    /// The connection failed or timed out.
    #[error("connection failed: {0}")]
    Io(std::io::Error),
    /// A frame is malformed.
    #[error(transparent)]
    Frame(FrameError),
    /// Events between the last one applied and the one received are missing.
    #[error("received event {received} after event {last}: the events between them are missing")]
    Gap {
        /// The number of the last event that was applied.
        last: u64,
        /// The number of the event received.
        received: u64,
    },
}

impl From<std::io::Error> for WatchError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<FrameError> for WatchError {
    fn from(error: FrameError) -> Self {
        match error {
            FrameError::Io(error) => Self::Io(error),
            error => Self::Frame(error),
        }
    }
}

impl WatchError {
    fn timed_out() -> Self {
        Self::Io(ErrorKind::TimedOut.into())
    }
}

/// The state of the watch that outlives a connection.
#[derive(Default)]
struct WatchState {
    /// Consecutive connections without a valid frame; a heartbeat counts as one.
    connections_without_frame: u32,
    /// The number of the event that failed last.
    failed_event: u64,
    /// Consecutive failures of `failed_event`.
    failures: u32,
}

impl WatchState {
    /// Counts a failure of an event; returns its consecutive failures.
    fn count_failure(&mut self, number: u64) -> u32 {
        self.failures = if self.failed_event == number { self.failures + 1 } else { 1 };
        self.failed_event = number;
        self.failures
    }

    /// The backoff before the next connection, in milliseconds; `random` is uniform in 0..1.
    fn backoff_ms(&self, random: f64) -> f64 {
        match self.connections_without_frame {
            // After a connection with a valid frame: only jitter, so that the proxies of a fleet do not all
            // reconnect at the same time.
            0 => INITIAL_BACKOFF_MS * random,
            connections_without_frame => {
                let doubled = INITIAL_BACKOFF_MS * f64::from(1u32 << (connections_without_frame - 1).min(8));
                doubled.min(MAX_BACKOFF_MS) * (1.0 - BACKOFF_JITTER * random)
            }
        }
    }
}

/// Watches the discovery service at `address`, and reconnects whenever the connection ends. Never returns.
/// When the address changes, the old connection is dropped at once.
pub async fn run(executor: Rc<Executor>, mut address: watch::Receiver<SocketAddr>) {
    let mut state = WatchState::default();
    loop {
        let current = *address.borrow_and_update();
        let ended = tokio::select! {
            // Events of the old connection must not be read under settings that changed together with the
            // address.
            biased;
            Ok(()) = address.changed() => {
                executor.with(|engine| engine.counters.discovery_address_changes += 1);
                state = WatchState::default();
                continue;
            }
            ended = watch_once(&executor, current, &mut state) => ended,
        };
        let mut backoff_ms = state.backoff_ms(rand::random());
        if let Err(error) = ended {
            executor.with(|engine| engine.counters.discovery_faults += 1);
            if !matches!(error, WatchError::Io(_)) {
                tracing::warn!(address = %current, %error, "discovery watch failed; reconnecting");
                backoff_ms = backoff_ms.max(MALFORMED_BACKOFF_MS);
            }
        }
        // Connects to a changed address without waiting for the backoff.
        tokio::select! {
            biased;
            Ok(()) = async { address.changed().await.map(|()| address.mark_changed()) } => {}
            () = sleep(duration_from_ms(backoff_ms)) => {}
        }
    }
}

/// Applies the events of one connection until it ends.
async fn watch_once(
    executor: &Rc<Executor>,
    address: SocketAddr,
    state: &mut WatchState,
) -> Result<(), WatchError> {
    state.connections_without_frame += 1;
    let mut frames = connect(executor, address).await?;
    let idle_timeout_ms = IDLE_TIMEOUT_MS.0 + (IDLE_TIMEOUT_MS.1 - IDLE_TIMEOUT_MS.0) * rand::random::<f64>();
    loop {
        let next = timeout(duration_from_ms(idle_timeout_ms), frames.next()).await;
        match next.map_err(|_| WatchError::timed_out())? {
            Some(frame) => apply(executor, &frame?, state)?,
            None => return Ok(()),
        }
    }
}

/// Connects, and requests the events after the last one that was applied.
async fn connect(
    executor: &Rc<Executor>,
    address: SocketAddr,
) -> Result<Framed<TcpStream, FrameCodec>, WatchError> {
    let limit = duration_from_ms(CONNECT_TIMEOUT_MS);
    let stream = timeout(limit, TcpStream::connect(address)).await.map_err(|_| WatchError::timed_out())??;
    let _ = stream.set_nodelay(true);
    let mut frames = Framed::new(stream, FrameCodec);
    let last = executor.with(|engine| {
        engine.counters.discovery_connections += 1;
        engine.last_event_number()
    });
    timeout(limit, frames.send(last)).await.map_err(|_| WatchError::timed_out())??;
    Ok(frames)
}

/// Applies the event of a frame. A malformed one is an error until it has failed `MAX_EVENT_FAILURES` times;
/// then it is skipped, so that it does not block the events after it.
fn apply(executor: &Rc<Executor>, frame: &Frame, state: &mut WatchState) -> Result<(), WatchError> {
    let (number, last) = (frame.number, executor.with(|engine| engine.last_event_number()));
    // Sequence numbers are consecutive. A gap means that the number is corrupted or that events are missing.
    // Accepting a corrupted number would discard all later events as already applied, so a gap is accepted
    // only when it persists.
    let gap = !frame.is_heartbeat() && number > last + 1;
    if gap && state.count_failure(number) < MAX_EVENT_FAILURES {
        executor.with(|engine| engine.counters.discovery_gaps += 1);
        return Err(WatchError::Gap { last, received: number });
    }
    match frame.event(&executor.settings()) {
        Ok(event) => {
            state.connections_without_frame = 0;
            executor.with(|engine| {
                engine.apply_event(event);
                if !frame.is_heartbeat() {
                    // `apply_event` ignores an event of an unknown kind, but its number counts as received.
                    engine.skip_events_to(number);
                }
            });
        }
        Err(error) if number > last && state.count_failure(number) < MAX_EVENT_FAILURES => {
            // The valid records take effect at once: a drain must not wait for a malformed record beside it.
            executor.with(|engine| engine.apply_valid_endpoints(frame.valid_endpoints(&engine.settings())));
            return Err(error.into());
        }
        Err(error) => {
            tracing::warn!(%error, number, "skipping a malformed discovery event");
            executor.with(|engine| {
                engine.counters.discovery_skipped += 1;
                engine.skip_events_to(number);
            });
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
