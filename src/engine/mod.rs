//! The engine behind both fronts: it turns what happens into the module's [`Event`]s and carries out its
//! [`Action`]s. It decides nothing that the module decides, and knows no socket: what is to be done on
//! sockets comes out as [`Effect`]s.

pub mod host;

use crate::clock::{micros, millis, Clock};
use crate::memory::attempts::{Attempt, AttemptId, Attempts, Stage};
use crate::memory::connections::{Bounds, ConnId, Connections, Place};
use crate::memory::counters::{Counters, Tallies};
use crate::memory::deadlines::Deadlines;
use crate::memory::maintenance::{Maintenance, Mark};
use crate::memory::requests::{Ask, Final, NotTaken, Requests};
use crate::memory::roster::Roster;
use crate::purge::fanout::Standing;
use crate::purge::guard::Guard;
use crate::settings::Env;
use crate::wire::frames::{News, Numbered, Target};
use crate::wire::lines::{member_text, Command, Get, Reply, Word};
use crate::{Action, Event, MemberId, Note, RequestId, Router, Verdict};
use std::collections::VecDeque;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;

/// How long before a member closes an idle connection this side does, as a share of that time.
const IDLE_SHARE: f64 = 0.8;
/// How often idle connections are looked for, in milliseconds.
const HOUSEKEEPING_MS: f64 = 1_000.0;
/// Silence on a connection, in milliseconds, after which an attempt that timed out there says that the path is
/// dead: nothing more goes onto it, and a new connection tells at once whether the machine still answers.
const SILENCE_MS: f64 = 1_500.0;
/// Attempts that time out one after another on a connection with nothing read between, which say the same.
const UNHEARD_MOST: u32 = 2;

/// How often an attempt whose connection ended before its first byte goes to another at once.
const MOVES_MOST: u32 = 2;
/// With less than this left of its time, in milliseconds, a request that ends has ended for want of it: the module
/// sends nothing with so little left.
const OVER_MS: f64 = 50.0;

/// What the host is to do on sockets.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Open a connection and report that it came up or not.
    Open {
        /// Its number.
        conn: ConnId,
        /// Where to.
        address: SocketAddrV4,
        /// How long it may take, in milliseconds.
        within_ms: f64,
    },
    /// There is something to ask [`Engine::next_write`] for.
    Wake(ConnId),
    /// Give a client its final answer.
    Answer(RequestId, Final),
}

/// What a connection's driver writes next.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// This, beginning now.
    Write(Command),
    /// Nothing for now.
    Idle,
    /// Nothing any more: the connection is to be closed.
    Close,
}

/// The bounds of what an engine holds.
#[derive(Clone, Copy, Debug)]
pub struct EngineBounds {
    /// Requests that owe an answer.
    pub requests: usize,
    /// Connections to members.
    pub connections: Bounds,
}

/// The engine. See the module's page.
pub struct Engine {
    clock: Clock,
    env: Rc<Env>,
    router: Router,
    /// Counters of what passed.
    pub counters: Counters,
    tallies: Tallies,
    requests: Requests,
    attempts: Attempts,
    connections: Connections,
    roster: Roster,
    maintenance: Maintenance,
    timers: Deadlines<u64>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    effects: VecDeque<Effect>,
    last_no: u64,
    tidied_ms: f64,
    /// Fleet purges, where they are on.
    purge: Option<Guard>,
    /// The list of members comes from a registry: the bulletin's lists are not taken.
    registry: bool,
    /// How often the list of members has changed.
    roster_changes: u64,
    /// Probes are shared duties: their results come by [`Self::probed`].
    probed: bool,
}

impl Engine {
    /// An engine that knows its settings and no member yet.
    pub fn new(clock: Clock, env: Rc<Env>, seed: u64, bounds: EngineBounds) -> Self {
        let router = Router::new(env.settings(), seed);
        Self {
            tidied_ms: clock.now(),
            clock,
            env,
            router,
            counters: Counters::default(),
            tallies: Tallies::default(),
            requests: Requests::new(bounds.requests),
            attempts: Attempts::default(),
            connections: Connections::new(bounds.connections),
            roster: Roster::default(),
            maintenance: Maintenance::default(),
            timers: Deadlines::default(),
            events: VecDeque::new(),
            actions: Vec::new(),
            effects: VecDeque::new(),
            last_no: 0,
            purge: None,
            registry: false,
            roster_changes: 0,
            probed: false,
        }
    }

