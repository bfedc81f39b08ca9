//! Attempts, from their place on a connection to their end: placing, wording, time-outs, outcomes.

use super::{Effect, Engine};
use crate::clock::micros_from_ms;
use crate::state::attempts::{Attempt, AttemptId, Stage};
use crate::state::connections::{ConnId, Place};
use crate::state::requests::IncomingRequest;
use crate::wire::cache_message::CacheRequest;
use crate::{AttemptOutcome, CacheStatus, EndpointId, Event, RequestId};

/// Silence on a connection, in milliseconds, after which an attempt that timed out there says that the path is
/// dead: nothing more goes onto it, and a new connection tells at once whether the machine still answers.
const SILENCE_MS: f64 = 1_500.0;
/// Attempts that time out one after another on a connection with nothing read between, which say the same.
const MAX_UNHEARD: u32 = 2;

impl Engine {
    /// Queues an attempt on a connection to its endpoint, opening one where none has room; without any place it was
    /// never sent.
    pub(super) fn place(&mut self, now: f64, id: AttemptId, mut attempt: Attempt) {
        let endpoint = attempt.to;
        let Some(address) = self.roster.address(endpoint) else {
            self.attempts.put(id, attempt);
            return self.settle(id, AttemptOutcome::NotSent);
        };
        let mut place = self.connections.place(endpoint, id.0, now);
        if place == Place::Nowhere {
            if let Some(idle) = self.connections.evict(endpoint) {
                self.effects.push_back(Effect::Wake(idle));
                place = self.connections.place(endpoint, id.0, now);
            }
        }
        match place {
            Place::On(conn) | Place::New(conn) => {
                attempt.conn = conn;
                self.attempts.put(id, attempt);
                if let Some(c) = self.connections.get_mut(conn) {
                    c.queue.push_back(id);
                }
                let within_ms = self.env.connect_timeout_ms();
                self.effects.push_back(match place {
                    Place::New(_) => Effect::Open { conn, address, within_ms },
                    _ => Effect::Wake(conn),
                });
                self.counters.connections += u64::from(matches!(place, Place::New(_)));
            }
            Place::Nowhere => {
                self.counters.attempts_unplaced += 1;
                self.attempts.put(id, attempt);
                self.settle(id, AttemptOutcome::NotSent);
            }
        }
    }

    /// Marks an attempt as written from now on, and words it; none if it is stale.
    pub(super) fn written(&mut self, now: f64, id: AttemptId) -> Option<CacheRequest> {
        let ask = self.requests.get(id.0)?;
        let attempt = self.attempts.get_mut(id)?;
        let able = |endpoint: EndpointId| self.roster.address(endpoint).is_some();
        let left = attempt.due_ms.min(ask.give_up_ms) - now;
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
        let class = self.env.class_name(ask.class)?;
        let (max_age_ms, group) = match &mut self.purge {
            Some(guard) if !self.env.is_write(ask.class) => {
                (guard.limit(now, class, ask.object, ask.part, ask.group, max_age_ms), Some(ask.group))
            }
            _ => (max_age_ms, None),
        };
        let c = self.connections.get_mut(attempt.conn)?;
        c.used_ms = now;
        c.out.insert(id.0, id);
        attempt.stage = Stage::Written(now);
        self.counters.attempts_written += 1;
        self.tallies.of(self.env.class_name(ask.class)?).tries += 1;
        Some(CacheRequest {
            id: ask.id_text.clone(),
            class: self.env.class_name(ask.class)?.to_string(),
            object: ask.object_text.clone(),
            part: ask.part,
            timeout_ms: (left as u64).max(1),
            idempotency_key: ask.key.clone(),
            fill_source: attempt.source,
            retention_rank: attempt.keep,
            max_age_ms,
            join_fill: attempt.join,
            only_if_cached: attempt.only_if_cached,
            background_refresh: attempt.revalidate,
            client_tag: ask.cached.clone(),
            group,
            body: ask.body.clone(),
        })
    }

    /// The driver could not write the first byte of what [`Self::next_write`] gave it last: the attempt waits on, and is
    /// looked at once more before its first byte. What else it was is to be written as it is.
    pub fn unwritten(&mut self, conn: ConnId, request: RequestId) {
        let Some(c) = self.connections.get_mut(conn) else { return };
        let Some(id) = c.out.remove(&request) else { return };
        c.queue.push_front(id);
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.stage = Stage::Queued;
            self.counters.attempts_written -= 1;
        }
    }

    /// Ends an attempt whose time is over, and its connection for new ones where that has been silent for too long.
    pub(super) fn time_out(&mut self, now: f64, id: AttemptId) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let (conn, stage) = (attempt.conn, attempt.stage);
        self.counters.attempts_timed_out += 1;
        self.detach(id, true);
        if let (Stage::Written(at), Some(c)) = (stage, self.connections.get_mut(conn)) {
            c.unheard += 1;
            c.closing |= c.unheard >= MAX_UNHEARD || now - c.read_ms.max(at) > SILENCE_MS;
        }
        // One that still waited for its connection has not run.
        let outcome =
            if stage == Stage::Queued { AttemptOutcome::NoConnection } else { AttemptOutcome::TimedOut };
        self.settle(id, outcome);
    }

    /// Ends an attempt of whose path nothing is told, and tells the module at the next [`Self::run`].
    pub(super) fn settle(&mut self, id: AttemptId, outcome: AttemptOutcome) {
        self.settle_noted(id, outcome, CacheStatus::Unknown);
    }

    /// Ends an attempt, and tells the module at the next [`Self::run`], with what is told of the path.
    pub(super) fn settle_noted(&mut self, id: AttemptId, outcome: AttemptOutcome, cache_status: CacheStatus) {
        let Some(attempt) = self.attempts.end(id) else { return };
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
    pub(super) fn detach(&mut self, id: AttemptId, wake: bool) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let (conn, written, text) = (attempt.conn, attempt.stage != Stage::Queued, attempt.id_text.clone());
        let Some(c) = self.connections.get_mut(conn) else { return };
        if written {
            c.out.remove(&id.0);
            c.give_up(id.0, text);
        } else {
            c.queue.retain(|queued| *queued != id);
        }
        if wake {
            self.effects.push_back(Effect::Wake(conn));
        }
    }

    /// Ends the attempts that wait for a connection and that a change has made stale.
    pub(super) fn stale(&mut self, is: impl Fn(&IncomingRequest, &Attempt) -> bool) {
        let waits = self.attempts.iter().filter(|(_, a)| a.stage == Stage::Queued);
        let hit = waits.filter(|(id, a)| self.requests.get(id.0).is_some_and(|ask| is(ask, a)));
        let mut hit: Vec<AttemptId> = hit.map(|(id, _)| *id).collect();
        hit.sort_unstable();
        for id in hit {
            self.counters.attempts_stale += 1;
            self.detach(id, false);
            self.settle(id, AttemptOutcome::NotSent);
        }
    }
}
