//! The life cycle of an attempt: placement on a connection, write, time-out, cancellation and outcome.

use super::purge_filter::RequestedCopy;
use super::{Effect, Engine};
use crate::cache_message::CacheRequest;
use crate::clock::{micros_from_ms, ms_from_micros};
use crate::state::attempts::{Attempt, Stage};
use crate::state::connections::Placement;
use crate::state::ids::{AttemptId, ConnectionId};
use crate::state::requests::IncomingRequest;
use crate::{AttemptOutcome, CacheStatus, EndpointId, Event, Micros, RequestId};

/// An attempt that times out closes its connection if nothing was read on it for longer than this since the
/// attempt was written, in milliseconds, because the endpoint may be unreachable. A new connection shows at
/// once whether it still responds.
const MAX_SILENCE_MS: f64 = 1_500.0;
/// Number of consecutive time-outs, with nothing read in between, at which a connection is closed.
const MAX_TIMEOUTS_SINCE_READ: u32 = 2;
/// An attempt with less time left than this is not written, in milliseconds.
const MIN_TIME_LEFT_MS: f64 = 1.0;
/// Connection id of an attempt that has not been placed on a connection.
const NO_CONNECTION: ConnectionId = 0;

/// The parameters of an attempt, from [`Action::Forward`](crate::Action::Forward).
pub(super) struct AttemptParams {
    pub(super) to: EndpointId,
    pub(super) source: Option<EndpointId>,
    pub(super) join_fill: bool,
    pub(super) only_if_cached: bool,
    pub(super) revalidate: bool,
    pub(super) max_age: Micros,
    pub(super) retention_rank: u8,
    pub(super) timeout: Micros,
    pub(super) first_byte_by: Micros,
}

impl Engine {
    /// Creates an attempt for a request and places it on a connection.
    pub(super) fn start_attempt(&mut self, now: f64, request: RequestId, params: AttemptParams) {
        let Some(number) = self.requests.next_attempt_number(request) else { return };
        self.counters.attempts += 1;
        let id_text = self.requests.get(request).map(|request| request.id_text.clone()).unwrap_or_default();
        let attempt = Attempt {
            id_text,
            to: params.to,
            source: params.source.filter(|source| *source != params.to),
            join_fill: params.join_fill,
            only_if_cached: params.only_if_cached,
            revalidate: params.revalidate,
            max_age_ms: ms_from_micros(params.max_age),
            retention_rank: params.retention_rank,
            created_ms: now,
            timeout_at_ms: now + ms_from_micros(params.timeout),
            first_byte_by_ms: ms_from_micros(params.first_byte_by),
            conn: NO_CONNECTION,
            stage: Stage::Queued,
            migrations: 0,
        };
        self.place_attempt(now, AttemptId { request, number }, attempt);
    }

    /// Queues an attempt on a connection to its endpoint, and opens one if none has capacity. If the endpoint
    /// is not usable or the limits allow no connection, the attempt ends as [`AttemptOutcome::NotSent`].
    pub(super) fn place_attempt(&mut self, now: f64, id: AttemptId, mut attempt: Attempt) {
        let endpoint = attempt.to;
        let Some(address) = self.membership.address(endpoint) else {
            self.attempts.insert(id, attempt);
            return self.end_attempt(id, AttemptOutcome::NotSent);
        };
        let placement = self.find_connection(endpoint, id.request, now);
        let (conn, effect) = match placement {
            Placement::Existing(conn) => (conn, Effect::Wake(conn)),
            Placement::New(conn) => {
                self.counters.connections += 1;
                let connect_timeout_ms = self.settings.connect_timeout_ms();
                (conn, Effect::Open { conn, address, connect_timeout_ms })
            }
            Placement::Unavailable => {
                self.counters.attempts_unplaced += 1;
                self.attempts.insert(id, attempt);
                return self.end_attempt(id, AttemptOutcome::NotSent);
            }
        };
        attempt.conn = conn;
        self.attempts.insert(id, attempt);
        if let Some(connection) = self.connections.get_mut(conn) {
            connection.queue.push_back(id);
        }
        self.effects.push_back(effect);
    }

