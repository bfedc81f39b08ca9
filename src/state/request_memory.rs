//! The memory of the requests that clients send, bounded over all fronts of the process.
//!
//! A request reserves its memory once its head has arrived. If there is not enough, requests whose bodies are
//! still arriving are displaced, oldest first: a crowd of clients that stop within their requests then cannot
//! keep others out. What remains are requests that are being answered; a further one is rejected.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Memory of a header field besides its name and value, in bytes.
const FIELD_OVERHEAD: usize = 200;

/// An estimate of the memory of a request's head with header fields of these lengths (name and value), in bytes.
pub fn head_bytes(field_lengths: impl Iterator<Item = usize>) -> usize {
    field_lengths.map(|length| FIELD_OVERHEAD + length).sum()
}

/// The memory for the requests of a process.
#[derive(Debug)]
pub struct RequestMemory {
    max_bytes: Cell<usize>,
    used_bytes: Cell<usize>,
    next_id: Cell<u64>,
    /// The requests whose bodies are still arriving, oldest first.
    incomplete: RefCell<BTreeMap<u64, Rc<State>>>,
    displaced: Cell<u64>,
    rejected: Cell<u64>,
}

/// A reservation's state, shared with the memory while its request is incomplete.
#[derive(Debug)]
struct State {
    bytes: usize,
    displaced: Cell<bool>,
    /// Notified when the reservation is displaced.
    on_displaced: Rc<Notify>,
}

/// The memory of one request, released on drop.
#[derive(Debug)]
pub struct RequestReservation {
    memory: Rc<RequestMemory>,
    id: u64,
    state: Rc<State>,
}

impl RequestMemory {
    /// Memory of at most `max_bytes`.
    pub fn new(max_bytes: usize) -> Rc<Self> {
        let (used_bytes, next_id, incomplete, displaced, rejected) = Default::default();
        Rc::new(Self {
            max_bytes: Cell::new(max_bytes),
            used_bytes,
            next_id,
            incomplete,
            displaced,
            rejected,
        })
    }

    /// The metrics, as lines of `NAME NUMBER`.
    pub fn metrics(&self) -> String {
        format!(
            "app_request_memory_bytes {}\napp_requests_displaced_total {}\napp_requests_out_of_memory_total {}\n",
            self.used_bytes.get(),
            self.displaced.get(),
            self.rejected.get(),
        )
    }

    /// The share of one of `count` holders of buffers that are allocated beside the reservations, in bytes.
    pub fn share_bytes(&self, count: usize) -> usize {
        self.max_bytes.get() / count.max(1)
    }

    /// Changes the maximum, for requests from now on.
    pub fn set_max_bytes(&self, max_bytes: usize) {
        self.max_bytes.set(max_bytes);
    }

    /// The maximum, in bytes.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes.get()
    }

    /// The memory in use, in bytes.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.get()
    }

    /// The number of requests that were displaced while their bodies arrived.
    pub fn displaced(&self) -> u64 {
        self.displaced.get()
    }

    /// The number of requests that were rejected for lack of memory.
    pub fn rejected(&self) -> u64 {
        self.rejected.get()
    }

    /// Reserves memory for a request whose body is still arriving, until [`RequestReservation::complete`].
    /// `on_displaced` is notified if it is displaced. `None` if there is not enough.
    pub fn reserve(self: &Rc<Self>, bytes: usize, on_displaced: Rc<Notify>) -> Option<RequestReservation> {
        while self.used_bytes.get() + bytes > self.max_bytes.get() {
            if !self.displace_oldest() {
                self.rejected.set(self.rejected.get() + 1);
                return None;
            }
        }
        self.used_bytes.set(self.used_bytes.get() + bytes);
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let state = Rc::new(State { bytes, displaced: Cell::new(false), on_displaced });
        self.incomplete.borrow_mut().insert(id, state.clone());
        Some(RequestReservation { memory: self.clone(), id, state })
    }

    /// Displaces the oldest incomplete request. Returns whether there was one. Its memory counts as free at once,
    /// since its task releases it as soon as it runs.
    fn displace_oldest(&self) -> bool {
        let Some((_, state)) = self.incomplete.borrow_mut().pop_first() else { return false };
        self.used_bytes.set(self.used_bytes.get() - state.bytes);
        self.displaced.set(self.displaced.get() + 1);
        state.displaced.set(true);
        state.on_displaced.notify_one();
        true
    }
}

impl RequestReservation {
    /// Marks the request as complete, so that it is not displaced any more.
    pub fn complete(&self) {
        self.memory.incomplete.borrow_mut().remove(&self.id);
    }

    /// Whether the request is displaced: its front must reject it.
    pub fn is_displaced(&self) -> bool {
        self.state.displaced.get()
    }
}

impl Drop for RequestReservation {
    fn drop(&mut self) {
        self.complete();
        if !self.state.displaced.get() {
            self.memory.used_bytes.set(self.memory.used_bytes.get() - self.state.bytes);
        }
    }
}

#[cfg(test)]
mod tests;
