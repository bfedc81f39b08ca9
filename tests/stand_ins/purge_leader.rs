//! A leader of fleet purges in the test's own process, with its log on disk.
#![allow(dead_code)]

use edge_proxy::purge::active_purges::{ActivePurges, ApplyOutcome};
use edge_proxy::purge::config::PurgeConfig;
use edge_proxy::purge::leader::Leader;
use edge_proxy::purge::wire::Batch;
use std::path::Path;

/// Writes a purge file to `dir` and reads it; its log is there too.
pub fn create_purge_config(dir: &Path, role: &str, targets: &str) -> PurgeConfig {
    let path = dir.join(format!("{role}.json"));
    let text = format!(
        "{{\"role\":\"{role}\",\"name\":\"edge-1\",\"state\":\"{role}.log\",\"targets\":[{targets}]}}"
    );
    std::fs::write(&path, text).unwrap();
    PurgeConfig::read(&path).unwrap()
}

/// Sends the due batches to a target, which applies and acknowledges them.
pub fn replicate(leader: &mut Leader, active: &mut ActivePurges, target: &mut ActivePurges, now: f64) {
    for outgoing in leader.take_due_batches(now) {
        apply_batch(target, &outgoing.batch);
        leader.acknowledge(&outgoing.target, outgoing.id, target.last_applied(), active, now).unwrap();
    }
}

/// Applies a batch as a target does.
pub fn apply_batch(target: &mut ActivePurges, batch: &Batch) {
    if let Some(cutoff) = batch.cutoff.filter(|cutoff| cutoff.seq >= target.last_applied()) {
        target.apply_cutoff(cutoff);
    }
    for purge in &batch.purges {
        assert_ne!(target.apply(purge), ApplyOutcome::Gap { expected: target.last_applied() + 1 });
    }
}
