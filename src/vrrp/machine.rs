//! The state machine of one virtual router (RFC 9568, section 6.4). No I/O; time is what it is told.
//!
//! Beyond the RFC, each off by its default: a priority that moves with what is tracked, a fault in which the router
//! stands aside, a delay before it preempts, more lost advertisements before the active one counts as down, and a
//! hold on preemption while the state flaps. A dead active router is replaced whatever the hold says.

use super::message::{Advertisement, OWNER, STOPS};
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};

/// The most other routers: as many proxies as an installation may have, several times over.
pub const MAX_PEERS: usize = 4_096;
/// The most virtual addresses of one router. An advertisement counts them in one byte.
pub const MAX_ADDRESSES: usize = 16;

const CENTISECOND_MS: f64 = 10.0;

/// The states of section 6.4, and one for standing aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Not started.
    Initialize,
    /// Another one is active, as far as is known.
    Backup,
    /// This one is active.
    Active,
    /// Something that it needs is gone, or its operator said so: it is not to be active.
    Fault,
}

/// A virtual router as one proxy is configured for it.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where this proxy listens; its address decides between equal priorities.
    pub listen: SocketAddr,
    /// The other proxies of the virtual router.
    pub peers: Vec<SocketAddr>,
    /// The virtual router's number, from 1.
    pub vrid: u8,
    /// 1 to 254, or 255 for the addresses' owner.
    pub priority: u8,
    /// Between advertisements, in centiseconds.
    pub interval_cs: u16,
    /// A higher priority takes over from a lower one that is active.
    pub preempt: bool,
    /// The virtual addresses.
    pub addresses: Vec<Ipv4Addr>,
    /// How long a lower one must have been active before it is taken over from, in milliseconds.
    pub preempt_delay_ms: f64,
    /// Advertisements missed in a row after which the active one counts as down; the RFC says 3.
    pub down_intervals: u8,
    /// Times that it may become active within a minute before it preempts nobody for a while; 0 is no such bound.
    pub flaps_most: usize,
    /// For how long, in milliseconds.
    pub flap_hold_ms: f64,
}

/// The time over which changes count as flapping, in milliseconds.
const FLAP_WINDOW_MS: f64 = 60_000.0;

impl Settings {
    /// A router as the RFC has it, with an advertisement a second.
    pub fn new(
        listen: SocketAddr,
        peers: Vec<SocketAddr>,
        vrid: u8,
        priority: u8,
        addresses: Vec<Ipv4Addr>,
    ) -> Self {
        Self {
            listen,
            peers,
            vrid,
            priority,
            interval_cs: 100,
            preempt: true,
            addresses,
            preempt_delay_ms: 0.0,
            down_intervals: 3,
            flaps_most: 0,
            flap_hold_ms: 10_000.0,
        }
    }

    /// What is wrong with them, by field.
    pub fn check(&self) -> Result<(), (&'static str, String)> {
        let all = self.peers.iter().chain([&self.listen]);
        if let Some(far) = all.into_iter().find(|a| !a.ip().is_loopback()) {
            return Err(("peers", format!("{far}: it is carried over loopback only")));
        }
        if self.peers.is_empty() || self.peers.len() > MAX_PEERS {
            return Err(("peers", format!("{} are not within 1 to {MAX_PEERS}", self.peers.len())));
        }
        if self.vrid == 0 {
            return Err(("vrid", "0 is none".into()));
        }
        if self.priority == STOPS {
            return Err(("priority", "0 is for stopping".into()));
        }
        if !(1..=4_095).contains(&self.interval_cs) {
            return Err(("interval_cs", format!("{} is not within 1 to 4095", self.interval_cs)));
        }
        if self.addresses.is_empty() || self.addresses.len() > MAX_ADDRESSES {
            return Err((
                "addresses",
                format!("{} are not within 1 to {MAX_ADDRESSES}", self.addresses.len()),
            ));
        }
        let within = |ms: f64| ms.is_finite() && (0.0..=3_600_000.0).contains(&ms);
        if !within(self.preempt_delay_ms) || !within(self.flap_hold_ms) {
            return Err(("preempt_delay_ms", "0 to 3,600,000, as `flap_hold_ms`".into()));
        }
        if !(1..=100).contains(&self.down_intervals) {
            return Err(("down_intervals", format!("{} is not within 1 to 100", self.down_intervals)));
        }
        Ok(())
    }