    /// From now on the list of members is a registry's: the bulletin brings purges alone.
    pub fn take_roster_from_registry(&mut self) {
        self.registry = true;
    }

    /// Takes a list of members, or changes of it, from a registry: the same rules as the bulletin's lists, at once.
    pub fn hear_roster(&mut self, full: bool, targets: Vec<Target>) {
        self.roster.hear(full, &targets);
        self.list(full, targets);
    }

    /// Takes the members that can be read in an event of the bulletin that can't be read whole. Its number stays open.
    pub fn hear_part(&mut self, targets: Vec<Target>) {
        if !self.registry && !targets.is_empty() {
            self.hear_roster(false, targets);
        }
    }

    /// Turns fleet purges on: from now on their ledger bounds every attempt's age and judges every answer.
    pub fn set_guard(&mut self, guard: Guard) -> &mut Guard {
        self.purge.insert(guard)
    }

    /// The guard of fleet purges, where they are on.
    pub fn guard(&mut self) -> Option<&mut Guard> {
        self.purge.as_mut()
    }

    /// The caches and parents of the roster as targets of fleet purges, by name, at their own address with
    /// `port`: the origin holds no copies, and a member that is gone is none.
    pub fn purge_targets(&self, port: u16) -> Vec<(String, SocketAddr, Standing)> {
        let listed = self.roster.all_listed().filter(|t| t.row.lifecycle != "dead");
        let targets = listed.filter_map(|t| {
            let origin = self.env.listing(&t.row).ok()?.role == crate::Role::Origin;
            let standing = if t.row.lifecycle == "live" { Standing::Listed } else { Standing::Draining };
            let address = SocketAddr::new((*t.address.ip()).into(), port);
            (!origin).then(|| (member_text(t.row.cache), address, standing))
        });
        let mut targets: Vec<_> = targets.collect();
        targets.sort_by(|a, b| a.0.cmp(&b.0));
        targets
    }

    /// From now on members are probed as shared duties, and what the module would probe is left to those.
    pub fn share_probes(&mut self) {
        self.probed = true;
    }

    /// Probes found a member down, or up again: the module is told, and decides what follows.
    pub fn probed(&mut self, member: MemberId, up: bool) {
        let verdict = if up { Verdict::Served } else { Verdict::NoConnection };
        self.events.push_back(Event::Probed { member, verdict });
        self.run();
    }

    /// How often the list of members has changed.
    pub fn roster_changes(&self) -> u64 {
        self.roster_changes
    }

