//! Tests of the VRRP message format and of the state machine, which is compared with a model of RFC 9568.

use edge_proxy::vrrp::machine::{Machine, RouterSettings, State};
use edge_proxy::vrrp::message::{Advertisement, DecodeError, OWNER_PRIORITY};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::net::{Ipv4Addr, SocketAddr};

fn router_address(host: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, host], 5_100))
}

fn settings(host: u8, priority: u8, preempt: bool) -> RouterSettings {
    let (listen, peers, addresses) =
        (router_address(host), vec![router_address(9)], vec![Ipv4Addr::new(127, 1, 0, 1)]);
    RouterSettings { preempt, ..RouterSettings::new(listen, peers, 7, priority, addresses) }
}

fn advertisement(priority: u8, interval_cs: u16) -> Advertisement {
    Advertisement { vrid: 7, priority, interval_cs, addresses: vec![Ipv4Addr::new(127, 1, 0, 1)] }
}

#[test]
fn messages_are_encoded_as_in_the_rfc_and_invalid_ones_fail_with_the_matching_error() {
    let bytes = advertisement(100, 100).encode();
    // 0x3107 + 0x6401 + 0x0064 + 0x7f01 + 0x0001 is 0x1146e, folded 0x146f, and its complement 0xeb90.
    assert_eq!(bytes, [0x31, 7, 100, 1, 0, 100, 0xeb, 0x90, 127, 1, 0, 1]);
    assert_eq!(Advertisement::decode(&bytes), Ok(advertisement(100, 100)));
    let decode_with_byte = |index: usize, value: u8| {
        let mut bytes = bytes.clone();
        bytes[index] = value;
        Advertisement::decode(&bytes)
    };
    assert_eq!(decode_with_byte(0, 0x21), Err(DecodeError::Version));
    assert_eq!(decode_with_byte(2, 101), Err(DecodeError::Checksum));
    assert_eq!(decode_with_byte(3, 2), Err(DecodeError::Length));
    assert_eq!(Advertisement::decode(&bytes[..7]), Err(DecodeError::Length));
    assert_eq!(Advertisement::decode(&advertisement(100, 0).encode()), Err(DecodeError::Interval));
}

#[test]
fn a_backup_takes_over_after_three_intervals_and_its_skew_time() {
    let mut machine = Machine::new(settings(1, 128, true));
    assert_eq!(machine.start(0.0), None);
    assert_eq!((machine.state(), machine.due_ms()), (State::Backup, 3_500.0));
    // After an advertisement of a router of higher priority, the interval of that router applies.
    assert_eq!(machine.receive(1_000.0, router_address(2), &advertisement(200, 200)), None);
    assert_eq!(machine.due_ms(), 1_000.0 + 6_000.0 + 1_000.0);
    // That router stops: the backup waits for its skew time only.
    assert_eq!(machine.receive(2_000.0, router_address(2), &advertisement(0, 200)), None);
    assert_eq!(machine.due_ms(), 3_000.0);
    assert_eq!(machine.tick(2_999.0), None);
    assert_eq!(machine.tick(3_000.0).map(|advertisement| advertisement.priority), Some(128));
    assert_eq!((machine.state(), machine.due_ms()), (State::Active, 4_000.0));
    // An active router replies to an advertisement of lower priority and yields to one of higher priority.
    assert!(machine.receive(3_100.0, router_address(2), &advertisement(100, 100)).is_some());
    assert_eq!(machine.receive(3_200.0, router_address(2), &advertisement(129, 100)), None);
    assert_eq!(machine.state(), State::Backup);
    assert_eq!(machine.stop(), None);
}

#[test]
fn the_owner_starts_active_the_higher_address_wins_a_tie_and_preemption_can_be_disabled() {
    let mut owner = Machine::new(settings(1, OWNER_PRIORITY, true));
    assert!(owner.start(0.0).is_some());
    assert_eq!(owner.state(), State::Active);
    assert_eq!(owner.stop().map(|advertisement| advertisement.priority), Some(0));
    let mut machine = Machine::new(settings(3, 128, true));
    machine.start(0.0);
    machine.tick(3_500.0);
    assert!(
        machine.receive(3_600.0, router_address(2), &advertisement(128, 100)).is_some(),
        "the router of the lower address does not take over"
    );
    assert_eq!(machine.receive(3_700.0, router_address(4), &advertisement(128, 100)), None);
    assert_eq!(machine.state(), State::Backup);
    let mut without_preemption = Machine::new(settings(1, 200, false));
    without_preemption.start(0.0);
    without_preemption.receive(3_000.0, router_address(2), &advertisement(1, 100));
    assert!(
        without_preemption.due_ms() > 6_000.0,
        "without preemption, a router of lower priority stays active"
    );
    let mut other_router = advertisement(255, 100);
    other_router.vrid = 8;
    assert_eq!(
        without_preemption.receive(3_100.0, router_address(2), &other_router),
        None,
        "an advertisement of another VRID is not answered"
    );
}

