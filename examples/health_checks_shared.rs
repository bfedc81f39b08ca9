//! Measures shared health checks without sockets, on a simulated clock: the instances exchange messages over
//! a lossy, delayed network, and one instance at a time is killed and restarted. Prints the lateness of
//! checks, the messages per check and the CPU time per tick.
//!
//!     cargo run --release --example health_checks_shared -- [KILLS]

use edge_proxy::health_check::lease::{InstanceId, Lease};
use edge_proxy::health_check::message::{CheckResult, Message};
use edge_proxy::health_check::scheduler::{Action, Scheduler, SchedulerTimes};
use edge_proxy::EndpointId;
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

const TIMES: SchedulerTimes = SchedulerTimes {
    period_ms: 2_000.0,
    rank_delay_ms: 200.0,
    retry_interval_ms: 50.0,
    request_timeout_ms: 400.0,
    heartbeat_interval_ms: 375.0,
    failure_timeout_ms: 1_500.0,
};
/// Step of the simulated clock, in milliseconds.
const STEP_MS: f64 = 5.0;

struct Network {
    schedulers: BTreeMap<InstanceId, Scheduler>,
    /// Messages as (sender, recipient, message), by the step at which they arrive.
    in_flight: BTreeMap<u64, Vec<(InstanceId, InstanceId, Message)>>,
    rng: SmallRng,
    loss: f64,
    messages: u64,
    ticks: u64,
    tick_ns: u128,
    /// Executed checks with their times.
    checks: Vec<(f64, Lease)>,
}

impl Network {
    fn send(&mut self, now: f64, from: InstanceId, actions: Vec<Action>) {
        let others = |own_id| self.schedulers.keys().copied().filter(|id| *id != own_id).collect::<Vec<_>>();
        let mut outgoing = Vec::new();
        for action in actions {
            match action {
                Action::Broadcast(message) => {
                    outgoing.extend(others(from).into_iter().map(|to| (to, message.clone())))
                }
                Action::Reply(to, message) => outgoing.push((to, message)),
                Action::RunCheck(lease) => {
                    self.checks.push((now, lease));
                    let Lease { endpoint, slot } = lease;
                    let result = CheckResult { endpoint, slot, passed: true, duration_ms: 1.0 };
                    let message = Message::Result(result);
                    // The driver broadcasts each result twice.
                    for _ in 0..2 {
                        outgoing.extend(others(from).into_iter().map(|to| (to, message.clone())));
                    }
                }
            }
        }
        for (to, message) in outgoing {
            self.messages += 1;
            if self.rng.random_range(0.0..1.0) >= self.loss {
                let arrival_step = ((now + self.rng.random_range(0.5..10.0)) / STEP_MS).ceil() as u64;
                self.in_flight.entry(arrival_step).or_default().push((from, to, message));
            }
        }
    }

    fn run(&mut self, from: f64, to: f64) {
        let mut now = from;
        while now < to {
            now += STEP_MS;
            for id in self.schedulers.keys().copied().collect::<Vec<_>>() {
                let start = Instant::now();
                let actions = self.schedulers.get_mut(&id).unwrap().tick(now);
                self.tick_ns += start.elapsed().as_nanos();
                self.ticks += 1;
                self.send(now, id, actions);
            }
            let later = self.in_flight.split_off(&((now / STEP_MS) as u64 + 1));
            for (from, to, message) in std::mem::replace(&mut self.in_flight, later).into_values().flatten() {
                if let Some(scheduler) = self.schedulers.get_mut(&to) {
                    let actions = scheduler.receive(now, from, &message);
                    self.send(now, to, actions);
                }
            }
        }
    }
}

fn measure(instances: u16, endpoints: u32, loss: f64, kills: u32) {
    let instance_ids: Vec<InstanceId> = (1..=instances).collect();
    let new_scheduler = |now: f64, own_id: InstanceId| {
        let mut scheduler = Scheduler::new(now, own_id, instance_ids.iter().copied(), TIMES);
        scheduler.set_endpoints(now, 0..endpoints);
        scheduler
    };
    let schedulers = instance_ids.iter().map(|id| (*id, new_scheduler(0.0, *id))).collect();
    let (in_flight, rng) = (BTreeMap::new(), SmallRng::seed_from_u64(7));
    let mut network =
        Network { schedulers, in_flight, rng, loss, messages: 0, ticks: 0, tick_ns: 0, checks: Vec::new() };
    network.run(0.0, 10_000.0);
    let (mut now, mut messages, mut slots) = (10_000.0, 0, 0u64);
    let mut lateness_ms = Histogram::<u64>::new(3).unwrap();
    let mut intervals_ms = Histogram::<u64>::new(3).unwrap();
    let mut repeated = 0usize;
    for k in 0..kills.max(1) {
        let (round_start, messages_before) = (now, network.messages);
        network.checks.clear();
        let victim = (k % u32::from(instances)) as InstanceId + 1;
        if kills > 0 {
            network.schedulers.remove(&victim);
        }
        network.run(now, now + 8_000.0);
        messages += network.messages - messages_before;
        now += 8_000.0;
        let mut checked_leases = BTreeSet::new();
        let mut last_check_ms = BTreeMap::<EndpointId, f64>::new();
        for (at, lease) in &network.checks {
            repeated += usize::from(!checked_leases.insert(*lease));
            lateness_ms.record((at - lease.due_ms(TIMES.period_ms)).max(0.0) as u64).unwrap();
            let interval_ms = at - last_check_ms.insert(lease.endpoint, *at).unwrap_or(round_start);
            intervals_ms.record(interval_ms as u64).unwrap();
        }
        slots += checked_leases.len() as u64;
        if kills > 0 {
            network.schedulers.insert(victim, new_scheduler(now, victim));
            network.run(now, now + 8_000.0);
            now += 8_000.0;
        }
    }
    println!(
        "| {instances} | {endpoints} | {loss} | {kills} | {} / {} / {} | {} / {} | {repeated} | {:.1} | {:.0} |",
        lateness_ms.value_at_quantile(0.5),
        lateness_ms.value_at_quantile(0.99),
        lateness_ms.max(),
        intervals_ms.value_at_quantile(0.99),
        intervals_ms.max(),
        messages as f64 / slots as f64,
        network.tick_ns as f64 / network.ticks as f64
    );
}

fn main() {
    let kills: u32 = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or(20);
    println!("| instances | endpoints | loss | kills | lateness of checks p50 / p99 / max ms | interval between checks of an endpoint p99 / max ms | run twice | messages per check | ns per tick |");
    println!("| ---: | ---: | ---: | ---: | --- | --- | ---: | ---: | ---: |");
    for (instances, endpoints, loss, kills) in [
        (3, 100, 0.0, 0),
        (3, 100, 0.0, kills),
        (3, 100, 0.1, kills),
        (5, 100, 0.0, kills),
        (9, 100, 0.0, kills),
        (3, 1_000, 0.0, kills.min(5)),
    ] {
        measure(instances, endpoints, loss, kills);
    }
}
