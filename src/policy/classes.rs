//! Request classes with their latency estimates. Requests hold their class itself and no index, so that a
//! change of the settings can't turn it into another one.

use super::latency::LatencyEstimate;
use crate::interface::RequestClass;
use std::cell::RefCell;
use std::rc::{Rc, Weak};

/// A request class with its latency estimate.
pub(super) struct TrackedClass {
    pub(super) settings: Rc<RequestClass>,
    pub(super) latency: RefCell<LatencyEstimate>,
}

impl TrackedClass {
    fn new(settings: &Rc<RequestClass>, latency: LatencyEstimate) -> Rc<Self> {
        Rc::new(Self { settings: settings.clone(), latency: RefCell::new(latency) })
    }
}

/// The classes of the settings, and the earlier ones of which requests are still open.
pub(super) struct TrackedClasses {
    /// In the order of the settings.
    listed: Vec<Rc<TrackedClass>>,
    /// Classes that the settings no longer list. They live as long as their open requests.
    unlisted: Vec<Weak<TrackedClass>>,
}

impl TrackedClasses {
    pub(super) fn new(classes: &[Rc<RequestClass>]) -> Self {
        let initial = |class| TrackedClass::new(class, LatencyEstimate::initial(class));
        Self { listed: classes.iter().map(initial).collect(), unlisted: Vec::new() }
    }

    /// Replaces the listed classes. One that is listed as before, or equal at its place, keeps its latency
    /// estimate.
    pub(super) fn replace(&mut self, classes: &[Rc<RequestClass>]) {
        let listed: Vec<_> =
            classes.iter().enumerate().map(|(place, class)| self.successor(place, class)).collect();
        for former in std::mem::replace(&mut self.listed, listed) {
            if !self.listed.iter().any(|class| Rc::ptr_eq(class, &former)) {
                self.unlisted.push(Rc::downgrade(&former));
            }
        }
        self.unlisted.retain(|class| class.strong_count() > 0);
    }

    /// The class that is listed at a place from now on.
    fn successor(&self, place: usize, class: &Rc<RequestClass>) -> Rc<TrackedClass> {
        if let Some(same) = self.listed.iter().find(|other| Rc::ptr_eq(&other.settings, class)) {
            return same.clone();
        }
        let equal = self.listed.get(place).filter(|other| other.settings == *class);
        let latency = equal.map(|other| *other.latency.borrow());
        TrackedClass::new(class, latency.unwrap_or_else(|| LatencyEstimate::initial(class)))
    }

    /// The classes of the settings.
    pub(super) fn listed(&self) -> impl Iterator<Item = &TrackedClass> {
        self.listed.iter().map(Rc::as_ref)
    }

    /// The tracked class of a request that arrived under `class`, which need not be listed any more.
    pub(super) fn of(&mut self, class: &Rc<RequestClass>) -> Rc<TrackedClass> {
        let is_same = |other: &Rc<TrackedClass>| Rc::ptr_eq(&other.settings, class);
        if let Some(listed) = self.listed.iter().find(|other| is_same(other)) {
            return listed.clone();
        }
        if let Some(unlisted) = self.unlisted.iter().filter_map(Weak::upgrade).find(is_same) {
            return unlisted;
        }
        let tracked = TrackedClass::new(class, LatencyEstimate::initial(class));
        self.unlisted.retain(|other| other.strong_count() > 0);
        self.unlisted.push(Rc::downgrade(&tracked));
        tracked
    }
}

// Outside this folder, all of whose files deploy/balancer.toml lists.
#[cfg(test)]
#[path = "../../tests/unit/policy_classes.rs"]
mod tests;
