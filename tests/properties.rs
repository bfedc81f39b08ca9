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
    out: Vec<(u32, EndpointId, Micros)>,
    sent: u32,
    ran: bool,
    answers: u32,
    deadline_at: Micros,
}

const VERDICTS: [AttemptOutcome; 8] = [
    AttemptOutcome::Served,
    AttemptOutcome::Error,
    AttemptOutcome::Rejected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::NoConnection,
    AttemptOutcome::ConnectionLost,
    AttemptOutcome::CacheMiss,
    AttemptOutcome::NotSent,
];

/// Plays one random day and returns all its actions.
fn play(seed: u64, can_check_health: bool) -> Vec<Action> {
    let mut dice = Dice(seed * 2 + 1);
    let set = PolicySettings { can_check_health, ..settings() };
    let mut router = Router::new(set, seed);
    let mut lives: BTreeMap<EndpointId, EndpointState> =
        fleet().iter().map(|e| (e.id, EndpointState::Active)).collect();
    let mut open: BTreeMap<RequestId, Open> = BTreeMap::new();
    let mut timers: Vec<(Micros, u64)> = Vec::new();
    let (mut now, mut next, mut log) = (50 * S, 0, Vec::new());
    let mut event = Some(Event::EndpointsChanged { full: true, entries: fleet() });
    for step in 0..3_000 {
        now += dice.roll(30) * MS;
        let draining = step < 2_500;
        if event.is_none() {
            event = Some(match dice.roll(20) {
                0..=6 if draining => {
                    next += 1;
                    let class = dice.roll(4) as usize;
                    let deadline_at = now + S + dice.roll(3_000) * MS;
                    let state = Open { class, out: vec![], sent: 0, ran: false, answers: 0, deadline_at };
                    open.insert(next, state);
                    let (object, size_kb) = (dice.roll(50), dice.roll(2_000) as f64);
                    let (group, part) = ((object % 4) as u32, dice.roll(9) as u32);
                    Event::Request { id: next, class, object, group, part, size_kb, deadline_at }
                }
                7 => {
                    let id = [1, 2, 3, 4, 11, 12, 13, 21][dice.roll(8) as usize];
                    let tier = match id {
                        21 => Tier::Origin,
                        11.. => Tier::Parent,
                        _ => Tier::Cache,
                    };
                    let state = [
                        EndpointState::Active,
                        EndpointState::Active,
                        EndpointState::Draining,
                        EndpointState::Removed,
                    ][dice.roll(4) as usize];
                    let started_at = if dice.roll(2) == 0 { now } else { 0 };
                    lives.insert(id, state);
                    Event::EndpointsChanged {
                        full: false,
                        entries: vec![Endpoint { state, started_at, ..endpoint(id, tier) }],
                    }
                }
                8 => Event::Purged {
                    object: (dice.roll(2) == 0).then(|| dice.roll(50)),
                    group: dice.roll(4) as u32,
                    age: dice.roll(4_000) * MS,
                },
                9 => Event::ClientDisconnected { id: dice.roll(next + 2) },
                10 => Event::Timer { token: dice.roll(50) },
                11 => Event::ResponseStarted { id: next + 5, attempt: 0 },
                _ => {
                    let due = timers.iter().position(|(at, _)| *at <= now);
                    let ids: Vec<_> =
                        open.iter().filter(|(_, r)| !r.out.is_empty()).map(|(id, _)| *id).collect();
                    match (due, ids.is_empty()) {
                        (Some(k), _) => Event::Timer { token: timers.remove(k).1 },
                        (None, true) => Event::HealthChecked {
                            endpoint: dice.roll(24) as u32,
                            outcome: [
                                AttemptOutcome::Served,
                                AttemptOutcome::NoConnection,
                                AttemptOutcome::TimedOut,
                            ][dice.roll(3) as usize],
                        },
                        (None, false) => {
                            let id = ids[dice.roll(ids.len() as u64) as usize];
                            let request = open.get_mut(&id).unwrap();
                            let (attempt, _, at) =
                                request.out.remove(dice.roll(request.out.len() as u64) as usize);
                            let outcome = VERDICTS[dice.roll(8) as usize];
                            request.ran |= !outcome.never_ran();
                            let closed = request.answers > 0 || outcome == AttemptOutcome::Served;
                            request.answers +=
                                u32::from(outcome == AttemptOutcome::Served && request.answers == 0);
                            let (cache_status, elapsed) = (CacheStatus::Unknown, now - at);
                            Event::AttemptEnded { id, attempt, outcome, cache_status, elapsed, closed }
                        }
                    }
                }
            });
        }
        let this = event.take().unwrap();
        if let Event::ClientDisconnected { id } = &this {
            if let Some(request) = open.get_mut(id) {
                request.answers = request.answers.max(1);
            }
        }
        let mut actions = Vec::new();
        router.handle(now, &this, &mut actions);
        for action in &actions {
            match action {
                Action::Forward { id, to, source, timeout, .. } => {
                    let request = open.get_mut(id).expect("a request that was given");
                    assert_eq!(request.answers, 0, "sent after its end");
                    assert_eq!(
                        lives.get(to),
                        Some(&EndpointState::Active),
                        "sent to a member that drains or is gone"
                    );
                    if let Some(source) = source {
                        assert_eq!(
                            lives.get(source),
                            Some(&EndpointState::Active),
                            "filled from one that drains"
                        );
                    }
                    assert!(request.out.is_empty(), "two at once");
                    assert!(request.class != 3 || !request.ran, "an effect could double");
                    assert!(now + timeout <= request.deadline_at && *timeout > 0);
                    request.out.push((request.sent, *to, now));
                    request.sent += 1;
                    assert!(request.sent <= 6, "more attempts than allowed");
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    let request = open.get_mut(id).expect("a request that was given");
                    assert_eq!(request.answers, 0, "a second final answer");
                    request.answers = 1;
                    let refused = matches!(action, Action::Reject { .. });
                    assert!(!refused || request.class != 3 || !request.ran, "a refusal that is not harmless");
                }
                Action::SetTimer { token, at } => timers.push((*at, *token)),
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
fn random_days_keep_every_invariant() {
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
