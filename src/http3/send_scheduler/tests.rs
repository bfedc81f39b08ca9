use super::*;

fn priority(urgency: u8, incremental: bool) -> Priority {
    Priority { urgency, incremental }
}

#[test]
fn priority_headers_are_parsed_as_in_rfc_9218() {
    let parse = |text| Priority::parse(text, Priority::DEFAULT);
    assert_eq!(parse("u=5, i"), priority(5, true));
    assert_eq!(parse("i=?0,u=0"), priority(0, false));
    assert_eq!(parse("u=1;x=2 , i;y"), priority(1, true));
    for ignored in ["", "u", "u=8", "u=-1", "u=3.5", "u=55", "i=1", "U=1", "u = 1", ",,;"] {
        assert_eq!(parse(ignored), Priority::DEFAULT, "{ignored:?}");
    }
    assert_eq!(Priority::parse("i", priority(6, false)), priority(6, true));
}

#[test]
fn urgent_bodies_are_sent_first_unless_they_are_stalled() {
    let mut scheduler = SendScheduler::default();
    let (first_incremental, second_incremental) =
        (scheduler.add(0.0, priority(5, true)), scheduler.add(0.0, priority(5, true)));
    assert!(
        scheduler.may_send(0.0, first_incremental) && scheduler.may_send(0.0, second_incremental),
        "incremental bodies are interleaved"
    );
    let first_urgent = scheduler.add(1.0, priority(2, false));
    let second_urgent = scheduler.add(1.0, priority(2, false));
    assert!(
        scheduler.may_send(1.0, first_urgent)
            && !scheduler.may_send(1.0, second_urgent)
            && !scheduler.may_send(1.0, first_incremental)
    );
    scheduler.record_progress(150.0, first_urgent);
    assert!(!scheduler.may_send(300.0, first_incremental), "the urgent body makes progress");
    assert!(scheduler.may_send(350.0, second_urgent), "the first urgent body is stalled");
    scheduler.record_progress(350.0, second_urgent);
    scheduler.remove(second_urgent);
    assert!(scheduler.may_send(351.0, first_incremental));
    scheduler.remove(first_urgent);
    assert!(
        scheduler.may_send(351.0, first_incremental) && scheduler.may_send(351.0, first_urgent),
        "a removed body is not blocked"
    );
    scheduler.remove(first_incremental);
    scheduler.remove(second_incremental);
    assert!(scheduler.is_empty());
}
