//! Two processes of one proxy on one purge log, as two replicas in the test's own process: sequence numbers,
//! compaction by either, restarts, and damage to the file.

mod stand_ins;

use edge_proxy::purge::active_purges::{ActivePurges, Purge, RetentionLimits};
use edge_proxy::purge::config::PurgeConfig;
use edge_proxy::purge::follower::Follower;
use edge_proxy::purge::leader::{Leader, OutgoingBatch};
use edge_proxy::purge::log_record::{encode, Record};
use edge_proxy::purge::wire::Batch;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use stand_ins::purge_leader::{apply_batch, create_purge_config, replicate};
use stand_ins::test_dir;
use std::cell::Cell;
use std::collections::VecDeque;
use std::io::Write;
use std::path::Path;

const TARGET: &str = "{\"name\":\"a\",\"address\":\"127.0.0.1:9\"}";

/// One of the processes of a leader.
struct Process {
    leader: Leader,
    active: ActivePurges,
    /// Batches that have not reached the target yet.
    sent: VecDeque<OutgoingBatch>,
    /// Acknowledgements that have not reached the process yet.
    acknowledged: VecDeque<(OutgoingBatch, u64)>,
}

impl Process {
    fn start(config: &PurgeConfig, now_ms: f64) -> Self {
        let mut active = ActivePurges::new(RetentionLimits::default());
        let leader = Leader::open(config, &mut active, now_ms, 1).unwrap();
        Self { leader, active, sent: VecDeque::new(), acknowledged: VecDeque::new() }
    }

    fn submit(&mut self, selector: &str, now_ms: f64) -> u64 {
        self.leader.submit(selector.parse().unwrap(), &mut self.active, now_ms).unwrap().seq
    }

    fn catch_up(&mut self, now_ms: f64) {
        self.leader.catch_up(&mut self.active, now_ms).unwrap();
    }

    fn replicate(&mut self, target: &mut ActivePurges, now_ms: f64) {
        replicate(&mut self.leader, &mut self.active, target, now_ms);
    }

    fn send(&mut self, now_ms: f64) {
        self.sent.extend(self.leader.take_due_batches(now_ms));
    }

    /// The target applies the next batch that was sent.
    fn deliver(&mut self, target: &mut ActivePurges) {
        if let Some(outgoing) = self.sent.pop_front() {
            apply_batch(target, &outgoing.batch);
            self.acknowledged.push_back((outgoing, target.last_applied()));
        }
    }

    fn receive_acknowledgement(&mut self, now_ms: f64) {
        if let Some((OutgoingBatch { target, id, .. }, applied)) = self.acknowledged.pop_front() {
            self.leader.acknowledge(&target, id, applied, &mut self.active, now_ms).unwrap();
        }
    }

    fn last_seq(&self) -> u64 {
        self.leader.status(&self.active).last_seq
    }

    fn active_seqs(&self) -> Vec<u64> {
        self.active.iter().map(|purge| purge.seq).collect()
    }
}

/// A leader's configuration with an empty log.
fn leader_config(dir: &Path) -> PurgeConfig {
    let config = create_purge_config(dir, "leader", TARGET);
    let _ = std::fs::remove_file(config.log_path.as_ref().unwrap());
    config
}

#[derive(Clone, Debug)]
enum Step {
    Submit(usize),
    CatchUp(usize),
    Send(usize),
    Deliver(usize),
    Acknowledge(usize),
    Restart(usize),
    Wait(u16),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0usize..2).prop_map(Step::Submit),
        2 => (0usize..2).prop_map(Step::CatchUp),
        3 => (0usize..2).prop_map(Step::Send),
        3 => (0usize..2).prop_map(Step::Deliver),
        3 => (0usize..2).prop_map(Step::Acknowledge),
        1 => (0usize..2).prop_map(Step::Restart),
        2 => (1u16..3_000).prop_map(Step::Wait),
    ]
}

