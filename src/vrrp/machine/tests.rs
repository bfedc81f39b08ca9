use super::*;

fn router_address(host: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, host], 5_100))
}

fn machine(priority: u8, customize: impl FnOnce(&mut RouterSettings)) -> Machine {
    let mut settings = RouterSettings::new(
        router_address(1),
        vec![router_address(2)],
        7,
        priority,
        vec![Ipv4Addr::new(127, 1, 0, 1)],
    );
    customize(&mut settings);
    Machine::new(settings)
}

fn advertisement(priority: u8) -> Advertisement {
    Advertisement { vrid: 7, priority, interval_cs: 100, addresses: vec![Ipv4Addr::new(127, 1, 0, 1)] }
}

#[test]
fn a_changed_priority_is_advertised_immediately_and_adjusts_the_down_timer() {
    let mut active = machine(200, |_| {});
    active.start(0.0);
    assert_eq!(active.tick(active.due_ms()).map(|sent| sent.priority), Some(200));
    assert_eq!(active.set_priority(4_000.0, 90).map(|sent| sent.priority), Some(90));
    assert_eq!(active.set_priority(4_000.0, 90), None, "an unchanged priority is not advertised");
    let mut backup = machine(100, |_| {});
    backup.start(0.0);
    backup.receive(100.0, router_address(2), &advertisement(200));
    assert_eq!(backup.due_ms(), 100.0 + 3_000.0 + 156.0 * 1_000.0 / 256.0);
    backup.set_priority(2_000.0, 228);
    assert_eq!(
        backup.due_ms(),
        100.0 + 3_000.0 + 28.0 * 1_000.0 / 256.0,
        "measured from the last advertisement"
    );
    backup.set_priority(2_000.0, 0);
    assert_eq!(backup.priority(), 1, "the priority never becomes that of a router that stops");
    assert_eq!(machine(OWNER_PRIORITY, |_| {}).set_priority(0.0, 3), None, "the owner's priority is fixed");
}

#[test]
fn a_router_in_the_fault_state_steps_down_and_recovers_as_a_backup() {
    let mut machine = machine(200, |_| {});
    machine.start(0.0);
    machine.tick(9_000.0);
    assert_eq!(machine.set_fault(9_100.0, true).map(|sent| sent.priority), Some(STOP_PRIORITY));
    assert_eq!(machine.state(), State::Fault);
    assert!(
        machine.receive(9_200.0, router_address(2), &advertisement(1)).is_none()
            && machine.tick(99_999.0).is_none()
    );
    assert_eq!(machine.set_fault(100_000.0, false), None);
    assert_eq!(machine.state(), State::Backup);
    assert!(
        machine.due_ms() > 103_000.0,
        "the router waits a full down interval before it may become active"
    );
}

#[test]
fn the_preempt_delay_applies_to_preemption_but_not_to_replacing_a_failed_router() {
    let mut machine = machine(200, |settings| settings.preempt_delay_ms = 5_000.0);
    machine.start(0.0);
    let mut now = 0.0;
    while machine.tick(now).is_none() {
        now += 100.0;
        if (now as u64).is_multiple_of(1_000) {
            machine.receive(now, router_address(2), &advertisement(100));
        }
        assert!(now < 20_000.0, "no takeover by {now} ms");
    }
    // Preemption is delayed until 6 s. The advertisement at 5 s is the last that restarts the down timer,
    // which expires three intervals and the skew time later, at 8.2 s.
    assert!((8_000.0..9_500.0).contains(&now), "{now}");
    let mut machine = self::machine(200, |settings| settings.preempt_delay_ms = 60_000.0);
    machine.start(0.0);
    machine.receive(1_000.0, router_address(2), &advertisement(100));
    assert!(machine.tick(4_300.0).is_some(), "replacing a silent router is not preemption");
}

#[test]
fn flapping_pauses_preemption_but_not_the_takeover_from_a_failed_router() {
    let mut machine = machine(150, |settings| settings.max_activations = 3);
    machine.start(0.0);
    let (mut now, mut transitions) = (0.0, 0);
    // The peer's priority alternates between higher and lower, so that this router alternates between states.
    while now < 60_000.0 {
        now += 100.0;
        let previous = machine.state();
        machine.tick(now);
        if (now as u64).is_multiple_of(1_000) {
            let priority = if (now as u64 / 5_000).is_multiple_of(2) { 250 } else { 10 };
            machine.receive(now, router_address(2), &advertisement(priority));
        }
        transitions += u32::from(machine.state() != previous);
    }
    assert!(transitions <= 10, "{transitions} transitions in a minute");
    assert!(machine.no_preemption_until_ms() > 0.0, "preemption was paused");
    machine.receive(now, router_address(2), &advertisement(250));
    assert!(machine.tick(now + 3_500.0).is_some(), "a failed peer is replaced during the pause");
}
