use super::*;
use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;

fn keys(seeds: &[u8]) -> MessageKeys {
    let lines: Vec<String> = seeds.iter().map(|s| STANDARD.encode([*s; 32])).collect();
    MessageKeys::parse(&format!("# first signs\n{}\n", lines.join("\n"))).unwrap()
}

fn auth(seeds: &[u8]) -> DatagramAuth {
    DatagramAuth::new(keys(seeds), 5_000.0, b"test protocol")
}

#[test]
fn replayed_reordered_altered_and_unsigned_datagrams_are_rejected() {
    let from: SocketAddr = "127.0.0.2:5112".parse().unwrap();
    let now = 1_764_576_000_000.0;
    let (mut sender, mut receiver) = (auth(&[1]), auth(&[1]));
    let signed = sender.sign(now, vec![0x31, 7, 100]);
    assert_eq!(receiver.verify(now, from, &signed), Ok(&[0x31, 7, 100][..]));
    assert_eq!(receiver.verify(now, from, &signed), Err(AuthError::Replayed));
    let (one, two) = (sender.sign(now, vec![1]), sender.sign(now, vec![2]));
    assert!(receiver.verify(now, from, &two).is_ok(), "sequence numbers grow within one microsecond too");
    assert_eq!(receiver.verify(now, from, &one), Err(AuthError::Replayed), "reordered");
    for position in 0..signed.len() {
        let mut altered = sender.sign(now, vec![0x31, 7, 100]);
        altered[position] ^= 1;
        assert_eq!(receiver.verify(now, from, &altered), Err(AuthError::WrongSignature), "byte {position}");
    }
    assert_eq!(receiver.verify(now, from, &signed[..TRAILER_BYTES]), Err(AuthError::MissingSignature));
    // A message without a trailer.
    assert_eq!(
        receiver.verify(now, from, &[0x31, 7, 100, 1, 0, 100, 0, 0, 127, 1, 0, 1]),
        Err(AuthError::MissingSignature)
    );
    let recorded = sender.sign(now, vec![1]);
    let mut restarted = auth(&[1]);
    assert_eq!(
        restarted.verify(now + 6_000.0, from, &recorded),
        Err(AuthError::ClockSkew),
        "replayed after a restart"
    );
}

#[test]
fn key_rotation_rejects_no_datagram_signed_with_an_active_key() {
    let from: SocketAddr = "127.0.0.2:5112".parse().unwrap();
    let (mut old, mut new) = (auth(&[1]), auth(&[1, 2]));
    assert!(new.verify(9e6, from, &old.sign(9e6, vec![1])).is_ok());
    old.set_keys(keys(&[2, 1]));
    assert!(new.verify(9e6, from, &old.sign(9e6, vec![1])).is_ok());
    new.set_keys(keys(&[2]));
    assert!(new.verify(9e6, from, &old.sign(9e6, vec![1])).is_ok());
    old.set_keys(keys(&[1]));
    assert_eq!(new.verify(9e6, from, &old.sign(9e6, vec![1])), Err(AuthError::WrongSignature));
}
