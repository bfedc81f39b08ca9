//! Answers: what a member's answer means for its attempt, and the one final answer of a request.

use super::{Effect, Engine};
use crate::state::connections::ConnectionId;
use crate::state::requests::{FinalResponse, IncomingRequest};
use crate::wire::cache_message::{CacheReply, ReplyStatus};
use crate::{AttemptOutcome, RequestId};

/// With less than this left of its time, in milliseconds, a request that ends has ended for want of it: the module
/// sends nothing with so little left.
const OVER_MS: f64 = 50.0;

impl Engine {
    /// An endpoint answered.
    pub fn handle_response(&mut self, conn: ConnectionId, reply: CacheReply) {
        let now = self.clock.now();
        let Some(c) = self.connections.get_mut(conn) else { return };
        (c.read_ms, c.used_ms, c.timeouts_since_read) = (now, now, 0);
        let Some(id) = c.in_flight.remove(&reply.request_id) else {
            // An answer that crossed a DROP, a second one, or one to nothing that was asked here: no client gets it.
            self.counters.member_late += 1;
            return;
        };
        // Guards a later attempt of the same request, which has the same id: the answer may come a second time.
        c.bar(id.0);
        let (outcome, counter) = match reply.status {
            ReplyStatus::Served | ReplyStatus::NotModified => {
                (AttemptOutcome::Served, &mut self.counters.member_ok)
            }
            ReplyStatus::Miss => (AttemptOutcome::CacheMiss, &mut self.counters.member_miss),
            ReplyStatus::Overloaded => (AttemptOutcome::Rejected, &mut self.counters.member_full),
            ReplyStatus::Error => (AttemptOutcome::Error, &mut self.counters.member_error),
            ReplyStatus::Expired => (AttemptOutcome::NotSent, &mut self.counters.member_miss),
        };
        *counter += 1;
        if outcome == AttemptOutcome::Served && self.is_purged(id.0, &reply) {
            // Guards the rule on purges: a copy that a purge removed reaches no client; the module tries again.
            self.end_attempt(id, AttemptOutcome::Malformed);
            self.process_events();
            return self.effects.push_back(Effect::Wake(conn));
        }
        if outcome == AttemptOutcome::Served {
            let tag = reply.entity_tag;
            // An endpoint says that the client's copy holds only where the request named that very copy.
            let same = reply.status == ReplyStatus::NotModified;
            let named = |ask: &IncomingRequest| {
                ask.client_etag.is_some() && (tag.is_none() || tag == ask.client_etag)
            };
            if same && self.requests.get(id.0).is_some_and(|ask| !named(ask)) {
                self.end_attempt(id, AttemptOutcome::Malformed);
                self.process_events();
                return self.effects.push_back(Effect::Wake(conn));
            }
            let answer = if same {
                FinalResponse::NotModified { tag: tag.unwrap_or_default() }
            } else {
                FinalResponse::Served { tag, body: reply.body }
            };
            self.respond(id.0, answer);
        }
        self.end_attempt_with_status(id, outcome, reply.path.into());
        self.process_events();
        self.effects.push_back(Effect::Wake(conn));
    }

    /// Whether a read's answer carries a copy that a fleet purge removed.
    fn is_purged(&mut self, id: RequestId, reply: &CacheReply) -> bool {
        let (Some(guard), Some(ask)) = (&mut self.purge, self.requests.get(id)) else { return false };
        let Some(class) = self.settings.class_name(ask.class).filter(|_| !self.settings.is_write(ask.class))
        else {
            return false;
        };
        let removed = guard.check_answer(
            class,
            ask.object,
            ask.part,
            ask.group,
            reply.generated_at_ms,
            &reply.surrogate_keys,
        );
        if let Some(mark) = removed {
            tracing::debug!(
                id = ask.id_text,
                seq = mark.seq,
                "an answer's copy was purged; it is not passed on"
            );
        }
        removed.is_some()
    }

    /// Gives a request its final answer, if it is still owed one.
    pub(super) fn respond(&mut self, id: RequestId, answer: FinalResponse) {
        if let Some(ask) = self.requests.remove(id) {
            let class_counter =
                self.class_counters.of(self.settings.class_name(ask.class).unwrap_or_default());
            let (counter, figure) = match &answer {
                FinalResponse::Served { .. } => (&mut self.counters.served, &mut class_counter.ok),
                FinalResponse::NotModified { .. } => (&mut self.counters.unchanged, &mut class_counter.ok),
                FinalResponse::Rejected { .. } => (&mut self.counters.refused, &mut class_counter.shed),
                FinalResponse::Failed { .. } => (&mut self.counters.failed, &mut class_counter.errors),
            };
            *counter += 1;
            *figure += 1;
            self.effects.push_back(Effect::Respond(id, answer));
        }
    }

    /// Whether a request ends for want of time: less is left than any attempt could use.
    pub(super) fn is_overdue(&self, now: f64, id: RequestId) -> bool {
        self.requests.get(id).is_some_and(|ask| now + OVER_MS >= ask.deadline_ms)
    }
}
