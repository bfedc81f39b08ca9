//! Random legal event orders with fixed seeds: what must hold whatever comes in.

mod common;

use common::*;
use edge_proxy::*;
use std::collections::BTreeMap;

/// A small generator, so that the verdict is the same every time.
struct Dice(u64);

impl Dice {
    fn roll(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % n
    }
}

struct Open {
    class: usize,
    out: Vec<(u32, MemberId, Micros)>,
    sent: u32,
    ran: bool,
    answers: u32,
    give_up_at: Micros,
}

const VERDICTS: [Verdict; 8] = [
    Verdict::Served,
    Verdict::Error,
    Verdict::Refused,
    Verdict::TimedOut,
    Verdict::NoConnection,
    Verdict::Broken,
    Verdict::Miss,
    Verdict::NeverSent,
];

/// Plays one random day and returns all its actions.
fn play(seed: u64, probing: bool) -> Vec<Action> {
    let mut dice = Dice(seed * 2 + 1);
    let set = Settings { probing, ..settings() };
    let mut router = Router::new(set, seed);
    let mut lives: BTreeMap<MemberId, Life> = fleet().iter().map(|e| (e.id, Life::Live)).collect();
    let mut open: BTreeMap<RequestId, Open> = BTreeMap::new();
    let mut timers: Vec<(Micros, u64)> = Vec::new();
    let (mut now, mut next, mut log) = (50 * S, 0, Vec::new());
    let mut event = Some(Event::Members { full: true, entries: fleet() });
    for step in 0..3_000 {
        now += dice.roll(30) * MS;
        let draining = step < 2_500;
        if event.is_none() {
            event = Some(match dice.roll(20) {
                0..=6 if draining => {
                    next += 1;
                    let class = dice.roll(4) as usize;
                    let give_up_at = now + S + dice.roll(3_000) * MS;
                    let state = Open { class, out: vec![], sent: 0, ran: false, answers: 0, give_up_at };
                    open.insert(next, state);
                    let (object, size_kb) = (dice.roll(50), dice.roll(2_000) as f64);
                    let (group, part) = ((object % 4) as u32, dice.roll(9) as u32);
                    Event::Request { id: next, class, object, group, part, size_kb, give_up_at }
                }
                7 => {
                    let id = [1, 2, 3, 4, 11, 12, 13, 21][dice.roll(8) as usize];
                    let role = match id {
                        21 => Role::Origin,
                        11.. => Role::Parent,
                        _ => Role::Cache,
                    };
                    let life = [Life::Live, Life::Live, Life::Draining, Life::Gone][dice.roll(4) as usize];
                    let started = if dice.roll(2) == 0 { now } else { 0 };
                    lives.insert(id, life);
                    Event::Members {
                        full: false,
                        entries: vec![Listing { life, started, ..member(id, role) }],
                    }
                }
                8 => Event::Purged {
                    object: (dice.roll(2) == 0).then(|| dice.roll(50)),
                    group: dice.roll(4) as u32,
                    ago: dice.roll(4_000) * MS,
                },
                9 => Event::Left { id: dice.roll(next + 2) },
                10 => Event::Timer { token: dice.roll(50) },
                11 => Event::Streaming { id: next + 5, attempt: 0 },
                _ => {
                    let due = timers.iter().position(|(at, _)| *at <= now);
                    let ids: Vec<_> =
                        open.iter().filter(|(_, r)| !r.out.is_empty()).map(|(id, _)| *id).collect();
                    match (due, ids.is_empty()) {
                        (Some(k), _) => Event::Timer { token: timers.remove(k).1 },
                        (None, true) => Event::Probed {
                            member: dice.roll(24) as u32,
                            verdict: [Verdict::Served, Verdict::NoConnection, Verdict::TimedOut]
                                [dice.roll(3) as usize],
                        },
                        (None, false) => {
                            let id = ids[dice.roll(ids.len() as u64) as usize];
                            let request = open.get_mut(&id).unwrap();
                            let (attempt, _, at) =
                                request.out.remove(dice.roll(request.out.len() as u64) as usize);
                            let verdict = VERDICTS[dice.roll(8) as usize];
                            request.ran |= !verdict.never_ran();
                            let closed = request.answers > 0 || verdict == Verdict::Served;
                            request.answers += u32::from(verdict == Verdict::Served && request.answers == 0);
                            let (note, took) = (Note::Silent, now - at);
                            Event::Outcome { id, attempt, verdict, note, took, closed }
                        }
                    }
                }
            });
        }
        let this = event.take().unwrap();
        if let Event::Left { id } = &this {
            if let Some(request) = open.get_mut(id) {
                request.answers = request.answers.max(1);
            }
        }
        let mut actions = Vec::new();
        router.handle(now, &this, &mut actions);
        for action in &actions {
            match action {
                Action::Send { id, to, source, timeout, .. } => {
                    let request = open.get_mut(id).expect("a request that was given");
                    assert_eq!(request.answers, 0, "sent after its end");
                    assert_eq!(lives.get(to), Some(&Life::Live), "sent to a member that drains or is gone");
                    if let Some(source) = source {
                        assert_eq!(lives.get(source), Some(&Life::Live), "filled from one that drains");
                    }
                    assert!(request.out.is_empty(), "two at once");
                    assert!(request.class != 3 || !request.ran, "an effect could double");
                    assert!(now + timeout <= request.give_up_at && *timeout > 0);
                    request.out.push((request.sent, *to, now));
                    request.sent += 1;
                    assert!(request.sent <= 6, "more attempts than allowed");
                }
                Action::Refuse { id, .. } | Action::Fail { id } => {
                    let request = open.get_mut(id).expect("a request that was given");
                    assert_eq!(request.answers, 0, "a second final answer");
                    request.answers = 1;
                    let refused = matches!(action, Action::Refuse { .. });
                    assert!(!refused || request.class != 3 || !request.ran, "a refusal that is not harmless");
                }
                Action::Timer { token, at } => timers.push((*at, *token)),
                _ => {}
            }
        }
        for (id, request) in &open {
            assert!(
                request.answers > 0 || !request.out.is_empty(),
                "request {id} is held without an attempt"
            );
        }
        log.extend(actions);
    }
    log
}

#[test]
fn random_days_keep_every_promise() {
    for seed in 1..40 {
        play(seed, seed % 2 == 0);
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    for seed in 1..6 {
        assert_eq!(play(seed, true), play(seed, true));
    }
}