    /// The listed members of a kind: id, address, and whether they take new work.
    pub fn of_kind<'e>(
        &'e self,
        model: &'e str,
    ) -> impl Iterator<Item = (MemberId, SocketAddrV4, bool)> + 'e {
        let listed = self.roster.all_listed().filter(move |t| t.row.model == model);
        listed.map(|t| (t.row.cache, t.address, self.roster.address(t.row.cache).is_some()))
    }

    /// What is to be done on sockets, in order.
    pub fn take_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// The settings as they are by now.
    pub fn env(&self) -> Rc<Env> {
        self.env.clone()
    }

    /// Takes other settings. Requests under way keep their class.
    pub fn retune(&mut self, fresh: Env) {
        self.env = Rc::new(fresh.after(&self.env, |class| self.requests.uses(class)));
        self.router.retune(self.env.settings());
        self.connections.set_streams(self.env.streams_per_connection());
        let targets = self.roster.all_listed().cloned().collect();
        self.list(true, targets);
    }

    /// How many requests owe an answer.
    pub fn owed(&self) -> usize {
        self.requests.len()
    }

    /// Number of the bulletin's last event that was taken.
    pub fn last_no(&self) -> u64 {
        self.last_no
    }

    /// Counts all events up to this number as taken.
    pub fn skip_to(&mut self, no: u64) {
        self.last_no = self.last_no.max(no);
    }

    // ---- what happens ----

    /// Takes an event of the bulletin. One that was taken before is skipped.
    pub fn news(&mut self, item: Numbered) {
        if matches!(item.news, News::Quiet) || item.no <= self.last_no {
            return;
        }
        self.last_no = item.no;
        self.counters.bulletin_events += 1;
        match item.news {
            News::Quiet => {}
            News::Roster { .. } if self.registry => {}
            News::Roster { full, targets } => {
                self.roster.hear(full, &targets);
                self.list(full, targets);
            }
            News::Purge { object, group, issued } => {
                let ago = micros(self.clock.now() - issued);
                self.events.push_back(Event::Purged { object, group, ago });
                self.run();
                // Guards the rule on purges: what waits for a connection was bounded before this purge.
                let hit = |ask: &Ask| object.map_or(ask.group == group, |o| ask.object == o);
                self.stale(|ask, _| hit(ask));
            }
        }
        self.run();
    }

    /// Takes a list, or changes of it, as maintenance by hand leaves it.
    fn list(&mut self, full: bool, mut targets: Vec<Target>) {
        targets.iter_mut().for_each(|target| self.maintenance.apply(&mut target.row));
        let entries: Result<Vec<_>, _> = targets.iter().map(|t| self.env.listing(&t.row)).collect();
        // The codec makes only states that the settings type knows.
        let Ok(entries) = entries else { return };
        let gone = self.roster.update(full, &targets);
        self.roster_changes += 1;
        // The module learns of it first: asked anew before, it would name the same member again.
        self.events.push_back(Event::Members { full, entries });
        self.run();
        gone.into_iter().for_each(|member| self.retire(member));
        self.run();
    }

    /// Takes a member out of use by hand, or puts it back; false where nobody has that id.
    pub fn maintain(&mut self, id: MemberId, out: bool) -> bool {
        if self.roster.listed(id).is_none() && !self.maintenance.is_out(id) {
            return false;
        }
        self.adopt([(id, Mark { out, at_ms: self.clock.now() })]);
        true
    }

    /// Takes words on members that another process of this proxy may have been given.
    pub fn adopt(&mut self, marks: impl IntoIterator<Item = (MemberId, Mark)>) {
        for (id, mark) in marks {
            if self.maintenance.mark(id, mark) {
                self.counters.maintenance += 1;
                self.roster.listed(id).cloned().into_iter().for_each(|target| self.list(false, vec![target]));
            }
        }
    }

    /// What operators said of members.
    pub fn maintenance(&self) -> &Maintenance {
        &self.maintenance
    }

    /// The share of this location's caches that take new work and that the module does not leave for their failures;
    /// none where it has none.
    pub fn pool_share(&self) -> Option<f64> {
        let mine = |t: &&Target| {
            self.env.listing(&t.row).is_ok_and(|line| line.role == crate::Role::Cache)
                && t.row.lifecycle != "dead"
        };
        let mine: Vec<&Target> = self.roster.all_listed().filter(mine).collect();
        let able = mine.iter().filter(|t| self.roster.address(t.row.cache).is_some()).count();
        let avoided = self.router.avoided(micros(self.clock.now()));
        (!mine.is_empty()).then(|| able.saturating_sub(avoided) as f64 / mine.len() as f64)
    }

    /// The figures that the platform reads.
    pub fn figures(&mut self) -> String {
        for name in (0..).map_while(|k| self.env.class_name(k)) {
            self.tallies.of(name);
        }
        let pool: Vec<MemberId> =
            self.roster.all_listed().filter(|t| self.env.is_cache(&t.row)).map(|t| t.row.cache).collect();
        let out = pool.iter().filter(|id| self.maintenance.is_out(**id)).count();
        let avoided = out + self.router.avoided(micros(self.clock.now()));
        let figures = [
            ("active", self.requests.len() as u64),
            ("pool_size", pool.len() as u64),
            ("pool_ejected", avoided as u64),
            ("config_applied_total", self.counters.reloads),
            ("config_rejected_total", self.counters.reload_faults),
        ];
        let lines = figures.map(|(name, figure)| format!("app_{name} {figure}\n"));
        self.tallies.lines() + &lines.concat()
    }

    /// Takes a request in. From now on it gets exactly one [`Effect::Answer`], unless its client leaves.
    pub fn request(&mut self, ask: Ask) -> Result<(), NotTaken> {
        let event = Event::Request {
            id: ask.id,
            class: ask.class,
            object: ask.object,
            group: ask.group,
            part: ask.part,
            size_kb: ask.size_kb,
            give_up_at: micros(ask.give_up_ms),
        };
        let class = ask.class;
        if let Err(why) = self.requests.take(ask) {
            let tally = self.tallies.of(self.env.class_name(class).unwrap_or_default());
            match why {
                NotTaken::Duplicate => tally.errors += 1,
                NotTaken::Full => tally.shed += 1,
            }
            return Err(why);
        }
        self.counters.requests += 1;
        self.events.push_back(event);
        self.run();
        Ok(())
    }

    /// A client left: nothing is owed to it, and its attempts are called off.
    pub fn left(&mut self, id: RequestId) {
        if self.requests.end(id).is_some() {
            self.counters.left += 1;
            self.events.push_back(Event::Left { id });
            self.run();
        }
    }

    /// A connection came up.
    pub fn connected(&mut self, conn: ConnId) {
        let now = self.clock.now();
        if let Some(c) = self.connections.get_mut(conn) {
            (c.up, c.read_ms, c.used_ms) = (true, now, now);
        }
    }

    /// A connection did not come up. `local` says that the fault is this machine's own.
    pub fn connect_failed(&mut self, conn: ConnId, local: bool) {
        self.counters.connect_failures += 1;
        let verdict = if local { Verdict::NeverSent } else { Verdict::NoConnection };
        self.closed(conn, Verdict::Broken).into_iter().for_each(|id| self.settle(id, verdict));
        self.run();
    }

    /// A connection ended that had come up.
    pub fn broken(&mut self, conn: ConnId) {
        self.ended(conn, Verdict::Broken);
    }

    /// What came over a connection can't be used, and so nothing that may still come over it.
    pub fn spoilt(&mut self, conn: ConnId) {
        self.counters.spoilt += 1;
        self.ended(conn, Verdict::Spoilt);
    }

    /// What was written may have run. What was not goes to another connection at once: one that ends while it is
    /// idle proves no dead process; only a connect that fails does.
    fn ended(&mut self, conn: ConnId, written: Verdict) {
        let unwritten = self.closed(conn, written);
        let now = self.clock.now();
        for id in unwritten {
            let Some(attempt) = self.attempts.end(id) else { continue };
            if attempt.moves < MOVES_MOST {
                self.counters.attempts_moved += 1;
                let moves = attempt.moves + 1;
                self.place(now, id, Attempt { moves, ..attempt });
            } else {
                self.attempts.put(id, attempt);
                self.settle(id, Verdict::NoConnection);
            }
        }
        self.run();
    }

    /// Forgets a connection and settles what was written to it; tells what was not.
    fn closed(&mut self, conn: ConnId, verdict: Verdict) -> VecDeque<AttemptId> {
        let Some(c) = self.connections.remove(conn) else { return VecDeque::new() };
        if !c.out.is_empty() {
            self.counters.broken += 1;
        }
        let mut written: Vec<AttemptId> = c.out.into_values().collect();
        written.sort_unstable();
        written.into_iter().for_each(|id| self.settle(id, verdict));
        c.queue
    }

    /// A member answered.
    pub fn answered(&mut self, conn: ConnId, reply: Reply) {
        let now = self.clock.now();
        let Some(c) = self.connections.get_mut(conn) else { return };
        (c.read_ms, c.used_ms, c.unheard) = (now, now, 0);
        let Some(id) = c.out.remove(&reply.id) else {
            // An answer that crossed a DROP, a second one, or one to nothing that was asked here: no client gets it.
            self.counters.member_late += 1;
            return;
        };
        // Guards a later attempt of the same request, which has the same id: the answer may come a second time.
        c.close_to(id.0);
        let (verdict, counter) = match reply.word {
            Word::Ack | Word::Nomod => (Verdict::Served, &mut self.counters.member_ok),
            Word::Noent => (Verdict::Miss, &mut self.counters.member_miss),
            Word::Again => (Verdict::Refused, &mut self.counters.member_full),
            Word::Eio => (Verdict::Error, &mut self.counters.member_error),
            Word::Stale => (Verdict::NeverSent, &mut self.counters.member_miss),
        };
        *counter += 1;
        if verdict == Verdict::Served && self.purged(id.0, &reply) {
            // Guards the rule on purges: a copy that a purge removed reaches no client; the module tries again.
            self.settle(id, Verdict::Spoilt);
            self.run();
            return self.effects.push_back(Effect::Wake(conn));
        }
        if verdict == Verdict::Served {
            let tag = reply.tag;
            // A member says that the client's copy holds only where the request named that very copy.
            let same = reply.word == Word::Nomod;
            let named = |ask: &Ask| ask.cached.is_some() && (tag.is_none() || tag == ask.cached);
            if same && self.requests.get(id.0).is_some_and(|ask| !named(ask)) {
                self.settle(id, Verdict::Spoilt);
                self.run();
                return self.effects.push_back(Effect::Wake(conn));
            }
            let answer = if same {
                Final::Same { tag: tag.unwrap_or_default() }
            } else {
                Final::Served { tag, body: reply.body }
            };
            self.finish(id.0, answer);
        }
        self.settle_noted(id, verdict, reply.note.into());
        self.run();
        self.effects.push_back(Effect::Wake(conn));
    }

    /// Whether a read's answer carries a copy that a fleet purge removed.
    fn purged(&mut self, id: RequestId, reply: &Reply) -> bool {
        let (Some(guard), Some(ask)) = (&mut self.purge, self.requests.get(id)) else { return false };
        let Some(class) = self.env.class_name(ask.class).filter(|_| !self.env.is_write(ask.class)) else {
            return false;
        };
        let removed = guard.removes(class, ask.object, ask.part, ask.group, reply.born, &reply.tags);
        if let Some(mark) = removed {
            tracing::debug!(
                id = ask.id_text,
                seq = mark.seq,
                "an answer's copy was purged; it is not passed on"
            );
        }
        removed.is_some()
    }

    /// Does what is due by now.
    pub fn tick(&mut self) {
        let now = self.clock.now();
        while let Some(id) = self.attempts.overdue(now) {
            self.time_out(now, id);
            self.run();
        }
        while let Some(token) = self.timers.take(now, |_, _| true) {
            self.events.push_back(Event::Timer { token });
            self.run();
        }
        // Guards the rule that each request is answered in time, should the module ever forget one.
        while let Some(id) = self.requests.overdue(now) {
            self.counters.overdue += 1;
            self.finish(id, Final::Failed { overdue: true });
            self.events.push_back(Event::Left { id });
            self.run();
        }
        if now >= self.tidied_ms + HOUSEKEEPING_MS {
            self.tidied_ms = now;
            self.tidy(now);
        }
    }

    /// When there is something to do next.
    pub fn next_due(&mut self) -> f64 {
        let tidy = self.tidied_ms + HOUSEKEEPING_MS;
        let attempt = self.attempts.next_due().unwrap_or(f64::INFINITY);
        let timer = self.timers.next(|_, _| true).unwrap_or(f64::INFINITY);
        let request = self.requests.next_due().unwrap_or(f64::INFINITY);
        tidy.min(attempt).min(timer).min(request)
    }

    fn time_out(&mut self, now: f64, id: AttemptId) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let (conn, stage) = (attempt.conn, attempt.stage);
        self.counters.attempts_timed_out += 1;
        self.detach(id, true);
        if let (Stage::Written(at), Some(c)) = (stage, self.connections.get_mut(conn)) {
            c.unheard += 1;
            c.closing |= c.unheard >= UNHEARD_MOST || now - c.read_ms.max(at) > SILENCE_MS;
        }
        // One that still waited for its connection has not run.
        let verdict = if stage == Stage::Queued { Verdict::NoConnection } else { Verdict::TimedOut };
        self.settle(id, verdict);
    }

    fn tidy(&mut self, now: f64) {
        self.maintenance.tidy(now);
        let idle = self.env.keepalive_ms() * IDLE_SHARE;
        for (conn, c) in self.connections.iter_mut() {
            c.closing |= now - c.used_ms > idle && c.load() == 0;
            if c.closing && c.load() == 0 {
                self.effects.push_back(Effect::Wake(*conn));
            }
        }
    }

    // ---- what the module wants ----

    /// Hands the module all that happened, and carries out what it wants, until there is nothing more.
    fn run(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            let now = micros(self.clock.now());
            self.router.handle(now, &event, &mut actions);
            // What a replay of a day counts over all proxies; off unless `CALICOBEAM_LOG` asks for this target.
            tracing::trace!(target: "decisions", now, ?event, ?actions);
            actions.drain(..).for_each(|action| self.carry_out(action));
            self.actions = actions;
        }
    }

    fn carry_out(&mut self, action: Action) {
        let now = self.clock.now();
        match action {
            Action::Send { id, to, source, join, renew, max_age, keep, timeout, start_by } => {
                let Some(number) = self.requests.number(id) else { return };
                self.counters.attempts += 1;
                let (max_age_ms, due_ms) = (millis(max_age), now + millis(timeout));
                let start_by_ms = millis(start_by);
                let source = source.filter(|s| *s != to);
                let (conn, stage, sent_ms, moves) = (0, Stage::Queued, now, 0);
                let id_text = self.requests.get(id).map(|ask| ask.id_text.clone()).unwrap_or_default();
                #[rustfmt::skip]
                let attempt = Attempt {
                    id_text, to, source, join, renew, max_age_ms, keep, sent_ms, due_ms, start_by_ms, conn, stage,
                    moves,
                };
                self.place(now, (id, number), attempt);
            }
            Action::Refuse { id, wait } => {
                let overdue = self.is_overdue(now, id);
                self.finish(id, Final::Refused { wait_ms: millis(wait), overdue });
            }
            Action::Fail { id } => {
                let overdue = self.is_overdue(now, id);
                self.finish(id, Final::Failed { overdue });
            }
            Action::Cancel { id, attempt } => {
                let id = (id, attempt);
                if self.attempts.get(id).is_some() {
                    self.counters.attempts_cancelled += 1;
                    self.detach(id, true);
                    self.settle(id, Verdict::Cancelled);
                }
            }
            Action::Timer { token, at } => self.timers.push(millis(at), token),
            // Probes are not allowed on this platform, and its PING tells only that a connection works.
            Action::Probe { .. } if self.probed => {}
            Action::Probe { member } => {
                self.events.push_back(Event::Probed { member, verdict: Verdict::NeverSent });
            }
            // The bulletin tells all changes unasked.
            Action::Subscribe => {}
        }
    }

    /// Whether a request ends for want of time: less is left than any attempt could use.
    fn is_overdue(&self, now: f64, id: RequestId) -> bool {
        self.requests.get(id).is_some_and(|ask| now + OVER_MS >= ask.give_up_ms)
    }

    fn place(&mut self, now: f64, id: AttemptId, mut attempt: Attempt) {
        let member = attempt.to;
        let Some(address) = self.roster.address(member) else {
            self.attempts.put(id, attempt);
            return self.settle(id, Verdict::NeverSent);
        };
        let mut place = self.connections.place(member, id.0, now);
        if place == Place::Nowhere {
            if let Some(idle) = self.connections.evict(member) {
                self.effects.push_back(Effect::Wake(idle));
                place = self.connections.place(member, id.0, now);
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
                self.settle(id, Verdict::NeverSent);
            }
        }
    }

    /// What a connection's driver writes next. An attempt that waited is looked at again here, before its
    /// first byte: guards the rules on drains, purges and answered requests.
    pub fn next_write(&mut self, conn: ConnId) -> Next {
        loop {
            let now = self.clock.now();
            let Some(c) = self.connections.get_mut(conn) else { return Next::Close };
            if let Some(text) = c.drops.pop_front() {
                c.used_ms = now;
                return Next::Write(Command::Drop(text));
            }
            let Some(id) = c.queue.pop_front() else {
                return if c.closing && c.load() == 0 { Next::Close } else { Next::Idle };
            };
            if let Some(get) = self.written(now, id) {
                return Next::Write(Command::Get(Box::new(get)));
            }
            self.counters.attempts_stale += 1;
            self.settle(id, Verdict::NeverSent);
            self.run();
        }
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

    /// Marks an attempt as written from now on, and words it; none if it is stale.
    fn written(&mut self, now: f64, id: AttemptId) -> Option<Get> {
        let ask = self.requests.get(id.0)?;
        let attempt = self.attempts.get_mut(id)?;
        let able = |member: MemberId| self.roster.address(member).is_some();
        let left = attempt.due_ms.min(ask.give_up_ms) - now;
        if !able(attempt.to) || !attempt.source.is_none_or(able) || left < 1.0 || now >= attempt.start_by_ms {
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
                (guard.bound(now, class, ask.object, ask.part, ask.group, max_age_ms), Some(ask.group))
            }
            _ => (max_age_ms, None),
        };
        let c = self.connections.get_mut(attempt.conn)?;
        c.used_ms = now;
        c.out.insert(id.0, id);
        attempt.stage = Stage::Written(now);
        self.counters.attempts_written += 1;
        self.tallies.of(self.env.class_name(ask.class)?).tries += 1;
        Some(Get {
            id: ask.id_text.clone(),
            class: self.env.class_name(ask.class)?.to_string(),
            object: ask.object_text.clone(),
            part: ask.part,
            wait_ms: (left as u64).max(1),
            key: ask.key.clone(),
            source: attempt.source,
            keep: attempt.keep,
            max_age_ms,
            join: attempt.join,
            renew: attempt.renew,
            cached: ask.cached.clone(),
            group,
            body: ask.body.clone(),
        })
    }

    // ---- ends ----

    /// Gives a request its final answer, if it is still owed one.
    fn finish(&mut self, id: RequestId, answer: Final) {
        if let Some(ask) = self.requests.end(id) {
            let tally = self.tallies.of(self.env.class_name(ask.class).unwrap_or_default());
            let (counter, figure) = match &answer {
                Final::Served { .. } => (&mut self.counters.served, &mut tally.ok),
                Final::Same { .. } => (&mut self.counters.unchanged, &mut tally.ok),
                Final::Refused { .. } => (&mut self.counters.refused, &mut tally.shed),
                Final::Failed { .. } => (&mut self.counters.failed, &mut tally.errors),
            };
            *counter += 1;
            *figure += 1;
            self.effects.push_back(Effect::Answer(id, answer));
        }
    }

    /// Ends an attempt of whose path nothing is told, and tells the module at the next [`Self::run`].
    fn settle(&mut self, id: AttemptId, verdict: Verdict) {
        self.settle_noted(id, verdict, Note::Silent);
    }

    /// Ends an attempt, and tells the module at the next [`Self::run`], with what is told of the path.
    fn settle_noted(&mut self, id: AttemptId, verdict: Verdict, note: Note) {
        let Some(attempt) = self.attempts.end(id) else { return };
        let took = micros(self.clock.now() - attempt.sent_ms);
        let closed = self.requests.get(id.0).is_none();
        self.events.push_back(Event::Outcome { id: id.0, attempt: id.1, verdict, note, took, closed });
    }

    /// Takes an attempt off its connection; what was written is given up there.
    fn detach(&mut self, id: AttemptId, wake: bool) {
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
    fn stale(&mut self, is: impl Fn(&Ask, &Attempt) -> bool) {
        let waits = self.attempts.iter().filter(|(_, a)| a.stage == Stage::Queued);
        let hit = waits.filter(|(id, a)| self.requests.get(id.0).is_some_and(|ask| is(ask, a)));
        let mut hit: Vec<AttemptId> = hit.map(|(id, _)| *id).collect();
        hit.sort_unstable();
        for id in hit {
            self.counters.attempts_stale += 1;
            self.detach(id, false);
            self.settle(id, Verdict::NeverSent);
        }
    }

    /// A member drains, is gone or has moved: nothing new goes there, whatever waits for it is asked of the
    /// module again, and its connections end once they have nothing out. Its address may be another's soon.
    fn retire(&mut self, member: MemberId) {
        for (conn, c) in self.connections.iter_mut().filter(|(_, c)| c.member == member) {
            c.closing = true;
            self.effects.push_back(Effect::Wake(*conn));
        }
        self.stale(|_, attempt| attempt.to == member || attempt.source == Some(member));
    }
}
