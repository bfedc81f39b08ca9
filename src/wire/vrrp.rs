//! VRRP version 3 for IPv4 (RFC 9568): which of several proxies is the active one.
//!
//! The state machine knows no socket and tells time by what it is given. It is carried over unicast UDP, since
//! this proxy holds no raw sockets; the message is the RFC's, with the checksum over the message alone. What a
//! proxy does with the virtual address is its operator's: here a change of state is logged and counted.

use crate::clock::{span, Clock};
use crate::engine::host::Host;
use serde::Deserialize;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// The priority of the address's owner.
pub const OWNER: u8 = 255;
/// The priority that says that its sender stops.
pub const STOPS: u8 = 0;
const HEAD: usize = 8;
const CENTISECOND_MS: f64 = 10.0;

/// What is wrong with a message.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BadMessage {
    /// Its length is not that of its addresses.
    #[error("length")]
    Length,
    /// It is of another version or type.
    #[error("version or type")]
    Version,
    /// Its checksum is wrong.
    #[error("checksum")]
    Checksum,
    /// Its interval is 0.
    #[error("interval")]
    Interval,
}

/// An advertisement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advertisement {
    /// The virtual router.
    pub vrid: u8,
    /// The sender's priority; [`STOPS`] says that it gives the state up.
    pub priority: u8,
    /// The sender's interval, in centiseconds: 1 to 4095.
    pub interval_cs: u16,
    /// The virtual addresses.
    pub addresses: Vec<Ipv4Addr>,
}

/// The ones' complement sum of RFC 1071.
fn checksum(bytes: &[u8]) -> u16 {
    let word = |pair: &[u8]| u32::from(pair[0]) << 8 | u32::from(*pair.get(1).unwrap_or(&0));
    let mut sum: u32 = bytes.chunks(2).map(word).sum();
    while sum > 0xffff {
        sum = (sum & 0xffff) + (sum >> 16);
    }
    !(sum as u16)
}

impl Advertisement {
    /// The message's bytes.
    pub fn encode(&self) -> Vec<u8> {
        let interval = (self.interval_cs & 0x0fff).to_be_bytes();
        let mut out =
            vec![0x31, self.vrid, self.priority, self.addresses.len() as u8, interval[0], interval[1], 0, 0];
        self.addresses.iter().for_each(|a| out.extend(a.octets()));
        let sum = checksum(&out).to_be_bytes();
        out[6..8].copy_from_slice(&sum);
        out
    }

    /// Reads a message. Reserved bits are skipped, as the RFC asks.
    pub fn decode(bytes: &[u8]) -> Result<Self, BadMessage> {
        let Some(&[kind, vrid, priority, count, high, low, _, _]) = bytes.first_chunk::<HEAD>() else {
            return Err(BadMessage::Length);
        };
        if kind != 0x31 {
            return Err(BadMessage::Version);
        }
        let addresses = bytes[HEAD..].chunks_exact(4);
        if count == 0 || bytes.len() != HEAD + 4 * usize::from(count) {
            return Err(BadMessage::Length);
        }
        if checksum(bytes) != 0 {
            return Err(BadMessage::Checksum);
        }
        let interval_cs = u16::from_be_bytes([high & 0x0f, low]);
        if interval_cs == 0 {
            return Err(BadMessage::Interval);
        }
        let addresses = addresses.map(|a| Ipv4Addr::new(a[0], a[1], a[2], a[3])).collect();
        Ok(Self { vrid, priority, interval_cs, addresses })
    }
}

/// The states of section 6.4.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not started.
    Initialize,
    /// Another one is active, as far as is known.
    Backup,
    /// This one is active.
    Active,
}

/// A virtual router as one proxy is configured for it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
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
    #[serde(default = "second")]
    pub interval_cs: u16,
    /// A higher priority takes over from a lower one that is active.
    #[serde(default = "yes")]
    pub preempt: bool,
    /// The virtual addresses.
    pub addresses: Vec<Ipv4Addr>,
}

fn second() -> u16 {
    100
}

fn yes() -> bool {
    true
}

impl Settings {
    /// What is wrong with them, by field.
    pub fn check(&self) -> Result<(), (&'static str, String)> {
        let all = self.peers.iter().chain([&self.listen]);
        if let Some(far) = all.into_iter().find(|a| !a.ip().is_loopback()) {
            return Err(("peers", format!("{far}: it is carried over loopback only")));
        }
        if self.peers.is_empty() || self.peers.len() > 16 {
            return Err(("peers", format!("{} are not within 1 to 16", self.peers.len())));
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
        if self.addresses.is_empty() || self.addresses.len() > 16 {
            return Err(("addresses", format!("{} are not within 1 to 16", self.addresses.len())));
        }
        Ok(())
    }
}

/// The state machine of one virtual router.
#[derive(Clone, Debug)]
pub struct Machine {
    set: Settings,
    state: State,
    /// The active one's interval, in milliseconds.
    active_interval_ms: f64,
    /// When the advertisement (active) or the active one's end (backup) is due.
    due_ms: f64,
}

impl Machine {
    /// A machine that has not started.
    pub fn new(set: Settings) -> Self {
        let active_interval_ms = f64::from(set.interval_cs) * CENTISECOND_MS;
        Self { set, state: State::Initialize, active_interval_ms, due_ms: f64::INFINITY }
    }