/// Guards against two purges with one number: each process numbered purges from the log as it was at its
/// start. The log is small, so that both processes compact it.
#[test]
fn two_leaders_on_one_log_never_reuse_a_number_and_agree_after_any_steps() {
    let dir = test_dir("purges-shared-log");
    let config = Config { cases: 60, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]));
    let compactions = Cell::new(0);
    runner
        .run(&proptest::collection::vec(step(), 1..200), |steps| {
            let mut config = leader_config(&dir);
            config.compact_bytes = 512;
            let mut now_ms = 1_000.0;
            let mut target = ActivePurges::new(RetentionLimits::default());
            let mut processes = [Process::start(&config, now_ms), Process::start(&config, now_ms)];
            let mut issued = 0;
            for step in steps {
                match step {
                    Step::Submit(k) => {
                        issued += 1;
                        let seq = processes[k].submit(&format!("tag:t{issued}"), now_ms);
                        prop_assert_eq!(seq, issued);
                    }
                    Step::CatchUp(k) => processes[k].catch_up(now_ms),
                    Step::Send(k) => processes[k].send(now_ms),
                    Step::Deliver(k) => processes[k].deliver(&mut target),
                    Step::Acknowledge(k) => processes[k].receive_acknowledgement(now_ms),
                    Step::Restart(k) => processes[k] = Process::start(&config, now_ms),
                    Step::Wait(ms) => now_ms += f64::from(ms),
                }
            }
            for process in &mut processes {
                process.catch_up(now_ms);
                prop_assert_eq!(process.last_seq(), issued);
                prop_assert_eq!(process.active.cutoff(), None, "nothing was lost, so nothing more is purged");
                let metrics = process.leader.status(&process.active).metrics;
                compactions.set(compactions.get() + metrics.compactions);
            }
            // Every purge that must still take effect does so in both processes.
            let recent = |process: &Process| -> Vec<u64> {
                let is_recent = |purge: &Purge| purge.issued_ms + 6_000.0 > now_ms;
                process.active.iter().filter(is_recent).map(|purge| purge.seq).collect()
            };
            prop_assert_eq!(recent(&processes[0]), recent(&processes[1]));
            // Beyond the timeout of a batch that is still in flight.
            for k in 0..6 {
                processes[k % 2].replicate(&mut target, now_ms + 3_000.0 * (k + 1) as f64);
            }
            prop_assert_eq!(target.last_applied(), issued);
            prop_assert_eq!(target.cutoff(), None, "the target has applied every purge by itself");
            Ok(())
        })
        .unwrap();
    assert!(compactions.get() > 0, "the log was never compacted");
}

/// Guards against a purge of everything: a target acknowledges a purge of the other process before this one
/// has read it from the log.
#[test]
fn an_acknowledgement_of_the_other_processs_purge_is_not_taken_for_a_lost_log() {
    let config = leader_config(&test_dir("purges-shared-ack"));
    let (mut old, mut new) = (Process::start(&config, 1_000.0), Process::start(&config, 1_000.0));
    let mut target = ActivePurges::new(RetentionLimits::default());
    assert_eq!(old.submit("tag:t1", 1_001.0), 1);
    old.replicate(&mut target, 1_002.0);
    assert_eq!(target.last_applied(), 1);
    new.replicate(&mut target, 1_003.0);
    assert_eq!((new.last_seq(), new.active_seqs(), new.active.cutoff()), (1, vec![1], None));
}

/// Guards against an upgrade from a version that takes no lock: the number that it reuses is skipped by every
/// target, so all copies are purged once.
#[test]
fn a_number_reused_without_the_lock_is_replaced_by_a_cutoff() {
    let config = leader_config(&test_dir("purges-shared-reused"));
    let mut leader = Process::start(&config, 1_000.0);
    let mut target = ActivePurges::new(RetentionLimits::default());
    assert_eq!(leader.submit("tag:t1", 1_001.0), 1);
    leader.replicate(&mut target, 1_002.0);
    let reused = Purge { seq: 1, issued_ms: 1_003.0, selector: "tag:other".parse().unwrap() };
    let mut file = std::fs::OpenOptions::new().append(true).open(config.log_path.as_ref().unwrap()).unwrap();
    file.write_all(&encode(&Record::Purge(reused)).unwrap()).unwrap();
    leader.catch_up(1_004.0);
    assert!(leader.active.cutoff().is_some_and(|cutoff| cutoff.issued_ms >= 1_004.0));
    leader.replicate(&mut target, 2_000.0);
    assert!(
        target.cutoff().is_some_and(|cutoff| cutoff.issued_ms >= 1_004.0),
        "the target applied the cutoff"
    );
    assert_eq!(leader.submit("tag:t3", 2_001.0), 3, "numbers continue after the cutoff");
}

/// Guards against a log that is deleted while its processes run: they would go on writing a file that no
/// restart can read.
#[test]
fn a_log_deleted_in_service_is_written_again_with_all_its_purges() {
    let config = leader_config(&test_dir("purges-shared-deleted"));
    let (mut old, mut new) = (Process::start(&config, 1_000.0), Process::start(&config, 1_000.0));
    assert_eq!((old.submit("tag:t1", 1_001.0), new.submit("tag:t2", 1_002.0)), (1, 2));
    std::fs::remove_file(config.log_path.as_ref().unwrap()).unwrap();
    assert_eq!((new.submit("tag:t3", 1_003.0), old.submit("tag:t4", 1_004.0)), (3, 4));
    let restarted = Process::start(&config, 1_005.0);
    assert_eq!((restarted.last_seq(), restarted.active_seqs()), (4, vec![1, 2, 3, 4]));
}