    /// Finds a connection for a request. If the limits allow none and the endpoint has no connection yet, an
    /// idle connection to another endpoint is closed to make room.
    fn find_connection(&mut self, endpoint: EndpointId, request: RequestId, now: f64) -> Placement {
        let placement = self.connections.place(endpoint, request, now);
        if placement != Placement::Unavailable {
            return placement;
        }
        let Some(evicted) = self.connections.evict(endpoint) else { return placement };
        self.effects.push_back(Effect::Wake(evicted));
        self.connections.place(endpoint, request, now)
    }

    /// Marks an attempt as written and returns its message, or `None` if the attempt is stale: its endpoint
    /// or source is no longer usable, or too little time is left.
    pub(super) fn begin_write(&mut self, now: f64, id: AttemptId) -> Option<CacheRequest> {
        let request = self.requests.get(id.request)?;
        let attempt = self.attempts.get_mut(id)?;
        let is_usable = |endpoint: EndpointId| self.membership.is_usable(endpoint);
        let time_left = attempt.timeout_at_ms.min(request.deadline_ms) - now;
        let in_time = time_left >= MIN_TIME_LEFT_MS && now < attempt.first_byte_by_ms;
        if !is_usable(attempt.to) || !attempt.source.is_none_or(is_usable) || !in_time {
            return None;
        }
        let class = request.class.name();
        let copy = Self::requested_copy(request);
        let mut max_age_ms = remaining_age_ms(now, attempt);
        let mut group = None;
        if let (Some(filter), Some(copy)) = (&self.purge_filter, copy) {
            max_age_ms = filter.borrow_mut().max_age_ms(now, copy, max_age_ms);
            group = Some(request.group);
        }
        let connection = self.connections.get_mut(attempt.conn)?;
        if !request.class.is_idempotent() {
            self.recent_writes.record(now, id.request);
        }
        connection.last_active_ms = now;
        connection.in_flight.insert(id.request, id);
        attempt.stage = Stage::Written(now);
        tracing::debug!(
            id = request.id_text,
            attempt = id.number,
            to = attempt.to,
            source = attempt.source,
            time_left_ms = time_left,
            "attempt written"
        );
        self.counters.attempts_written += 1;
        self.class_counters.class_mut(class).attempts += 1;
        Some(CacheRequest {
            id: request.id_text.clone(),
            class: class.to_string(),
            object: request.object_text.clone(),
            part: request.part,
            timeout_ms: (time_left as u64).max(1),
            idempotency_key: request.idempotency_key.clone(),
            fill_source: attempt.source,
            retention_rank: attempt.retention_rank,
            max_age_ms,
            join_fill: attempt.join_fill,
            only_if_cached: attempt.only_if_cached,
            revalidate: attempt.revalidate,
            client_etag: request.client_etag.clone(),
            group,
            body: request.body.clone(),
        })
    }

