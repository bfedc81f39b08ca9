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

#[test]
fn shared_holders_exclude_a_holder_that_does_not_share_and_the_reverse() {
    let folder = std::env::temp_dir().join(format!("edge-proxy-shared-lock-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("purges-5050.lock");
    let mut files = [0; 3].map(|_| LockFile::open(path.clone()).unwrap());
    let shared = [files[0].try_acquire_shared().unwrap(), files[1].try_acquire_shared().unwrap()];
    assert!(matches!(files[2].acquire(Duration::ZERO), Err(LockError::Held { .. })));
    drop(shared);
    let exclusive = files[2].acquire(Duration::ZERO).unwrap();
    assert!(matches!(files[0].try_acquire_shared(), Err(LockError::Held { .. })));
    drop(exclusive);
    std::fs::remove_dir_all(&folder).unwrap();
}
