//! The state machine of one virtual router (RFC 9568, section 6.4). No I/O: callers pass the current time, in
//! milliseconds.
//!
//! Extensions to the RFC: a priority that depends on tracked objects, a fault state in which the router takes
//! no part in the election, a preemption delay, a configurable number of missed advertisements before the
//! active router counts as down, and a pause of preemption after flapping. None of the preemption settings
//! delays the replacement of a failed active router. With the default settings, timers and preemption follow
//! the RFC.

use super::message::{Advertisement, CENTISECOND_MS, OWNER_PRIORITY, STOP_PRIORITY};
use crate::config_file::FieldError;
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};

/// Maximum number of peers.
pub const MAX_PEERS: usize = 4_096;
/// Maximum number of virtual addresses of one router.
pub const MAX_ADDRESSES: usize = 16;

/// Longest advertisement interval that the 12-bit field of the message can hold, in centiseconds.
const MAX_INTERVAL_CS: u16 = 4_095;
/// Upper bound of the delays, in milliseconds.
const MAX_DELAY_MS: f64 = 3_600_000.0;
/// Upper bound of [`RouterSettings::down_intervals`].
const MAX_DOWN_INTERVALS: u8 = 100;

/// The states of RFC 9568, section 6.4, and the fault state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Not started, or stopped.
    Initialize,
    /// Monitors the active router, to replace it if it fails.
    Backup,
    /// Serves the virtual addresses and sends advertisements.
    Active,
    /// Cannot serve, or stepped down by request of an operator: must not become active.
    Fault,
}

/// The settings of one proxy for a virtual router.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Address at which this proxy receives advertisements. Of two routers of equal priority, the one with
    /// the higher address wins the election.
    pub listen: SocketAddr,
    /// Addresses of the other proxies of the virtual router.
    pub peers: Vec<SocketAddr>,
    /// Virtual router identifier (VRID), 1 to 255.
    pub vrid: u8,
    /// Priority: 1 to 254, or 255 for the owner of the addresses.
    pub priority: u8,
    /// Advertisement interval, in centiseconds.
    pub interval_cs: u16,
    /// Whether this router preempts an active router of lower priority.
    pub preempt: bool,
    /// The virtual addresses.
    pub addresses: Vec<Ipv4Addr>,
    /// How long an active router of lower priority must have been observed before it is preempted, in
    /// milliseconds.
    pub preempt_delay_ms: f64,
    /// Consecutive missed advertisements after which the active router counts as down; 3 in the RFC.
    pub down_intervals: u8,
    /// Maximum number of activations of this router within a minute before it pauses preemption; 0 for no
    /// limit.
    pub max_activations: usize,
    /// Duration of the pause of preemption after too many activations, in milliseconds.
    pub flap_hold_ms: f64,
}

/// Length of the sliding window in which activations are counted, in milliseconds.
const FLAP_WINDOW_MS: f64 = 60_000.0;

impl RouterSettings {
    /// Creates settings with the defaults of the RFC: one advertisement per second, with preemption.
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
            max_activations: 0,
            flap_hold_ms: 10_000.0,
        }
    }

    /// Validates all fields.
    pub fn check(&self) -> Result<(), FieldError> {
        let error = |field, reason: String| Err(FieldError::new(field, reason));
        let socket_addresses = self.peers.iter().chain([&self.listen]);
        if let Some(address) = socket_addresses.into_iter().find(|address| !address.ip().is_loopback()) {
            return error(
                "peers",
                format!("`listen` and `peers` must be loopback addresses; {address} is not"),
            );
        }
        if self.peers.is_empty() || self.peers.len() > MAX_PEERS {
            return error(
                "peers",
                format!("number of peers is {}, must be between 1 and {MAX_PEERS}", self.peers.len()),
            );
        }
        if self.vrid == 0 {
            return error("vrid", "0 is not between 1 and 255".into());
        }
        if self.priority == STOP_PRIORITY {
            return error(
                "priority",
                "0 is reserved for a router that stops; must be between 1 and 255".into(),
            );
        }
        if !(1..=MAX_INTERVAL_CS).contains(&self.interval_cs) {
            let reason = format!("{} is not between 1 and {MAX_INTERVAL_CS}", self.interval_cs);
            return error("interval_cs", reason);
        }
        if self.addresses.is_empty() || self.addresses.len() > MAX_ADDRESSES {
            let reason = format!(
                "number of addresses is {}, must be between 1 and {MAX_ADDRESSES}",
                self.addresses.len()
            );
            return error("addresses", reason);
        }
        let is_valid = |ms: f64| ms.is_finite() && (0.0..=MAX_DELAY_MS).contains(&ms);
        if !is_valid(self.preempt_delay_ms) || !is_valid(self.flap_hold_ms) {
            let reason = format!(
                "`preempt_delay_ms` is {} and `flap_hold_ms` is {}, must be between 0 and {MAX_DELAY_MS}",
                self.preempt_delay_ms, self.flap_hold_ms
            );
            return error("preempt_delay_ms", reason);
        }
        if !(1..=MAX_DOWN_INTERVALS).contains(&self.down_intervals) {
            let reason = format!("{} is not between 1 and {MAX_DOWN_INTERVALS}", self.down_intervals);
            return error("down_intervals", reason);
        }
        Ok(())
    }

    /// Time from the active router's last advertisement until a backup of `priority` takes over, in
    /// milliseconds, if both routers have the same advertisement interval.
    pub fn takeover_ms(&self, priority: u8) -> f64 {
        let interval_ms = self.interval_ms();
        f64::from(self.down_intervals) * interval_ms + skew_ms(priority, interval_ms)
    }

    /// Advertisement interval, in milliseconds.
    fn interval_ms(&self) -> f64 {
        f64::from(self.interval_cs) * CENTISECOND_MS
    }
}