    /// The longest that a backup waits after the active one's last advertisement, in milliseconds, at a priority and
    /// with the active one's interval as its own.
    pub fn takeover_ms(&self, priority: u8) -> f64 {
        let interval = f64::from(self.interval_cs) * CENTISECOND_MS;
        f64::from(self.down_intervals) * interval + f64::from(256 - u16::from(priority)) * interval / 256.0
    }
}

/// The state machine of one virtual router.
#[derive(Clone, Debug)]
pub struct Machine {
    set: Settings,
    state: State,
    /// The priority by now.
    priority: u8,
    /// The active one's interval, in milliseconds.
    active_interval_ms: f64,
    /// When the advertisement (active) or the active one's end (backup) is due.
    due_ms: f64,
    /// Since when the wait for the active one's end runs.
    waits_ms: f64,
    /// Since when a lower one is known to be active.
    lower_ms: Option<f64>,
    /// When it became active lately.
    activations: VecDeque<f64>,
    /// Until then it preempts nobody.
    hold_ms: f64,
}

impl Machine {
    /// A machine that has not started.
    pub fn new(set: Settings) -> Self {
        let active_interval_ms = f64::from(set.interval_cs) * CENTISECOND_MS;
        Self {
            priority: set.priority,
            set,
            state: State::Initialize,
            active_interval_ms,
            due_ms: f64::INFINITY,
            waits_ms: 0.0,
            lower_ms: None,
            activations: VecDeque::new(),
            hold_ms: f64::NEG_INFINITY,
        }
    }

    /// The state.
    pub fn state(&self) -> State {
        self.state
    }

    /// The priority by now.
    pub fn priority(&self) -> u8 {
        self.priority
    }

    /// Until when it preempts nobody, for flapping.
    pub fn hold_ms(&self) -> f64 {
        self.hold_ms
    }

    /// When [`Self::tick`] has something to do.
    pub fn due_ms(&self) -> f64 {
        self.due_ms
    }

    /// Takes other settings; the state stays, and so does the wait that runs.
    pub fn reconfigure(&mut self, set: Settings) {
        self.set = set;
    }

    fn skew_ms(&self) -> f64 {
        f64::from(256 - u16::from(self.priority)) * self.active_interval_ms / 256.0
    }

    fn down_ms(&self) -> f64 {
        f64::from(self.set.down_intervals) * self.active_interval_ms + self.skew_ms()
    }

    fn own(&self, priority: u8) -> Advertisement {
        let (vrid, interval_cs) = (self.set.vrid, self.set.interval_cs);
        Advertisement { vrid, priority, interval_cs, addresses: self.set.addresses.clone() }
    }

    fn advertise(&mut self, now: f64) -> Option<Advertisement> {
        self.due_ms = now + f64::from(self.set.interval_cs) * CENTISECOND_MS;
        Some(self.own(self.priority))
    }

    fn wait(&mut self, now: f64) {
        (self.waits_ms, self.due_ms) = (now, now + self.down_ms());
    }

    fn backup(&mut self, now: f64, interval_ms: f64) {
        self.active_interval_ms = interval_ms;
        (self.state, self.lower_ms) = (State::Backup, None);
        self.wait(now);
    }

