//! Opens and closes the listeners of the virtual addresses according to the state of the router.

use super::config::{FrontKind, VirtualListenerConfig, VrrpConfig};
use super::listeners::{ListenerCommand, ListenerSet};
use super::machine::State;
use crate::wire::shutdown::GracefulShutdown;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Notify;

/// Maximum number of established connections in the kernel's accept queue.
const LISTEN_BACKLOG: u32 = 1_024;

/// The fronts that serve clients at virtual addresses.
pub trait VirtualFronts {
    /// Accepts and serves the connections of a listener until `closing` is notified. `stop` shuts the
    /// accepted connections down gracefully.
    fn serve(&self, front: FrontKind, listener: TcpListener, stop: Rc<GracefulShutdown>, closing: Rc<Notify>);
}

struct OpenListener {
    stop: Rc<GracefulShutdown>,
    closing: Rc<Notify>,
}

/// The listeners of one virtual router.
pub struct VirtualAddresses {
    configs: Vec<VirtualListenerConfig>,
    fronts: Box<dyn VirtualFronts>,
    listeners: RefCell<ListenerSet>,
    open: RefCell<BTreeMap<usize, OpenListener>>,
    /// Shutdowns of closed listeners whose connections are still draining.
    draining: RefCell<Vec<Rc<GracefulShutdown>>>,
    open_failures: Cell<u64>,
}

impl VirtualAddresses {
    /// Creates the listeners of a configuration file, all closed.
    pub fn new(config: &VrrpConfig, fronts: Box<dyn VirtualFronts>) -> Self {
        let configs = config.listeners.clone();
        let listeners = ListenerSet::new(configs.len(), config.open_timeout_ms, config.step_down_ms);
        Self {
            configs,
            fronts,
            listeners: RefCell::new(listeners),
            open: RefCell::default(),
            draining: RefCell::default(),
            open_failures: Cell::new(0),
        }
    }

    /// Opens or closes the listeners according to the state of the router.
    pub fn apply_state(&self, now: f64, state: State) {
        let commands = self.listeners.borrow_mut().apply_state(now, state);
        for command in commands {
            match command {
                ListenerCommand::Open(index) => {
                    let success = self.open(index);
                    self.listeners.borrow_mut().record_open_result(now, index, success);
                }
                ListenerCommand::Close(index) => self.close(index),
            }
        }
    }

    fn open(&self, index: usize) -> bool {
        let VirtualListenerConfig { address, front } = &self.configs[index];
        let listener = match bind(self.configs[index].socket_address()) {
            Ok(listener) => listener,
            Err(error) => {
                self.open_failures.set(self.open_failures.get() + 1);
                tracing::warn!(%address, %error, "virtual router: cannot listen at virtual address");
                return false;
            }
        };
        let (stop, closing) = (Rc::new(GracefulShutdown::default()), Rc::new(Notify::new()));
        self.fronts.serve(*front, listener, stop.clone(), closing.clone());
        self.open.borrow_mut().insert(index, OpenListener { stop, closing });
        tracing::info!(%address, "virtual router: listening at virtual address");
        true
    }

    /// Closes a listener. Established connections complete their requests, and idle ones are closed.
    fn close(&self, index: usize) {
        let closed = self.open.borrow_mut().remove(&index);
        if let Some(OpenListener { stop, closing }) = closed {
            closing.notify_one();
            stop.begin();
            self.remove_drained();
            self.draining.borrow_mut().push(stop);
        }
    }

    /// Closes all listeners.
    pub fn close_all(&self) {
        let open: Vec<usize> = self.open.borrow().keys().copied().collect();
        open.into_iter().for_each(|index| self.close(index));
    }

    /// Rejects the requests at closed listeners that have arrived only in part.
    pub fn reject_incomplete_requests(&self) {
        self.draining.borrow().iter().for_each(|stop| stop.reject_incomplete_requests());
    }

    fn remove_drained(&self) {
        self.draining.borrow_mut().retain(|stop| stop.open_connections() > 0);
    }

    /// Number of open connections, including those of closed listeners.
    pub fn open_connections(&self) -> usize {
        self.remove_drained();
        let open: usize = self.open.borrow().values().map(|listener| listener.stop.open_connections()).sum();
        let draining: usize = self.draining.borrow().iter().map(|stop| stop.open_connections()).sum();
        open + draining
    }

    /// Whether the router must stay out of the election because listeners could not be opened.
    pub fn must_step_down(&self, now: f64) -> bool {
        self.listeners.borrow().must_step_down(now)
    }

    /// Number of times that the router stepped down because listeners could not be opened.
    pub fn step_downs(&self) -> u64 {
        self.listeners.borrow().step_downs()
    }

    /// Number of failed attempts to open a listener.
    pub fn open_failures(&self) -> u64 {
        self.open_failures.get()
    }

    /// The configured listeners, and whether each is open.
    pub fn status(&self) -> Vec<(VirtualListenerConfig, bool)> {
        let listeners = self.listeners.borrow();
        let configs = self.configs.iter().cloned().enumerate();
        configs.map(|(index, config)| (config, listeners.is_open(index))).collect()
    }

    /// The latest time for the next call of [`Self::apply_state`], in milliseconds.
    pub fn due_ms(&self) -> f64 {
        self.listeners.borrow().due_ms()
    }
}

/// Binds the listener of a virtual address.
///
/// `SO_REUSEPORT` lets two active routers on one machine bind the same address, as two routers on
/// different hosts can; the kernel assigns each connection to one of them.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}
