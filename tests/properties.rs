//! Invariants of the router under random valid sequences of events, with fixed seeds.

mod common;

use common::*;
use edge_proxy::*;
use std::collections::BTreeMap;

/// An xorshift pseudorandom number generator; the seed determines its sequence.
struct Xorshift(u64);

impl Xorshift {
    fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % n
    }
}

struct OpenRequest {
    class: usize,
    in_flight: Vec<(u32, EndpointId, Micros)>,
    sent: u32,
    may_have_run: bool,
    final_responses: u32,
    deadline_at: Micros,
}

const OUTCOMES: [AttemptOutcome; 8] = [
    AttemptOutcome::Served,
    AttemptOutcome::Error,
    AttemptOutcome::Rejected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::NoConnection,
    AttemptOutcome::ConnectionLost,
    AttemptOutcome::CacheMiss,
    AttemptOutcome::NotSent,
];

/// Runs one random sequence of events, checks the invariants, and returns all actions.
fn run(seed: u64, can_check_health: bool) -> Vec<Action> {
    let mut random = Xorshift(seed * 2 + 1);
    let policy = PolicySettings { can_check_health, ..settings() };
    let classes = policy.classes.clone();
    let mut router = Router::new(policy, seed);
    let mut states: BTreeMap<EndpointId, EndpointState> =
        endpoints().iter().map(|e| (e.id, EndpointState::Active)).collect();
    let mut open_requests: BTreeMap<RequestId, OpenRequest> = BTreeMap::new();
    let mut timers: Vec<(Micros, u64)> = Vec::new();
    let (mut now, mut last_id, mut all_actions) = (50 * S, 0, Vec::new());
    let mut event = Some(Event::EndpointsChanged { full: true, entries: endpoints() });
    for step in 0..3_000 {
        now += random.below(30) * MS;
        let sends_requests = step < 2_500;
        if event.is_none() {
            event = Some(match random.below(20) {
                0..=6 if sends_requests => {
                    last_id += 1;
                    let class = random.below(4) as usize;
                    let deadline_at = now + S + random.below(3_000) * MS;
                    let request = OpenRequest {
                        class,
                        in_flight: vec![],
                        sent: 0,
                        may_have_run: false,
                        final_responses: 0,
                        deadline_at,
                    };
                    open_requests.insert(last_id, request);
                    let (object, size_kb) = (random.below(50), random.below(2_000) as f64);
                    let (group, part) = ((object % 4) as u32, random.below(9) as u32);
                    Event::Request {
                        id: last_id,
                        class: classes[class].clone(),
                        object,
                        group,
                        part,
                        size_kb,
                        deadline_at,
                        repeatable_until: Micros::MAX,
                    }
                }
                7 => {
                    let id = [1, 2, 3, 4, 11, 12, 13, 21][random.below(8) as usize];
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
                    ][random.below(4) as usize];
                    let started_at = if random.below(2) == 0 { now } else { 0 };
                    states.insert(id, state);
                    Event::EndpointsChanged {
                        full: false,
                        entries: vec![Endpoint { state, started_at, ..endpoint(id, tier) }],
                    }
                }
                8 => Event::Purged {
                    object: (random.below(2) == 0).then(|| random.below(50)),
                    group: random.below(4) as u32,
                    age: random.below(4_000) * MS,
                },
                9 => Event::ClientDisconnected { id: random.below(last_id + 2) },
                10 => Event::Timer { token: random.below(50) },
                11 => Event::ResponseStarted { id: last_id + 5, attempt: 0 },
                _ => {
                    let due = timers.iter().position(|(at, _)| *at <= now);
                    let ids: Vec<_> = open_requests
                        .iter()
                        .filter(|(_, r)| !r.in_flight.is_empty())
                        .map(|(id, _)| *id)
                        .collect();
                    match (due, ids.is_empty()) {
                        (Some(k), _) => Event::Timer { token: timers.remove(k).1 },
                        (None, true) => Event::HealthChecked {
                            endpoint: random.below(24) as u32,
                            outcome: [
                                AttemptOutcome::Served,
                                AttemptOutcome::NoConnection,
                                AttemptOutcome::TimedOut,
                            ][random.below(3) as usize],
                        },
                        (None, false) => {
                            let id = ids[random.below(ids.len() as u64) as usize];
                            let request = open_requests.get_mut(&id).unwrap();
                            let (attempt, _, sent_at) = request
                                .in_flight
                                .remove(random.below(request.in_flight.len() as u64) as usize);
                            let outcome = OUTCOMES[random.below(8) as usize];
                            request.may_have_run |= !outcome.never_ran();
                            let closed = request.final_responses > 0 || outcome == AttemptOutcome::Served;
                            request.final_responses +=
                                u32::from(outcome == AttemptOutcome::Served && request.final_responses == 0);
                            let (cache_status, elapsed) = (CacheStatus::Unknown, now - sent_at);
                            Event::AttemptEnded { id, attempt, outcome, cache_status, elapsed, closed }
                        }
                    }
                }
            });
        }
        let current = event.take().unwrap();
        if let Event::ClientDisconnected { id } = &current {
            if let Some(request) = open_requests.get_mut(id) {
                request.final_responses = request.final_responses.max(1);
            }
        }
        let mut actions = Vec::new();
        router.handle(now, &current, &mut actions);
        for action in &actions {
            match action {
                Action::Forward { id, to, source, timeout, .. } => {
                    let request = open_requests.get_mut(id).expect("the action is for an unknown request");
                    assert_eq!(
                        request.final_responses, 0,
                        "request {id}: attempt sent after the final response"
                    );
                    assert_eq!(
                        states.get(to),
                        Some(&EndpointState::Active),
                        "request {id}: sent to an endpoint that is draining or removed"
                    );
                    if let Some(source) = source {
                        assert_eq!(
                            states.get(source),
                            Some(&EndpointState::Active),
                            "request {id}: filled from an endpoint that is draining or removed"
                        );
                    }
                    assert!(
                        request.in_flight.is_empty(),
                        "request {id}: a second attempt was sent while one is in flight"
                    );
                    assert!(
                        request.class != 3 || !request.may_have_run,
                        "request {id} is not idempotent and could run twice"
                    );
                    assert!(
                        now + timeout <= request.deadline_at && *timeout > 0,
                        "request {id}: the timeout of {timeout} us is 0 or exceeds the deadline"
                    );
                    request.in_flight.push((request.sent, *to, now));
                    request.sent += 1;
                    assert!(request.sent <= 6, "request {id}: more than `max_attempts` attempts");
                }
                Action::Reject { id, .. } | Action::Fail { id, .. } => {
                    let request = open_requests.get_mut(id).expect("the action is for an unknown request");
                    assert_eq!(request.final_responses, 0, "request {id}: a second final response");
                    request.final_responses = 1;
                    let rejected = matches!(action, Action::Reject { .. });
                    assert!(
                        !rejected || request.class != 3 || !request.may_have_run,
                        "request {id}: rejected although it may have run"
                    );
                }
                Action::SetTimer { token, at } => timers.push((*at, *token)),
                _ => {}
            }
        }
        for (id, request) in &open_requests {
            assert!(
                request.final_responses > 0 || !request.in_flight.is_empty(),
                "request {id} has neither a final response nor an attempt in flight"
            );
        }
        all_actions.extend(actions);
    }
    all_actions
}

#[test]
fn random_events_violate_no_invariant() {
    for seed in 1..40 {
        run(seed, seed % 2 == 0);
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    for seed in 1..6 {
        assert_eq!(run(seed, true), run(seed, true));
    }
}
