//! Connections to members: how they come up, what is written to them next, and how they end.

use super::{Effect, Engine, Next};
use crate::state::attempts::{Attempt, AttemptId};
use crate::state::connections::ConnId;
use crate::wire::cache_message::CacheCommand;
use crate::AttemptOutcome;
use std::collections::VecDeque;

/// How long before an endpoint closes an idle connection this side does, as a share of that time.
const IDLE_SHARE: f64 = 0.8;
/// How often an attempt whose connection ended before its first byte goes to another at once.
const MAX_MOVES: u32 = 2;

impl Engine {
    /// A connection came up.
    pub fn connected(&mut self, conn: ConnId) {
        let now = self.clock.now();
        if let Some(c) = self.connections.get_mut(conn) {
            (c.up, c.read_ms, c.used_ms) = (true, now, now);
        }
    }

    /// A connection did not come up. `local` says that the fault is this machine's own.
    pub fn connect_failed(&mut self, conn: ConnId, local: bool) {
        self.counters.connect_failures += 1;
        let outcome = if local { AttemptOutcome::NotSent } else { AttemptOutcome::NoConnection };
        self.closed(conn, AttemptOutcome::ConnectionLost).into_iter().for_each(|id| self.settle(id, outcome));
        self.run();
    }

    /// A connection ended that had come up.
    pub fn broken(&mut self, conn: ConnId) {
        self.ended(conn, AttemptOutcome::ConnectionLost);
    }

    /// What came over a connection can't be used, and so nothing that may still come over it.
    pub fn spoilt(&mut self, conn: ConnId) {
        self.counters.spoilt += 1;
        self.ended(conn, AttemptOutcome::Malformed);
    }

    /// What was written may have run. What was not goes to another connection at once: one that ends while it is
    /// idle proves no dead process; only a connect that fails does.
    fn ended(&mut self, conn: ConnId, written: AttemptOutcome) {
        let unwritten = self.closed(conn, written);
        let now = self.clock.now();
        for id in unwritten {
            let Some(attempt) = self.attempts.end(id) else { continue };
            if attempt.moves < MAX_MOVES {
                self.counters.attempts_moved += 1;
                let moves = attempt.moves + 1;
                self.place(now, id, Attempt { moves, ..attempt });
            } else {
                self.attempts.put(id, attempt);
                self.settle(id, AttemptOutcome::NoConnection);
            }
        }
        self.run();
    }

    /// Forgets a connection and settles what was written to it; tells what was not.
    fn closed(&mut self, conn: ConnId, outcome: AttemptOutcome) -> VecDeque<AttemptId> {
        let Some(c) = self.connections.remove(conn) else { return VecDeque::new() };
        if !c.out.is_empty() {
            self.counters.broken += 1;
        }
        let mut written: Vec<AttemptId> = c.out.into_values().collect();
        written.sort_unstable();
        written.into_iter().for_each(|id| self.settle(id, outcome));
        c.queue
    }

    /// What a connection's driver writes next. An attempt that waited is looked at again here, before its
    /// first byte: guards the rules on drains, purges and answered requests.
    pub fn next_write(&mut self, conn: ConnId) -> Next {
        loop {
            let now = self.clock.now();
            let Some(c) = self.connections.get_mut(conn) else { return Next::Close };
            if let Some(text) = c.drops.pop_front() {
                c.used_ms = now;
                return Next::Write(CacheCommand::Cancel(text));
            }
            let Some(id) = c.queue.pop_front() else {
                return if c.closing && c.load() == 0 { Next::Close } else { Next::Idle };
            };
            if let Some(get) = self.written(now, id) {
                return Next::Write(CacheCommand::Send(Box::new(get)));
            }
            self.counters.attempts_stale += 1;
            self.settle(id, AttemptOutcome::NotSent);
            self.run();
        }
    }

    /// Ends the connections that have been idle for so long that their endpoints may soon end them.
    pub(super) fn tidy(&mut self, now: f64) {
        self.maintenance.tidy(now);
        let idle = self.env.keepalive_ms() * IDLE_SHARE;
        for (conn, c) in self.connections.iter_mut() {
            c.closing |= now - c.used_ms > idle && c.load() == 0;
            if c.closing && c.load() == 0 {
                self.effects.push_back(Effect::Wake(*conn));
            }
        }
    }
}
