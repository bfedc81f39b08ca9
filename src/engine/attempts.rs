//! Attempts, from their place on a connection to their end: placing, wording, time-outs, outcomes.

use super::{Effect, Engine};
use crate::clock::micros_from_ms;
use crate::state::attempts::{Attempt, AttemptId, Stage};
use crate::state::connections::{ConnectionId, Placement};
use crate::state::requests::IncomingRequest;
use crate::wire::cache_message::CacheRequest;
use crate::{AttemptOutcome, CacheStatus, EndpointId, Event, RequestId};

/// Silence on a connection, in milliseconds, after which an attempt that timed out there says that the path is
/// dead: nothing more goes onto it, and a new connection tells at once whether the machine still answers.
const SILENCE_MS: f64 = 1_500.0;
/// Attempts that time out one after another on a connection with nothing read between, which say the same.
const MAX_TIMEOUTS_SINCE_READ: u32 = 2;

impl Engine {
    /// Queues an attempt on a connection to its endpoint, opening one where none has room; without any place it was
    /// never sent.
    pub(super) fn place_attempt(&mut self, now: f64, id: AttemptId, mut attempt: Attempt) {
        let endpoint = attempt.to;
        let Some(address) = self.membership.address(endpoint) else {
            self.attempts.insert(id, attempt);
            return self.end_attempt(id, AttemptOutcome::NotSent);
        };
        let mut place = self.connections.place(endpoint, id.0, now);
        if place == Placement::Unavailable {
            if let Some(idle) = self.connections.evict(endpoint) {
                self.effects.push_back(Effect::Wake(idle));
                place = self.connections.place(endpoint, id.0, now);
            }
        }
        match place {
            Placement::Existing(conn) | Placement::New(conn) => {
                attempt.conn = conn;
                self.attempts.insert(id, attempt);
                if let Some(c) = self.connections.get_mut(conn) {
                    c.queue.push_back(id);
                }
                let within_ms = self.settings.connect_timeout_ms();
                self.effects.push_back(match place {
                    Placement::New(_) => Effect::Open { conn, address, within_ms },
                    _ => Effect::Wake(conn),
                });
                self.counters.connections += u64::from(matches!(place, Placement::New(_)));
            }
            Placement::Unavailable => {
                self.counters.attempts_unplaced += 1;
                self.attempts.insert(id, attempt);
                self.end_attempt(id, AttemptOutcome::NotSent);
            }
        }
    }

    /// Marks an attempt as written from now on, and words it; none if it is stale.
    pub(super) fn begin_write(&mut self, now: f64, id: AttemptId) -> Option<CacheRequest> {
        let ask = self.requests.get(id.0)?;
        let attempt = self.attempts.get_mut(id)?;
        let able = |endpoint: EndpointId| self.membership.address(endpoint).is_some();
        let left = attempt.due_ms.min(ask.deadline_ms) - now;
        if !able(attempt.to)
            || !attempt.source.is_none_or(able)
            || left < 1.0
            || now >= attempt.first_byte_by_ms
        {
            return None;
        }
        // A copy ages while the attempt waits; 0 would say any age that the class allows.
        let max_age_ms = match attempt.max_age_ms {
            0.0 => 0,
            age => ((age - (now - attempt.sent_ms)) as u64).max(1),
        };
        let class = self.settings.class_name(ask.class)?;
        let (max_age_ms, group) = match &mut self.purge {
            Some(guard) if !self.settings.is_write(ask.class) => {
                (guard.limit(now, class, ask.object, ask.part, ask.group, max_age_ms), Some(ask.group))
            }
            _ => (max_age_ms, None),
        };
        let c = self.connections.get_mut(attempt.conn)?;
        c.used_ms = now;
        c.in_flight.insert(id.0, id);
        attempt.stage = Stage::Written(now);
        self.counters.attempts_written += 1;
        self.class_counters.of(self.settings.class_name(ask.class)?).tries += 1;
        Some(CacheRequest {
            id: ask.id_text.clone(),
            class: self.settings.class_name(ask.class)?.to_string(),
            object: ask.object_text.clone(),
            part: ask.part,
            timeout_ms: (left as u64).max(1),
            idempotency_key: ask.key.clone(),
            fill_source: attempt.source,
            retention_rank: attempt.retention_rank,
            max_age_ms,
            join_fill: attempt.join_fill,
            only_if_cached: attempt.only_if_cached,
            background_refresh: attempt.revalidate,
            client_tag: ask.client_etag.clone(),
            group,
            body: ask.body.clone(),
        })
    }

