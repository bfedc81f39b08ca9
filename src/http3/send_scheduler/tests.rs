use super::*;

fn p(urgency: u8, incremental: bool) -> Priority {
    Priority { urgency, incremental }
}

#[test]
fn priorities_are_read_as_the_rfc_words_them() {
    let read = |text| Priority::parse(text, Priority::DEFAULT);
    assert_eq!(read("u=5, i"), p(5, true));
    assert_eq!(read("i=?0,u=0"), p(0, false));
    assert_eq!(read("u=1;x=2 , i;y"), p(1, true));
    for odd in ["", "u", "u=8", "u=-1", "u=3.5", "u=55", "i=1", "U=1", "u = 1", ",,;"] {
        assert_eq!(read(odd), Priority::DEFAULT, "{odd:?}");
    }
    assert_eq!(Priority::parse("i", p(6, false)), p(6, true));
}

#[test]
fn the_urgent_goes_first_and_a_stuck_one_holds_up_nobody() {
    let mut turns = Turns::default();
    let (clip, other) = (turns.begin(0.0, p(5, true)), turns.begin(0.0, p(5, true)));
    assert!(turns.may(0.0, clip) && turns.may(0.0, other), "incremental ones share");
    let photo = turns.begin(1.0, p(2, false));
    let later = turns.begin(1.0, p(2, false));
    assert!(turns.may(1.0, photo) && !turns.may(1.0, later) && !turns.may(1.0, clip));
    turns.moved(150.0, photo);
    assert!(!turns.may(300.0, clip), "it goes on");
    assert!(turns.may(350.0, later), "the first takes nothing any more");
    turns.moved(350.0, later);
    turns.end(later);
    assert!(turns.may(351.0, clip));
    turns.end(photo);
    assert!(turns.may(351.0, clip) && turns.may(351.0, photo), "one that has ended waits for nobody");
    turns.end(clip);
    turns.end(other);
    assert!(turns.is_empty());
}