    /// The cached copy that a request asks for; `None` for a write.
    pub(super) fn requested_copy(request: &IncomingRequest) -> Option<RequestedCopy<'_>> {
        if request.class.is_write() {
            return None;
        }
        let class = request.class.name();
        Some(RequestedCopy { class, object: request.object, part: request.part, group: request.group })
    }

    /// Puts an attempt that [`Self::next_write`] returned back at the head of its connection's queue, because
    /// none of its bytes could be written. `next_write` checks it again.
    pub fn write_blocked(&mut self, conn: ConnectionId, request: RequestId) {
        let Some(connection) = self.connections.get_mut(conn) else { return };
        let Some(id) = connection.in_flight.remove(&request) else { return };
        connection.queue.push_front(id);
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.stage = Stage::Queued;
            self.counters.attempts_written -= 1;
        }
    }

    /// Ends an attempt that timed out, and closes its connection if the endpoint may be unreachable.
    pub(super) fn expire_attempt(&mut self, now: f64, id: AttemptId) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let (conn, stage) = (attempt.conn, attempt.stage);
        self.counters.attempts_timed_out += 1;
        self.detach_attempt(id, true);
        if let (Stage::Written(written_ms), Some(connection)) = (stage, self.connections.get_mut(conn)) {
            connection.timeouts_since_read += 1;
            let silent_ms = now - connection.last_read_ms.max(written_ms);
            connection.closing |=
                connection.timeouts_since_read >= MAX_TIMEOUTS_SINCE_READ || silent_ms > MAX_SILENCE_MS;
        }
        let outcome = match stage {
            // Nothing was written, so the request did not run.
            Stage::Queued => AttemptOutcome::NoConnection,
            Stage::Written(_) => AttemptOutcome::TimedOut,
        };
        self.end_attempt(id, outcome);
    }

    /// Cancels an attempt, as the router requested.
    pub(super) fn cancel_attempt(&mut self, id: AttemptId) {
        if self.attempts.get(id).is_some() {
            self.counters.attempts_cancelled += 1;
            self.detach_attempt(id, true);
            self.end_attempt(id, AttemptOutcome::Cancelled);
        }
    }

    /// Ends an attempt without a cache status. The router gets the event in the next
    /// [`Self::process_events`].
    pub(super) fn end_attempt(&mut self, id: AttemptId, outcome: AttemptOutcome) {
        self.end_attempt_with_status(id, outcome, CacheStatus::Unknown);
    }

    /// Ends an attempt. The router gets the event in the next [`Self::process_events`].
    pub(super) fn end_attempt_with_status(
        &mut self,
        id: AttemptId,
        outcome: AttemptOutcome,
        cache_status: CacheStatus,
    ) {
        let Some(attempt) = self.attempts.remove(id) else { return };
        tracing::debug!(
            id = attempt.id_text,
            attempt = id.number,
            to = attempt.to,
            ?outcome,
            elapsed_ms = self.clock.now() - attempt.created_ms,
            written = attempt.stage != Stage::Queued,
            "attempt ended"
        );
        self.events.push_back(Event::AttemptEnded {
            id: id.request,
            attempt: id.number,
            outcome,
            cache_status,
            elapsed: micros_from_ms(self.clock.now() - attempt.created_ms),
            closed: self.requests.get(id.request).is_none(),
        });
    }

    /// Removes an attempt from its connection. If it was written, a cancellation is queued for the endpoint.
    /// If `wake` is set, the connection's driver is woken.
    pub(super) fn detach_attempt(&mut self, id: AttemptId, wake: bool) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let conn = attempt.conn;
        let Some(connection) = self.connections.get_mut(conn) else { return };
        if attempt.stage == Stage::Queued {
            connection.queue.retain(|queued| *queued != id);
        } else {
            connection.in_flight.remove(&id.request);
            connection.cancel(id.request, attempt.id_text.clone());
        }
        if wake {
            self.effects.push_back(Effect::Wake(conn));
        }
    }

    /// Ends the queued attempts that match `is_stale`, so that the router can replace them.
    pub(super) fn end_stale_attempts(&mut self, is_stale: impl Fn(&IncomingRequest, &Attempt) -> bool) {
        let queued = self.attempts.iter().filter(|(_, attempt)| attempt.stage == Stage::Queued);
        let stale = queued.filter(|(id, attempt)| {
            self.requests.get(id.request).is_some_and(|request| is_stale(request, attempt))
        });
        let mut stale: Vec<AttemptId> = stale.map(|(id, _)| *id).collect();
        stale.sort_unstable();
        for id in stale {
            self.counters.attempts_stale += 1;
            self.detach_attempt(id, false);
            self.end_attempt(id, AttemptOutcome::NotSent);
        }
    }
}

/// The maximum age of a copy for an attempt written now, in milliseconds; 0 for the limit of the class. The
/// time in the queue is subtracted, down to 1, because 0 would select the limit of the class.
fn remaining_age_ms(now: f64, attempt: &Attempt) -> u64 {
    if attempt.max_age_ms == 0.0 {
        return 0;
    }
    ((attempt.max_age_ms - (now - attempt.created_ms)) as u64).max(1)
}
