//! Replies of endpoints to attempts, and the final response to a request.

use super::{Effect, Engine};
use crate::cache_message::{CacheReply, ReplyStatus};
use crate::state::ids::{AttemptId, ConnectionId};
use crate::state::requests::FinalResponse;
use crate::{AttemptOutcome, EndReason, RequestId};

/// A request that is rejected or fails with no more than this time left, in milliseconds, counts as ended by
/// its deadline.
const OVERDUE_MARGIN_MS: f64 = 50.0;

impl Engine {
    /// Handles a reply received on a connection.
    pub fn handle_reply(&mut self, conn: ConnectionId, reply: CacheReply) {
        let now = self.clock.now();
        let Some(connection) = self.connections.get_mut(conn) else { return };
        connection.last_read_ms = now;
        connection.last_active_ms = now;
        connection.timeouts_since_read = 0;
        let Some(id) = connection.in_flight.remove(&reply.request_id) else {
            // The attempt ended before its reply arrived, or the reply is a duplicate or for a request that
            // was never sent on this connection.
            self.counters.replies_late += 1;
            return;
        };
        connection.exclude(id.request);
        if self.contain(id.request, |engine| engine.apply_reply(id, reply)).is_none() {
            self.end_attempt(id, AttemptOutcome::Malformed);
        }
        self.process_events();
        self.effects.push_back(Effect::Wake(conn));
    }

    /// Ends an attempt with its reply, and answers the request if the reply has content.
    fn apply_reply(&mut self, id: AttemptId, reply: CacheReply) {
        let cache_status = reply.response_path.into();
        let outcome = self.count_reply(reply.status);
        if outcome != AttemptOutcome::Served {
            self.end_attempt_with_status(id, outcome, cache_status);
        } else if self.is_purged(id.request, &reply) || !self.is_valid(id.request, &reply) {
            self.end_attempt(id, AttemptOutcome::Malformed);
        } else {
            self.respond(id.request, final_response(reply), None);
            self.end_attempt_with_status(id, outcome, cache_status);
        }
    }

    /// Counts a reply and returns the outcome of its attempt.
    fn count_reply(&mut self, status: ReplyStatus) -> AttemptOutcome {
        let counters = &mut self.counters;
        let (outcome, counter) = match status {
            ReplyStatus::Served | ReplyStatus::NotModified => {
                (AttemptOutcome::Served, &mut counters.replies_served)
            }
            ReplyStatus::Miss => (AttemptOutcome::CacheMiss, &mut counters.replies_miss),
            ReplyStatus::Overloaded => (AttemptOutcome::Rejected, &mut counters.replies_overloaded),
            ReplyStatus::Error => (AttemptOutcome::Error, &mut counters.replies_error),
            ReplyStatus::Expired => (AttemptOutcome::NotSent, &mut counters.replies_miss),
        };
        *counter += 1;
        outcome
    }

    /// Whether a reply is valid for its request. [`ReplyStatus::NotModified`] is valid only if the request
    /// carried an entity tag and the reply does not carry a different one.
    fn is_valid(&self, id: RequestId, reply: &CacheReply) -> bool {
        if reply.status != ReplyStatus::NotModified {
            return true;
        }
        self.requests.get(id).is_none_or(|request| {
            let client_etag = &request.client_etag;
            client_etag.is_some() && (reply.entity_tag.is_none() || reply.entity_tag == *client_etag)
        })
    }

    /// Whether the reply to a read carries a purged copy, which must not reach the client.
    fn is_purged(&mut self, id: RequestId, reply: &CacheReply) -> bool {
        let (Some(filter), Some(request)) = (&self.purge_filter, self.requests.get(id)) else { return false };
        let Some(copy) = Self::requested_copy(request) else { return false };
        let purge_seq = filter.borrow_mut().purge_of_reply(copy, reply);
        if let Some(seq) = purge_seq {
            tracing::debug!(id = request.id_text, seq, "discarding a reply with a purged copy");
        }
        purge_seq.is_some()
    }

    /// Closes a request without a response of an endpoint, unless it is closed already, and counts the reason.
    pub(super) fn end_request(&mut self, id: RequestId, response: FinalResponse, reason: EndReason) {
        if self.requests.get(id).is_some() {
            self.end_reasons.count(reason.name());
            self.respond(id, response, Some(reason));
        }
    }

    /// Closes a request with its final response, unless it has one already. `reason` is that of a request
    /// without a response of an endpoint.
    fn respond(&mut self, id: RequestId, response: FinalResponse, reason: Option<EndReason>) {
        let Some(request) = self.requests.remove(id) else { return };
        let class = request.class.name();
        tracing::debug!(
            id = request.id_text,
            class,
            response = response.name(),
            reason = reason.map(EndReason::name),
            "request ended"
        );
        let class_counters = self.class_counters.class_mut(class);
        let (counter, class_counter) = match &response {
            FinalResponse::Served { .. } => (&mut self.counters.served, &mut class_counters.served),
            FinalResponse::NotModified { .. } => {
                (&mut self.counters.not_modified, &mut class_counters.served)
            }
            FinalResponse::Rejected { .. } => (&mut self.counters.rejected, &mut class_counters.rejected),
            FinalResponse::Failed { .. } => (&mut self.counters.failed, &mut class_counters.failed),
        };
        *counter += 1;
        *class_counter += 1;
        self.effects.push_back(Effect::Respond(id, response));
    }

    /// Whether a request that ends now counts as ended by its deadline: at most `OVERDUE_MARGIN_MS` is left.
    pub(super) fn is_overdue(&self, now: f64, id: RequestId) -> bool {
        self.requests.get(id).is_some_and(|request| now + OVERDUE_MARGIN_MS >= request.deadline_ms)
    }
}

/// The response to the client for a successful reply.
fn final_response(reply: CacheReply) -> FinalResponse {
    match reply.status {
        ReplyStatus::NotModified => {
            FinalResponse::NotModified { entity_tag: reply.entity_tag.unwrap_or_default() }
        }
        _ => FinalResponse::Served { entity_tag: reply.entity_tag, body: reply.body },
    }
}
