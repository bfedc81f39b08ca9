//! Answers: what a member's answer means for its attempt, and the one final answer of a request.

use super::{Effect, Engine};
use crate::state::connections::ConnId;
use crate::state::requests::{FinalResponse, IncomingRequest};
use crate::wire::cache_message::{CacheReply, ReplyStatus};
use crate::{AttemptOutcome, RequestId};

/// With less than this left of its time, in milliseconds, a request that ends has ended for want of it: the module
/// sends nothing with so little left.
const OVER_MS: f64 = 50.0;

impl Engine {
    /// An endpoint answered.
    pub fn answered(&mut self, conn: ConnId, reply: CacheReply) {
        let now = self.clock.now();
        let Some(c) = self.connections.get_mut(conn) else { return };
        (c.read_ms, c.used_ms, c.unheard) = (now, now, 0);
        let Some(id) = c.out.remove(&reply.request_id) else {
            // An answer that crossed a DROP, a second one, or one to nothing that was asked here: no client gets it.
            self.counters.member_late += 1;
            return;
        };
        // Guards a later attempt of the same request, which has the same id: the answer may come a second time.
        c.close_to(id.0);
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
        if outcome == AttemptOutcome::Served && self.purged(id.0, &reply) {
            // Guards the rule on purges: a copy that a purge removed reaches no client; the module tries again.
            self.settle(id, AttemptOutcome::Malformed);
            self.run();
            return self.effects.push_back(Effect::Wake(conn));
        }
        if outcome == AttemptOutcome::Served {
            let tag = reply.entity_tag;
            // An endpoint says that the client's copy holds only where the request named that very copy.
            let same = reply.status == ReplyStatus::NotModified;
            let named = |ask: &IncomingRequest| ask.cached.is_some() && (tag.is_none() || tag == ask.cached);
            if same && self.requests.get(id.0).is_some_and(|ask| !named(ask)) {
                self.settle(id, AttemptOutcome::Malformed);
                self.run();
                return self.effects.push_back(Effect::Wake(conn));
            }
            let answer = if same {
                FinalResponse::NotModified { tag: tag.unwrap_or_default() }
            } else {
                FinalResponse::Served { tag, body: reply.body }
            };
            self.finish(id.0, answer);
        }
        self.settle_noted(id, outcome, reply.path.into());
        self.run();
        self.effects.push_back(Effect::Wake(conn));
    }

    /// Whether a read's answer carries a copy that a fleet purge removed.
    fn purged(&mut self, id: RequestId, reply: &CacheReply) -> bool {
        let (Some(guard), Some(ask)) = (&mut self.purge, self.requests.get(id)) else { return false };
        let Some(class) = self.env.class_name(ask.class).filter(|_| !self.env.is_write(ask.class)) else {
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
    pub(super) fn finish(&mut self, id: RequestId, answer: FinalResponse) {
        if let Some(ask) = self.requests.end(id) {
            let tally = self.tallies.of(self.env.class_name(ask.class).unwrap_or_default());
            let (counter, figure) = match &answer {
                FinalResponse::Served { .. } => (&mut self.counters.served, &mut tally.ok),
                FinalResponse::NotModified { .. } => (&mut self.counters.unchanged, &mut tally.ok),
                FinalResponse::Rejected { .. } => (&mut self.counters.refused, &mut tally.shed),
                FinalResponse::Failed { .. } => (&mut self.counters.failed, &mut tally.errors),
            };
            *counter += 1;
            *figure += 1;
            self.effects.push_back(Effect::Answer(id, answer));
        }
    }

    /// Whether a request ends for want of time: less is left than any attempt could use.
    pub(super) fn is_overdue(&self, now: f64, id: RequestId) -> bool {
        self.requests.get(id).is_some_and(|ask| now + OVER_MS >= ask.give_up_ms)
    }
}
