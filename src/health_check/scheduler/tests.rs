use super::*;
use crate::health_check::message::CheckResult;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const TIMES: SchedulerTimes = SchedulerTimes {
    period_ms: 2_000.0,
    rank_delay_ms: 200.0,
    retry_interval_ms: 40.0,
    request_timeout_ms: 400.0,
    heartbeat_interval_ms: 300.0,
    failure_timeout_ms: 1_200.0,
};

/// Schedulers on a simulated network that loses and delays messages.
struct Network {
    schedulers: BTreeMap<InstanceId, Scheduler>,
    /// Delivery time, sender, receiver and content of each message that was not yet delivered.
    in_flight: Vec<(f64, InstanceId, InstanceId, Message)>,
    rng: SmallRng,
    loss_rate: f64,
    /// Instances on the minority side of a partition.
    isolated: BTreeSet<InstanceId>,
    /// Time, instance and lease of each check that was run.
    checks: Vec<(f64, InstanceId, Lease)>,
    /// Offset of each instance's clock; 0 for instances without an entry.
    clock_skew_ms: BTreeMap<InstanceId, f64>,
}

impl Network {
    fn new(instances: u16, endpoints: u32, seed: u64) -> Self {
        let all: Vec<InstanceId> = (1..=instances).collect();
        let mut schedulers = BTreeMap::new();
        for id in &all {
            let mut scheduler = Scheduler::new(0.0, *id, all.iter().copied(), TIMES);
            scheduler.set_endpoints(0.0, 0..endpoints);
            schedulers.insert(*id, scheduler);
        }
        let (rng, in_flight, isolated, checks, clock_skew_ms) =
            (SmallRng::seed_from_u64(seed), vec![], BTreeSet::new(), vec![], BTreeMap::new());
        Self { schedulers, in_flight, rng, loss_rate: 0.0, isolated, checks, clock_skew_ms }
    }

    fn send(&mut self, now: f64, from: InstanceId, actions: Vec<Action>) {
        let mut out = Vec::new();
        for action in actions {
            match action {
                Action::Broadcast(message) => {
                    let others: Vec<InstanceId> =
                        self.schedulers.keys().copied().filter(|id| *id != from).collect();
                    out.extend(others.into_iter().map(|to| (to, message.clone())));
                }
                Action::Reply(to, message) => out.push((to, message)),
                Action::RunCheck(lease) => {
                    self.checks.push((now, from, lease));
                    let Lease { endpoint, slot } = lease;
                    let result = CheckResult { endpoint, slot, passed: true, duration_ms: 1.0 };
                    let message = Message::Result(result);
                    let others: Vec<InstanceId> =
                        self.schedulers.keys().copied().filter(|id| *id != from).collect();
                    out.extend(others.into_iter().map(|to| (to, message.clone())));
                }
            }
        }
        for (to, message) in out {
            let partitioned = self.isolated.contains(&from) != self.isolated.contains(&to);
            if !partitioned && self.rng.random_range(0.0..1.0) >= self.loss_rate {
                self.in_flight.push((now + self.rng.random_range(0.5..20.0), from, to, message));
            }
        }
    }

    fn run(&mut self, from: f64, to: f64) {
        let mut now = from;
        while now < to {
            now += 10.0;
            for id in self.schedulers.keys().copied().collect::<Vec<_>>() {
                let local_now = now + self.clock_skew_ms.get(&id).copied().unwrap_or(0.0);
                let actions = self.schedulers.get_mut(&id).unwrap().tick(local_now);
                self.send(now, id, actions);
            }
            let (due, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.in_flight).into_iter().partition(|message| message.0 <= now);
            self.in_flight = later;
            for (_, from, to, message) in due {
                let local_now = now + self.clock_skew_ms.get(&to).copied().unwrap_or(0.0);
                if let Some(scheduler) = self.schedulers.get_mut(&to) {
                    let actions = scheduler.receive(local_now, from, &message);
                    self.send(now, to, actions);
                }
            }
        }
    }

    /// Number of leases checked in an interval, and the maximum number of checks of one lease.
    fn checks_between(&self, from: f64, to: f64) -> (usize, usize) {
        let mut counts = BTreeMap::<Lease, usize>::new();
        for (_, _, lease) in self.checks.iter().filter(|(at, ..)| *at >= from && *at < to) {
            *counts.entry(*lease).or_default() += 1;
        }
        (counts.len(), counts.values().copied().max().unwrap_or(0))
    }
}

#[test]
fn each_lease_is_checked_once_and_checks_are_spread_over_all_instances() {
    let mut network = Network::new(3, 30, 1);
    network.run(0.0, 24_000.0);
    assert_eq!(network.checks_between(8_000.0, 24_000.0), (30 * 8, 1), "30 endpoints, 8 periods");
    for id in 1..=3 {
        let count =
            network.checks.iter().filter(|(at, instance, ..)| *at >= 8_000.0 && *instance == id).count();
        assert!((40..130).contains(&count), "instance {id} ran {count} of 240 checks, expected 40 to 129");
    }
}

#[test]
fn no_check_runs_twice_under_message_loss_and_clock_skew() {
    let mut network = Network::new(3, 30, 2);
    (network.loss_rate, network.clock_skew_ms) = (0.2, BTreeMap::from([(1, -150.0), (2, 250.0)]));
    network.run(0.0, 44_000.0);
    let (leases_checked, max_runs) = network.checks_between(8_000.0, 44_000.0);
    assert_eq!(max_runs, 1, "a check ran twice");
    assert!(leases_checked >= 30 * 18 * 9 / 10, "only {leases_checked} of {} leases were checked", 30 * 18);
}

