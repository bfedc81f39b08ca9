//! The door's decisions: admit a request now, queue it, or refuse it at once with a time to come back that the
//! door keeps. No I/O and no clock but the time it is told, in Unix milliseconds.
//!
//! **Sharing.** Deficit round robin (Shreedhar and Varghese, SIGCOMM 1995) at two levels: tenants in a ring, each
//! given its weight as quantum per round, and within a tenant its clients in a ring, one request each per turn.
//! A request costs one; the door's capacity is a number of requests at once (a concurrency limit), not bytes.
//!
//! **A reserve for light clients.** A share of the limit ([`AdmissionBounds::reserve_share`]) is taken only by clients
//! that have nothing open and nothing waiting, at once as they come: a heavy client's backlog never stands
//! between a light one and a free place, and the round robin hands out only what lies outside the reserve. A
//! heavy client alone has the rest of the limit, which an adaptive limit widens.
//!
//! **Capacity.** At most `limit` admitted requests are open at once. The limit is fixed, or moves as TCP's window
//! does (additive increase while it binds and answers come in time, a multiplicative cut at most once per
//! [`CUT_GAP_MS`] when the decision module refuses or a request ends late), within its bounds.
//!
//! **Memory.** Only clients with queued requests have state, reclaimed when their queue empties; the queue is
//! bounded in requests and bytes, and the tickets (below) are an LRU of fixed size. A hundred thousand distinct
//! clients cost no more than the bounds: see [`FairQueue::heap_bytes`] and [`AdmissionBounds::bytes_bound`].
//!
//! **Come back.** A request that can't be served in its time is refused at once with the time at which its
//! client's share will have room. The door books that time: it holds a *ticket* for the client, from a calendar
//! of 100 ms slots each with room for a share ([`AdmissionBounds::ticket_share`]) of what the door serves in a slot. A
//! client that comes back with a ticket goes ahead of the queues, so that it is in fact served then. Where no slot
//! is free within the longest come-back, the longest is told and nothing is promised (counted).

use crate::RequestId;
use ahash::AHashMap;
use lru::LruCache;
use std::collections::{BTreeSet, VecDeque};
use std::num::NonZeroUsize;

/// Least time between two cuts of the limit, in milliseconds.
pub const CUT_GAP_MS: f64 = 200.0;
/// What a cut leaves of the limit.
pub const CUT: f64 = 0.9;
/// Length of a slot of the tickets' calendar, in milliseconds.
pub const SLOT_MS: f64 = 100.0;
/// How early a ticket may be used, in milliseconds: clients' clocks and ways differ.
pub const EARLY_MS: f64 = 50.0;
/// Weight of a new service time in the door's mean.
const SERVICE_GAIN: f64 = 0.05;
/// The service time taken for granted before any is measured, in milliseconds.
const SERVICE_FIRST_MS: f64 = 100.0;

/// Who a request comes from, as the door counts clients: an address cut to the operator's prefix.
pub type ClientKey = u128;

/// The bounds and rates of a door.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionBounds {
    /// Requests queued at most, over all.
    pub queue_most: usize,
    /// Requests queued at most for one client.
    pub per_client_most: usize,
    /// Requests queued at most for one tenant.
    pub per_tenant_most: usize,
    /// Bytes of queued requests' bodies at most.
    pub bytes_most: usize,
    /// Tickets held at most.
    pub tickets_most: usize,
    /// The share of a slot's capacity that tickets may book.
    pub ticket_share: f64,
    /// The share of the limit that only clients with nothing open and nothing waiting may take.
    pub reserve_share: f64,
    /// The least come-back that is told, in milliseconds.
    pub come_back_least_ms: f64,
    /// The longest come-back that is told, in milliseconds.
    pub come_back_most_ms: f64,
    /// A request with less time left than this once admitted is not queued, in milliseconds.
    pub least_service_ms: f64,
}

/// What a hash table of `n` entries of `size` bytes takes at most: its buckets are a power of two of at least
/// eight sevenths of its entries, and each has a control byte.
fn table(n: usize, size: usize) -> usize {
    (n * 8 / 7 + 1).next_power_of_two() * (size + 1)
}