/// `Skew_Time` of the RFC, in milliseconds. It decreases with the priority, so that the backup of the highest
/// priority takes over first.
fn skew_ms(priority: u8, interval_ms: f64) -> f64 {
    f64::from(256 - u16::from(priority)) * interval_ms / 256.0
}

/// The state machine of one virtual router.
#[derive(Clone, Debug)]
pub struct Machine {
    settings: RouterSettings,
    state: State,
    /// Current priority, after reductions by tracked objects.
    priority: u8,
    /// Advertisement interval of the active router, in milliseconds.
    active_interval_ms: f64,
    /// When the `Adver_Timer` (active) or the `Active_Down_Timer` (backup) of the RFC expires.
    due_ms: f64,
    /// When the `Active_Down_Timer` was started; backdated after the active router stops, so that only the
    /// `Skew_Time` is left.
    down_timer_started_ms: f64,
    /// Since when advertisements of an active router of lower priority have been received.
    lower_active_since_ms: Option<f64>,
    /// Times of the activations within [`FLAP_WINDOW_MS`].
    activations: VecDeque<f64>,
    /// End of the pause of preemption after flapping.
    no_preemption_until_ms: f64,
}

impl Machine {
    /// Creates a machine in the state [`State::Initialize`].
    pub fn new(settings: RouterSettings) -> Self {
        Self {
            priority: settings.priority,
            active_interval_ms: settings.interval_ms(),
            settings,
            state: State::Initialize,
            due_ms: f64::INFINITY,
            down_timer_started_ms: 0.0,
            lower_active_since_ms: None,
            activations: VecDeque::new(),
            no_preemption_until_ms: f64::NEG_INFINITY,
        }
    }

    /// Current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Current priority.
    pub fn priority(&self) -> u8 {
        self.priority
    }

    /// End of the pause of preemption after flapping; in the past if there is none.
    pub fn no_preemption_until_ms(&self) -> f64 {
        self.no_preemption_until_ms
    }

    /// When [`Self::tick`] must be called next.
    pub fn due_ms(&self) -> f64 {
        self.due_ms
    }

    /// Replaces the settings. The state, the current priority and running timers are kept.
    pub fn reconfigure(&mut self, settings: RouterSettings) {
        self.settings = settings;
    }

    /// `Skew_Time` of the RFC, in milliseconds.
    fn skew_ms(&self) -> f64 {
        skew_ms(self.priority, self.active_interval_ms)
    }

    /// `Active_Down_Interval` of the RFC, in milliseconds.
    fn active_down_ms(&self) -> f64 {
        f64::from(self.settings.down_intervals) * self.active_interval_ms + self.skew_ms()
    }

    fn advertisement(&self, priority: u8) -> Advertisement {
        let (vrid, interval_cs) = (self.settings.vrid, self.settings.interval_cs);
        Advertisement { vrid, priority, interval_cs, addresses: self.settings.addresses.clone() }
    }

    fn advertise(&mut self, now: f64) -> Option<Advertisement> {
        self.due_ms = now + self.settings.interval_ms();
        Some(self.advertisement(self.priority))
    }

    /// Starts the `Active_Down_Timer`.
    fn start_active_down_timer(&mut self, now: f64) {
        (self.down_timer_started_ms, self.due_ms) = (now, now + self.active_down_ms());
    }

    fn become_backup(&mut self, now: f64, interval_ms: f64) {
        self.active_interval_ms = interval_ms;
        (self.state, self.lower_active_since_ms) = (State::Backup, None);
        self.start_active_down_timer(now);
    }

