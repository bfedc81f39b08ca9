//! Endpoint maintenance during an upgrade: the two processes of a proxy write one maintenance file.

mod stand_ins;

use edge_proxy::http_client::call;
use edge_proxy::lock_file::LockFile;
use stand_ins::purge_fleet::{leader_config, Fleet, Proxy};
use stand_ins::purge_target::now_ms;
use stand_ins::{run, test_dir};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// The maintenance file of the proxy of `examples/config.json`.
const MAINTENANCE_FILE: &str = "calicobeam-toy-maintenance.json";
/// What the other process of the upgrade writes: a cache is out of use.
fn record_of_other_process() -> String {
    format!("[{{\"member\":\"s-000000c2\",\"out\":true,\"at_ms\":{}}}]\n", now_ms())
}

/// Puts an endpoint out of use; returns the status of the call.
async fn put_out_of_use(admin: SocketAddr, endpoint: &str) -> u16 {
    let target = format!("/pop-caches/{endpoint}/maint");
    call(admin, "POST", &target, b"", Duration::from_secs(5)).await.unwrap().status
}

/// The number of caches that get nothing, from the metrics.
async fn ejected_caches(admin: SocketAddr) -> String {
    let metrics = call(admin, "GET", "/stats", b"", Duration::from_secs(5)).await.unwrap();
    let text = String::from_utf8_lossy(&metrics.body).to_string();
    let line = text.lines().find(|line| line.starts_with("app_pool_ejected")).unwrap_or_default();
    line.rsplit(' ').next().unwrap_or_default().to_string()
}

/// Guards against lost maintenance: a call at one process was overwritten by one at the other process, which
/// had read the file before and wrote it after. The test is the other process.
#[test]
fn a_maintenance_call_is_kept_if_the_other_process_is_writing_the_file() {
    run(async {
        let fleet = Fleet::start(66).await;
        let dir = test_dir("maintenance-upgrade");
        let file = dir.join(MAINTENANCE_FILE);
        let _ = std::fs::remove_file(&file);
        let _ = std::fs::remove_file(dir.join("edge-1-state.log"));
        let listener = TcpListener::bind("127.0.66.10:0").unwrap();
        let config = leader_config("edge-1", "");
        let old = Proxy::start_on(&listener, &dir, "old", &fleet, &config).await;
        // The other process has read the file, which has no record yet, and is about to write it.
        let mut lock_file = LockFile::open_beside(&file).unwrap();
        let lock = lock_file.acquire(Duration::from_secs(5)).unwrap();
        let status = put_out_of_use(old.admin, "s-000000c1").await;
        std::fs::write(&file, record_of_other_process()).unwrap();
        drop(lock);
        if status != 200 {
            assert_eq!(status, 500, "the change is not stored");
            assert_eq!(put_out_of_use(old.admin, "s-000000c1").await, 200);
        }
        let new = Proxy::start_on(&listener, &dir, "new", &fleet, &config).await;
        assert_eq!(ejected_caches(new.admin).await, "2", "{}", std::fs::read_to_string(&file).unwrap());
    });
}
