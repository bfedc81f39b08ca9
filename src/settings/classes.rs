//! Stable class indexes across reloads: requests refer to their class by index.

use super::PlatformSettings;

impl PlatformSettings {
    /// Returns these settings with class indexes compatible with `old`. An unchanged class keeps its index. A
    /// class that was removed or changed is retired. A later reload may reuse its index if `in_use` returns
    /// false for it.
    pub fn with_class_indexes_of(mut self, old: &Self, in_use: impl Fn(usize) -> bool) -> Self {
        let mut new_classes: Vec<_> = std::mem::take(&mut self.classes).into_iter().map(Some).collect();
        let mut classes = old.classes.clone();
        let mut free = Vec::new();
        for (index, class) in classes.iter_mut().enumerate() {
            let was_retired = std::mem::replace(&mut class.retired, false);
            match new_classes.iter_mut().find(|other| other.as_ref() == Some(&*class)) {
                Some(unchanged) => *unchanged = None,
                None => class.retired = true,
            }
            if was_retired && class.retired && !in_use(index) {
                free.push(index);
            }
        }
        for class in new_classes.into_iter().flatten() {
            match free.pop() {
                Some(index) => classes[index] = class,
                None => classes.push(class),
            }
        }
        self.classes = classes;
        self
    }
}