    fn become_active(&mut self, now: f64) -> Option<Advertisement> {
        if self.state != State::Active {
            self.state = State::Active;
            self.activations.retain(|at| now - at < FLAP_WINDOW_MS);
            self.activations.push_back(now);
            if self.settings.max_activations > 0 && self.activations.len() > self.settings.max_activations {
                self.activations.pop_front();
                self.no_preemption_until_ms = now + self.settings.flap_hold_ms;
            }
        }
        self.advertise(now)
    }

    /// Starts the router. Like the other event handlers, returns the advertisement to send, if any.
    pub fn start(&mut self, now: f64) -> Option<Advertisement> {
        if self.state != State::Initialize {
            return None;
        }
        if self.priority == OWNER_PRIORITY {
            return self.become_active(now);
        }
        self.become_backup(now, self.settings.interval_ms());
        None
    }

    /// Stops the router. An active router advertises priority 0, so that a backup takes over after its
    /// `Skew_Time` alone.
    pub fn stop(&mut self) -> Option<Advertisement> {
        self.stop_participating(State::Initialize)
    }

    /// Stops taking part in the election: enters `next`, a state without timers.
    fn stop_participating(&mut self, next: State) -> Option<Advertisement> {
        self.due_ms = f64::INFINITY;
        let previous = std::mem::replace(&mut self.state, next);
        (previous == State::Active).then(|| self.advertisement(STOP_PRIORITY))
    }

    /// Enters or leaves the fault state. An active router that enters it advertises priority 0; a router that
    /// leaves it becomes a backup.
    pub fn set_fault(&mut self, now: f64, fault: bool) -> Option<Advertisement> {
        match (self.state, fault) {
            (State::Backup | State::Active, true) => self.stop_participating(State::Fault),
            (State::Fault, false) => {
                self.become_backup(now, self.settings.interval_ms());
                None
            }
            _ => None,
        }
    }

    /// Changes the priority. An active router advertises it immediately, so that a router of higher priority
    /// can preempt it without waiting for the next advertisement.
    pub fn set_priority(&mut self, now: f64, priority: u8) -> Option<Advertisement> {
        let priority = if self.settings.priority == OWNER_PRIORITY {
            OWNER_PRIORITY
        } else {
            priority.clamp(1, OWNER_PRIORITY - 1)
        };
        if priority == self.priority {
            return None;
        }
        self.priority = priority;
        match self.state {
            State::Active => self.advertise(now),
            State::Backup => {
                // The `Skew_Time` in the running timer depends on the priority.
                self.due_ms = self.down_timer_started_ms + self.active_down_ms();
                None
            }
            State::Initialize | State::Fault => None,
        }
    }

    /// Handles the timer if it has expired at `now`.
    pub fn tick(&mut self, now: f64) -> Option<Advertisement> {
        if now < self.due_ms || matches!(self.state, State::Initialize | State::Fault) {
            return None;
        }
        self.become_active(now)
    }

    /// Whether this router may preempt the active router of lower priority whose advertisement it received.
    /// Starts the preemption delay if it is not running.
    fn may_preempt(&mut self, now: f64) -> bool {
        let since = *self.lower_active_since_ms.get_or_insert(now);
        self.settings.preempt
            && now - since >= self.settings.preempt_delay_ms
            && now >= self.no_preemption_until_ms
    }

    /// Handles an advertisement from the router at `from`.
    pub fn receive(&mut self, now: f64, from: SocketAddr, received: &Advertisement) -> Option<Advertisement> {
        if received.vrid != self.settings.vrid {
            return None;
        }
        match self.state {
            State::Initialize | State::Fault => None,
            State::Backup => {
                self.receive_as_backup(now, received);
                None
            }
            State::Active => self.receive_as_active(now, from, received),
        }
    }

    fn receive_as_backup(&mut self, now: f64, received: &Advertisement) {
        if received.priority == STOP_PRIORITY {
            // The active router stopped: wait for the `Skew_Time` only. The start is backdated, so that
            // `set_priority` recomputes the expiry from the new `Skew_Time` alone.
            self.down_timer_started_ms = now - self.active_down_ms() + self.skew_ms();
            self.due_ms = now + self.skew_ms();
            self.lower_active_since_ms = None;
        } else if received.priority >= self.priority {
            self.become_backup(now, received.interval_ms());
        } else if !self.may_preempt(now) {
            self.active_interval_ms = received.interval_ms();
            self.start_active_down_timer(now);
        }
    }

    fn receive_as_active(
        &mut self,
        now: f64,
        from: SocketAddr,
        received: &Advertisement,
    ) -> Option<Advertisement> {
        let theirs = (received.priority, from.ip(), from.port());
        let ours = (self.priority, self.settings.listen.ip(), self.settings.listen.port());
        if received.priority != STOP_PRIORITY && theirs > ours {
            self.become_backup(now, received.interval_ms());
            return None;
        }
        // Inform a router that stopped, or an active router of lower precedence, that this router is active.
        self.advertise(now)
    }
}

#[cfg(test)]
mod tests;