    fn activate(&mut self, now: f64) -> Option<Advertisement> {
        if self.state != State::Active {
            self.state = State::Active;
            self.activations.retain(|at| now - at < FLAP_WINDOW_MS);
            self.activations.push_back(now);
            if self.set.flaps_most > 0 && self.activations.len() > self.set.flaps_most {
                self.activations.pop_front();
                self.hold_ms = now + self.set.flap_hold_ms;
            }
        }
        self.advertise(now)
    }

    /// Starts; what comes back is to be sent.
    pub fn start(&mut self, now: f64) -> Option<Advertisement> {
        if self.state != State::Initialize {
            return None;
        }
        if self.priority == OWNER {
            return self.activate(now);
        }
        self.backup(now, f64::from(self.set.interval_cs) * CENTISECOND_MS);
        None
    }

    /// Stops; an active one says so, that a backup need not wait for its silence.
    pub fn stop(&mut self) -> Option<Advertisement> {
        self.leave(State::Initialize)
    }

    fn leave(&mut self, to: State) -> Option<Advertisement> {
        self.due_ms = f64::INFINITY;
        let was = std::mem::replace(&mut self.state, to);
        (was == State::Active).then(|| self.own(STOPS))
    }

    /// Stands aside, or comes back as a backup. One that was active says that it stops.
    pub fn set_fault(&mut self, now: f64, fault: bool) -> Option<Advertisement> {
        match (self.state, fault) {
            (State::Backup | State::Active, true) => self.leave(State::Fault),
            (State::Fault, false) => {
                self.backup(now, f64::from(self.set.interval_cs) * CENTISECOND_MS);
                None
            }
            _ => None,
        }
    }

    /// Takes another priority; an active one tells it at once, that a better one need not wait to hear of it.
    pub fn set_priority(&mut self, now: f64, priority: u8) -> Option<Advertisement> {
        let priority = if self.set.priority == OWNER { OWNER } else { priority.clamp(1, OWNER - 1) };
        if priority == self.priority {
            return None;
        }
        self.priority = priority;
        match self.state {
            State::Active => self.advertise(now),
            State::Backup => {
                // The wait that runs is measured anew: the skew follows the priority.
                self.due_ms = self.waits_ms + self.down_ms();
                None
            }
            State::Initialize | State::Fault => None,
        }
    }

    /// Does what is due by `now`.
    pub fn tick(&mut self, now: f64) -> Option<Advertisement> {
        if now < self.due_ms || matches!(self.state, State::Initialize | State::Fault) {
            return None;
        }
        self.activate(now)
    }

    /// Whether a lower one that is active may be taken over from.
    fn preempts(&mut self, now: f64) -> bool {
        let since = *self.lower_ms.get_or_insert(now);
        self.set.preempt && now - since >= self.set.preempt_delay_ms && now >= self.hold_ms
    }

    /// Takes another's advertisement, from this address.
    pub fn receive(&mut self, now: f64, from: SocketAddr, ad: &Advertisement) -> Option<Advertisement> {
        if ad.vrid != self.set.vrid {
            return None;
        }
        let interval_ms = f64::from(ad.interval_cs) * CENTISECOND_MS;
        match self.state {
            State::Initialize | State::Fault => None,
            State::Backup => {
                if ad.priority == STOPS {
                    (self.waits_ms, self.due_ms, self.lower_ms) =
                        (now - self.down_ms() + self.skew_ms(), now + self.skew_ms(), None);
                } else if ad.priority >= self.priority {
                    self.backup(now, interval_ms);
                } else if !self.preempts(now) {
                    self.active_interval_ms = interval_ms;
                    self.wait(now);
                }
                None
            }
            State::Active => {
                let theirs = (ad.priority, from.ip(), from.port());
                let ours = (self.priority, self.set.listen.ip(), self.set.listen.port());
                if ad.priority != STOPS && theirs > ours {
                    self.backup(now, interval_ms);
                    return None;
                }
                // To one that stops, and to one that must not be active, this one says that it is.
                self.advertise(now)
            }
        }
    }
}

#[cfg(test)]
mod tests;
