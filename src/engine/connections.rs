//! Connections to endpoints: establishment, the choice of the next write, idle time-out and loss.

use super::{Effect, Engine, NextWrite};
use crate::cache_message::CacheCommand;
use crate::state::attempts::Attempt;
use crate::state::ids::{AttemptId, ConnectionId};
use crate::AttemptOutcome;
use std::collections::VecDeque;

/// This side closes an idle connection after this fraction of the endpoints' keep-alive time, before the
/// endpoint does.
const IDLE_TIMEOUT_KEEPALIVE_FRACTION: f64 = 0.8;
/// Maximum number of times that a queued attempt moves to another connection because its own ended.
const MAX_MIGRATIONS: u32 = 2;

impl Engine {
    /// Marks a connection as established.
    pub fn connection_established(&mut self, conn: ConnectionId) {
        let now = self.clock.now();
        if let Some(connection) = self.connections.get_mut(conn) {
            connection.established = true;
            connection.last_read_ms = now;
            connection.last_active_ms = now;
        }
    }

    /// Removes a connection that could not be established. `local` marks a failure of this host, such as a
    /// lack of file descriptors, which says nothing about the endpoint.
    pub fn connection_failed(&mut self, conn: ConnectionId, local: bool) {
        self.counters.connection_failures += 1;
        let outcome = if local { AttemptOutcome::NotSent } else { AttemptOutcome::NoConnection };
        for id in self.remove_connection(conn, AttemptOutcome::ConnectionLost) {
            self.end_attempt(id, outcome);
        }
        self.process_events();
    }

    /// Ends an established connection that was closed or lost.
    pub fn connection_lost(&mut self, conn: ConnectionId) {
        self.end_connection(conn, AttemptOutcome::ConnectionLost);
    }

    /// Ends a connection that was dropped because of malformed data or a stalled reply: nothing that it may
    /// still deliver is usable.
    pub fn connection_dropped(&mut self, conn: ConnectionId) {
        self.counters.connections_dropped += 1;
        self.end_connection(conn, AttemptOutcome::Malformed);
    }

    /// Ends a connection. Attempts that were written end with `written_outcome`, as they may have run.
    /// Queued ones migrate to another connection: unlike a failed connect, the end of a connection does not
    /// show that the endpoint is down.
    fn end_connection(&mut self, conn: ConnectionId, written_outcome: AttemptOutcome) {
        let queued = self.remove_connection(conn, written_outcome);
        let now = self.clock.now();
        for id in queued {
            let Some(attempt) = self.attempts.remove(id) else { continue };
            if attempt.migrations < MAX_MIGRATIONS {
                self.counters.attempts_migrated += 1;
                let migrations = attempt.migrations + 1;
                self.place_attempt(now, id, Attempt { migrations, ..attempt });
            } else {
                self.attempts.insert(id, attempt);
                self.end_attempt(id, AttemptOutcome::NoConnection);
            }
        }
        self.process_events();
    }

    /// Removes a connection and ends its attempts in flight with `outcome`. Returns its queued attempts.
    fn remove_connection(&mut self, conn: ConnectionId, outcome: AttemptOutcome) -> VecDeque<AttemptId> {
        let Some(connection) = self.connections.remove(conn) else { return VecDeque::new() };
        if !connection.in_flight.is_empty() {
            self.counters.connections_lost += 1;
        }
        let mut in_flight: Vec<AttemptId> = connection.in_flight.into_values().collect();
        in_flight.sort_unstable();
        for id in in_flight {
            self.end_attempt(id, outcome);
        }
        connection.queue
    }

    /// Returns what the driver of a connection writes next. Queued attempts are checked again here, because
    /// the endpoint may have started to drain, or the request may have ended, while they were queued.
    pub fn next_write(&mut self, conn: ConnectionId) -> NextWrite {
        loop {
            let now = self.clock.now();
            let Some(connection) = self.connections.get_mut(conn) else { return NextWrite::Close };
            if let Some(id_text) = connection.pending_cancels.pop_front() {
                connection.last_active_ms = now;
                return NextWrite::Write(CacheCommand::Cancel(id_text));
            }
            let Some(id) = connection.queue.pop_front() else {
                return if connection.is_finished() { NextWrite::Close } else { NextWrite::Idle };
            };
            let begun = self.contain(id.request, |engine| engine.begin_write(now, id));
            if let Some(request) = begun.flatten() {
                return NextWrite::Write(CacheCommand::Send(Box::new(request)));
            }
            self.counters.attempts_stale += 1;
            self.end_attempt(id, AttemptOutcome::NotSent);
            self.process_events();
        }
    }

    /// Closes connections that have been idle for longer than `IDLE_TIMEOUT_KEEPALIVE_FRACTION` of the
    /// endpoints' keep-alive time.
    pub(super) fn close_idle_connections(&mut self, now: f64) {
        let idle_timeout_ms = self.settings.keepalive_ms() * IDLE_TIMEOUT_KEEPALIVE_FRACTION;
        for (id, connection) in self.connections.iter_mut() {
            connection.closing |= now - connection.last_active_ms > idle_timeout_ms && connection.load() == 0;
            if connection.is_finished() {
                self.effects.push_back(Effect::Wake(*id));
            }
        }
    }
}