    /// The state.
    pub fn state(&self) -> State {
        self.state
    }

    /// When [`Self::tick`] has something to do.
    pub fn due_ms(&self) -> f64 {
        self.due_ms
    }

    fn skew_ms(&self) -> f64 {
        f64::from(256 - u16::from(self.set.priority)) * self.active_interval_ms / 256.0
    }

    fn down_ms(&self) -> f64 {
        3.0 * self.active_interval_ms + self.skew_ms()
    }

    fn own(&self, priority: u8) -> Advertisement {
        let (vrid, interval_cs) = (self.set.vrid, self.set.interval_cs);
        Advertisement { vrid, priority, interval_cs, addresses: self.set.addresses.clone() }
    }

    fn advertise(&mut self, now: f64) -> Option<Advertisement> {
        self.due_ms = now + f64::from(self.set.interval_cs) * CENTISECOND_MS;
        Some(self.own(self.set.priority))
    }

    fn backup(&mut self, now: f64, interval_ms: f64) {
        self.active_interval_ms = interval_ms;
        self.state = State::Backup;
        self.due_ms = now + self.down_ms();
    }

    /// Starts; what comes back is to be sent.
    pub fn start(&mut self, now: f64) -> Option<Advertisement> {
        if self.state != State::Initialize {
            return None;
        }
        if self.set.priority == OWNER {
            self.state = State::Active;
            return self.advertise(now);
        }
        self.backup(now, f64::from(self.set.interval_cs) * CENTISECOND_MS);
        None
    }

    /// Stops; an active one says so, that a backup need not wait for its silence.
    pub fn stop(&mut self) -> Option<Advertisement> {
        self.due_ms = f64::INFINITY;
        let was = std::mem::replace(&mut self.state, State::Initialize);
        (was == State::Active).then(|| self.own(STOPS))
    }

    /// Does what is due by `now`.
    pub fn tick(&mut self, now: f64) -> Option<Advertisement> {
        if now < self.due_ms || self.state == State::Initialize {
            return None;
        }
        self.state = State::Active;
        self.advertise(now)
    }

    /// Takes another's advertisement, from this address.
    pub fn receive(&mut self, now: f64, from: SocketAddr, ad: &Advertisement) -> Option<Advertisement> {
        if ad.vrid != self.set.vrid {
            return None;
        }
        let interval_ms = f64::from(ad.interval_cs) * CENTISECOND_MS;
        match self.state {
            State::Initialize => None,
            State::Backup => {
                if ad.priority == STOPS {
                    self.due_ms = now + self.skew_ms();
                } else if !self.set.preempt || ad.priority >= self.set.priority {
                    self.backup(now, interval_ms);
                }
                None
            }
            State::Active => {
                let theirs = (ad.priority, from.ip(), from.port());
                let ours = (self.set.priority, self.set.listen.ip(), self.set.listen.port());
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

/// Runs a virtual router until `stop`.
pub async fn run(host: Rc<Host>, set: Settings, socket: UdpSocket, stop: Rc<Notify>) {
    let clock: Clock = host.clock.clone();
    let mut machine = Machine::new(set.clone());
    let mut bytes = [0u8; 256];
    let mut say = machine.start(clock.now());
    let mut state = State::Initialize;
    loop {
        if let Some(ad) = say.take() {
            let text = ad.encode();
            for peer in &set.peers {
                // A peer that is down is found out by its silence.
                let sent = socket.send_to(&text, peer).await;
                host.with(|engine| engine.counters.vrrp_sent += u64::from(sent.is_ok()));
            }
        }
        if machine.state() != state {
            state = machine.state();
            host.with(|engine| engine.counters.vrrp_changes += 1);
            tracing::info!(vrid = set.vrid, ?state, "virtual router changed state");
            if state == State::Initialize {
                return;
            }
        }
        let wait = span(machine.due_ms() - clock.now());
        say = tokio::select! {
            () = stop.notified() => machine.stop(),
            () = tokio::time::sleep(wait) => machine.tick(clock.now()),
            got = socket.recv_from(&mut bytes) => match got {
                Ok((length, from)) if set.peers.contains(&from) => match Advertisement::decode(&bytes[..length]) {
                    Ok(ad) => {
                        host.with(|engine| engine.counters.vrrp_received += 1);
                        machine.receive(clock.now(), from, &ad)
                    }
                    Err(_) => {
                        host.with(|engine| engine.counters.vrrp_malformed += 1);
                        None
                    }
                },
                // From a stranger, or an error of an earlier send that comes back here.
                _ => None,
            },
        };
    }
}