impl AdmissionBounds {
    /// The most bytes that a door with these bounds holds beyond its own size, bodies of queued requests
    /// excluded (those are bounded by `bytes_most`), with at most `open_most` requests admitted at once: what
    /// the operator page states. Every queued request may be of a client and a tenant of its own.
    pub fn bytes_bound(&self, open_most: usize) -> usize {
        use std::mem::size_of;
        let n = self.queue_most;
        let deque = |items: usize, size: usize| (items.max(4)).next_power_of_two() * size;
        table(n, size_of::<(RequestId, Entry)>())
            + table(n, size_of::<(ClientKey, Flow)>())
            + n * deque(1, size_of::<RequestId>())
            + table(n, size_of::<(u32, Tenant)>())
            + n * deque(1, size_of::<ClientKey>())
            + deque(n, 4)
            + deque(n, size_of::<RequestId>())
            + n * DUE_BYTES
            + table(open_most, size_of::<(RequestId, (f64, ClientKey, bool))>())
            + table(open_most, size_of::<(ClientKey, u32)>())
            + table(self.tickets_most, size_of::<(ClientKey, usize)>())
            + self.tickets_most * TICKET_BYTES
            + deque((self.come_back_most_ms / SLOT_MS) as usize + 2, 4)
    }
}

/// A deadline's place in the ordered set, at most: its key and its share of the tree's nodes.
const DUE_BYTES: usize = 2 * std::mem::size_of::<(u64, RequestId)>();
/// A ticket's node in the LRU: key, value and two links.
const TICKET_BYTES: usize = std::mem::size_of::<(ClientKey, Ticket)>() + 2 * std::mem::size_of::<usize>();

/// The concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Where it starts.
    pub first: f64,
    /// The least it goes to.
    pub least: f64,
    /// The most it goes to.
    pub most: f64,
    /// Whether it moves with outcomes.
    pub adaptive: bool,
}

/// A request at the door.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Its id.
    pub id: RequestId,
    /// Its client.
    pub client: ClientKey,
    /// Its tenant.
    pub tenant: u32,
    /// When its client gives up, Unix milliseconds.
    pub give_up_ms: f64,
    /// Bytes of its body.
    pub bytes: usize,
}

/// Why the door refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Refusal {
    /// The client has as many queued as it may.
    Client,
    /// The tenant has as many queued as it may.
    Tenant,
    /// The queue is full, in requests or bytes.
    Full,
    /// Its share would not reach it before its time is over.
    Time,
    /// Its time ran out while it was queued.
    Waited,
}

impl Refusal {
    /// A word for logs and figures.
    pub fn word(self) -> &'static str {
        match self {
            Self::Client => "client",
            Self::Tenant => "tenant",
            Self::Full => "full",
            Self::Time => "time",
            Self::Waited => "waited",
        }
    }
}

/// What the door does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It goes to the engine now.
    Admit,
    /// It waits for its turn.
    Queue,
    /// It is refused now: trying again does no harm. The client is to come back after this many milliseconds.
    Refuse {
        /// Come-back time.
        come_back_ms: f64,
        /// Why.
        reason: Refusal,
    },
    /// A request of that id is at the door or open already.
    Duplicate,
}

/// How an admitted request ended, as far as the door's limit cares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Answered, in time.
    Answered,
    /// Refused by the decision module, or ended late: the door let in more than can be served.
    Overloaded,
    /// Its client left, or it failed for a reason of its own.
    Other,
}

/// Where a waiting request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Line {
    /// Its client came back with a ticket.
    Ticket,
    /// In the round robin.
    Round,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    client: ClientKey,
    tenant: u32,
    bytes: usize,
    line: Line,
    /// Its key in the deadlines.
    due: u64,
}

#[derive(Clone, Debug, Default)]
struct Flow {
    queue: VecDeque<RequestId>,
}

#[derive(Clone, Debug, Default)]
struct Tenant {
    ring: VecDeque<ClientKey>,
    deficit: f64,
    queued: usize,
}

#[derive(Clone, Copy, Debug)]
struct Ticket {
    due_ms: f64,
    until_ms: f64,
}

/// Figures of a door.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct AdmissionFigures {
    /// Admitted at once.
    pub admitted: u64,
    /// Queued, then admitted.
    pub released: u64,
    /// Refused, by reason: client, tenant, full, time, waited.
    pub refused: [u64; 5],
    /// Left while queued.
    pub left: u64,
    /// Tickets given with a refusal.
    pub tickets: u64,
    /// Tickets used by their client in time and admitted.
    pub honoured: u64,
    /// Refusals after which nothing could be promised.
    pub unbooked: u64,
    /// Tickets that ran out unused.
    pub expired: u64,
}

