//! Connections to members: how they come up, what is written to them next, and how they end.

use super::{Effect, Engine, NextWrite};
use crate::state::attempts::{Attempt, AttemptId};
use crate::state::connections::ConnectionId;
use crate::wire::cache_message::CacheCommand;
use crate::AttemptOutcome;
use std::collections::VecDeque;

/// How long before an endpoint closes an idle connection this side does, as a share of that time.
const IDLE_SHARE: f64 = 0.8;
/// How often an attempt whose connection ended before its first byte goes to another at once.
const MAX_MIGRATIONS: u32 = 2;

impl Engine {
    /// A connection came up.
    pub fn connection_established(&mut self, conn: ConnectionId) {
        let now = self.clock.now();
        if let Some(c) = self.connections.get_mut(conn) {
            (c.up, c.read_ms, c.used_ms) = (true, now, now);
        }
    }

    /// A connection did not come up. `local` says that the fault is this machine's own.
    pub fn connection_failed(&mut self, conn: ConnectionId, local: bool) {
        self.counters.connect_failures += 1;
        let outcome = if local { AttemptOutcome::NotSent } else { AttemptOutcome::NoConnection };
        self.remove_connection(conn, AttemptOutcome::ConnectionLost)
            .into_iter()
            .for_each(|id| self.end_attempt(id, outcome));
        self.process_events();
    }

    /// A connection ended that had come up.
    pub fn connection_lost(&mut self, conn: ConnectionId) {
        self.end_connection(conn, AttemptOutcome::ConnectionLost);
    }

    /// What came over a connection can't be used, and so nothing that may still come over it.
    pub fn connection_malformed(&mut self, conn: ConnectionId) {
        self.counters.spoilt += 1;
        self.end_connection(conn, AttemptOutcome::Malformed);
    }

    /// What was written may have run. What was not goes to another connection at once: one that ends while it is
    /// idle proves no dead process; only a connect that fails does.
    fn end_connection(&mut self, conn: ConnectionId, written: AttemptOutcome) {
        let unwritten = self.remove_connection(conn, written);
        let now = self.clock.now();
        for id in unwritten {
            let Some(attempt) = self.attempts.remove(id) else { continue };
            if attempt.migrations < MAX_MIGRATIONS {
                self.counters.attempts_moved += 1;
                let migrations = attempt.migrations + 1;
                self.place_attempt(now, id, Attempt { migrations, ..attempt });
            } else {
                self.attempts.insert(id, attempt);
                self.end_attempt(id, AttemptOutcome::NoConnection);
            }
        }
        self.process_events();
    }

    /// Forgets a connection and settles what was written to it; tells what was not.
    fn remove_connection(&mut self, conn: ConnectionId, outcome: AttemptOutcome) -> VecDeque<AttemptId> {
        let Some(c) = self.connections.remove(conn) else { return VecDeque::new() };
        if !c.in_flight.is_empty() {
            self.counters.broken += 1;
        }
        let mut written: Vec<AttemptId> = c.in_flight.into_values().collect();
        written.sort_unstable();
        written.into_iter().for_each(|id| self.end_attempt(id, outcome));
        c.queue
    }

    /// What a connection's driver writes next. An attempt that waited is looked at again here, before its
    /// first byte: guards the rules on drains, purges and answered requests.
    pub fn next_write(&mut self, conn: ConnectionId) -> NextWrite {
        loop {
            let now = self.clock.now();
            let Some(c) = self.connections.get_mut(conn) else { return NextWrite::Close };
            if let Some(text) = c.abandoned.pop_front() {
                c.used_ms = now;
                return NextWrite::Write(CacheCommand::Cancel(text));
            }
            let Some(id) = c.queue.pop_front() else {
                return if c.closing && c.load() == 0 { NextWrite::Close } else { NextWrite::Idle };
            };
            if let Some(get) = self.begin_write(now, id) {
                return NextWrite::Write(CacheCommand::Send(Box::new(get)));
            }
            self.counters.attempts_stale += 1;
            self.end_attempt(id, AttemptOutcome::NotSent);
            self.process_events();
        }
    }

    /// Ends the connections that have been idle for so long that their endpoints may soon end them.
    pub(super) fn close_idle_connections(&mut self, now: f64) {
        self.maintenance.forget_old_returns(now);
        let idle = self.settings.keepalive_ms() * IDLE_SHARE;
        for (conn, c) in self.connections.iter_mut() {
            c.closing |= now - c.used_ms > idle && c.load() == 0;
            if c.closing && c.load() == 0 {
                self.effects.push_back(Effect::Wake(*conn));
            }
        }
    }
}
