//! Task that runs the shared health checks: exchanges datagrams with the other instances, runs the checks
//! whose leases this instance holds, and reports health changes to the engine.

use super::checker;
use super::config::HealthCheckConfig;
use super::health_status::HealthStatus;
use super::lease::{InstanceId, Lease};
use super::message::{CheckResult, Message, LABEL, MAX_DATAGRAM_BYTES};
use super::scheduler::{Action, Scheduler};
use crate::clock::duration_from_ms;
use crate::config_file::KeyFileError;
use crate::datagram_auth::DatagramAuth;
use crate::engine::executor::Executor;
use crate::text::format_endpoint_id;
use crate::EndpointId;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;

/// Interval at which the endpoint list is polled for changes, in milliseconds.
const ENDPOINT_POLL_INTERVAL_MS: f64 = 100.0;
/// Delay after which a result is sent a second time in case the first datagram was lost, in milliseconds.
const RESULT_RESEND_DELAY_MS: f64 = 100.0;
/// Maximum number of concurrent checks. Each uses a file descriptor.
pub const MAX_CONCURRENT_CHECKS: usize = 64;

/// Reason for rejecting a datagram.
#[derive(Debug, Error)]
enum DatagramError {
    /// The source address is not that of a configured peer.
    #[error("source address is not the address of a configured peer")]
    UnknownSender,
    /// Authentication failed.
    #[error(transparent)]
    AuthenticationFailed(#[from] crate::datagram_auth::AuthError),
    /// The payload is not a valid message.
    #[error("malformed message: {0}")]
    Malformed(#[from] simd_json::Error),
}

/// State of the shared health checks of this instance.
pub struct HealthChecker {
    executor: Rc<Executor>,
    pub(super) config: HealthCheckConfig,
    /// The socket at the configured `listen` address, once it is bound.
    socket: OnceCell<UdpSocket>,
    pub(super) scheduler: RefCell<Scheduler>,
    pub(super) health: RefCell<HealthStatus>,
    auth: RefCell<Option<DatagramAuth>>,
    /// Checked endpoints, with the address to which each check connects.
    pub(super) endpoints: RefCell<BTreeMap<EndpointId, SocketAddr>>,
    /// Version of the endpoint list from which `endpoints` was built.
    endpoint_list_version: Cell<u64>,
    pub(super) rejected_datagrams: Cell<u64>,
    peers: BTreeMap<InstanceId, SocketAddr>,
    check_permits: Semaphore,
}

impl HealthChecker {
    /// Creates the health checker. The engine no longer runs health checks itself.
    pub fn new(executor: Rc<Executor>, config: HealthCheckConfig) -> Result<Rc<Self>, KeyFileError> {
        let auth = config.keys()?.map(|keys| DatagramAuth::new(keys, config.clock_skew_ms, LABEL));
        let peers: BTreeMap<InstanceId, SocketAddr> = config.peer_addresses().collect();
        let times = config.scheduler_times();
        let scheduler = Scheduler::new(executor.clock.now(), config.id, peers.keys().copied(), times);
        executor.with(|engine| engine.delegate_health_checks());
        Ok(Rc::new(Self {
            scheduler: RefCell::new(scheduler),
            health: RefCell::new(HealthStatus::new(config.thresholds())),
            auth: RefCell::new(auth),
            endpoints: RefCell::default(),
            endpoint_list_version: Cell::new(u64::MAX),
            rejected_datagrams: Cell::new(0),
            peers,
            check_permits: Semaphore::new(MAX_CONCURRENT_CHECKS),
            executor,
            config,
            socket: OnceCell::new(),
        }))
    }

    /// Sets the socket, which must be bound to the configured `listen` address. [`run`] needs it.
    pub fn set_socket(&self, socket: UdpSocket) {
        // It is bound once.
        let _ = self.socket.set(socket);
    }

    /// Current time, in Unix milliseconds.
    pub(super) fn now(&self) -> f64 {
        self.executor.clock.now()
    }

    /// Reloads the key file, if one is configured. On an error the current keys remain in use.
    pub fn reload_keys(&self) -> Result<(), KeyFileError> {
        let keys = self.config.keys()?;
        if let (Some(auth), Some(keys)) = (&mut *self.auth.borrow_mut(), keys) {
            auth.set_keys(keys);
        }
        Ok(())
    }

    /// Updates the checked endpoints if the endpoint list has changed.
    fn update_endpoints(&self) {
        let version = self.executor.endpoint_list_changes();
        if self.endpoint_list_version.replace(version) == version {
            return;
        }
        let selector = &self.config.endpoints;
        let listed = selector.models.iter().flat_map(|model| self.executor.endpoints_of_kind(model));
        let endpoints: BTreeMap<_, _> = listed
            .map(|endpoint| {
                let address = endpoint.address;
                let port = selector.port.unwrap_or(address.port());
                (endpoint.id, SocketAddr::new((*address.ip()).into(), port))
            })
            .collect();
        self.scheduler.borrow_mut().set_endpoints(self.now(), endpoints.keys().copied());
        self.health.borrow_mut().retain(|endpoint| endpoints.contains_key(&endpoint));
        *self.endpoints.borrow_mut() = endpoints;
    }

    async fn send(&self, to: InstanceId, message: &Message) {
        let Some(address) = self.peers.get(&to) else { return };
        let payload = simd_json::to_vec(message).unwrap_or_default();
        let datagram = match &mut *self.auth.borrow_mut() {
            Some(auth) => auth.sign(self.now(), payload),
            None => payload,
        };
        let Some(socket) = self.socket.get() else { return };
        // Send errors are ignored: a peer that cannot be reached is detected by the failure timeout.
        let _ = socket.send_to(&datagram, address).await;
    }

    async fn broadcast(&self, message: &Message) {
        for id in self.peers.keys() {
            self.send(*id, message).await;
        }
    }

    async fn perform_actions(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Broadcast(message) => self.broadcast(&message).await,
                Action::Reply(to, message) => self.send(to, &message).await,
                Action::RunCheck(lease) => {
                    let checker = self.clone();
                    self.executor.spawn("health check", async move { checker.run_check(lease).await });
                }
            }
        }
    }