/// The door. See the module's page.
#[derive(Debug)]
pub struct FairQueue {
    bounds: AdmissionBounds,
    limit: Limit,
    current: f64,
    cut_at_ms: f64,
    service_ms: f64,
    weights: AHashMap<u32, f64>,
    weight: f64,
    open: AHashMap<RequestId, (f64, ClientKey, bool)>,
    open_by: AHashMap<ClientKey, u32>,
    /// Open requests that came in by the reserve.
    open_light: usize,
    entries: AHashMap<RequestId, Entry>,
    flows: AHashMap<ClientKey, Flow>,
    tenants: AHashMap<u32, Tenant>,
    ring: VecDeque<u32>,
    lane: VecDeque<RequestId>,
    /// When waiting requests' time is over, by the bits of the time (which order as the times do) and id.
    due: BTreeSet<(u64, RequestId)>,
    tickets: LruCache<ClientKey, Ticket>,
    calendar: VecDeque<u32>,
    calendar_from_ms: f64,
    bytes: usize,
    /// Its figures.
    pub figures: AdmissionFigures,
}

impl FairQueue {
    /// A door with these bounds and this limit; every tenant weighs `weight` unless `weights` says otherwise.
    pub fn new(bounds: AdmissionBounds, limit: Limit, weight: f64, weights: AHashMap<u32, f64>) -> Self {
        let tickets = LruCache::new(NonZeroUsize::new(bounds.tickets_most.max(1)).expect("at least one"));
        Self {
            bounds,
            limit,
            current: limit.first.clamp(limit.least, limit.most),
            cut_at_ms: f64::NEG_INFINITY,
            service_ms: SERVICE_FIRST_MS,
            weights,
            weight,
            open: AHashMap::new(),
            open_by: AHashMap::new(),
            open_light: 0,
            entries: AHashMap::new(),
            flows: AHashMap::new(),
            tenants: AHashMap::new(),
            ring: VecDeque::new(),
            lane: VecDeque::new(),
            due: BTreeSet::new(),
            tickets,
            calendar: VecDeque::new(),
            calendar_from_ms: 0.0,
            bytes: 0,
            figures: AdmissionFigures::default(),
        }
    }

    /// Takes other weights; what is queued stays queued, and the new shares hold from the next round.
    pub fn reweigh(&mut self, weight: f64, weights: AHashMap<u32, f64>) {
        (self.weight, self.weights) = (weight, weights);
        for tenant in self.tenants.values_mut() {
            tenant.deficit = tenant.deficit.min(1.0);
        }
    }

    fn weight_of(&self, tenant: u32) -> f64 {
        self.weights.get(&tenant).copied().unwrap_or(self.weight)
    }

    /// Requests admitted and not yet ended.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Requests queued.
    pub fn queued(&self) -> usize {
        self.entries.len()
    }

    /// The concurrency limit as it stands.
    pub fn limit(&self) -> f64 {
        self.current
    }

