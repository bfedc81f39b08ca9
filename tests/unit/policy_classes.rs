//! Tests of request classes across changes of the settings.

use super::*;

fn class(latency_objective: u64) -> Rc<RequestClass> {
    Rc::new(RequestClass { latency_objective, ..RequestClass::default() })
}

/// Makes a latency estimate differ from its initial value.
fn mark(class: &TrackedClass) {
    class.latency.borrow_mut().transfer_time = 7.0;
}

fn is_marked(class: &TrackedClass) -> bool {
    class.latency.borrow().transfer_time == 7.0
}

/// Guards against a class that loses what was learnt about it by a change of another one.
#[test]
fn an_unchanged_class_keeps_its_latency_estimate_at_any_place() {
    let (first, second) = (class(1), class(2));
    let mut classes = TrackedClasses::new(&[first.clone(), second.clone()]);
    mark(&classes.of(&second));
    classes.replace(&[second.clone(), class(3)]);
    assert!(is_marked(&classes.of(&second)));
    // An equal class at the same place takes the estimate over.
    let equal = class(2);
    classes.replace(&[equal.clone(), class(3)]);
    assert!(is_marked(&classes.of(&equal)));
    assert!(!is_marked(&classes.of(&first)));
}

/// Guards against outcomes of requests that count for a class that took the place of theirs.
#[test]
fn a_class_that_is_no_longer_listed_stays_with_its_requests() {
    let (first, second) = (class(1), class(2));
    let mut classes = TrackedClasses::new(std::slice::from_ref(&first));
    let open_request = classes.of(&first);
    classes.replace(std::slice::from_ref(&second));
    mark(&open_request);
    assert!(!is_marked(&classes.of(&second)));
    assert!(Rc::ptr_eq(&classes.of(&first), &open_request), "a queued request of the class joins it");
    assert_eq!(classes.listed().count(), 1);
}

/// Guards against a table that grows with each change of the settings.
#[test]
fn classes_without_requests_are_dropped() {
    let kept = class(0);
    let mut classes = TrackedClasses::new(&[kept.clone(), class(1)]);
    let open_request = classes.of(&kept);
    for round in 2..500 {
        classes.replace(&[kept.clone(), class(round)]);
        drop(classes.of(&class(1_000 + round)));
        assert!(classes.unlisted.len() <= 2, "round {round}: {}", classes.unlisted.len());
    }
    assert!(Rc::ptr_eq(&classes.of(&kept), &open_request));
}
