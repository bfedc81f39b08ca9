//! The connection slots of a listener. At the limit, an idle or slow connection is evicted for a new one.

use crate::clock::duration_from_ms;
use crate::engine::executor::Executor;
use crate::state::client_slots::{ClientSlots, SlotId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::timeout;

/// How often a new connection retries to acquire a slot, in milliseconds.
const RETRY_MS: f64 = 20.0;

/// A listener's slots.
pub(super) struct ConnectionSlots {
    table: RefCell<ClientSlots>,
    evictions: RefCell<HashMap<SlotId, Rc<Notify>>>,
    /// Notified when a slot becomes free or idle.
    changed: Notify,
}

impl ConnectionSlots {
    /// Creates a table of `max` slots, at least one, all free.
    pub(super) fn new(max: usize) -> Rc<Self> {
        Rc::new(Self {
            table: RefCell::new(ClientSlots::new(max)),
            evictions: RefCell::default(),
            changed: Notify::new(),
        })
    }

    /// Waits for a slot, evicting a connection where none is free.
    pub(super) async fn acquire(self: &Rc<Self>, executor: &Rc<Executor>) -> ConnectionSlot {
        loop {
            let now = executor.clock.now();
            if let Some(slot) = self.try_acquire(now) {
                return slot;
            }
            let evicted_id = self.table.borrow_mut().evict_one(now);
            if let Some(eviction) = evicted_id.and_then(|id| self.evictions.borrow().get(&id).cloned()) {
                executor.with(|engine| engine.counters.client_connections_evicted += 1);
                eviction.notify_one();
            }
            let _ = timeout(duration_from_ms(RETRY_MS), self.changed.notified()).await;
        }
    }

    fn try_acquire(self: &Rc<Self>, now: f64) -> Option<ConnectionSlot> {
        let id = self.table.borrow_mut().claim(now)?;
        let eviction = Rc::new(Notify::new());
        self.evictions.borrow_mut().insert(id, eviction.clone());
        Some(ConnectionSlot { slots: self.clone(), id, eviction, evicted: Cell::new(false) })
    }
}

/// The slot of one connection, released on drop.
pub(super) struct ConnectionSlot {
    slots: Rc<ConnectionSlots>,
    id: SlotId,
    eviction: Rc<Notify>,
    evicted: Cell<bool>,
}

impl ConnectionSlot {
    /// Marks the connection as receiving a request since `since`, in Unix milliseconds.
    pub(super) fn set_reading(&self, since: f64) {
        self.slots.table.borrow_mut().request_started(self.id, since);
    }

    /// Marks a request as open, which protects the connection from eviction.
    pub(super) fn set_busy(&self) {
        self.slots.table.borrow_mut().request_open(self.id);
    }

    /// Marks the connection as waiting for the next request.
    pub(super) fn set_idle(&self, now: f64) {
        self.slots.table.borrow_mut().request_answered(self.id, now);
        self.slots.changed.notify_one();
    }

    /// Marks the connection as closed by this side and lingering.
    pub(super) fn set_lingering(&self) {
        self.slots.table.borrow_mut().closed(self.id);
        self.slots.changed.notify_one();
    }

    /// Waits until the connection is evicted.
    pub(super) async fn evicted(&self) {
        self.eviction.notified().await;
        self.evicted.set(true);
    }

    /// Whether [`Self::evicted`] has completed.
    pub(super) fn is_evicted(&self) -> bool {
        self.evicted.get()
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.slots.table.borrow_mut().release(self.id);
        self.slots.evictions.borrow_mut().remove(&self.id);
        self.slots.changed.notify_one();
    }
}