    /// Requests queued by tenant.
    pub fn depths(&self) -> impl Iterator<Item = (u32, usize)> + '_ {
        self.tenants.iter().map(|(t, q)| (*t, q.queued))
    }

    /// What the door serves in a second at its limit, by Little's law.
    fn rate_per_ms(&self) -> f64 {
        self.current / self.service_ms.max(1.0)
    }

    fn places(&self) -> usize {
        self.current.floor().max(1.0) as usize
    }

    fn has_room(&self) -> bool {
        self.open.len() < self.places()
    }

    /// Room outside the reserve for light clients.
    fn has_room_for_rounds(&self) -> bool {
        let reserve = (self.bounds.reserve_share * self.places() as f64).ceil() as usize;
        self.has_room() && self.open.len() - self.open_light + reserve.min(self.places() - 1) < self.places()
    }

    fn is_sparse(&self, client: ClientKey) -> bool {
        !self.open_by.contains_key(&client) && !self.flows.contains_key(&client)
    }

    /// A request comes to the door.
    pub fn arrive(&mut self, now_ms: f64, a: Arrival) -> Verdict {
        if self.entries.contains_key(&a.id) || self.open.contains_key(&a.id) {
            return Verdict::Duplicate;
        }
        self.expire_tickets(now_ms);
        let ticket = self.tickets.peek(&a.client).copied();
        let holder = ticket.is_some_and(|t| now_ms >= t.due_ms - EARLY_MS && now_ms <= t.until_ms);
        if holder {
            self.tickets.pop(&a.client);
            self.figures.honoured += 1;
            if self.has_room() {
                return self.admit_now(now_ms, a.id, a.client);
            }
            self.enter(a, Line::Ticket);
            return Verdict::Queue;
        }
        if self.has_room_for_rounds() && self.entries.is_empty() {
            return self.admit_now(now_ms, a.id, a.client);
        }
        if self.is_sparse(a.client) && self.has_room() && self.lane.is_empty() {
            self.open_light += 1;
            self.admit_now(now_ms, a.id, a.client);
            self.open.get_mut(&a.id).expect("just opened").2 = true;
            return Verdict::Admit;
        }
        let flow_len = self.flows.get(&a.client).map_or(0, |f| f.queue.len());
        let tenant_len = self.tenants.get(&a.tenant).map_or(0, |t| t.queued);
        let wait = self.wait_ms(a.client, a.tenant, flow_len + 1);
        let reason = if flow_len >= self.bounds.per_client_most {
            Some(Refusal::Client)
        } else if tenant_len >= self.bounds.per_tenant_most {
            Some(Refusal::Tenant)
        } else if self.entries.len() >= self.bounds.queue_most
            || self.bytes + a.bytes > self.bounds.bytes_most
        {
            Some(Refusal::Full)
        } else if now_ms + wait + self.bounds.least_service_ms > a.give_up_ms {
            Some(Refusal::Time)
        } else {
            None
        };
        match reason {
            None => {
                self.enter(a, Line::Round);
                Verdict::Queue
            }
            Some(reason) => {
                let come_back_ms = self.come_back(now_ms, a.client, a.tenant, ticket);
                self.figures.refused[reason as usize] += 1;
                Verdict::Refuse { come_back_ms, reason }
            }
        }
    }

    fn admit_now(&mut self, now_ms: f64, id: RequestId, client: ClientKey) -> Verdict {
        self.open_one(now_ms, id, client);
        self.figures.admitted += 1;
        Verdict::Admit
    }

    fn open_one(&mut self, now_ms: f64, id: RequestId, client: ClientKey) {
        self.open.insert(id, (now_ms, client, false));
        *self.open_by.entry(client).or_default() += 1;
    }

    fn enter(&mut self, a: Arrival, line: Line) {
        let due = (a.give_up_ms - self.bounds.least_service_ms).max(0.0).to_bits();
        let entry = Entry { client: a.client, tenant: a.tenant, bytes: a.bytes, line, due };
        self.entries.insert(a.id, entry);
        self.bytes += a.bytes;
        self.due.insert((due, a.id));
        if line == Line::Ticket {
            return self.lane.push_back(a.id);
        }
        let flow = self.flows.entry(a.client).or_default();
        flow.queue.push_back(a.id);
        let fresh = flow.queue.len() == 1;
        let tenant = self.tenants.entry(a.tenant).or_default();
        tenant.queued += 1;
        if fresh {
            tenant.ring.push_back(a.client);
            if tenant.ring.len() == 1 {
                self.ring.push_back(a.tenant);
            }
        }
    }

    /// How long a request that would stand `place`-th in its client's queue waits, in milliseconds.
    fn wait_ms(&self, client: ClientKey, tenant: u32, place: usize) -> f64 {
        let active: f64 = self.ring.iter().map(|t| self.weight_of(*t)).sum();
        let mine = self.weight_of(tenant);
        let joins = !self.ring.contains(&tenant);
        let share = mine / (active + if joins { mine } else { 0.0 }).max(f64::MIN_POSITIVE);
        let clients = self.tenants.get(&tenant).map_or(0, |t| t.ring.len())
            + usize::from(!self.flows.contains_key(&client));
        let rate = self.rate_per_ms() * share / clients.max(1) as f64;
        (place as f64 + self.lane.len() as f64 * share) / rate.max(1e-9)
    }

    /// The time to come back, booked as a ticket where the calendar has room.
    fn come_back(&mut self, now_ms: f64, client: ClientKey, tenant: u32, held: Option<Ticket>) -> f64 {
        let (least, most) = (self.bounds.come_back_least_ms, self.bounds.come_back_most_ms);
        if let Some(ticket) = held.filter(|t| t.until_ms >= now_ms) {
            return (ticket.due_ms - now_ms).clamp(least, most);
        }
        // When its share will have room: what is queued before it has been served.
        let place = self.flows.get(&client).map_or(0, |f| f.queue.len());
        let drain = self.wait_ms(client, tenant, place.max(1)).max(least);
        if drain > most {
            self.figures.unbooked += 1;
            return most;
        }
        self.roll_calendar(now_ms);
        let room = (self.bounds.ticket_share * self.rate_per_ms() * SLOT_MS).floor().max(1.0) as u32;
        let first = ((now_ms + drain - self.calendar_from_ms) / SLOT_MS).ceil() as usize;
        let slots = (most / SLOT_MS) as usize;
        for slot in first..=slots.max(first) {
            while self.calendar.len() <= slot {
                self.calendar.push_back(0);
            }
            if self.calendar[slot] < room {
                self.calendar[slot] += 1;
                let due_ms = self.calendar_from_ms + slot as f64 * SLOT_MS;
                let come_back = (due_ms - now_ms).clamp(least, most);
                let until_ms = now_ms + come_back + (come_back / 2.0).max(500.0);
                self.tickets.put(client, Ticket { due_ms: now_ms + come_back, until_ms });
                self.figures.tickets += 1;
                return come_back;
            }
        }
        self.figures.unbooked += 1;
        most
    }

    fn roll_calendar(&mut self, now_ms: f64) {
        if self.calendar.is_empty() {
            self.calendar_from_ms = (now_ms / SLOT_MS).floor() * SLOT_MS;
        }
        while self.calendar_from_ms + SLOT_MS <= now_ms {
            self.calendar.pop_front();
            self.calendar_from_ms += SLOT_MS;
            if self.calendar.is_empty() {
                self.calendar_from_ms = (now_ms / SLOT_MS).floor() * SLOT_MS;
            }
        }
    }

    fn expire_tickets(&mut self, now_ms: f64) {
        while let Some((_, ticket)) = self.tickets.peek_lru() {
            if ticket.until_ms >= now_ms {
                break;
            }
            self.tickets.pop_lru();
            self.figures.expired += 1;
        }
    }

    /// The next queued request whose turn it is: ticket holders first, then by deficit round robin where there
    /// is room outside the reserve.
    fn pick(&mut self) -> Option<RequestId> {
        if let Some(id) = self.lane.pop_front() {
            return Some(id);
        }
        if !self.has_room_for_rounds() {
            return None;
        }
        let least = self.weights.values().copied().chain([self.weight]).fold(f64::INFINITY, f64::min);
        let rounds = self.ring.len() * (1.0 / least.max(0.01)).ceil() as usize + 2;
        for _ in 0..rounds {
            let &tenant_id = self.ring.front()?;
            let weight = self.weight_of(tenant_id);
            let tenant = self.tenants.get_mut(&tenant_id).expect("a tenant in the ring");
            if tenant.deficit < 1.0 {
                // Its turn begins: its weight is its quantum.
                tenant.deficit += weight;
                if tenant.deficit < 1.0 {
                    self.ring.rotate_left(1);
                    continue;
                }
            }
            let client = tenant.ring.pop_front().expect("a tenant in the ring has clients");
            let flow = self.flows.get_mut(&client).expect("a client in a ring has a flow");
            let id = flow.queue.pop_front().expect("a flow in a ring has requests");
            tenant.deficit -= 1.0;
            tenant.queued -= 1;
            if flow.queue.is_empty() {
                self.flows.remove(&client);
            } else {
                tenant.ring.push_back(client);
            }
            if tenant.ring.is_empty() {
                self.tenants.remove(&tenant_id);
                self.ring.pop_front();
            } else if tenant.deficit < 1.0 {
                // Its turn is over.
                self.ring.rotate_left(1);
            }
            return Some(id);
        }
        None
    }

    /// Takes a queued request out of its queues: its client left, or its time is over.
    fn take_out(&mut self, id: RequestId) -> Option<Entry> {
        let entry = self.entries.remove(&id)?;
        self.bytes -= entry.bytes;
        self.due.remove(&(entry.due, id));
        if entry.line == Line::Ticket {
            self.lane.retain(|queued| *queued != id);
            return Some(entry);
        }
        let Some(flow) = self.flows.get_mut(&entry.client) else { return Some(entry) };
        flow.queue.retain(|queued| *queued != id);
        let gone = flow.queue.is_empty();
        if gone {
            self.flows.remove(&entry.client);
        }
        if let Some(tenant) = self.tenants.get_mut(&entry.tenant) {
            tenant.queued -= 1;
            if gone {
                tenant.ring.retain(|c| *c != entry.client);
            }
            if tenant.ring.is_empty() {
                self.tenants.remove(&entry.tenant);
                self.ring.retain(|t| *t != entry.tenant);
            }
        }
        Some(entry)
    }

    /// A queued request's client left: its place is free, and nothing is owed.
    pub fn left(&mut self, id: RequestId) -> bool {
        let queued = self.take_out(id).is_some();
        self.figures.left += u64::from(queued);
        queued
    }

    /// An admitted request ended. Returns the queued requests that go to the engine now, in order.
    pub fn ended(&mut self, now_ms: f64, id: RequestId, ending: Ending) -> Vec<RequestId> {
        if let Some((since, client, light)) = self.open.remove(&id) {
            self.open_light -= usize::from(light);
            if let Some(count) = self.open_by.get_mut(&client) {
                *count -= 1;
                if *count == 0 {
                    self.open_by.remove(&client);
                }
            }
            if ending == Ending::Answered {
                self.service_ms += SERVICE_GAIN * ((now_ms - since).max(0.0) - self.service_ms);
            }
            self.adapt(now_ms, ending);
        }
        self.release(now_ms)
    }

    fn adapt(&mut self, now_ms: f64, ending: Ending) {
        if !self.limit.adaptive {
            return;
        }
        match ending {
            Ending::Overloaded if now_ms >= self.cut_at_ms + CUT_GAP_MS => {
                self.cut_at_ms = now_ms;
                self.current = (self.current * CUT).max(self.limit.least);
            }
            // Grows only where it binds: with nothing waiting, more room proves nothing.
            Ending::Answered if !self.entries.is_empty() => {
                self.current = (self.current + 1.0 / self.current).min(self.limit.most);
            }
            _ => {}
        }
    }

    /// The queued requests that may go to the engine now, in order.
    pub fn release(&mut self, now_ms: f64) -> Vec<RequestId> {
        let mut out = Vec::new();
        while self.has_room() {
            let Some(id) = self.pick() else { break };
            let Some(entry) = self.entries.remove(&id) else { continue };
            self.bytes -= entry.bytes;
            self.due.remove(&(entry.due, id));
            self.open_one(now_ms, id, entry.client);
            self.figures.released += 1;
            out.push(id);
        }
        out
    }

    /// Queued requests whose time is over by now, refused with a time to come back.
    pub fn expired(&mut self, now_ms: f64) -> Vec<(RequestId, f64)> {
        let mut out = Vec::new();
        while let Some(&(due, id)) = self.due.first() {
            if f64::from_bits(due) > now_ms {
                break;
            }
            let Some(entry) = self.take_out(id) else {
                self.due.remove(&(due, id));
                continue;
            };
            let come_back = self.come_back(now_ms, entry.client, entry.tenant, None);
            self.figures.refused[Refusal::Waited as usize] += 1;
            out.push((id, come_back));
        }
        out
    }

    /// When the next queued request's time is over.
    pub fn next_due(&mut self) -> Option<f64> {
        self.due.first().map(|(due, _)| f64::from_bits(*due))
    }

    /// A close estimate of the bytes held beyond the door's own size, bodies excluded.
    pub fn heap_bytes(&self) -> usize {
        use std::mem::size_of;
        let map = |cap: usize, entry: usize| cap * (entry + 1);
        map(self.open.capacity(), size_of::<(RequestId, (f64, ClientKey, bool))>())
            + map(self.open_by.capacity(), size_of::<(ClientKey, u32)>())
            + map(self.entries.capacity(), size_of::<(RequestId, Entry)>())
            + map(self.flows.capacity(), size_of::<(ClientKey, Flow)>())
            + self.flows.values().map(|f| f.queue.capacity() * size_of::<RequestId>()).sum::<usize>()
            + map(self.tenants.capacity(), size_of::<(u32, Tenant)>())
            + self.tenants.values().map(|t| t.ring.capacity() * size_of::<ClientKey>()).sum::<usize>()
            + self.ring.capacity() * 4
            + self.lane.capacity() * 8
            + self.due.len() * DUE_BYTES
            + self.tickets.len() * (TICKET_BYTES + size_of::<(ClientKey, usize)>() + 1)
            + self.calendar.capacity() * 4
    }

    /// Tickets held.
    pub fn tickets(&self) -> usize {
        self.tickets.len()
    }
}

/// Tenants' weights from pairs; a set that is not a map is the caller's to check.
pub fn weights(pairs: impl IntoIterator<Item = (u32, f64)>) -> AHashMap<u32, f64> {
    pairs.into_iter().collect()
}
