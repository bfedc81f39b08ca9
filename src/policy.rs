//! Every decision of the router. The types of its settings, events and actions stand in `interface.rs`.
//!
//! In order: constants, state, events, choice of path, health, answers. The ordinary path is that of
//! Canali et al. (SAINT 2005, section 2.2 and 2.3): a hash of the object's name over all parents gives its
//! home parent, from which every location's caches fill; a hash of the object picks the location's cache.

use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Half-life of evidence on a router's classes and of often asked members, us: tens of outcomes come in that
/// time, and what outlives its cause refuses what would be served.
const EVIDENCE_HALF_LIFE: f64 = 1_000_000.0;
/// Outcomes that a member's half-life should hold: where one router sends a member less than one request a
/// second, evidence that fades by the clock alone never adds up to a verdict ...
const EVIDENCE_OUTCOMES: f64 = 10.0;
/// ... and the longest half-life for that, us.
const EVIDENCE_LONGEST: f64 = 10_000_000.0;
/// Outcomes, good or bad, from which on a member is an example to its peers: a new process has none.
const EVIDENCE_LEAST: f64 = 0.5;
/// Good outcomes that are taken for granted, so that one failure proves little.
const HEALTH_PRIOR: f64 = 1.5;
/// The same for the share of late answers of a class.
const JAM_PRIOR: f64 = 3.0;
/// The most bad evidence held, in outcomes ...
const BAD_CAP: f64 = 10.0;
/// ... and in time to fade, us: the longest wait of a recovered member for its first trickle at any router.
const BAD_WAIT: f64 = 5_000_000.0;
/// The most good evidence held, in outcomes: a long good past must not hide a sudden failure.
const GOOD_CAP: f64 = 15.0;
/// What a full failure leaves of the good evidence: a run of failures tells more than their share.
const GOOD_LEFT: f64 = 0.8;
/// Share of bad outcomes above the best peer's up to which a member counts as healthy.
const BAD_TOLERATED: f64 = 0.15;
/// The same, at which it gets nothing.
const BAD_OUT: f64 = 0.5;
/// Suspicion of a member without a bad outcome, beside the share of bad ones.
const SUSPICION_LEAST: f64 = 0.1;
/// Weight of an outcome that names its culprit by itself, such as no connection, in outcomes.
const PLAIN_FAILURE: f64 = 2.0;
/// Weight of a connection that broke, in outcomes: one alone is tolerated. Where its process died, the next
/// connect says so.
const BROKEN: f64 = 0.25;
/// Attempts at one cache that may break or be spoilt before the request goes elsewhere.
const SAME_MOST: usize = 2;
/// How much more suspect than the other a member of a path that mostly fails must be to get all the
/// blame: a part of a failing cache's many errors would be enough to drown what its sources serve well.
const CULPRIT: f64 = 2.5;
/// Weight of an answer past its aim, in bad outcomes: slowness is a failure, but overload is slow too.
const LATE_FAILURE: f64 = 0.5;
/// Part of the stated multiple of a cold member's capacity that all routers together may use.
const COLD_USE: f64 = 0.5;
/// Part of a cold member's budget over the rule's window that may be spent at once.
const COLD_BURST: f64 = 0.25;
/// Transfers that fit on a cache's link where weights don't tell: a small machine's.
const WEIGHT_GUESS: f64 = 4.0;
/// What a room's worth of answers in time at a full cache adds to the room it is taken to have, where
/// weights don't tell: as much where it is wide, as in TCP, since a share of it would outrun all cuts ...
const ROOM_MORE: f64 = 1.0;
/// ... what a late one leaves of it, down to the guess, and the most of it in multiples of the guess: a guess
/// alone must not refuse what is answered in time.
const ROOM_LESS: f64 = 0.9;
const ROOM_MOST: f64 = 16.0;
/// Least time between two cuts of a cache's room, us: late answers of one cause come together, as in TCP.
const ROOM_GAP: Micros = 500_000;
/// What a served attempt says of its source where notes don't tell hits from fills, in good outcomes: most
/// were hits, and would hide a source that fails.
const SOURCE_CREDIT: f64 = 0.1;
/// Transfers at once, in multiples of what fits on a cache's link, up to which an object stays at its cache:
/// well above what aims allow, since a spilled object is a miss, and misses jam the location's link.
const LOAD_SPILL: f64 = 4.0;
/// The same, at which a request of mean worth for its sending time is refused ...
const LOAD_SHED: f64 = 3.0;
/// ... others by their own worth for their sending time over the mean, within these bounds:
/// what fills a link for the least worth goes first, and a few large objects make room for many.
const SHED_VALUE: (f64, f64) = (0.6, 1.5);
/// The lower of them in a jam: without one no object is too large.
const SHED_VALUE_JAMMED: f64 = 0.15;
/// How much of these bounds a wholly late location loses, in multiples: a jam that no cache's own room shows,
/// such as of the location's link, must lower what is admitted ...
const LATE_SHED: f64 = 3.0;
/// ... and the least of them that stays.
const SHED_LEAST: f64 = 0.3;
/// Share of late answers from which on there is a jam.
const JAM: f64 = 0.1;
/// Transfers that the location's mean weighs in a cache's load, so that few at once don't spill by chance.
const LOAD_DOUBT: f64 = 1.5;
/// Requests for an object in the counts from which on it uses two caches ...
const WIDEN_TWO: f32 = 2.0;
/// ... and three.
const WIDEN_THREE: f32 = 4.0;
/// Span of a generation of the counts of objects, us: parts of an object follow each other within seconds.
const COUNT_SPAN: Micros = 10_000_000;
/// The most objects in a generation: bounds memory.
const COUNT_CAP: usize = 50_000;
/// Time an answer takes besides sending, us: ways, queues and a fill's first byte.
const BASE_TIME: f64 = 100_000.0;
/// Deviations above the mean at which an attempt is given up, as in TCP's retransmission timer.
const TIMEOUT_DEVIATIONS: f64 = 4.0;
/// Weight of a new outcome in a class's pace: some fifty are remembered.
const PACE_GAIN: f64 = 0.02;
/// What a hit takes besides sending, us, and the least sending time, where sizes are not told.
const QUICK_WAY: f64 = 20_000.0;
/// What a timed-out attempt is taken to have needed, in multiples of its time-out.
const CENSORED: f64 = 1.5;
/// An attempt waits at least this part of the aim, and at most this part of the time left.
const TIMEOUT_LEAST_OF_AIM: f64 = 1.2;
/// The same in a jam, where an answer is slow for others' sake and giving it up wastes what was sent.
const TIMEOUT_LEAST_JAMMED: f64 = 2.5;
const TIMEOUT_MOST_OF_LEFT: f64 = 0.85;
/// Retries earned by each new request, so that they can't multiply overload ...
const RETRY_EARN: f64 = 0.05;
/// ... the most saved up, which fades over EVIDENCE_LONGEST: a hundred routers that each hold what a busy one
/// may would spend it all at once on the same ill source; and what there is at the start.
const RETRY_CAP: f64 = 20.0;
const RETRY_FIRST: f64 = 5.0;
/// With less than this left of a request's time no attempt is worth sending, us.
const LEAST_LEFT: Micros = 10_000;
/// Taken off the age bound after a purge, us: the host's clock is coarse.
const PURGE_MARGIN: Micros = 10_000;
/// Kept beyond the stated end of a purge, us, for the same reason.
const PURGE_EXTRA: Micros = 500_000;
/// How long a purge is remembered beyond it, us, for caches that hang then and drop their old copies later.
const PURGE_KEPT: Micros = 60_000_000;
/// Wait hint with a refusal, us, before jitter: a try that comes too late for the aim earns little.
const WAIT_HINT: f64 = 120_000.0;
/// Failures in a row from which on a cache is probed, and probes without an answer that say it is down.
const PROBE_RUN: u32 = 2;
/// Least time between probes of a member that answers, us: probes have a price.
const PROBE_GAP: Micros = 3_000_000;
/// Time after a probe without an answer until the next, us ...
const PROBE_DOUBT: Micros = 300_000;
/// ... and once the member is down: a successor should be met soon after it starts.
const PROBE_AGAIN: Micros = 1_000_000;
/// The timer tokens of those times, with the member's id below.
const PROBE_TIMER: u64 = 1 << 32;
/// Wait before asking again for the list after a failed call, us, and its timer's token.
const LIST_RETRY: Micros = 1_000_000;
const LIST_TIMER: u64 = 0;
/// What an answer in time adds to the origin's room, a failure leaves, and the least, to see when it is well.
const ORIGIN_ROOM_MORE: f64 = 0.03;
const ORIGIN_ROOM_LESS: f64 = 0.8;
const ORIGIN_ROOM_LEAST: f64 = 0.05;
/// What an answer in time adds to the part of the objects that may be filled, what a late one leaves of it,
/// and the least: all routers leave out the same objects for a COUNT_SPAN, so that the others are filled
/// once and then kept, and the origin goes on doing what only it can.
const FILL_ROOM_MORE: f64 = 0.05;
const FILL_ROOM_LESS: f64 = 0.9;
const FILL_ROOM_LEAST: f64 = 0.2;
/// Ranks at which a copy is kept: the first time this router is asked for an object, and later.
const RANKS: (u8, u8) = (1, 2);

