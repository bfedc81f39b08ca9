use super::*;

fn value(id: u32, state: &str) -> Vec<u8> {
    format!(
        r#"{{"uid":"s-{id:08x}","endpoint":"127.0.0.1:{}","az":"town","model":"box","state":"{state}"}}"#,
        7000 + id
    )
    .into_bytes()
}

fn put(id: u32, state: &str, revision: i64) -> Change {
    Change::Put(KeyValue { key: format!("/m/{id}"), value: value(id, state), mod_revision: revision })
}

#[test]
fn duplicate_and_outdated_changes_have_no_effect() {
    let mut view = EndpointView::new();
    assert_eq!(view.next_watch_revision(), None);
    let values = vec![KeyValue { key: "/m/1".into(), value: value(1, "Ready"), mod_revision: 5 }];
    assert!(view.replace_all(10, values).full);
    assert_eq!(view.next_watch_revision(), Some(11));
    let update = view
        .apply_changes(12, vec![put(1, "Terminating", 12), put(1, "Terminating", 12), put(1, "Ready", 11)]);
    assert_eq!((update.endpoints.len(), update.draining.clone()), (1, vec![1]));
    assert_eq!(view.endpoints().next().unwrap().record.state, EndpointState::Draining);
    assert_eq!(
        view.apply_changes(12, vec![put(2, "Ready", 9)]).endpoints.len(),
        0,
        "a change older than the full read should be skipped"
    );
    let removed = view
        .apply_changes(14, vec![Change::Delete { key: "/m/1".into(), revision: 14 }, put(1, "Ready", 13)]);
    assert_eq!(
        removed.endpoints.iter().map(|endpoint| endpoint.record.state).collect::<Vec<_>>(),
        [EndpointState::Removed]
    );
    assert_eq!(
        view.metrics.stale_changes, 4,
        "expected four stale changes: one duplicate, two outdated and one older than the full read"
    );
    let update = view.apply_changes(14, vec![put(3, "Terminating", 13)]);
    assert_eq!(
        update.draining,
        [3],
        "a change older than those of other keys should be applied if it is the newest of its own key"
    );
}

#[test]
fn a_lower_registry_revision_requires_a_full_read() {
    let mut view = EndpointView::new();
    let entry =
        |state, revision| KeyValue { key: "/m/1".into(), value: value(1, state), mod_revision: revision };
    view.replace_all(100, vec![entry("Ready", 90)]);
    assert!(
        !view.detect_reset(100) && view.detect_reset(7),
        "only a revision below that of the view is a reset"
    );
    assert_eq!(view.next_watch_revision(), None);
    let update = view.replace_all(7, vec![entry("Terminating", 5)]);
    assert_eq!((update.draining, view.next_watch_revision()), (vec![1], Some(8)));
    assert_eq!(
        view.apply_changes(8, vec![put(1, "Ready", 8)]).endpoints.len(),
        1,
        "changes after the reset should be applied"
    );
    assert_eq!(view.metrics.resets, 1);
}

#[test]
fn tombstones_are_bounded_and_outdated_changes_do_not_restore_deleted_endpoints() {
    let mut view = EndpointView::new();
    view.replace_all(1, Vec::new());
    let mut revision = 1;
    for id in 0..3 * MAX_TOMBSTONES as u32 {
        revision += 2;
        view.apply_changes(revision - 1, vec![put(id % 9_000, "Ready", revision - 1)]);
        view.apply_changes(revision, vec![Change::Delete { key: format!("/m/{}", id % 9_000), revision }]);
        assert!(view.tombstones.len() <= MAX_TOMBSTONES);
    }
    let old = view.apply_changes(revision, vec![put(0, "Ready", 2), put(3, "Ready", 8)]);
    assert_eq!(
        (old.endpoints.len(), view.endpoints().count()),
        (0, 0),
        "an outdated change restored a deleted endpoint"
    );
}

#[test]
fn a_full_read_after_a_compaction_reports_the_missed_changes() {
    let mut view = EndpointView::new();
    let entry = |id, state, revision| KeyValue {
        key: format!("/m/{id}"),
        value: value(id, state),
        mod_revision: revision,
    };
    view.replace_all(10, vec![entry(1, "Ready", 3), entry(2, "Ready", 4), entry(3, "Ready", 5)]);
    view.record_compaction(30);
    assert_eq!(view.next_watch_revision(), None);
    let update = view.replace_all(31, vec![entry(1, "Terminating", 20), entry(2, "Ready", 4)]);
    assert_eq!(update.draining, [1]);
    assert_eq!(
        (view.metrics.changes_in_full_reads, view.metrics.resyncs),
        (2, 1),
        "expected two changes (one endpoint draining, one removed) and one resync"
    );
    assert_eq!(view.next_watch_revision(), Some(32));
}

#[test]
fn a_malformed_value_leaves_the_endpoint_unchanged() {
    let mut view = EndpointView::new();
    view.replace_all(10, vec![KeyValue { key: "/m/1".into(), value: value(1, "Ready"), mod_revision: 3 }]);
    let bad = KeyValue { key: "/m/1".into(), value: b"{not json".to_vec(), mod_revision: 11 };
    let update = view.apply_changes(11, vec![Change::Put(bad.clone())]);
    assert_eq!((update.endpoints.len(), update.rejected.len()), (0, 1));
    let update = view.replace_all(12, vec![bad]);
    assert_eq!(update.endpoints.len(), 1, "the previous endpoint should be kept");
    assert_eq!(view.endpoints().next().unwrap().record.state, EndpointState::Active);
}