#[test]
fn the_checks_of_a_failed_instance_continue_in_the_following_slots() {
    let mut network = Network::new(3, 30, 3);
    network.run(0.0, 10_000.0);
    network.schedulers.remove(&2);
    network.run(10_000.0, 20_000.0);
    let (leases_checked, max_runs) = network.checks_between(10_500.0, 18_500.0);
    assert_eq!((leases_checked, max_runs), (30 * 4, 1), "a slot was skipped or checked twice");
    let delays_ms: Vec<f64> = network
        .checks
        .iter()
        .filter(|(at, ..)| *at > 10_000.0)
        .map(|(at, _, lease)| at - lease.due_ms(TIMES.period_ms))
        .collect();
    assert!(delays_ms.iter().all(|ms| *ms < 500.0), "a check ran 500 ms or more after it was due");
    assert!(
        network.schedulers[&1].metrics.failovers + network.schedulers[&3].metrics.failovers > 0,
        "no failover was counted"
    );
}

#[test]
fn the_minority_of_a_partition_runs_no_checks_and_restarts_cause_no_duplicate_checks() {
    let mut network = Network::new(3, 30, 4);
    network.run(0.0, 10_000.0);
    network.isolated.insert(3);
    network.run(10_000.0, 20_000.0);
    assert_eq!(network.checks_between(10_500.0, 19_500.0).1, 1, "a check ran twice during the partition");
    assert!(
        !network.checks.iter().any(|(at, instance, ..)| *at > 10_500.0 && *instance == 3),
        "the minority ran a check"
    );
    assert!(network.schedulers[&3].metrics.timed_out > 0, "no vote request timed out in the minority");
    network.isolated.clear();
    // An instance restarts repeatedly and loses its votes each time.
    for k in 0..20 {
        let now = 20_000.0 + f64::from(k) * 900.0;
        let mut scheduler = Scheduler::new(now, 1, [1, 2, 3], TIMES);
        scheduler.set_endpoints(now, 0..30);
        network.schedulers.insert(1, scheduler);
        network.run(now, now + 900.0);
    }
    network.run(38_000.0, 50_000.0);
    assert_eq!(network.checks_between(0.0, 50_000.0).1, 1, "a check ran twice");
    assert_eq!(
        network.checks_between(44_000.0, 50_000.0).0,
        30 * 3,
        "not all checks resumed after the restarts"
    );
}

#[test]
fn unexpected_messages_are_ignored_and_a_single_instance_runs_every_check() {
    let mut scheduler = Scheduler::new(0.0, 1, [1, 2, 3], TIMES);
    scheduler.set_endpoints(0.0, [7]);
    assert!(
        scheduler.receive(9_000.0, 9, &Message::VoteRequest(Lease { endpoint: 7, slot: 4 })).is_empty(),
        "the sender is not a configured instance"
    );
    let actions = scheduler.receive(9_000.0, 2, &Message::VoteRequest(Lease { endpoint: 7, slot: 900 }));
    assert_eq!(
        actions,
        [Action::Reply(2, Message::Vote { endpoint: 7, slot: 900, granted: false })],
        "a request for a slot far from the current one should be denied"
    );
    assert!(
        scheduler.receive(9_000.0, 2, &Message::Vote { endpoint: 7, slot: 3, granted: true }).is_empty(),
        "no vote was requested"
    );
    let mut alone = Scheduler::new(0.0, 1, [], TIMES);
    alone.set_endpoints(0.0, [7]);
    let mut checks = 0;
    for k in 0..1_000 {
        checks += alone.tick(f64::from(k) * 10.0).iter().filter(|a| matches!(a, Action::RunCheck(_))).count();
    }
    let expected_checks =
        (1..).take_while(|slot| Lease { endpoint: 7, slot: *slot }.due_ms(TIMES.period_ms) < 9_990.0).count();
    assert_eq!(checks, expected_checks, "a single instance should run every check from the next slot on");
}

/// Guards against request delays longer than the period, and against duplicate checks when more votes arrive
/// than the majority needs.
#[test]
fn with_a_thousand_instances_leases_are_requested_within_the_period() {
    let times = SchedulerTimes { rank_delay_ms: 50.0, ..TIMES };
    let all = 1..=1_024;
    for own_id in [1, 512, 1_024] {
        let mut scheduler = Scheduler::new(0.0, own_id, all.clone(), times);
        scheduler.set_endpoints(0.0, 0..3);
        let mut requested = 0;
        for step in 0..80 {
            let now = 4_000.0 + f64::from(step) * 50.0;
            // All other instances are alive but request no lease.
            all.clone().for_each(|id| drop(scheduler.receive(now, id, &Message::Heartbeat)));
            for action in scheduler.tick(now) {
                let Action::Broadcast(Message::VoteRequest(lease)) = action else { continue };
                let delay_ms = now - lease.due_ms(times.period_ms);
                assert!(
                    delay_ms <= MAX_RANK as f64 * times.rank_delay_ms + 50.0,
                    "the lease was requested {delay_ms} ms after it was due"
                );
                requested += 1;
                let vote = Message::Vote { endpoint: lease.endpoint, slot: lease.slot, granted: true };
                let actions: Vec<Action> =
                    all.clone().flat_map(|id| scheduler.receive(now, id, &vote)).collect();
                assert_eq!(actions, [Action::RunCheck(lease)], "the check should run exactly once");
            }
        }
        assert!(requested >= 3, "instance {own_id} requested only {requested} leases");
    }
}
