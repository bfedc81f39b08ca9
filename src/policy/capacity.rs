//! What members, links and the origin bear: room for transfers, load shedding, and slow start's budgets.

use super::{attempts::QUICK_WAY, health::EVIDENCE_HALF_LIFE, placement::COUNT_SPAN};
use super::{KnownEndpoint, Path, PendingRequest, Reach, Router};
use crate::interface::*;
use crate::stats::{unit, Pressure};

/// What a room's worth of answers in time at a full cache adds to the room it is taken to have, where
/// weights don't tell: as much where it is wide, as in TCP, since a share of it would outrun all cuts ...
const ROOM_INCREASE: f64 = 1.0;
/// ... what a late one leaves of it, down to the guess, and the most of it in multiples of the guess: a guess
/// alone must not refuse what is answered in time.
const ROOM_DECREASE: f64 = 0.9;
const MAX_ROOM: f64 = 16.0;
/// Least time between two cuts of a cache's room, us: late answers of one cause come together, as in TCP.
const MIN_ROOM_CUT_GAP: Micros = 500_000;
/// Part of the stated multiple of a cold endpoint's capacity that all routers together may use.
const COLD_USE: f64 = 0.5;
/// Part of a cold endpoint's budget over the rule's window that may be spent at once.
const COLD_BURST: f64 = 0.25;
/// Transfers that the location's mean weighs in a cache's load, so that few at once don't spill by chance.
const LOAD_DOUBT: f64 = 1.5;
/// How outcomes move the part of the objects that may be fetched from the origin. All routers leave out the
/// same objects for a COUNT_SPAN, so that the others are filled once and then kept, and come back gradually.
/// Fills are many, but links and parents make them late, too, and where notes are missing most are hits.
const FILLS: Pressure = Pressure { up: 0.1, down: 6.0, max_gap: 1.0 };
/// Writes are rare, but nothing speaks for the origin so well.
const WRITES: Pressure = Pressure { up: 1.0, down: 2.0, max_gap: 3.0 };
/// The least part, to see when the origin is healthy.
const MIN_FILL_ROOM: f64 = 0.03;
/// Part of its aim past which what runs at the origin shows a queue there, well before it is late.
const WRITE_SLOW: f64 = 0.6;
/// Good outcomes that are taken for granted in the share of late answers of a class.
const CONGESTION_PRIOR: f64 = 3.0;
/// Share of late answers from which on there is congestion.
pub(super) const CONGESTED: f64 = 0.1;
/// Transfers at once, in multiples of what fits on a cache's link, at which a request of mean worth for its
/// sending time is refused ...
const LOAD_SHED: f64 = 3.0;
/// ... others by their own worth for their sending time over the mean, within these bounds:
/// what fills a link for the least worth goes first, and a few large objects make room for many.
const SHED_VALUE: (f64, f64) = (0.6, 1.5);
/// The lower of them under congestion: without one no object is too large.
const SHED_VALUE_CONGESTED: f64 = 0.15;
/// How much of these bounds a wholly late location loses, in multiples: congestion that no cache's own room
/// shows, such as of the location's link, must lower what is admitted ...
const LATE_SHED: f64 = 3.0;
/// ... and the least of them that stays.
const MIN_SHED: f64 = 0.3;

impl Router {
    /// The part of its capacity that an endpoint surely has by now.
    pub(super) fn warmth(&self, now: Micros, m: &KnownEndpoint) -> f64 {
        let started_at = m.line.started_at.max(m.health.revived);
        if started_at == 0 || m.line.tier == Tier::Origin {
            return 1.0;
        }
        self.set.slow_start(m.line.tier).capacity(now.saturating_sub(started_at))
    }

    /// Any router's first item would fit a cold endpoint's budget; were all to send theirs at once, the sum
    /// would not. So each begins at a random point of the time that its part of the budget takes for one.
    pub(super) fn initial_spent(&mut self) -> f64 {
        self.pace.iter().map(|p| p.work).fold(0.0, f64::max) * self.random.next(3)
    }

    /// Guards the rule on cold starts: whether a cold endpoint's budget has room for `work` more.
    pub(super) fn budget_allows(&self, now: Micros, id: EndpointId, work: f64) -> bool {
        let Some(m) = self.endpoints.get(&id) else { return false };
        let warmth = self.warmth(now, m);
        if warmth >= 1.0 {
            return true;
        }
        let (pace, window) = self.budget_pace(m, warmth);
        m.spent.level(now, pace) + work <= (window as f64 * pace * COLD_BURST).max(work * 1.01)
    }

    /// What this router may ask of a cold endpoint, in us of sending time for each us, and the rule's window.
    fn budget_pace(&self, m: &KnownEndpoint, warmth: f64) -> (f64, Micros) {
        let cold = self.set.slow_start(m.line.tier);
        let sharers =
            if m.line.tier == Tier::Parent { self.set.fleet_size } else { self.set.local_fleet_size };
        (
            cold.overload_multiple * COLD_USE * warmth * m.line.weight / f64::from(sharers.max(1)),
            cold.overload_window,
        )
    }

    pub(super) fn spend(&mut self, now: Micros, id: EndpointId, work: f64) {
        let pace = self.endpoints.get(&id).map_or(0.0, |m| self.budget_pace(m, self.warmth(now, m)).0);
        self.endpoints.entry(id).and_modify(|m| m.spent.add(now, pace, work));
    }

