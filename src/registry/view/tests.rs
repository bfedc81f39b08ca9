use super::*;

fn value(id: u32, state: &str) -> Vec<u8> {
    format!(
        r#"{{"uid":"s-{id:08x}","endpoint":"127.0.0.1:{}","az":"town","model":"box","state":"{state}"}}"#,
        7000 + id
    )
    .into_bytes()
}

fn put(id: u32, state: &str, rev: i64) -> Change {
    Change::Put(Kv { key: format!("/m/{id}"), value: value(id, state), mod_revision: rev })
}

#[test]
fn doubled_and_late_changes_change_nothing() {
    let mut view = MemberView::new();
    assert_eq!(view.resume_from(), None);
    let kvs = vec![Kv { key: "/m/1".into(), value: value(1, "Ready"), mod_revision: 5 }];
    assert!(view.read(10, kvs).full);
    assert_eq!(view.resume_from(), Some(11));
    let update =
        view.changes(12, vec![put(1, "Terminating", 12), put(1, "Terminating", 12), put(1, "Ready", 11)]);
    assert_eq!((update.targets.len(), update.drains.clone()), (1, vec![1]));
    assert_eq!(view.endpoints().next().unwrap().record.state, EndpointState::Draining);
    assert_eq!(view.changes(12, vec![put(2, "Ready", 9)]).targets.len(), 0, "older than the read");
    let gone =
        view.changes(14, vec![Change::Delete { key: "/m/1".into(), revision: 14 }, put(1, "Ready", 13)]);
    assert_eq!(gone.targets.iter().map(|t| t.record.state).collect::<Vec<_>>(), [EndpointState::Removed]);
    assert_eq!(view.figures.stale, 4, "one doubled, two late, one older than the read");
    let late = view.changes(14, vec![put(3, "Terminating", 13)]);
    assert_eq!(late.drains, [3], "late among other keys' changes, but the newest of its own");
}

#[test]
fn a_registry_whose_revisions_go_back_is_read_again() {
    let mut view = MemberView::new();
    let kv = |state, rev| Kv { key: "/m/1".into(), value: value(1, state), mod_revision: rev };
    view.read(100, vec![kv("Ready", 90)]);
    assert!(!view.stands_at(100) && view.stands_at(7), "below what is held");
    assert_eq!(view.resume_from(), None);
    let update = view.read(7, vec![kv("Terminating", 5)]);
    assert_eq!((update.drains, view.resume_from()), (vec![1], Some(8)));
    assert_eq!(view.changes(8, vec![put(1, "Ready", 8)]).targets.len(), 1, "the new history counts");
    assert_eq!(view.figures.resets, 1);
}

#[test]
fn deletions_remembered_are_bounded_and_none_comes_back() {
    let mut view = MemberView::new();
    view.read(1, Vec::new());
    let mut rev = 1;
    for id in 0..3 * MAX_TOMBSTONES as u32 {
        rev += 2;
        view.changes(rev - 1, vec![put(id % 9_000, "Ready", rev - 1)]);
        view.changes(rev, vec![Change::Delete { key: format!("/m/{}", id % 9_000), revision: rev }]);
        assert!(view.tombstones.len() <= MAX_TOMBSTONES);
    }
    let old = view.changes(rev, vec![put(0, "Ready", 2), put(3, "Ready", 8)]);
    assert_eq!((old.targets.len(), view.endpoints().count()), (0, 0), "a late line raised the dead");
}

#[test]
fn a_full_read_after_compaction_finds_what_changed_meanwhile() {
    let mut view = MemberView::new();
    let kv = |id, state, rev| Kv { key: format!("/m/{id}"), value: value(id, state), mod_revision: rev };
    view.read(10, vec![kv(1, "Ready", 3), kv(2, "Ready", 4), kv(3, "Ready", 5)]);
    view.compacted(30);
    assert_eq!(view.resume_from(), None);
    let update = view.read(31, vec![kv(1, "Terminating", 20), kv(2, "Ready", 4)]);
    assert_eq!(update.drains, [1]);
    assert_eq!((view.figures.found, view.figures.resyncs), (2, 1), "one drain and one gone found");
    assert_eq!(view.resume_from(), Some(32));
}

#[test]
fn garbage_keeps_the_member_as_it_was() {
    let mut view = MemberView::new();
    view.read(10, vec![Kv { key: "/m/1".into(), value: value(1, "Ready"), mod_revision: 3 }]);
    let bad = Kv { key: "/m/1".into(), value: b"{not json".to_vec(), mod_revision: 11 };
    let update = view.changes(11, vec![Change::Put(bad.clone())]);
    assert_eq!((update.targets.len(), update.faults.len()), (0, 1));
    let update = view.read(12, vec![bad]);
    assert_eq!(update.targets.len(), 1, "the old line stays");
    assert_eq!(view.endpoints().next().unwrap().record.state, EndpointState::Active);
}
