use super::*;

fn message(n: usize) -> Vec<u8> {
    [&[0u8][..], &(n as u32).to_be_bytes(), &vec![7; n]].concat()
}

#[test]
fn messages_are_counted_wherever_they_are_split() {
    let text = [message(0), message(3), message(300), message(0)].concat();
    let ends = [5, 13, 318, 323];
    for cut in 0..=text.len() {
        let mut tracker = MessageTracker::new(1_000);
        tracker.feed(&text[..cut]).unwrap();
        assert_eq!(tracker.is_within_message(), cut > 0 && !ends.contains(&cut), "cut at {cut}");
        tracker.feed(&text[cut..]).unwrap();
        assert_eq!((tracker.messages, tracker.is_within_message()), (4, false), "cut at {cut}");
    }
    let mut tracker = MessageTracker::new(1_000);
    text.iter().for_each(|b| tracker.feed(std::slice::from_ref(b)).unwrap());
    assert_eq!((tracker.messages, tracker.bytes), (4, text.len() as u64));
}

#[test]
fn invalid_prefixes_are_rejected_before_the_message_is_received() {
    assert_eq!(MessageTracker::new(9).feed(&[2]), Err(MessageError::Flag(2)));
    assert_eq!(MessageTracker::new(9).feed(&message(10)[..5]), Err(MessageError::TooLong(10)));
    assert_eq!(MessageTracker::new(9).feed(&message(9)), Ok(()));
}
