//! A running virtual router: state machine, tracked objects, authentication of the peers' datagrams, and
//! listeners. The task in [`super::driver`] drives it.

use super::config::VrrpConfig;
use super::machine::{Machine, State};
use super::message::{Advertisement, DecodeError, SIGNATURE_LABEL, STOP_PRIORITY};
use super::track::{TrackedValues, Tracker, TrackingEffect};
use super::virtual_addresses::{VirtualAddresses, VirtualFronts};
use crate::config_file::KeyFileError;
use crate::datagram_auth::{AuthError, DatagramAuth};
use crate::engine::executor::Executor;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use thiserror::Error;
use tokio::sync::Notify;

/// Last advertisement of a peer, as reported by the admin call.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Peer {
    /// Time of receipt, in Unix milliseconds.
    #[serde(rename = "heard_ms")]
    last_received_ms: f64,
    /// Advertised priority.
    priority: u8,
}

/// Counters of a virtual router, as reported by the admin call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RouterMetrics {
    /// Number of times that the router became active.
    pub became_active: u64,
    /// Number of times that the router ceased to be active.
    #[serde(rename = "gave_up")]
    pub ceased_active: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Valid advertisements received.
    pub received: u64,
    /// Datagrams that do not contain a valid advertisement.
    pub malformed: u64,
    /// Datagrams with a missing or wrong signature.
    #[serde(rename = "unsealed")]
    pub unauthenticated: u64,
    /// Datagrams that were replayed, or whose timestamp is too far from this proxy's clock.
    pub replayed: u64,
    /// Datagrams from addresses that are not configured as peers.
    #[serde(rename = "strangers")]
    pub unknown_senders: u64,
    /// Advertisements with another VRID or other virtual addresses.
    pub mismatched: u64,
    /// Advertisements received from another active router while this one was active.
    #[serde(rename = "splits")]
    pub active_conflicts: u64,
    /// Number of failed attempts to open a listener.
    pub open_failures: u64,
}

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
enum Rejection {
    /// The sender's address is not configured as a peer.
    #[error("the sender is not a configured peer")]
    UnknownSender,
    /// The signature or the sequence number of the datagram is not valid.
    #[error(transparent)]
    NotAuthentic(#[from] AuthError),
    /// The message is not a valid advertisement.
    #[error("malformed advertisement: {0}")]
    Malformed(#[from] DecodeError),
    /// The advertisement has another VRID or other virtual addresses.
    #[error("the VRID or the virtual addresses differ from the configured ones")]
    Mismatched,
}

/// A virtual router, shared by its task and the admin calls.
pub struct VirtualRouter {
    pub(super) executor: Rc<Executor>,
    pub(super) config: RefCell<VrrpConfig>,
    pub(super) machine: RefCell<Machine>,
    pub(super) addresses: VirtualAddresses,
    pub(super) trackers: RefCell<Vec<Tracker>>,
    tracked_values: Box<dyn TrackedValues>,
    auth: RefCell<Option<DatagramAuth>>,
    pub(super) peers: RefCell<BTreeMap<SocketAddr, Peer>>,
    /// Whether an operator made the router step down.
    pub(super) operator_step_down: Cell<bool>,
    /// When the state last changed, in Unix milliseconds.
    pub(super) state_since_ms: Cell<f64>,
    /// Makes the task sample the tracked objects immediately.
    pub(super) sample_requested: Notify,
    metrics: Cell<RouterMetrics>,
}

impl VirtualRouter {
    /// Creates a router from its configuration file, without starting it.
    pub fn new(
        executor: Rc<Executor>,
        config: VrrpConfig,
        fronts: Box<dyn VirtualFronts>,
        tracked_values: Box<dyn TrackedValues>,
    ) -> Result<Rc<Self>, KeyFileError> {
        let auth = config.keys()?.map(|keys| DatagramAuth::new(keys, config.clock_skew_ms, SIGNATURE_LABEL));
        Ok(Rc::new(Self {
            machine: RefCell::new(Machine::new(config.router_settings())),
            addresses: VirtualAddresses::new(&config, fronts),
            trackers: RefCell::new(config.track_rules.iter().cloned().map(Tracker::new).collect()),
            tracked_values,
            auth: RefCell::new(auth),
            peers: RefCell::default(),
            operator_step_down: Cell::new(false),
            state_since_ms: Cell::new(executor.clock.now()),
            sample_requested: Notify::new(),
            metrics: Cell::default(),
            config: RefCell::new(config),
            executor,
        }))
    }

    /// Applies a reloaded configuration file: the settings of the state machine, the keys and the tracking
    /// rules. The listeners and their delays are fixed until a restart, and so is `clock_skew_ms` while
    /// authentication stays on. If the keys cannot be read, nothing changes.
    pub fn reconfigure(&self, config: VrrpConfig) -> Result<(), KeyFileError> {
        let keys = config.keys()?;
        match (&mut *self.auth.borrow_mut(), keys) {
            (Some(auth), Some(keys)) => auth.set_keys(keys),
            (auth, keys) => {
                *auth = keys.map(|keys| DatagramAuth::new(keys, config.clock_skew_ms, SIGNATURE_LABEL))
            }
        }
        self.replace_trackers(&config);
        self.machine.borrow_mut().reconfigure(config.router_settings());
        *self.config.borrow_mut() = config;
        self.sample_requested.notify_one();
        Ok(())
    }

    /// Replaces the tracking rules. A failed object stays failed until it recovers according to its new rule.
    fn replace_trackers(&self, config: &VrrpConfig) {
        let mut trackers = self.trackers.borrow_mut();
        let replaced = config.track_rules.iter().cloned().map(|rule| {
            let previous = trackers.iter().find(|tracker| tracker.rule().object == rule.object);
            Tracker::with_state(rule, previous.is_some_and(Tracker::is_failed))
        });
        *trackers = replaced.collect();
    }

    /// Current state.
    pub fn state(&self) -> State {
        self.machine.borrow().state()
    }

    /// Keeps the router out of the election until [`Self::resume`], by request of an operator.
    pub fn step_down(&self) {
        self.operator_step_down.set(true);
        self.sample_requested.notify_one();
    }

    /// Lets the router take part in the election again, as a backup.
    pub fn resume(&self) {
        self.operator_step_down.set(false);
        self.sample_requested.notify_one();
    }

    /// Closes the listeners of the virtual addresses and drains their connections.
    pub fn close_all(&self) {
        self.addresses.close_all();
    }

    /// See [`VirtualAddresses::reject_incomplete_requests`].
    pub fn reject_incomplete_requests(&self) {
        self.addresses.reject_incomplete_requests();
    }

    /// Number of open client connections at the virtual addresses.
    pub fn open_connections(&self) -> usize {
        self.addresses.open_connections()
    }

    /// The current values of the counters.
    pub fn counters(&self) -> RouterMetrics {
        RouterMetrics { open_failures: self.addresses.open_failures(), ..self.metrics.get() }
    }

    pub(super) fn count(&self, change: impl FnOnce(&mut RouterMetrics)) {
        let mut metrics = self.metrics.get();
        change(&mut metrics);
        self.metrics.set(metrics);
    }

    /// Counts and logs a change of the state.
    pub(super) fn state_changed(&self, now: f64, previous: State, state: State) {
        self.state_since_ms.set(now);
        self.executor.with(|engine| engine.counters.vrrp_changes += 1);
        self.count(|metrics| {
            metrics.became_active += u64::from(state == State::Active);
            metrics.ceased_active += u64::from(previous == State::Active);
        });
        tracing::info!(
            vrid = self.config.borrow().router_settings().vrid,
            ?state,
            ?previous,
            priority = self.machine.borrow().priority(),
            "virtual router: state changed"
        );
    }

    /// Samples the tracked objects and applies the resulting priority and fault state. Returns the
    /// advertisements to send.
    pub(super) fn sample_tracked_objects(&self) -> Vec<Advertisement> {
        let now = self.executor.clock.now();
        self.update_trackers(now);
        let configured = self.config.borrow().router_settings().priority;
        let TrackingEffect { priority, fault } = TrackingEffect::compute(configured, &self.trackers.borrow());
        let fault = fault || self.operator_step_down.get() || self.addresses.must_step_down(now);
        let mut machine = self.machine.borrow_mut();
        let advertisements = [machine.set_priority(now, priority), machine.set_fault(now, fault)];
        advertisements.into_iter().flatten().collect()
    }

    fn update_trackers(&self, now: f64) {
        for tracker in self.trackers.borrow_mut().iter_mut() {
            let value = self.tracked_values.value(&tracker.rule().object);
            if tracker.sample(now, value) {
                tracing::warn!(
                    object = %tracker.rule().object,
                    value,
                    failed = tracker.is_failed(),
                    "virtual router: tracked object failed or recovered"
                );
            }
        }
    }

    /// Handles a received datagram. Returns the advertisement to send, if any.
    pub(super) fn receive(&self, from: SocketAddr, datagram: &[u8]) -> Option<Advertisement> {
        let now = self.executor.clock.now();
        let advertisement = match self.authenticate_and_decode(now, from, datagram) {
            Ok(advertisement) => advertisement,
            Err(rejection) => {
                self.reject(from, rejection);
                return None;
            }
        };
        self.executor.with(|engine| engine.counters.vrrp_received += 1);
        let peer = Peer { last_received_ms: now, priority: advertisement.priority };
        self.peers.borrow_mut().insert(from, peer);
        let is_conflict = self.state() == State::Active && advertisement.priority != STOP_PRIORITY;
        self.count(|metrics| {
            metrics.received += 1;
            metrics.active_conflicts += u64::from(is_conflict);
        });
        self.machine.borrow_mut().receive(now, from, &advertisement)
    }

    /// Authenticates, decodes and validates a datagram.
    fn authenticate_and_decode(
        &self,
        now: f64,
        from: SocketAddr,
        datagram: &[u8],
    ) -> Result<Advertisement, Rejection> {
        let settings = self.config.borrow().router_settings();
        if !settings.peers.contains(&from) {
            return Err(Rejection::UnknownSender);
        }
        let message = match &mut *self.auth.borrow_mut() {
            Some(auth) => auth.verify(now, from, datagram)?,
            None => datagram,
        };
        let advertisement = Advertisement::decode(message)?;
        if advertisement.vrid != settings.vrid || advertisement.addresses != settings.addresses {
            return Err(Rejection::Mismatched);
        }
        Ok(advertisement)
    }

    /// Counts a rejected datagram. To limit the log volume, datagrams from unknown senders are not logged,
    /// and other rejected datagrams only when their total number reaches a power of two.
    fn reject(&self, from: SocketAddr, rejection: Rejection) {
        self.count(|metrics| match rejection {
            Rejection::UnknownSender => metrics.unknown_senders += 1,
            Rejection::NotAuthentic(AuthError::Replayed | AuthError::ClockSkew) => metrics.replayed += 1,
            Rejection::NotAuthentic(_) => metrics.unauthenticated += 1,
            Rejection::Malformed(_) => metrics.malformed += 1,
            Rejection::Mismatched => metrics.mismatched += 1,
        });
        match rejection {
            Rejection::UnknownSender => return,
            Rejection::Malformed(_) => self.executor.with(|engine| engine.counters.vrrp_malformed += 1),
            Rejection::NotAuthentic(_) | Rejection::Mismatched => {}
        }
        let metrics = self.metrics.get();
        let rejected = metrics.malformed + metrics.unauthenticated + metrics.replayed + metrics.mismatched;
        if rejected.is_power_of_two() {
            tracing::warn!(%from, reason = %rejection, rejected, "virtual router: datagram rejected");
        }
    }

    /// Encodes an advertisement, and signs it if authentication is configured. Each signed datagram
    /// has a new sequence number.
    pub(super) fn encode(&self, advertisement: &Advertisement) -> Vec<u8> {
        let message = advertisement.encode();
        match &mut *self.auth.borrow_mut() {
            Some(auth) => auth.sign(self.executor.clock.now(), message),
            None => message,
        }
    }
}