    /// Runs a check, applies its result and broadcasts it.
    async fn run_check(&self, lease: Lease) {
        let Some(address) = self.endpoints.borrow().get(&lease.endpoint).copied() else { return };
        let _permit = self.check_permits.acquire().await;
        let started_ms = self.now();
        let check_timeout = duration_from_ms(self.config.check_timeout_ms);
        let passed = checker::check(address, &self.config.check, check_timeout).await;
        let duration_ms = self.now() - started_ms;
        let result = CheckResult { endpoint: lease.endpoint, slot: lease.slot, passed, duration_ms };
        self.apply_result(result);
        let message = Message::Result(result);
        self.broadcast(&message).await;
        tokio::time::sleep(duration_from_ms(RESULT_RESEND_DELAY_MS)).await;
        self.broadcast(&message).await;
    }

    /// Applies a check result and reports a health change to the engine.
    fn apply_result(&self, result: CheckResult) {
        let endpoint = result.endpoint;
        if !self.endpoints.borrow().contains_key(&endpoint) || !result.duration_ms.is_finite() {
            return;
        }
        let changed = self.health.borrow_mut().apply(self.now(), result);
        if let Some(healthy) = changed {
            tracing::warn!(
                endpoint = %format_endpoint_id(endpoint),
                healthy,
                "health checks: endpoint health changed"
            );
            self.executor.with(|engine| engine.report_health_check(endpoint, healthy));
        }
    }

    /// Authenticates and decodes a datagram.
    fn decode(&self, from: SocketAddr, datagram: &[u8]) -> Result<(InstanceId, Message), DatagramError> {
        let peer = self.peers.iter().find(|(_, address)| **address == from);
        let (id, _) = peer.ok_or(DatagramError::UnknownSender)?;
        let mut payload = match &mut *self.auth.borrow_mut() {
            Some(auth) => auth.verify(self.now(), from, datagram)?.to_vec(),
            None => datagram.to_vec(),
        };
        Ok((*id, simd_json::from_slice(&mut payload)?))
    }

    /// Counts a rejected datagram. Logs only when the count is a power of two, to limit the log
    /// volume.
    fn record_rejected(&self, from: SocketAddr, reason: &DatagramError) {
        let rejected = self.rejected_datagrams.get() + 1;
        self.rejected_datagrams.set(rejected);
        if rejected.is_power_of_two() {
            tracing::warn!(%from, %reason, rejected, "health checks: datagram rejected");
        }
    }

    async fn receive(self: &Rc<Self>, from: SocketAddr, datagram: &[u8]) {
        let (id, message) = match self.decode(from, datagram) {
            Ok(received) => received,
            Err(reason) => return self.record_rejected(from, &reason),
        };
        if let Message::Result(result) = message {
            self.apply_result(result);
        }
        let actions = self.scheduler.borrow_mut().receive(self.now(), id, &message);
        self.perform_actions(actions).await;
    }
}

/// Runs the shared health checks. Returns only if the checker has no socket.
pub async fn run(checker: Rc<HealthChecker>) {
    let Some(socket) = checker.socket.get() else { return };
    let mut buffer = [0u8; MAX_DATAGRAM_BYTES];
    let mut next_endpoint_poll_ms = f64::NEG_INFINITY;
    loop {
        let now = checker.now();
        if now >= next_endpoint_poll_ms {
            next_endpoint_poll_ms = now + ENDPOINT_POLL_INTERVAL_MS;
            checker.update_endpoints();
        }
        let actions = checker.scheduler.borrow_mut().tick(now);
        checker.perform_actions(actions).await;
        let due_ms = checker.scheduler.borrow().next_due_ms(now).min(next_endpoint_poll_ms);
        tokio::select! {
            () = tokio::time::sleep(duration_from_ms((due_ms - now).max(1.0))) => {}
            received = socket.recv_from(&mut buffer) => {
                // Receive errors are ignored; the next iteration receives again.
                if let Ok((length, from)) = received {
                    checker.receive(from, &buffer[..length]).await;
                }
            }
        }
    }
}
