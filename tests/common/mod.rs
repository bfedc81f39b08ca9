//! What the policy tests share: settings, a small fleet and a driver of event scripts.
#![allow(dead_code)]

use edge_proxy::*;

/// A second.
pub const S: Micros = 1_000_000;
/// A millisecond.
pub const MS: Micros = 1_000;

/// A number in (0, 1) of a seed's sequence, the same in every run.
pub fn draw(random: &mut u64) -> f64 {
    *random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    ((*random >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// A class that may be repeated, without a fresh time.
pub fn safe() -> Class {
    Class {
        aim: 500 * MS,
        aim_stretch: 2.0,
        deadline: 5 * S,
        repeat: Repeat::Safe,
        key_scope: KeyScope::All,
        key_window: 5 * S,
        worth: 2.0,
        fresh_for: 0,
        stale_for: 0,
        uncacheable: false,
    }
}

/// Settings with everything allowed: class 0 safe, 1 safe with a fresh time, 2 keyed, 3 unsafe.
pub fn settings() -> Settings {
    let fresh = Class { fresh_for: 5 * S, stale_for: 20 * S, worth: 1.0, ..safe() };
    let keyed = Class { repeat: Repeat::Keyed, uncacheable: true, deadline: 3 * S, ..safe() };
    let unsafe_ = Class { repeat: Repeat::Unsafe, ..keyed.clone() };
    let cold = ColdStart { floor: 0.2, ramp: 15 * S, multiple: 3.0, window: 2 * S };
    Settings {
        classes: vec![safe(), fresh, keyed, unsafe_],
        routers: 1,
        routers_here: 1,
        flow_kb_per_s: 5_000.0,
        weights_known: true,
        joins: true,
        bypass: true,
        hit_notes: true,
        purge_done: 6 * S,
        max_attempts: 6,
        cancelling: true,
        probing: true,
        max_wait_hint: 500 * MS,
        subscribe: false,
        cache_cold: cold,
        parent_cold: ColdStart { floor: 0.08, ramp: 20 * S, multiple: 2.0, window: 2 * S },
    }
}

/// A live member that started long ago.
pub fn member(id: MemberId, role: Role) -> Listing {
    let weight = if role == Role::Parent { 20.0 } else { 6.0 };
    Listing { id, role, life: Life::Live, started: 0, weight, zone: 0, cell: id % 2 }
}

/// Caches 1 to 4, parents 11 to 13, origin 21.
pub fn fleet() -> Vec<Listing> {
    let caches = (1..=4).map(|id| member(id, Role::Cache));
    let parents = (11..=13).map(|id| member(id, Role::Parent));
    caches.chain(parents).chain([member(21, Role::Origin)]).collect()
}

/// A router with a clock and the actions of its last event.
pub struct Bench {
    pub router: Router,
    pub now: Micros,
    next: RequestId,
}

/// An attempt as the tests look at it.
#[derive(Clone, Debug, PartialEq)]
pub struct Sent {
    pub id: RequestId,
    pub to: MemberId,
    pub source: Option<MemberId>,
    pub only_held: bool,
    pub max_age: Micros,
    pub timeout: Micros,
}

/// The attempts among actions.
pub fn sent(actions: &[Action]) -> Vec<Sent> {
    let pick = |a: &Action| match a {
        Action::Send { id, to, source, only_held, max_age, timeout, .. } => Some(Sent {
            id: *id,
            to: *to,
            source: *source,
            only_held: *only_held,
            max_age: *max_age,
            timeout: *timeout,
        }),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

/// The final answers among actions: the request and whether it was refused.
pub fn finals(actions: &[Action]) -> Vec<(RequestId, bool)> {
    let pick = |a: &Action| match a {
        Action::Refuse { id, .. } => Some((*id, true)),
        Action::Fail { id } => Some((*id, false)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

impl Bench {
    /// A router that has been told of a fleet.
    pub fn new(settings: Settings, entries: Vec<Listing>) -> Self {
        let mut bench = Self { router: Router::new(settings, 7), now: 100 * S, next: 0 };
        bench.event(Event::Members { full: true, entries });
        bench
    }

    /// One event at the present time.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, &event, &mut actions);
        actions
    }

    /// A request of a class for an object; its deadline is three seconds away.
    pub fn ask(&mut self, class: usize, object: ObjectId) -> Vec<Action> {
        self.next += 1;
        self.event(Event::Request {
            id: self.next,
            class,
            object,
            group: (object % 32) as u32,
            part: 0,
            size_kb: 500.0,
            give_up_at: self.now + 3 * S,
        })
    }

    /// The first attempt for an object, answered at once so that nothing stays out.
    pub fn path(&mut self, object: ObjectId) -> Sent {
        let actions = self.ask(0, object);
        let first = sent(&actions).first().cloned().expect("an attempt");
        self.outcome(first.id, 0, Verdict::Served, true);
        first
    }

    /// An outcome, 100 ms after its attempt.
    pub fn outcome(&mut self, id: RequestId, attempt: u32, verdict: Verdict, closed: bool) -> Vec<Action> {
        let note = if verdict == Verdict::Served { Note::Filled } else { Note::Silent };
        self.event(Event::Outcome { id, attempt, verdict, note, took: 100 * MS, closed })
    }

    /// News of one member.
    pub fn tell(&mut self, listing: Listing) -> Vec<Action> {
        self.event(Event::Members { full: false, entries: vec![listing] })
    }
}
