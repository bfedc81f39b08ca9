//! The values of tracked objects that the engine, admission control and the file system provide.

use super::track::{EndedRequests, RejectedShare, TrackedObject, TrackedValues};
use crate::engine::executor::Executor;
use std::cell::RefCell;
use std::rc::Rc;

/// Provides the values of objects of the engine, admission control and the file system; returns `None` for
/// other objects.
pub struct HostValues {
    executor: Rc<Executor>,
    rejected_share: RefCell<RejectedShare>,
}

impl HostValues {
    /// Creates a source that reads from the engine and admission control of `executor`.
    pub fn new(executor: Rc<Executor>) -> Self {
        Self { executor, rejected_share: RefCell::default() }
    }

    fn ended_requests(&self) -> EndedRequests {
        self.executor.with(|engine| {
            let counters = &engine.counters;
            let rejected = counters.rejected + counters.failed;
            EndedRequests { total: counters.served + counters.not_modified + rejected, rejected }
        })
    }
}

impl TrackedValues for HostValues {
    fn value(&self, object: &TrackedObject) -> Option<f64> {
        match object {
            TrackedObject::CachePool => self.executor.with(|engine| engine.usable_cache_share()),
            TrackedObject::AdmissionQueue => self.executor.with_admission(|admission| admission.queue_fill()),
            TrackedObject::RejectedShare => {
                let ended = self.ended_requests();
                self.rejected_share.borrow_mut().sample(self.executor.clock.now(), ended)
            }
            TrackedObject::File(path) => Some(f64::from(u8::from(path.exists()))),
            TrackedObject::Registry | TrackedObject::GrpcPool(_) => None,
        }
    }
}