/// Guards against numbers that are issued again after a restart, since an older copy of the log was put in its
/// place while a process ran.
#[test]
fn an_older_log_put_in_place_in_service_is_brought_up_to_date() {
    let config = leader_config(&test_dir("purges-shared-older"));
    let path = config.log_path.as_ref().unwrap();
    let mut leader = Process::start(&config, 1_000.0);
    assert_eq!(leader.submit("tag:t1", 1_001.0), 1);
    let older = std::fs::read(path).unwrap();
    assert_eq!(leader.submit("tag:t2", 1_002.0), 2);
    std::fs::remove_file(path).unwrap();
    std::fs::write(path, older).unwrap();
    leader.catch_up(1_003.0);
    let restarted = Process::start(&config, 1_004.0);
    assert_eq!((restarted.last_seq(), restarted.active_seqs()), (2, vec![1, 2]));
}

/// Guards against damage to a file that is not a log, put in the log's place while a process runs.
#[test]
fn a_file_that_is_not_a_log_fails_submissions_and_is_left_unchanged() {
    let config = leader_config(&test_dir("purges-shared-foreign"));
    let path = config.log_path.as_ref().unwrap();
    let mut leader = Process::start(&config, 1_000.0);
    assert_eq!(leader.submit("tag:t1", 1_001.0), 1);
    std::fs::remove_file(path).unwrap();
    std::fs::write(path, "notes of an operator").unwrap();
    for now_ms in [1_002.0, 1_003.0] {
        let refused = leader.leader.submit("tag:t2".parse().unwrap(), &mut leader.active, now_ms);
        assert!(refused.unwrap_err().to_string().contains("not a purge log"));
    }
    assert_eq!(std::fs::read_to_string(path).unwrap(), "notes of an operator");
    std::fs::remove_file(path).unwrap();
    assert_eq!(leader.submit("tag:t2", 1_004.0), 2, "the failed submissions have no number");
}

/// Guards against a lost purge at a torn write of the other process: what was written completely stays.
#[test]
fn a_write_that_the_other_process_did_not_complete_is_removed_and_its_number_is_issued() {
    let config = leader_config(&test_dir("purges-shared-torn"));
    let (mut old, mut new) = (Process::start(&config, 1_000.0), Process::start(&config, 1_000.0));
    assert_eq!(old.submit("tag:t1", 1_001.0), 1);
    let torn = Purge { seq: 2, issued_ms: 1_002.0, selector: "tag:torn".parse().unwrap() };
    let encoded = encode(&Record::Purge(torn)).unwrap();
    let mut file = std::fs::OpenOptions::new().append(true).open(config.log_path.as_ref().unwrap()).unwrap();
    file.write_all(&encoded[..encoded.len() - 5]).unwrap();
    assert_eq!(new.submit("tag:t2", 1_003.0), 2);
    old.catch_up(1_004.0);
    assert_eq!((old.active_seqs(), old.active.cutoff()), (vec![1, 2], None));
    let status = new.leader.status(&new.active);
    assert!(status.truncated.is_some_and(|tail| tail.is_torn_write()));
}

/// Guards against a follower's new process that knows no purge: the leader sends its batches to the old one.
#[test]
fn a_followers_new_process_applies_the_batches_that_the_old_one_received() {
    let config = create_purge_config(&test_dir("purges-shared-follower"), "follower", "");
    let _ = std::fs::remove_file(config.log_path.as_ref().unwrap());
    let limits = RetentionLimits::default();
    let (mut old_active, mut new_active) = (ActivePurges::new(limits), ActivePurges::new(limits));
    let mut old = Follower::open(&config, &mut old_active, 1_000.0).unwrap();
    let mut new = Follower::open(&config, &mut new_active, 1_000.0).unwrap();
    let batch = |from: u64, through: u64| Batch {
        leader: "lead".into(),
        from,
        low_water_mark: 0,
        cutoff: None,
        purges: (from..=through)
            .map(|seq| Purge { seq, issued_ms: 1_000.0 + seq as f64, selector: "tag:a".parse().unwrap() })
            .collect(),
    };
    assert_eq!(old.receive(&batch(1, 2), &mut old_active, 1_010.0).unwrap(), 2);
    new.catch_up(&mut new_active, 1_011.0).unwrap();
    assert_eq!(new_active.iter().map(|purge| purge.seq).collect::<Vec<_>>(), [1, 2]);
    // The leader goes on with the new process, and repeats what the old one has not acknowledged.
    assert_eq!(new.receive(&batch(2, 4), &mut new_active, 1_012.0).unwrap(), 4);
    old.catch_up(&mut old_active, 1_013.0).unwrap();
    assert_eq!(old_active.last_applied(), 4);
    let mut restarted = ActivePurges::new(limits);
    Follower::open(&config, &mut restarted, 1_014.0).unwrap();
    assert_eq!(restarted.iter().map(|purge| purge.seq).collect::<Vec<_>>(), [1, 2, 3, 4]);
}
