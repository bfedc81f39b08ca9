use super::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const TIMES: Times = Times {
    period_ms: 2_000.0,
    step_ms: 200.0,
    again_ms: 40.0,
    claim_ms: 400.0,
    beat_ms: 300.0,
    dead_ms: 1_200.0,
};

/// Instances in one thread, with a network that loses and delays.
struct Net {
    plans: BTreeMap<InstanceId, Plan>,
    wires: Vec<(f64, InstanceId, InstanceId, Message)>,
    rng: SmallRng,
    loss: f64,
    /// Instances whose words reach nobody on the other side.
    apart: BTreeSet<InstanceId>,
    ran: Vec<(f64, InstanceId, DutyId, Slot)>,
    skew: BTreeMap<InstanceId, f64>,
}

impl Net {
    fn new(instances: u16, duties: u32, seed: u64) -> Self {
        let all: Vec<InstanceId> = (1..=instances).collect();
        let mut plans = BTreeMap::new();
        for me in &all {
            let mut plan = Plan::new(0.0, *me, all.iter().copied(), TIMES);
            plan.list(0.0, 0..duties);
            plans.insert(*me, plan);
        }
        let (rng, wires, apart, ran, skew) =
            (SmallRng::seed_from_u64(seed), vec![], BTreeSet::new(), vec![], BTreeMap::new());
        Self { plans, wires, rng, loss: 0.0, apart, ran, skew }
    }

    fn send(&mut self, now: f64, from: InstanceId, acts: Vec<Act>) {
        let mut out = Vec::new();
        for act in acts {
            match act {
                Act::Tell(message) => {
                    let others: Vec<InstanceId> =
                        self.plans.keys().copied().filter(|id| *id != from).collect();
                    out.extend(others.into_iter().map(|to| (to, message.clone())));
                }
                Act::Answer(to, message) => out.push((to, message)),
                Act::Run(duty, slot) => {
                    self.ran.push((now, from, duty, slot));
                    let message = Message::Result { duty, slot, ok: true, took_ms: 1.0 };
                    let others: Vec<InstanceId> =
                        self.plans.keys().copied().filter(|id| *id != from).collect();
                    out.extend(others.into_iter().map(|to| (to, message.clone())));
                }
            }
        }
        for (to, message) in out {
            let cut = self.apart.contains(&from) != self.apart.contains(&to);
            if !cut && self.rng.random_range(0.0..1.0) >= self.loss {
                self.wires.push((now + self.rng.random_range(0.5..20.0), from, to, message));
            }
        }
    }

    fn run(&mut self, from: f64, to: f64) {
        let mut now = from;
        while now < to {
            now += 10.0;
            for id in self.plans.keys().copied().collect::<Vec<_>>() {
                let own = now + self.skew.get(&id).copied().unwrap_or(0.0);
                let acts = self.plans.get_mut(&id).unwrap().tick(own);
                self.send(now, id, acts);
            }
            let (due, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.wires).into_iter().partition(|w| w.0 <= now);
            self.wires = later;
            for (_, from, to, message) in due {
                let own = now + self.skew.get(&to).copied().unwrap_or(0.0);
                if let Some(plan) = self.plans.get_mut(&to) {
                    let acts = plan.receive(own, from, &message);
                    self.send(now, to, acts);
                }
            }
        }
    }

    /// Slots of each duty that were done between two times, and the most often that one was.
    fn done(&self, from: f64, to: f64) -> (usize, usize) {
        let mut counts = BTreeMap::<(DutyId, Slot), usize>::new();
        for (_, _, duty, slot) in self.ran.iter().filter(|(at, ..)| *at >= from && *at < to) {
            *counts.entry((*duty, *slot)).or_default() += 1;
        }
        (counts.len(), counts.values().copied().max().unwrap_or(0))
    }
}

#[test]
fn each_slot_is_done_once_and_all_do_their_part() {
    let mut net = Net::new(3, 30, 1);
    net.run(0.0, 24_000.0);
    assert_eq!(net.done(8_000.0, 24_000.0), (30 * 8, 1), "30 duties, 8 periods");
    for id in 1..=3 {
        let part = net.ran.iter().filter(|(at, who, ..)| *at >= 8_000.0 && *who == id).count();
        assert!((40..130).contains(&part), "{id} did {part} of 240");
    }
}

#[test]
fn losses_and_clocks_that_differ_double_nothing() {
    let mut net = Net::new(3, 30, 2);
    (net.loss, net.skew) = (0.2, BTreeMap::from([(1, -150.0), (2, 250.0)]));
    net.run(0.0, 44_000.0);
    let (slots, most) = net.done(8_000.0, 44_000.0);
    assert_eq!(most, 1, "a slot was done twice");
    assert!(slots >= 30 * 18 * 9 / 10, "{slots} of {}", 30 * 18);
}