    /// The driver could not write the first byte of what [`Self::next_write`] gave it last: the attempt waits on, and is
    /// looked at once more before its first byte. What else it was is to be written as it is.
    pub fn write_blocked(&mut self, conn: ConnectionId, request: RequestId) {
        let Some(c) = self.connections.get_mut(conn) else { return };
        let Some(id) = c.in_flight.remove(&request) else { return };
        c.queue.push_front(id);
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.stage = Stage::Queued;
            self.counters.attempts_written -= 1;
        }
    }

    /// Ends an attempt whose time is over, and its connection for new ones where that has been silent for too long.
    pub(super) fn expire_attempt(&mut self, now: f64, id: AttemptId) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let (conn, stage) = (attempt.conn, attempt.stage);
        self.counters.attempts_timed_out += 1;
        self.detach_attempt(id, true);
        if let (Stage::Written(at), Some(c)) = (stage, self.connections.get_mut(conn)) {
            c.timeouts_since_read += 1;
            c.closing |=
                c.timeouts_since_read >= MAX_TIMEOUTS_SINCE_READ || now - c.read_ms.max(at) > SILENCE_MS;
        }
        // One that still waited for its connection has not run.
        let outcome =
            if stage == Stage::Queued { AttemptOutcome::NoConnection } else { AttemptOutcome::TimedOut };
        self.end_attempt(id, outcome);
    }

    /// Ends an attempt of whose path nothing is told, and tells the module at the next [`Self::process_events`].
    pub(super) fn end_attempt(&mut self, id: AttemptId, outcome: AttemptOutcome) {
        self.end_attempt_with_status(id, outcome, CacheStatus::Unknown);
    }

    /// Ends an attempt, and tells the module at the next [`Self::process_events`], with what is told of the path.
    pub(super) fn end_attempt_with_status(
        &mut self,
        id: AttemptId,
        outcome: AttemptOutcome,
        cache_status: CacheStatus,
    ) {
        let Some(attempt) = self.attempts.remove(id) else { return };
        let elapsed = micros_from_ms(self.clock.now() - attempt.sent_ms);
        let closed = self.requests.get(id.0).is_none();
        self.events.push_back(Event::AttemptEnded {
            id: id.0,
            attempt: id.1,
            outcome,
            cache_status,
            elapsed,
            closed,
        });
    }

    /// Takes an attempt off its connection; what was written is given up there.
    pub(super) fn detach_attempt(&mut self, id: AttemptId, wake: bool) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let (conn, written, text) = (attempt.conn, attempt.stage != Stage::Queued, attempt.id_text.clone());
        let Some(c) = self.connections.get_mut(conn) else { return };
        if written {
            c.in_flight.remove(&id.0);
            c.abandon(id.0, text);
        } else {
            c.queue.retain(|queued| *queued != id);
        }
        if wake {
            self.effects.push_back(Effect::Wake(conn));
        }
    }

    /// Ends the attempts that wait for a connection and that a change has made stale.
    pub(super) fn end_stale_attempts(&mut self, is: impl Fn(&IncomingRequest, &Attempt) -> bool) {
        let waits = self.attempts.iter().filter(|(_, a)| a.stage == Stage::Queued);
        let hit = waits.filter(|(id, a)| self.requests.get(id.0).is_some_and(|ask| is(ask, a)));
        let mut hit: Vec<AttemptId> = hit.map(|(id, _)| *id).collect();
        hit.sort_unstable();
        for id in hit {
            self.counters.attempts_stale += 1;
            self.detach_attempt(id, false);
            self.end_attempt(id, AttemptOutcome::NotSent);
        }
    }
}