/// A sum whose parts fade by half in each half-life.
#[derive(Clone, Copy, Default)]
struct Aged {
    sum: f64,
    at: Micros,
}

impl Aged {
    fn get(&self, now: Micros) -> f64 {
        self.over(now, EVIDENCE_HALF_LIFE)
    }
    fn over(&self, now: Micros, half_life: f64) -> f64 {
        self.sum * (-(now.saturating_sub(self.at) as f64) / half_life).exp2()
    }
    fn add(&mut self, now: Micros, x: f64) {
        *self = Self { sum: self.get(now) + x, at: now };
    }
}

/// A member as listed, with what this router has seen of it since that process started.
struct Member {
    line: Listing,
    good: Aged,
    bad: Aged,
    /// Outcomes of this router's over EVIDENCE_LONGEST, for how fast evidence may fade.
    asked: Aged,
    /// This router's attempts that are out to it.
    inflight: u32,
    /// Transfers that it is taken to bear at once, and when that was last cut.
    room: f64,
    cut_at: Micros,
    /// Sending time sent to it lately while cold, us, drained at its budget's pace.
    spent: f64,
    spent_at: Micros,
    /// Failures in a row with it on the path, and unanswered probes in a row.
    run: u32,
    misses: u32,
    probed_at: Micros,
    /// Its process does not answer: nothing goes there until a probe is answered ...
    down: bool,
    /// ... which is then taken for its start, since the list tells of it seconds later.
    revived: Micros,
    /// When it last answered this router: it did not hang then.
    heard: Micros,
}

impl Member {
    /// Whether it may get new work, as far as the list and probes tell.
    fn able(&self) -> bool {
        self.line.life == Life::Live && !self.down
    }
    /// What is left by now of what it was sent while cold, at its budget's pace.
    fn owed(&self, now: Micros, pace: f64) -> f64 {
        (self.spent - now.saturating_sub(self.spent_at) as f64 * pace).max(0.0)
    }
}

struct Attempt {
    to: MemberId,
    source: Option<MemberId>,
    sent: Micros,
    out: bool,
    may_have_run: bool,
    /// Its client's time allows less than the usual wait.
    cut: bool,
    /// Its connection broke or was spoilt.
    lost: bool,
}

struct Pending {
    class: usize,
    object: ObjectId,
    group: u32,
    part: u32,
    size_kb: f64,
    give_up_at: Micros,
    attempts: Vec<Attempt>,
    /// No fill for it: it is served where it is held, else refused.
    held_only: bool,
    /// Nothing more is owed or sent; it stays until its attempts' outcomes are in.
    done: bool,
}

impl Pending {
    /// Attempts that tell where the next should go: a connection that ended says nothing of the path.
    fn tried(&self) -> usize {
        self.attempts.iter().filter(|a| !a.lost).count()
    }
    /// Whether a cache may still be asked: guards its copies against a request that leaves it for a reset.
    fn open_to(&self, id: MemberId) -> bool {
        let there = || self.attempts.iter().filter(|a| a.to == id);
        there().all(|a| a.lost) && there().count() < SAME_MOST
    }
}

/// Mean and deviation of served attempts' times, in multiples of what their size lets expect.
#[derive(Clone, Copy)]
struct Pace {
    mean: f64,
    dev: f64,
    /// Mean sending time, us.
    work: f64,
    /// Answers in time and not, of all members together.
    in_time: Aged,
    late: Aged,
}

