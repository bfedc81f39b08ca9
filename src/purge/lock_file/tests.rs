use super::*;

#[test]
fn a_lock_held_elsewhere_is_refused_and_is_free_once_its_holder_drops_it() {
    let folder = std::env::temp_dir().join(format!("edge-proxy-lock-file-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("purges.log.lock");
    let mut first = LockFile::open(path.clone()).unwrap();
    let mut second = LockFile::open(path).unwrap();
    let held = first.acquire(Duration::ZERO).unwrap();
    let refused = second.acquire(Duration::from_millis(5)).unwrap_err();
    assert!(matches!(&refused, LockError::Held { waited, .. } if *waited == Duration::from_millis(5)));
    // After a wait in vain, no further call waits while the lock is held.
    let refused = second.acquire(Duration::from_secs(60)).unwrap_err();
    assert!(matches!(&refused, LockError::Held { waited, .. } if waited.is_zero()));
    drop(held);
    second.acquire(Duration::ZERO).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
}
