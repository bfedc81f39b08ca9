//! Shared duties measured without sockets, on a clock that is moved by hand: instances with a network that loses and
//! delays their words, one of which is killed again and again. How late probes are, how many words each costs, and
//! what a tick costs with a thousand duties.
//!
//!     cargo run --release --example duties_shared -- [KILLS]

use edge_proxy::health_check::lease::{due_ms, DutyId, InstanceId, Slot};
use edge_proxy::health_check::scheduler::{Act, Message, Plan, Times};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

const TIMES: Times = Times {
    period_ms: 2_000.0,
    step_ms: 200.0,
    again_ms: 50.0,
    claim_ms: 400.0,
    beat_ms: 375.0,
    dead_ms: 1_500.0,
};
/// How far the clock moves at once, in milliseconds.
const STEP_MS: f64 = 5.0;

struct Net {
    plans: BTreeMap<InstanceId, Plan>,
    wires: BTreeMap<u64, Vec<(InstanceId, InstanceId, Message)>>,
    rng: SmallRng,
    loss: f64,
    words: u64,
    ticks: u64,
    tick_ns: u128,
    ran: Vec<(f64, DutyId, Slot)>,
}

impl Net {
    fn send(&mut self, now: f64, from: InstanceId, acts: Vec<Act>) {
        let others = |me| self.plans.keys().copied().filter(|id| *id != me).collect::<Vec<_>>();
        let mut out = Vec::new();
        for act in acts {
            match act {
                Act::Tell(message) => out.extend(others(from).into_iter().map(|to| (to, message.clone()))),
                Act::Answer(to, message) => out.push((to, message)),
                Act::Run(duty, slot) => {
                    self.ran.push((now, duty, slot));
                    let message = Message::Result { duty, slot, ok: true, took_ms: 1.0 };
                    for _ in 0..2 {
                        out.extend(others(from).into_iter().map(|to| (to, message.clone())));
                    }
                }
            }
        }
        for (to, message) in out {
            self.words += 1;
            if self.rng.random_range(0.0..1.0) >= self.loss {
                let at = ((now + self.rng.random_range(0.5..10.0)) / STEP_MS).ceil() as u64;
                self.wires.entry(at).or_default().push((from, to, message));
            }
        }
    }

    fn run(&mut self, from: f64, to: f64) {
        let mut now = from;
        while now < to {
            now += STEP_MS;
            for id in self.plans.keys().copied().collect::<Vec<_>>() {
                let start = Instant::now();
                let acts = self.plans.get_mut(&id).unwrap().tick(now);
                self.tick_ns += start.elapsed().as_nanos();
                self.ticks += 1;
                self.send(now, id, acts);
            }
            let later = self.wires.split_off(&((now / STEP_MS) as u64 + 1));
            for (from, to, message) in std::mem::replace(&mut self.wires, later).into_values().flatten() {
                if let Some(plan) = self.plans.get_mut(&to) {
                    let acts = plan.receive(now, from, &message);
                    self.send(now, to, acts);
                }
            }
        }
    }
}

fn one(instances: u16, duties: u32, loss: f64, kills: u32) {
    let all: Vec<InstanceId> = (1..=instances).collect();
    let plan = |now: f64, me: InstanceId| {
        let mut plan = Plan::new(now, me, all.iter().copied(), TIMES);
        plan.list(now, 0..duties);
        plan
    };
    let plans = all.iter().map(|me| (*me, plan(0.0, *me))).collect();
    let (wires, rng) = (BTreeMap::new(), SmallRng::seed_from_u64(7));
    let mut net = Net { plans, wires, rng, loss, words: 0, ticks: 0, tick_ns: 0, ran: Vec::new() };
    net.run(0.0, 10_000.0);
    let (mut now, mut words, mut slots) = (10_000.0, 0, 0u64);
    let mut late = Histogram::<u64>::new(3).unwrap();
    let mut gaps = Histogram::<u64>::new(3).unwrap();
    let mut doubled = 0usize;
    for k in 0..kills.max(1) {
        let (from, before) = (now, net.words);
        net.ran.clear();
        let victim = (k % u32::from(instances)) as InstanceId + 1;
        if kills > 0 {
            net.plans.remove(&victim);
        }
        net.run(now, now + 8_000.0);
        words += net.words - before;
        now += 8_000.0;
        let mut seen = BTreeSet::new();
        let mut last = BTreeMap::<DutyId, f64>::new();
        for (at, duty, slot) in &net.ran {
            doubled += usize::from(!seen.insert((*duty, *slot)));
            late.record((at - due_ms(*duty, *slot, TIMES.period_ms)).max(0.0) as u64).unwrap();
            let gap = at - last.insert(*duty, *at).unwrap_or(from);
            gaps.record(gap as u64).unwrap();
        }
        slots += seen.len() as u64;
        if kills > 0 {
            net.plans.insert(victim, plan(now, victim));
            net.run(now, now + 8_000.0);
            now += 8_000.0;
        }
    }
    println!(
        "| {instances} | {duties} | {loss} | {kills} | {} / {} / {} | {} / {} | {doubled} | {:.1} | {:.0} |",
        late.value_at_quantile(0.5),
        late.value_at_quantile(0.99),
        late.max(),
        gaps.value_at_quantile(0.99),
        gaps.max(),
        words as f64 / slots as f64,
        net.tick_ns as f64 / net.ticks as f64
    );
}

fn main() {
    let kills: u32 = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or(20);
    println!("| instances | duties | loss | kills | probes late p50 / p99 / max ms | time between two probes of a server p99 / max ms | doubled | words a probe | ns a tick |");
    println!("| ---: | ---: | ---: | ---: | --- | --- | ---: | ---: | ---: |");
    for (instances, duties, loss, kills) in [
        (3, 100, 0.0, 0),
        (3, 100, 0.0, kills),
        (3, 100, 0.1, kills),
        (5, 100, 0.0, kills),
        (9, 100, 0.0, kills),
        (3, 1_000, 0.0, kills.min(5)),
    ] {
        one(instances, duties, loss, kills);
    }
}