    /// Transfers at a cache over what fits there, by this router's own. One of many sees few, by chance: they
    /// are drawn to the location's mean, less a standard deviation (Poisson) of what it does not see.
    pub(super) fn load(&self, now: Micros, id: EndpointId) -> f64 {
        let Some(m) = self.endpoints.get(&id) else { return f64::MAX };
        let fleet_size = f64::from(self.set.local_fleet_size.max(1));
        let room = |m: &KnownEndpoint| m.room * self.warmth(now, m) / fleet_size;
        let here = |m: &&KnownEndpoint| m.line.tier == Tier::Cache && m.line.state == EndpointState::Active;
        let here = || self.endpoints.values().filter(here);
        let out: f64 = here().map(|m| f64::from(m.inflight)).sum();
        let mean = (out * room(m) / here().map(room).sum::<f64>()).max(0.0);
        let sure = 1.0 - (1.0 - 1.0 / fleet_size) / (out + 1.0).sqrt();
        sure * mean * (LOAD_DOUBT + f64::from(m.inflight)) / (LOAD_DOUBT + mean) / room(m)
    }

    /// Learns what an endpoint bears, where weights don't tell: as long as answers come in time, more.
    pub(super) fn learn_room(&mut self, now: Micros, id: EndpointId, late: bool) {
        let load = self.load(now, id);
        let Some(m) = self.endpoints.get_mut(&id).filter(|_| !self.set.weights_known) else { return };
        // Late answers of a cache that is not even half full are its sources' or its location's link's.
        let cut = late && load >= 0.5 && now >= m.room_cut_at + MIN_ROOM_CUT_GAP;
        m.room_cut_at = if cut { now } else { m.room_cut_at };
        let more = if load >= 1.0 && !late { ROOM_INCREASE / m.room } else { 0.0 };
        let size = if cut { m.room * ROOM_DECREASE } else { m.room + more };
        m.room = size.clamp(m.line.weight, MAX_ROOM * m.line.weight);
    }

    /// Learns from an outcome that was no hit. Guards the origin, and what only it can do: what all routers
    /// fetch from it falls with what is late.
    pub(super) fn learn_fill(
        &mut self,
        now: Micros,
        id: RequestId,
        path: Path,
        outcome: AttemptOutcome,
        elapsed: f64,
    ) {
        use AttemptOutcome::{Error, NoConnection, Rejected, Served, TimedOut};
        let Some(req) = self.requests.get(&id) else { return };
        let (latency_objective, write) =
            (self.latency_objective(req), self.set.classes[req.class].uncacheable);
        let is_origin = |m: Option<EndpointId>| m.is_some() && m == self.origin();
        let known = match outcome {
            Served | TimedOut => true,
            Rejected | Error => is_origin(Some(path.0)) || is_origin(path.1),
            NoConnection => is_origin(Some(path.0)),
            _ => false,
        };
        let good = outcome == Served
            && elapsed <= if write { WRITE_SLOW * latency_objective } else { latency_objective };
        // An endpoint that does worse than its best peer tells of itself, not of what is behind all of them.
        let own_fault = || [Some(path.0), path.1].into_iter().flatten().any(|m| self.stands_out(now, m));
        let known = known && (good || !own_fault());
        if write {
            self.fill_room.add(now, 1, &WRITES, MIN_FILL_ROOM, known.then_some(good));
        } else if path.1.is_some() {
            self.fill_room.add(now, 0, &FILLS, MIN_FILL_ROOM, known.then_some(good));
        }
    }

    /// Share of late answers among a class's at this router.
    pub(super) fn congestion(&self, now: Micros, class: usize) -> f64 {
        self.pace[class].answers.bad_share(now, EVIDENCE_HALF_LIFE, CONGESTION_PRIOR)
    }

    /// How far a new request may reach, if it is not refused. What earns least for its sending time goes
    /// first. Under congestion that no cache's own room shows, of links or sources, only fills are shed: what
    /// a cache holds costs them nothing, and nothing tells what it holds so well as asking for it.
    pub(super) fn admit(&self, now: Micros, req: &PendingRequest) -> Option<Reach> {
        let class = &self.set.classes[req.class];
        if class.uncacheable {
            return Some(Reach::Origin);
        }
        let Some(cache) = self.pick_cache(now, req, 0.0) else { return Some(Reach::Origin) };
        let kept = || self.set.classes.iter().zip(&self.pace).filter(|(c, _)| !c.uncacheable);
        let mean = kept().map(|(c, p)| c.priority_weight / p.work).sum::<f64>() / kept().count() as f64;
        let sending = self.set.sending_time(req.size_kb).max(QUICK_WAY);
        let own = if req.size_kb > 0.0 { sending } else { self.pace[req.class].work };
        let congestion = self.congestion(now, req.class);
        let least = if congestion > CONGESTED { SHED_VALUE_CONGESTED } else { SHED_VALUE.0 };
        let bound = LOAD_SHED * (class.priority_weight / own / mean).clamp(least, SHED_VALUE.1);
        let load = self.load(now, cache);
        if load > bound {
            return None;
        }
        if load > bound * (1.0 - LATE_SHED * congestion).max(MIN_SHED) {
            return Some(Reach::Cache);
        }
        let left_out = self.fill_room.value() < unit(req.object, now / COUNT_SPAN);
        Some(if left_out { Reach::Parent } else { Reach::Origin })
    }
}
