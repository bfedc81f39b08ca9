//! Request classes of the platform's settings. Requests share them with the settings and keep theirs when the
//! settings change, so that a class can't be given away while a request holds it, wherever that waits.

use super::PlatformSettings;
use crate::clock::ms_from_micros;
use crate::{Idempotency, RequestClass};
use std::rc::Rc;

/// A request class with its name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlatformClass {
    pub(super) name: String,
    pub(super) policy: Rc<RequestClass>,
}

impl PlatformClass {
    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The class as the decision module sees it.
    pub fn policy(&self) -> &Rc<RequestClass> {
        &self.policy
    }

    /// Whether its requests are writes, which run at the origin.
    pub fn is_write(&self) -> bool {
        self.policy.uncacheable
    }

    /// Whether its requests may be repeated without an idempotency key.
    pub fn is_idempotent(&self) -> bool {
        self.policy.idempotency == Idempotency::Idempotent
    }

    /// Whether its requests carry an idempotency key.
    pub fn has_idempotency_key(&self) -> bool {
        self.policy.idempotency == Idempotency::WithKey
    }

    /// Deadline of its requests, over all their attempts, in milliseconds.
    pub fn deadline_ms(&self) -> f64 {
        ms_from_micros(self.policy.deadline)
    }
}

impl PlatformSettings {
    /// Returns these settings with the unchanged classes of `former` in place of equal ones, so that requests
    /// from before and after a reload share them.
    pub fn sharing_classes_with(mut self, former: &Self) -> Self {
        for class in &mut self.classes {
            if let Some(unchanged) = former.classes.iter().find(|other| *other == class) {
                *class = unchanged.clone();
            }
        }
        self
    }
}