impl Pace {
    /// What a class is taken to need before any answer.
    fn of(class: &Class) -> Self {
        let (aim, in_time, late) = (class.aim as f64, Aged::default(), Aged::default());
        Self { mean: 0.5 * aim / BASE_TIME, dev: 0.25 * aim / BASE_TIME, work: 0.5 * aim, in_time, late }
    }
}

/// The decisions of one router. See the crate's page for how to drive it.
pub struct Router {
    set: Settings,
    rng: u64,
    members: BTreeMap<MemberId, Member>,
    /// All parents ever listed, by id, with their weights: an object's home is a place in this list.
    parents: Vec<(MemberId, f64)>,
    requests: HashMap<RequestId, Pending>,
    subscribed: bool,
    /// When an object (or, without one, a group) was purged, as long as older copies may be about.
    purges: HashMap<(Option<ObjectId>, u32), Micros>,
    counts: [HashMap<ObjectId, f32>; 2],
    counts_since: Micros,
    pace: Vec<Pace>,
    retries: Aged,
    /// Part of what no parent takes that may ask the origin; all of it at first.
    origin_room: f64,
    /// Part of the objects that may be filled; all of them at first.
    fill_room: f64,
}

/// A well-mixed hash, the same at every router: never seeded.
fn mix(a: u64, b: u64) -> u64 {
    let mut z = a.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ b.wrapping_add(0xD1B5_4A32_D192_ED03);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

/// A hash as a number in (0, 1).
fn unit(a: u64, b: u64) -> f64 {
    ((mix(a, b) >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// A member's place in an object's order, the least first: weighted rendezvous, so that a new id takes its
/// part from all alike and moves nothing else.
fn rendezvous(object: ObjectId, id: MemberId, weight: f64) -> f64 {
    -unit(object, u64::from(id)).ln() / weight
}

impl Router {
    /// A router that knows nothing but its settings. The seed feeds all that is random.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            rng: seed,
            members: BTreeMap::new(),
            parents: Vec::new(),
            requests: HashMap::new(),
            subscribed: false,
            purges: HashMap::new(),
            counts: Default::default(),
            counts_since: 0,
            pace: settings.classes.iter().map(Pace::of).collect(),
            retries: Aged { sum: RETRY_FIRST, at: Micros::MAX },
            origin_room: 1.0,
            fill_room: 1.0,
            set: settings,
        }
    }

    /// Takes other settings. A class at a place of the list that it had keeps what was learned of it.
    pub fn retune(&mut self, settings: Settings) {
        let learned = self.set.classes.iter().zip(&self.pace).map(Some).chain(std::iter::repeat(None));
        let paces = settings.classes.iter().zip(learned).map(|(class, old)| match old {
            Some((same, pace)) if same == class => *pace,
            _ => Pace::of(class),
        });
        self.pace = paces.collect();
        self.set = settings;
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Members { full, entries } => self.on_members(now, *full, entries, actions),
            Event::ListLost => actions.push(Action::Timer { token: LIST_TIMER, at: now + LIST_RETRY }),
            Event::Request { id, class, object, group, part, size_kb, give_up_at } => {
                if *class >= self.set.classes.len() {
                    return actions.push(Action::Fail { id: *id });
                }
                if self.requests.contains_key(id) {
                    return;
                }
                let (class, object, group, part) = (*class, *object, *group, *part);
                let (size_kb, give_up_at, attempts) = (size_kb.max(0.0), *give_up_at, Vec::new());
                let saved = self.retries.over(now, EVIDENCE_LONGEST) + RETRY_EARN;
                self.retries = Aged { sum: saved.min(RETRY_CAP), at: now };
                self.count(now, object);
                #[rustfmt::skip]
                self.requests.insert(*id, Pending {
                    class, object, group, part, size_kb, give_up_at, attempts, held_only: false, done: false,
                });
                self.advance(now, *id, None, actions);
            }
            Event::Outcome { .. } => self.on_outcome(now, event, actions),
            Event::Streaming { id, attempt } => {
                if let Some(req) = self.requests.get_mut(id) {
                    req.done = true; // The client has this attempt; the others are no longer wanted.
                    self.cancel_rest(*id, Some(*attempt as usize), actions);
                }
            }
            Event::Left { id } => self.conclude(*id, actions),
            Event::Timer { token: LIST_TIMER } => actions.push(Action::Subscribe),
            Event::Timer { token } => {
                let id = (token & u64::from(MemberId::MAX)) as MemberId;
                if self.members.get(&id).is_some_and(|m| m.misses > 0 && m.line.life == Life::Live) {
                    actions.push(Action::Probe { member: id });
                }
            }
            Event::Probed { member, verdict } => self.on_probed(now, *member, *verdict, actions),
            Event::Purged { object, group, ago } => self.on_purged(now, *object, *group, *ago),
        }
    }

    fn on_members(&mut self, now: Micros, full: bool, entries: &[Listing], actions: &mut Vec<Action>) {
        if full {
            let listed: BTreeSet<MemberId> = entries.iter().map(|e| e.id).collect();
            self.members.retain(|id, _| listed.contains(id));
        }
        for e in entries {
            // What is never used is not held: the cost of a decision follows the location, not the fleet.
            if e.life == Life::Gone || e.role == Role::FarCache {
                self.members.remove(&e.id);
                continue;
            }
            let mut line = e.clone();
            let known = self.set.weights_known && e.weight.is_finite() && e.weight > 0.0;
            line.weight = if known { e.weight } else { WEIGHT_GUESS };
            if e.role == Role::Parent {
                match self.parents.binary_search_by_key(&e.id, |p| p.0) {
                    Ok(place) => self.parents[place].1 = line.weight,
                    Err(place) => self.parents.insert(place, (e.id, line.weight)),
                }
            }
            match self.members.get_mut(&e.id).filter(|m| m.line.started == e.started) {
                Some(m) => m.line = line,
                // A new process: what was known of an old one says nothing of it.
                None => {
                    let inflight = self.members.get(&e.id).map_or(0, |m| m.inflight);
                    let (good, bad, asked) = Default::default();
                    let (run, misses, probed_at, down, revived, heard) = Default::default();
                    let (spent, spent_at, room, cut_at) = (self.debt(), now, line.weight, 0);
                    #[rustfmt::skip]
                    let fresh = Member {
                        line, good, bad, asked, inflight, room, cut_at, spent, spent_at,
                        run, misses, probed_at, down, revived, heard,
                    };
                    self.members.insert(e.id, fresh);
                }
            }
        }
        if self.set.subscribe && !self.subscribed {
            self.subscribed = true;
            actions.push(Action::Subscribe);
        }
    }

    fn on_purged(&mut self, now: Micros, object: Option<ObjectId>, group: u32, ago: Micros) {
        self.purges.retain(|_, at| now < *at + self.set.purge_done + PURGE_KEPT);
        let (at, key) = (now.saturating_sub(ago), (object, if object.is_some() { 0 } else { group }));
        let last = self.purges.entry(key).or_insert(at);
        *last = at.max(*last);
    }

    /// Guards the rule on purges: the oldest copy that will do, on every attempt; 0 for the class's own.
    /// `stale` also takes copies past their fresh time.
    fn age_bound(&self, now: Micros, req: &Pending, stale: bool, to: MemberId) -> Micros {
        let class = &self.set.classes[req.class];
        let own = match class.fresh_for {
            0 => 0,
            fresh => fresh + if stale { class.stale_for } else { 0 },
        };
        let keys = [(Some(req.object), 0), (None, req.group)];
        let purged = keys.iter().filter_map(|k| self.purges.get(k)).max().copied();
        let heard = self.members.get(&to).map_or(0, |m| m.heard);
        match purged.filter(|at| heard < at + self.set.purge_done + PURGE_EXTRA) {
            Some(at) => {
                let age = now.saturating_sub(at + PURGE_MARGIN).max(1);
                age.min(if own == 0 { age } else { own })
            }
            None => own,
        }
    }

    fn count(&mut self, now: Micros, object: ObjectId) {
        if now >= self.counts_since + COUNT_SPAN || self.counts[0].len() >= COUNT_CAP {
            self.counts.swap(0, 1);
            self.counts[0].clear();
            self.counts_since = now;
        }
        *self.counts[0].entry(object).or_insert(0.0) += 1.0;
    }

    fn asked(&self, object: ObjectId) -> f32 {
        self.counts.iter().filter_map(|c| c.get(&object)).sum()
    }

    // ---- choice of path ----

    /// The part of its capacity that a member surely has by now.
    fn warmth(&self, now: Micros, m: &Member) -> f64 {
        let cold = if m.line.role == Role::Parent { &self.set.parent_cold } else { &self.set.cache_cold };
        let started = m.line.started.max(m.revived);
        if started == 0 || m.line.role == Role::Origin || cold.ramp == 0 {
            return 1.0;
        }
        let t = now.saturating_sub(started) as f64 / cold.ramp as f64;
        (cold.floor + (1.0 - cold.floor) * t).clamp(0.0, 1.0)
    }

    /// Half-life of a member's evidence: longer, the less this router asks of it.
    fn half_life(&self, now: Micros, m: &Member) -> f64 {
        let per_us = m.asked.over(now, EVIDENCE_LONGEST) * std::f64::consts::LN_2 / EVIDENCE_LONGEST;
        (EVIDENCE_OUTCOMES / per_us).clamp(EVIDENCE_HALF_LIFE, EVIDENCE_LONGEST)
    }

    /// Share of bad outcomes, as far as the evidence goes.
    fn bad_rate(&self, now: Micros, m: &Member) -> f64 {
        let half = self.half_life(now, m);
        let (good, bad) = (m.good.over(now, half), m.bad.over(now, half));
        bad / (good + bad + HEALTH_PRIOR)
    }

    /// The least share of bad outcomes among a role's peers. A lone parent, or all of them, may limp while
    /// the origin is well: it is their peer as a source. What nothing is known of is no example.
    fn least_bad(&self, now: Micros, role: Role) -> f64 {
        let peer = |m: &Member| m.line.role == role || (role == Role::Parent && m.line.role == Role::Origin);
        let known = |m: &&Member| m.asked.over(now, EVIDENCE_LONGEST) >= EVIDENCE_LEAST;
        let peers = self.members.values().filter(|m| m.able() && peer(m)).filter(known);
        peers.map(|m| self.bad_rate(now, m)).min_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// Members of a role that may get new work, with their share: the lesser of slow start and health.
    /// Health counts what a member does worse than its best peer: when all fail alike it is the origin, the
    /// link or overload, and no circuit breaker may answer that by emptying the fleet or moving its objects.
    fn shares(&self, now: Micros, role: Role) -> Vec<(MemberId, f64)> {
        let able = self.members.iter().filter(|(_, m)| m.line.role == role && m.able());
        let best = self.least_bad(now, role);
        let health =
            |m: &Member| 1.0 - (self.bad_rate(now, m) - best - BAD_TOLERATED) / (BAD_OUT - BAD_TOLERATED);
        able.map(|(id, m)| (*id, self.warmth(now, m).min(health(m)).max(0.0))).collect()
    }

    /// How many caches of the location get nothing new though they are listed as live.
    pub fn avoided(&self, now: Micros) -> usize {
        let shares = self.shares(now, Role::Cache);
        let live = |m: &&Member| m.line.role == Role::Cache && m.line.life == Life::Live;
        self.members.values().filter(live).count() - shares.iter().filter(|(_, share)| *share > 0.0).count()
    }

    /// Any router's first item would fit a cold member's budget; were all to send theirs at once, the sum
    /// would not. So each begins at a random point of the time that its part of the budget takes for one.
    fn debt(&mut self) -> f64 {
        self.rng = self.rng.wrapping_add(1);
        self.pace.iter().map(|p| p.work).fold(0.0, f64::max) * unit(self.rng, 3)
    }

    /// Guards the rule on cold starts: whether a cold member's budget has room for `work` more.
    fn budget_allows(&self, now: Micros, id: MemberId, work: f64) -> bool {
        let Some(m) = self.members.get(&id) else { return false };
        let warmth = self.warmth(now, m);
        if warmth >= 1.0 {
            return true;
        }
        let (pace, window) = self.budget_pace(m, warmth);
        m.owed(now, pace) + work <= (window as f64 * pace * COLD_BURST).max(work * 1.01)
    }

    /// What this router may ask of a cold member, in us of sending time for each us, and the rule's window.
    fn budget_pace(&self, m: &Member, warmth: f64) -> (f64, Micros) {
        let (cold, sharers) = match m.line.role {
            Role::Parent => (&self.set.parent_cold, self.set.routers),
            _ => (&self.set.cache_cold, self.set.routers_here),
        };
        (cold.multiple * COLD_USE * warmth * m.line.weight / f64::from(sharers.max(1)), cold.window)
    }

    fn spend(&mut self, now: Micros, id: MemberId, work: f64) {
        let pace = self.members.get(&id).map_or(0.0, |m| self.budget_pace(m, self.warmth(now, m)).0);
        let Some(m) = self.members.get_mut(&id) else { return };
        (m.spent, m.spent_at) = (m.owed(now, pace) + work, now);
    }

    /// Transfers at a cache over what fits there, by this router's own. One of many sees few, by chance: they
    /// are drawn to the location's mean, less a standard deviation (Poisson) of what it does not see.
    fn load(&self, now: Micros, id: MemberId) -> f64 {
        let Some(m) = self.members.get(&id) else { return f64::MAX };
        let seats = f64::from(self.set.routers_here.max(1));
        let room = |m: &Member| m.room * self.warmth(now, m) / seats;
        let here = |m: &&Member| m.line.role == Role::Cache && m.line.life == Life::Live;
        let here = || self.members.values().filter(here);
        let out: f64 = here().map(|m| f64::from(m.inflight)).sum();
        let mean = (out * room(m) / here().map(room).sum::<f64>()).max(0.0);
        let sure = 1.0 - (1.0 - 1.0 / seats) / (out + 1.0).sqrt();
        sure * mean * (LOAD_DOUBT + f64::from(m.inflight)) / (LOAD_DOUBT + mean) / room(m)
    }

    /// The location's cache for an object: the first in hash order whose share exceeds the object's hash,
    /// widened to two or three for objects often asked.
    fn pick_cache(&self, now: Micros, req: &Pending, work: f64) -> Option<MemberId> {
        let mut order: Vec<(f64, MemberId, f64)> = self
            .shares(now, Role::Cache)
            .into_iter()
            .filter(|(id, _)| req.open_to(*id))
            .filter(|(id, _)| self.budget_allows(now, *id, work))
            .map(|(id, share)| {
                let weight = self.members.get(&id).map_or(1.0, |m| m.line.weight);
                (rendezvous(req.object, id, weight), id, share)
            })
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        // Every router of the location is taken to see as much of an object, so that they agree on its width.
        let often = self.asked(req.object) * self.set.routers_here.max(1) as f32;
        let willing = order
            .iter()
            .filter(|(_, id, share)| *share > unit(!req.object, u64::from(*id)))
            .filter(|(_, id, _)| self.load(now, *id) < LOAD_SPILL)
            .map(|(_, id, _)| *id);
        // Within the widened set the part decides, so that each part still has one copy in the location.
        // The first part stays, so that an object of one part never moves for being asked.
        let wider = usize::from(often >= WIDEN_TWO) + usize::from(often >= WIDEN_THREE);
        let width = if req.part == 0 { 1 } else { 1 + wider };
        let chosen =
            willing.take(width).max_by_key(|id| mix(req.object ^ u64::from(*id), u64::from(req.part)));
        let rest =
            order.iter().filter(|(_, _, share)| *share > 0.0).map(|(_, id, _)| (self.load(now, *id), *id));
        chosen.or_else(|| rest.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id))
    }

    /// The source of an object's fills: its home parent, or the next listed one that takes the object.
    fn pick_parent(&self, now: Micros, object: ObjectId, work: f64, not: &[MemberId]) -> Option<MemberId> {
        let n = self.parents.len();
        let score = |p: &(MemberId, f64)| rendezvous(object, p.0, p.1);
        let home = (0..n).min_by(|a, b| score(&self.parents[*a]).total_cmp(&score(&self.parents[*b])));
        let (home, shares) = (home.unwrap_or(0), self.shares(now, Role::Parent));
        let mut walk = (0..n).map(|k| self.parents[(home + k) % n].0).filter_map(|id| {
            let share = shares.iter().find(|(s, _)| *s == id)?.1;
            (!not.contains(&id) && self.budget_allows(now, id, work)).then_some((id, share))
        });
        walk.find(|(id, share)| *share > unit(!object, u64::from(*id))).map(|(id, _)| id)
    }

    fn origin(&self) -> Option<MemberId> {
        let live = |m: &Member| m.line.role == Role::Origin && m.line.life == Life::Live;
        self.members.iter().find(|(_, m)| live(m)).map(|(id, _)| *id)
    }

    /// Where the next attempt goes and what it names as source. Further attempts climb: next cache, next
    /// parent, straight to a parent, the origin.
    fn path(&self, now: Micros, req: &Pending, work: f64) -> Option<(MemberId, Option<MemberId>)> {
        let class = &self.set.classes[req.class];
        let origin = self.origin();
        let tried = req.tried();
        if class.uncacheable {
            if self.set.bypass {
                let parent = || self.pick_parent(now, req.object, work, &[]);
                let by_parent = || Some((parent()?, Some(origin?)));
                return origin.map(|o| (o, None)).filter(|_| tried % 3 != 2).or_else(by_parent);
            }
            return self.pick_cache(now, req, work).zip(origin).map(|(c, o)| (c, Some(o)));
        }
        if req.held_only {
            return self.pick_cache(now, req, work).map(|c| (c, Some(c)));
        }
        let sources: Vec<MemberId> = req.attempts.iter().filter_map(|a| a.source).collect();
        let avoid = if tried >= 2 { &sources[..] } else { &[] };
        let parent = self.pick_parent(now, req.object, work, avoid);
        if tried < 3 || !self.set.bypass {
            if let Some(cache) = self.pick_cache(now, req, work) {
                let spare = origin.filter(|_| self.origin_room > unit(now ^ req.object, 4));
                return Some((cache, parent.or(spare).or(Some(cache))));
            }
        }
        if !self.set.bypass {
            return None;
        }
        let direct = |id: &MemberId| !req.attempts.iter().any(|a| a.to == *id);
        let parent = self.pick_parent(now, req.object, work, &[]).filter(direct);
        let spare = || origin.filter(|o| direct(o) && self.origin_room > unit(now ^ req.object, 5));
        parent.map(|p| (p, Some(origin.unwrap_or(p)))).or_else(|| spare().map(|o| (o, Some(o))))
    }

    /// Until when doing a request once more is harmless; later, a keyed one that has run may run again.
    fn repeats_until(&self, req: &Pending) -> Micros {
        let class = &self.set.classes[req.class];
        match (req.attempts.iter().find(|a| a.may_have_run), class.repeat) {
            (None, _) | (_, Repeat::Safe) => Micros::MAX,
            (Some(first), Repeat::Keyed) => first.sent + class.key_window,
            (Some(_), Repeat::Unsafe) => 0,
        }
    }

    /// Whether the rule on repeats lets another attempt go to `to`.
    fn may_repeat(&self, now: Micros, req: &Pending, to: MemberId) -> bool {
        let Some(first) = req.attempts.iter().find(|a| a.may_have_run) else { return true };
        let (a, b) = (self.members.get(&first.to), self.members.get(&to));
        let same = |f: fn(&Member) -> u32| a.map(f).zip(b.map(f)).is_some_and(|(x, y)| x == y);
        let class = &self.set.classes[req.class];
        let scope = match class.key_scope {
            KeyScope::All => true,
            KeyScope::Zone => first.to == to || same(|m| m.line.zone),
            KeyScope::Cell => first.to == to || same(|m| m.line.cell),
        };
        now < self.repeats_until(req) && (scope || class.repeat == Repeat::Safe)
    }

    /// The time that a request's own sending takes, us: by its size, or as its class's requests took.
    fn work(&self, req: &Pending) -> f64 {
        if req.size_kb > 0.0 && self.set.flow_kb_per_s > 0.0 {
            req.size_kb / self.set.flow_kb_per_s * 1e6
        } else {
            0.0
        }
    }

    fn aim(&self, req: &Pending) -> f64 {
        let class = &self.set.classes[req.class];
        let work = if req.size_kb > 0.0 { self.work(req) } else { self.pace[req.class].work };
        (class.aim as f64 + class.aim_stretch * work).min(class.deadline as f64)
    }

    // ---- health ----

    /// Learns from an outcome: the class's pace, and who on the path did well or ill.
    fn learn(&mut self, now: Micros, id: RequestId, k: usize, verdict: Verdict, note: Note, took: f64) {
        let Some(req) = self.requests.get(&id) else { return };
        let (class, work, aim, a) = (req.class, self.work(req), self.aim(req), &req.attempts[k]);
        let (to, source) = (a.to, a.source.filter(|s| *s != a.to));
        let (late, held_only) = (took > aim, a.source == Some(to));
        // Guards the members against impatient clients: a wait that its client cut short proves nothing.
        if verdict == Verdict::TimedOut && a.cut && !late {
            return;
        }
        if matches!(verdict, Verdict::Served | Verdict::TimedOut) {
            self.learn_room(now, to, late);
            // A time-out counts as a long answer: with the served alone the pace would shrink to what the
            // time-outs let through, and cut ever more of what is merely large.
            let took = if verdict == Verdict::TimedOut { took * CENSORED } else { took };
            let own = if work > 0.0 { work } else { (took - QUICK_WAY).max(QUICK_WAY) };
            let pace = &mut self.pace[class];
            let x = took / (BASE_TIME + work);
            pace.dev += PACE_GAIN * ((x - pace.mean).abs() - pace.dev);
            pace.mean += PACE_GAIN * (x - pace.mean);
            if verdict == Verdict::Served {
                pace.work += PACE_GAIN * (own - pace.work);
            }
        }
        let note = if held_only && verdict == Verdict::Served { Note::Hit } else { note };
        use Verdict::{Error, Refused, Served, TimedOut};
        // Guards the origin and the links: what all routers ask of them falls with what they give too late.
        if source.is_some() && matches!(verdict, Served | TimedOut) && note != Note::Hit {
            let late = late || verdict == TimedOut;
            let room = if late { self.fill_room * FILL_ROOM_LESS } else { self.fill_room + FILL_ROOM_MORE };
            self.fill_room = room.clamp(FILL_ROOM_LEAST, 1.0);
        }
        // Guards the origin against all routers at once: each asks less of it the more of that fails.
        if self.origin().is_some_and(|o| source == Some(o) || to == o) && note != Note::Hit {
            if verdict == Verdict::Served && !late {
                self.origin_room = (self.origin_room + ORIGIN_ROOM_MORE).min(1.0);
            } else if matches!(verdict, Refused | TimedOut | Error)
                || (verdict == Verdict::NoConnection && Some(to) == self.origin())
            {
                self.origin_room = (self.origin_room * ORIGIN_ROOM_LESS).max(ORIGIN_ROOM_LEAST);
            }
        }
        match verdict {
            Verdict::Served if held_only => {}
            Verdict::Served if !late => self.pace[class].in_time.add(now, 1.0),
            Verdict::Served | Verdict::TimedOut => self.pace[class].late.add(now, 1.0),
            _ => {}
        }
        match (verdict, note) {
            (Verdict::Cancelled | Verdict::NeverSent | Verdict::Miss | Verdict::Spoilt, _) => {}
            (_, Note::NoFillPlace) => {}
            (Verdict::Served, Note::Hit) => self.credit(now, to, !late, 1.0, LATE_FAILURE),
            (Verdict::Served, _) if !late => {
                self.credit(now, to, true, 1.0, 0.0);
                // Without notes most answers are hits, which say nothing of the source.
                let sure = if self.set.hit_notes { 1.0 } else { SOURCE_CREDIT };
                source.into_iter().for_each(|s| self.credit(now, s, true, sure, 0.0));
            }
            // Late without a note: it may be a hit on a full link, and a source must not be left for that.
            (Verdict::Served, Note::Silent) => self.credit(now, to, false, 0.0, LATE_FAILURE),
            (Verdict::Served, _) => self.blame(now, to, source, LATE_FAILURE),
            (Verdict::NoConnection, Note::Silent) => self.credit(now, to, false, 0.0, PLAIN_FAILURE),
            (Verdict::Broken, Note::Silent) => self.credit(now, to, false, 0.0, BROKEN),
            (_, Note::SourceFailed) => self.blame(now, source.unwrap_or(to), None, PLAIN_FAILURE),
            (_, Note::OriginFailed) => {}
            _ => self.blame(now, to, source, 1.0),
        }
    }

    /// Learns what a member bears, where weights don't tell: as long as answers come in time, more.
    fn learn_room(&mut self, now: Micros, id: MemberId, late: bool) {
        let load = self.load(now, id);
        let Some(m) = self.members.get_mut(&id).filter(|_| !self.set.weights_known) else { return };
        // Late answers of a cache that is not even half full are its sources' or its location's link's.
        let cut = late && load >= 0.5 && now >= m.cut_at + ROOM_GAP;
        m.cut_at = if cut { now } else { m.cut_at };
        let more = if load >= 1.0 && !late { ROOM_MORE / m.room } else { 0.0 };
        let room = if cut { m.room * ROOM_LESS } else { m.room + more };
        m.room = room.clamp(m.line.weight, ROOM_MOST * m.line.weight);
    }

    /// Asks a member that failed whether its process answers. One router alone sees too few failures to tell
    /// a dead parent from a full one, and none at all of a restart that is over before the list tells of it.
    fn suspect(&mut self, now: Micros, id: MemberId, plain: bool, actions: &mut Vec<Action>) {
        let probing = self.set.probing;
        let Some(m) = self.members.get_mut(&id).filter(|m| m.line.role != Role::Origin) else { return };
        m.run += 1;
        let doubt = plain || m.line.role == Role::Parent || m.run >= PROBE_RUN;
        if probing && doubt && m.misses == 0 && m.line.life == Life::Live && now >= m.probed_at + PROBE_GAP {
            m.probed_at = now;
            actions.push(Action::Probe { member: id });
        }
    }

    fn on_probed(&mut self, now: Micros, id: MemberId, verdict: Verdict, actions: &mut Vec<Action>) {
        let debt = self.debt();
        let Some(m) = self.members.get_mut(&id) else { return };
        let plain = matches!(verdict, Verdict::NoConnection | Verdict::Broken);
        if plain || verdict == Verdict::TimedOut {
            m.misses += 1;
            // A probe may meet a pause; two in a row rarely do.
            m.down |= plain || m.misses >= PROBE_RUN;
            let at = now + if m.down { PROBE_AGAIN } else { PROBE_DOUBT };
            actions.push(Action::Timer { token: PROBE_TIMER | u64::from(id), at });
        } else {
            if std::mem::replace(&mut m.down, false) {
                // Most likely a new process, cold and empty: guards it against all coming back at once.
                (m.revived, m.spent, m.spent_at) = (now, debt, now);
                (m.good, m.bad) = (Aged::default(), Aged::default());
            }
            m.misses = 0;
        }
    }

    fn credit(&mut self, now: Micros, id: MemberId, ok: bool, good: f64, bad: f64) {
        let Some(half) = self.members.get(&id).map(|m| self.half_life(now, m)) else { return };
        let Some(m) = self.members.get_mut(&id) else { return };
        let weight = if ok { good } else { bad };
        m.asked = Aged { sum: m.asked.over(now, EVIDENCE_LONGEST) + weight.min(1.0), at: now };
        let (had_good, had_bad) = (m.good.over(now, half), m.bad.over(now, half));
        if ok {
            m.good = Aged { sum: (had_good + good).min(GOOD_CAP), at: now };
        } else {
            let most = BAD_CAP.min(HEALTH_PRIOR * (BAD_WAIT / half).exp2());
            m.bad = Aged { sum: (had_bad + bad).min(most), at: now };
            m.good = Aged { sum: had_good * GOOD_LEFT.powf(bad.min(1.0)), at: now };
        }
    }

    /// Splits the blame for a failure that names no culprit by what either has shown on its other paths: a
    /// cache that fails with every source is the cache, a source that fails through every cache the source.
    fn blame(&mut self, now: Micros, to: MemberId, source: Option<MemberId>, weight: f64) {
        let suspicion =
            |id: MemberId| self.members.get(&id).map_or(0.0, |m| SUSPICION_LEAST + self.bad_rate(now, m));
        let (there, behind) = (suspicion(to), source.map_or(0.0, suspicion));
        let part = match there / behind {
            ratio if ratio >= CULPRIT && there >= BAD_OUT => 1.0,
            ratio if ratio <= 1.0 / CULPRIT && behind >= BAD_OUT => 0.0,
            _ => there / (there + behind),
        };
        self.credit(now, to, false, 0.0, weight * part);
        source.into_iter().for_each(|s| self.credit(now, s, false, 0.0, weight * (1.0 - part)));
    }

    // ---- answers ----

    /// Sends a request's next attempt, or gives its final answer at once.
    fn advance(
        &mut self,
        now: Micros,
        id: RequestId,
        last: Option<(Verdict, f64)>,
        actions: &mut Vec<Action>,
    ) {
        let Some(req) = self.requests.get(&id) else { return };
        let left = req.give_up_at.saturating_sub(now);
        let cost = last.map_or(0.0, |(_, cost)| cost);
        let saved = self.retries.over(now, EVIDENCE_LONGEST);
        let tries = req.attempts.len() < self.set.max_attempts.max(1) as usize;
        // Past its aim a request earns little for a whole sending time more: not where others wait for it.
        let since = req.attempts.first().map_or(0, |a| now.saturating_sub(a.sent));
        let vain = since as f64 > self.aim(req) && self.jam(now, req.class) > JAM;
        // A cache that was asked only for what it holds, and lacks it: there was no room for a fill.
        let lacks = last.is_some_and(|(verdict, _)| verdict == Verdict::Miss);
        let (full, held_only) = last.map_or_else(|| self.overloaded(now, req), |_| (false, req.held_only));
        if let Some(req) = self.requests.get_mut(&id) {
            req.held_only = held_only;
        }
        let over = left < LEAST_LEFT || saved < cost || !tries || vain || lacks || full;
        if over || !self.send(now, id, actions) {
            return self.give_up(now, id, actions);
        }
        self.retries = Aged { sum: saved - cost, at: now };
    }

    /// Share of late answers among a class's at this router.
    fn jam(&self, now: Micros, class: usize) -> f64 {
        let (in_time, late) = (self.pace[class].in_time.get(now), self.pace[class].late.get(now));
        late / (in_time + late + JAM_PRIOR)
    }

    /// Whether a new request is refused, and whether it gets no fill. What earns least for its sending time
    /// goes first. In a jam that no cache's own room shows, of links or sources, only fills are shed: what a
    /// cache holds costs them nothing, and nothing tells so well what it holds as asking for just that.
    fn overloaded(&self, now: Micros, req: &Pending) -> (bool, bool) {
        let class = &self.set.classes[req.class];
        if class.uncacheable {
            return (false, false);
        }
        let Some(cache) = self.pick_cache(now, req, 0.0) else { return (false, false) };
        let kept = || self.set.classes.iter().zip(&self.pace).filter(|(c, _)| !c.uncacheable);
        let mean = kept().map(|(c, p)| c.worth / p.work).sum::<f64>() / kept().count() as f64;
        let own = if req.size_kb > 0.0 { self.work(req).max(QUICK_WAY) } else { self.pace[req.class].work };
        let jam = self.jam(now, req.class);
        let least = if jam > JAM { SHED_VALUE_JAMMED } else { SHED_VALUE.0 };
        let bound = LOAD_SHED * (class.worth / own / mean).clamp(least, SHED_VALUE.1);
        let load = self.load(now, cache);
        let left_out = self.fill_room < unit(req.object, now / COUNT_SPAN);
        (load > bound, left_out || load > bound * (1.0 - LATE_SHED * jam).max(SHED_LEAST))
    }

    fn send(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(req) = self.requests.get(&id) else { return false };
        let mean_work = self.pace[req.class].work;
        let Some((to, source)) = self.path(now, req, mean_work) else { return false };
        if !self.may_repeat(now, req, to) {
            return false;
        }
        let class = &self.set.classes[req.class];
        let left = req.give_up_at.saturating_sub(now) as f64;
        let (pace, work, aim) = (self.pace[req.class], self.work(req), self.aim(req));
        let usual = |deviations: f64| (BASE_TIME + work) * (pace.mean + deviations * pace.dev);
        let jammed = self.jam(now, req.class) > JAM;
        let least = if jammed { TIMEOUT_LEAST_JAMMED } else { TIMEOUT_LEAST_OF_AIM };
        let patience = usual(TIMEOUT_DEVIATIONS).max(least * aim);
        // Where no second try would fit, the first has all there is.
        let most = if patience < left { TIMEOUT_MOST_OF_LEFT * left } else { left };
        let (timeout, cut) = (patience.min(most) as Micros, patience > most);
        // Where fresh copies come too late, an ageing one that is renewed behind is worth more.
        let stale = !req.attempts.is_empty() || jammed;
        let max_age = self.age_bound(now, req, stale, to);
        let again = if self.asked(req.object) > 1.0 { RANKS.1 } else { RANKS.0 };
        let keep = if class.uncacheable { 0 } else { again };
        let (join, renew) = (self.set.joins, class.fresh_for > 0 && max_age >= class.fresh_for);
        let start_by = self.repeats_until(req);
        actions.push(Action::Send { id, to, source, join, renew, max_age, keep, timeout, start_by });
        self.spend(now, to, mean_work);
        if let Some(source) = source.filter(|s| *s != to) {
            self.spend(now, source, mean_work);
        }
        if let Some(m) = self.members.get_mut(&to) {
            m.inflight += 1;
        }
        if let Some(req) = self.requests.get_mut(&id) {
            let (sent, out, may_have_run, lost) = (now, true, true, false);
            req.attempts.push(Attempt { to, source, sent, out, may_have_run, cut, lost });
        }
        true
    }

    fn on_outcome(&mut self, now: Micros, event: &Event, actions: &mut Vec<Action>) {
        let Event::Outcome { id, attempt, verdict, note, took, closed } = *event else { return };
        let Some(req) = self.requests.get_mut(&id) else { return };
        let Some(a) = req.attempts.get_mut(attempt as usize).filter(|a| a.out) else { return };
        a.out = false;
        a.may_have_run = !verdict.never_ran();
        a.lost = matches!(verdict, Verdict::Broken | Verdict::Spoilt);
        let (to, source) = (a.to, a.source.filter(|s| *s != a.to));
        if let Some(m) = self.members.get_mut(&to) {
            m.inflight = m.inflight.saturating_sub(1);
            let answered =
                matches!(verdict, Verdict::Served | Verdict::Miss | Verdict::Refused | Verdict::Error);
            m.heard = if answered { now } else { m.heard };
        }
        match verdict {
            Verdict::NoConnection | Verdict::Broken => self.suspect(now, to, true, actions),
            Verdict::TimedOut | Verdict::Refused | Verdict::Error => {
                [Some(to), source].into_iter().flatten().for_each(|m| self.suspect(now, m, false, actions));
            }
            Verdict::Served => {
                let filled = source.filter(|_| note == Note::Filled);
                for id in [Some(to), filled].into_iter().flatten() {
                    self.members.entry(id).and_modify(|m| m.run = 0);
                }
            }
            _ => {}
        }
        self.learn(now, id, attempt as usize, verdict, note, took as f64);
        let Some(req) = self.requests.get(&id) else { return };
        let waiting = req.attempts.iter().any(|a| a.out);
        if closed || req.done || verdict == Verdict::Served {
            self.conclude(id, actions);
        } else if !waiting {
            // The budget guards against retries that multiply work. What was lost on its way costs none; an
            // error has cost no more than the time that it took.
            let cost = match verdict {
                verdict if verdict.is_lost() => 0.0,
                Verdict::Error => (took as f64 / self.aim(req)).min(1.0),
                _ => 1.0,
            };
            self.advance(now, id, Some((verdict, cost)), actions);
        }
    }

    /// The final answer, at once: refused where trying again is harmless, else failed.
    fn give_up(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(req) = self.requests.get(&id) else { return };
        let class = &self.set.classes[req.class];
        let until = self.repeats_until(req);
        let harmless = now < until && (until == Micros::MAX || class.key_scope == KeyScope::All);
        if harmless {
            self.rng = self.rng.wrapping_add(1);
            let wait = (WAIT_HINT * (0.5 + unit(self.rng, 2))) as Micros;
            actions.push(Action::Refuse { id, wait: wait.min(self.set.max_wait_hint) });
        } else {
            actions.push(Action::Fail { id });
        }
        self.conclude(id, actions);
    }

    /// Nothing more is owed: what is still out is called off, and the request goes with its last outcome.
    fn conclude(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(req) = self.requests.get_mut(&id) else { return };
        if !std::mem::replace(&mut req.done, true) {
            self.cancel_rest(id, None, actions);
        }
        if self.requests.get(&id).is_some_and(|r| !r.attempts.iter().any(|a| a.out)) {
            self.requests.remove(&id);
        }
    }

    fn cancel_rest(&mut self, id: RequestId, but: Option<usize>, actions: &mut Vec<Action>) {
        let Some(req) = self.requests.get(&id).filter(|_| self.set.cancelling) else { return };
        for (k, a) in req.attempts.iter().enumerate() {
            if a.out && Some(k) != but {
                actions.push(Action::Cancel { id, attempt: k as u32 });
            }
        }
    }
}