#[test]
fn a_dead_ones_duties_are_taken_up_in_the_next_slots() {
    let mut net = Net::new(3, 30, 3);
    net.run(0.0, 10_000.0);
    net.plans.remove(&2);
    net.run(10_000.0, 20_000.0);
    let (slots, most) = net.done(10_500.0, 18_500.0);
    assert_eq!((slots, most), (30 * 4, 1), "no slot was left out");
    let late: Vec<f64> = net
        .ran
        .iter()
        .filter(|(at, ..)| *at > 10_000.0)
        .map(|(at, _, duty, slot)| at - due_ms(*duty, *slot, TIMES.period_ms))
        .collect();
    assert!(late.iter().all(|ms| *ms < 500.0), "at most two steps and a round late");
    assert!(net.plans[&1].figures.stood_in + net.plans[&3].figures.stood_in > 0);
}

#[test]
fn the_lesser_part_of_a_split_does_nothing_and_a_restart_doubles_nothing() {
    let mut net = Net::new(3, 30, 4);
    net.run(0.0, 10_000.0);
    net.apart.insert(3);
    net.run(10_000.0, 20_000.0);
    assert_eq!(net.done(10_500.0, 19_500.0).1, 1);
    assert!(!net.ran.iter().any(|(at, who, ..)| *at > 10_500.0 && *who == 3), "the lesser part did a duty");
    assert!(net.plans[&3].figures.unanswered > 0);
    net.apart.clear();
    // One that starts anew, again and again, forgets what it granted.
    for k in 0..20 {
        let now = 20_000.0 + f64::from(k) * 900.0;
        let mut plan = Plan::new(now, 1, [1, 2, 3], TIMES);
        plan.list(now, 0..30);
        net.plans.insert(1, plan);
        net.run(now, now + 900.0);
    }
    net.run(38_000.0, 50_000.0);
    assert_eq!(net.done(0.0, 50_000.0).1, 1, "a slot was done twice");
    assert_eq!(net.done(44_000.0, 50_000.0).0, 30 * 3, "all is well again");
}

#[test]
fn strangers_and_what_comes_late_change_nothing() {
    let mut plan = Plan::new(0.0, 1, [1, 2, 3], TIMES);
    plan.list(0.0, [7]);
    assert!(plan.receive(9_000.0, 9, &Message::Claim { duty: 7, slot: 4 }).is_empty(), "a stranger");
    let far = plan.receive(9_000.0, 2, &Message::Claim { duty: 7, slot: 900 });
    assert_eq!(far, [Act::Answer(2, Message::Grant { duty: 7, slot: 900, yes: false })]);
    assert!(
        plan.receive(9_000.0, 2, &Message::Grant { duty: 7, slot: 3, yes: true }).is_empty(),
        "of no claim"
    );
    let mut alone = Plan::new(0.0, 1, [], TIMES);
    alone.list(0.0, [7]);
    let mut ran = 0;
    for k in 0..1_000 {
        ran += alone.tick(f64::from(k) * 10.0).iter().filter(|a| matches!(a, Act::Run(..))).count();
    }
    let due = (1..).take_while(|slot| due_ms(7, *slot, TIMES.period_ms) < 9_990.0).count();
    assert_eq!(ran, due, "one alone does all, once each period, from the next slot on");
}

/// A thousand instances: those far down the order claim within the period, and a majority of grants runs the duty once.
#[test]
fn a_thousand_instances_claim_within_a_period() {
    let times = Times { step_ms: 50.0, ..TIMES };
    let all = 1..=1_024;
    for me in [1, 512, 1_024] {
        let mut plan = Plan::new(0.0, me, all.clone(), times);
        plan.list(0.0, 0..3);
        let mut claimed = 0;
        for step in 0..80 {
            let now = 4_000.0 + f64::from(step) * 50.0;
            // Everybody else is alive and says nothing of these duties.
            all.clone().for_each(|id| drop(plan.receive(now, id, &Message::Beat)));
            for act in plan.tick(now) {
                let Act::Tell(Message::Claim { duty, slot }) = act else { continue };
                let late = now - due_ms(duty, slot, times.period_ms);
                assert!(late <= LAST_PLACE as f64 * times.step_ms + 50.0, "{late} ms late");
                claimed += 1;
                let grant = Message::Grant { duty, slot, yes: true };
                let granted: Vec<Act> = all.clone().flat_map(|id| plan.receive(now, id, &grant)).collect();
                assert_eq!(granted, [Act::Run(duty, slot)], "once, with the grants of a majority");
            }
        }
        assert!(claimed >= 3, "instance {me} claimed {claimed} slots that nobody else did");
    }
}
