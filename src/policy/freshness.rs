//! Recent purges, and the maximum age of the copy from which an attempt may be served.

use super::{PendingRequest, Router};
use crate::interface::*;
use std::collections::HashMap;

/// Subtracted from the maximum age after a purge, in microseconds, to allow for the host's coarse clock.
const PURGE_CLOCK_MARGIN: Micros = 10_000;
/// Added to the time in which a purge completes, in microseconds, to allow for the host's coarse clock.
const PURGE_COMPLETION_MARGIN: Micros = 500_000;
/// Time for which a purge is kept after its completion, in microseconds: a cache that was paused drops its
/// purged copies later.
const PURGE_RETENTION: Micros = 60_000_000;

/// What a purge removes.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum PurgeTarget {
    Object(ObjectId),
    Group(u32),
}

/// When each target was last purged.
#[derive(Default)]
pub(super) struct Purges(HashMap<PurgeTarget, Micros>);

impl Purges {
    /// When a request's object or group was last purged.
    fn last_purge_of(&self, request: &PendingRequest) -> Option<Micros> {
        let targets = [PurgeTarget::Object(request.object), PurgeTarget::Group(request.group)];
        targets.iter().filter_map(|target| self.0.get(target)).max().copied()
    }
}

impl Router {
    /// Records a purge, issued `age` ago, of an object, or of the whole group if `object` is `None`.
    pub(super) fn on_purged(&mut self, now: Micros, object: Option<ObjectId>, group: u32, age: Micros) {
        let completion = self.settings.purge_completion;
        self.purges.0.retain(|_, purged_at| now < *purged_at + completion + PURGE_RETENTION);
        let target = object.map_or(PurgeTarget::Group(group), PurgeTarget::Object);
        let purged_at = now.saturating_sub(age);
        let last = self.purges.0.entry(target).or_insert(purged_at);
        *last = purged_at.max(*last);
    }

    /// The maximum age of a copy from which an attempt to `to` may be served; 0 for the class's fresh
    /// lifetime. A purge limits it for every attempt until `to` has responded after the purge's completion.
    pub(super) fn max_age(
        &self,
        now: Micros,
        request: &PendingRequest,
        accept_stale: bool,
        to: EndpointId,
    ) -> Micros {
        let class_max_age = max_age_of_class(&request.class.settings, accept_stale);
        let Some(purged_at) = self.purges.last_purge_of(request) else { return class_max_age };
        let responded_at = self.endpoints.get(&to).map_or(0, |endpoint| endpoint.health.responded_at);
        if responded_at >= purged_at + self.settings.purge_completion + PURGE_COMPLETION_MARGIN {
            return class_max_age;
        }
        let since_purge = now.saturating_sub(purged_at + PURGE_CLOCK_MARGIN).max(1);
        if class_max_age == 0 {
            since_purge
        } else {
            since_purge.min(class_max_age)
        }
    }
}

/// The maximum age that a class allows; 0 for no limit.
fn max_age_of_class(class: &RequestClass, accept_stale: bool) -> Micros {
    match class.fresh_lifetime {
        0 => 0,
        fresh if accept_stale => fresh + class.stale_while_revalidate,
        fresh => fresh,
    }
}
