//! When the bytes of a client's connection arrived. A request's time counts from its arrival, not from its read:
//! it may have waited for a connection slot, in the listen backlog, or for its turn. No I/O.

use std::collections::VecDeque;
use std::time::Instant;

/// The most that the proxy's clock and the monotonic clock may differ over a wait, in milliseconds. Beyond it the
/// wall clock was stepped, and the kernel's times can't be compared with it.
const MAX_CLOCK_DEVIATION_MS: f64 = 20.0;
/// How far the kernel's time of an arrival may lie outside the possible range, in milliseconds.
const TOLERANCE_MS: f64 = 2.0;
/// The most reads that are kept apart.
const MAX_READS: usize = 64;

/// A moment, by the proxy's clock in Unix milliseconds and by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// The time of the proxy's clock.
    pub clock_ms: f64,
    /// The monotonic time.
    pub monotonic: Instant,
}

/// When a listener last had no connection waiting in its backlog.
#[derive(Clone, Copy, Debug)]
pub struct BacklogEmpty {
    /// When it was last found empty.
    pub found: Moment,
    /// Until when it seemed empty, since the listener waited for a connection, in Unix milliseconds. Connections
    /// may have come a little earlier if the proxy was busy.
    pub assumed_ms: f64,
}

impl BacklogEmpty {
    /// A backlog that is empty now.
    pub fn at(now: Moment) -> Self {
        Self { found: now, assumed_ms: now.clock_ms }
    }
}

/// Bytes that were read at once.
#[derive(Clone, Copy, Debug)]
struct Read {
    /// The number of bytes of the connection up to its end.
    end: u64,
    arrived_ms: f64,
}

/// The arrival times of a connection's bytes.
#[derive(Clone, Debug)]
pub struct Arrivals {
    /// When there was last nothing to read: on the connection, or for a new one in its listen backlog.
    last_empty: Moment,
    /// When the connection was established at the earliest, in Unix milliseconds, as long as no more is known of
    /// it.
    established_ms: Option<f64>,
    /// The number of bytes read.
    received: u64,
    /// Reads whose bytes may still belong to a request, oldest first.
    reads: VecDeque<Read>,
}

impl Arrivals {
    /// A connection that was established while its listener had others waiting, or none.
    pub fn new(backlog: BacklogEmpty) -> Self {
        let established_ms = Some(backlog.assumed_ms);
        Self { last_empty: backlog.found, established_ms, received: 0, reads: VecDeque::new() }
    }

    /// Whether it is not known yet if bytes waited when the connection was accepted.
    pub fn is_new(&self) -> bool {
        self.established_ms.is_some()
    }

    /// Records that there was nothing to read.
    pub fn found_empty(&mut self, now: Moment) {
        self.last_empty = now;
        self.established_ms = None;
    }

    /// Records a read of `length` bytes, and returns when the last of them arrived, in Unix milliseconds.
    /// `kernel_ms` is the kernel's word for it, by the wall clock, if it has one. Without it, bytes of a new
    /// connection count as old as they can be; others as new, since the proxy reads them as they come.
    pub fn record(&mut self, now: Moment, length: usize, kernel_ms: Option<f64>) -> f64 {
        let earliest_ms = self.last_empty.clock_ms;
        let kernel_ms = kernel_ms.filter(|kernel_ms| {
            let possible = earliest_ms - TOLERANCE_MS..=now.clock_ms + TOLERANCE_MS;
            possible.contains(kernel_ms) && !self.has_clock_stepped(now)
        });
        let established_ms = self.established_ms.take();
        let arrived_ms = kernel_ms.or(established_ms).unwrap_or(now.clock_ms).min(now.clock_ms);
        self.received += length as u64;
        self.push(Read { end: self.received, arrived_ms });
        arrived_ms
    }

    /// Whether the wall clock was stepped since there was last nothing to read.
    fn has_clock_stepped(&self, now: Moment) -> bool {
        let by_clock_ms = now.clock_ms - self.last_empty.clock_ms;
        let elapsed = now.monotonic.saturating_duration_since(self.last_empty.monotonic);
        (by_clock_ms - elapsed.as_secs_f64() * 1_000.0).abs() > MAX_CLOCK_DEVIATION_MS
    }

    fn push(&mut self, read: Read) {
        if self.reads.len() < MAX_READS {
            self.reads.push_back(read);
        } else if let Some(last) = self.reads.back_mut() {
            // Its bytes count as old as those of the read that takes them in.
            last.end = read.end;
        }
    }

    /// When a request arrived that ends `unread` bytes before the last byte read, in Unix milliseconds: when its
    /// last byte did. Forgets the reads before it. `None` if nothing was read.
    pub fn of_request(&mut self, unread: usize) -> Option<f64> {
        let end = self.received.saturating_sub(unread as u64);
        while self.reads.len() > 1 && self.reads.front().is_some_and(|read| read.end < end) {
            self.reads.pop_front();
        }
        self.reads.front().map(|read| read.arrived_ms)
    }
}

#[cfg(test)]
mod tests;
