//! The streams of one connection to a backend, limited to the number that the backend allows at a time
//! (`SETTINGS_MAX_CONCURRENT_STREAMS`, RFC 9113, section 5.1.2). Calls wait for a slot in order of arrival.
//!
//! `h2` also queues streams beyond the limit, but without telling their callers, which could then not check
//! whether a call may still be sent when its turn comes.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The slots of a connection.
pub struct StreamSlots {
    semaphore: Arc<Semaphore>,
    /// The most slots, whatever the backend allows.
    max: usize,
    /// The number of slots that should exist.
    limit: Cell<usize>,
    /// The number of slots that exist, free or in use.
    existing: Cell<usize>,
}

/// A slot in use, released on drop.
pub struct StreamSlot {
    slots: Rc<StreamSlots>,
    permit: Option<OwnedSemaphorePermit>,
}

impl StreamSlots {
    /// Creates `max` free slots.
    pub fn new(max: usize) -> Rc<Self> {
        let semaphore = Arc::new(Semaphore::new(max));
        Rc::new(Self { semaphore, max, limit: Cell::new(max), existing: Cell::new(max) })
    }

    /// Sets the number of streams that the backend allows. Slots in use beyond it are not replaced.
    pub fn set_limit(&self, allowed: usize) {
        let limit = allowed.min(self.max);
        self.limit.set(limit);
        let existing = self.existing.get();
        if limit > existing {
            self.semaphore.add_permits(limit - existing);
            self.existing.set(limit);
        } else {
            let removed = self.semaphore.forget_permits(existing - limit);
            self.existing.set(existing - removed);
        }
    }

    /// Waits for a free slot. Cancel safe, but a cancelled wait loses its place in the queue.
    pub async fn acquire(self: &Rc<Self>) -> StreamSlot {
        // The semaphore is never closed, so that this always yields a permit.
        let permit = self.semaphore.clone().acquire_owned().await.ok();
        StreamSlot { slots: self.clone(), permit }
    }
}

impl Drop for StreamSlot {
    fn drop(&mut self) {
        let Some(permit) = self.permit.take() else { return };
        let existing = self.slots.existing.get();
        if existing > self.slots.limit.get() {
            permit.forget();
            self.slots.existing.set(existing - 1);
        }
    }
}

#[cfg(test)]
mod tests;