/// State of a model of RFC 9568, section 6.4. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ModelState {
    state: State,
    down_due_ms: f64,
    advertise_due_ms: f64,
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_state_machine_agrees_with_a_model_of_the_rfc(
        priority in 1u8..=255, preempt: bool,
        // Events: 0 starts, 1 stops, 2 and 3 check the timer, 4 and 5 receive an advertisement.
        steps in prop::collection::vec((0u8..6, 0u8..=255, 1u16..=4_095, 0f64..3_000.0, 1u8..5), 1..80),
    ) {
        let mut machine = Machine::new(settings(3, priority, preempt));
        let (mut now, mut model) =
            (0.0, ModelState { state: State::Initialize, down_due_ms: 0.0, advertise_due_ms: 0.0 });
        let skew = |interval: f64| (256.0 - f64::from(priority)) * interval / 256.0;
        let mut interval = 1_000.0;
        for (event, peer_priority, interval_cs, elapsed_ms, host) in steps {
            now += elapsed_ms;
            let mut expected = None;
            let actual = match event {
                0 => {
                    if model.state == State::Initialize && priority == OWNER_PRIORITY {
                        model = ModelState { state: State::Active, advertise_due_ms: now + 1_000.0, ..model };
                        expected = Some(priority);
                    } else if model.state == State::Initialize {
                        interval = 1_000.0;
                        model = ModelState {
                            state: State::Backup,
                            down_due_ms: now + 3.0 * interval + skew(interval),
                            ..model
                        };
                    }
                    machine.start(now)
                }
                1 => {
                    expected = (model.state == State::Active).then_some(0);
                    model.state = State::Initialize;
                    machine.stop()
                }
                2 | 3 => {
                    let due = match model.state {
                        State::Initialize | State::Fault => false,
                        State::Backup => now >= model.down_due_ms,
                        State::Active => now >= model.advertise_due_ms,
                    };
                    if due {
                        model = ModelState { state: State::Active, advertise_due_ms: now + 1_000.0, ..model };
                        expected = Some(priority);
                    }
                    machine.tick(now)
                }
                _ => {
                    let peer_wins = peer_priority > priority || (peer_priority == priority && host > 3);
                    match model.state {
                        State::Initialize | State::Fault => {}
                        State::Backup if peer_priority == 0 => model.down_due_ms = now + skew(interval),
                        State::Backup if preempt && peer_priority < priority => {}
                        State::Active if peer_priority == 0 || !peer_wins => {
                            model.advertise_due_ms = now + 1_000.0;
                            expected = Some(priority);
                        }
                        State::Backup | State::Active => {
                            interval = f64::from(interval_cs) * 10.0;
                            model = ModelState {
                                state: State::Backup,
                                down_due_ms: now + 3.0 * interval + skew(interval),
                                ..model
                            };
                        }
                    }
                    machine.receive(now, router_address(host), &advertisement(peer_priority, interval_cs))
                }
            };
            prop_assert_eq!(actual.map(|advertisement| advertisement.priority), expected);
            prop_assert_eq!(machine.state(), model.state);
            let due = match model.state {
                State::Initialize | State::Fault => f64::INFINITY,
                State::Backup => model.down_due_ms,
                State::Active => model.advertise_due_ms,
            };
            prop_assert!(machine.due_ms() == due || (machine.due_ms() - due).abs() < 1e-6);
        }
    }

    #[test]
    fn any_bytes_decode_without_panic_and_valid_messages_round_trip(
        bytes in prop::collection::vec(any::<u8>(), 0..64),
    ) {
        if let Ok(advertisement) = Advertisement::decode(&bytes) {
            prop_assert_eq!(Advertisement::decode(&advertisement.encode()), Ok(advertisement));
        }
    }
}
