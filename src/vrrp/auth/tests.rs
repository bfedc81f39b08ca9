use super::*;
use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;

fn keys(seeds: &[u8]) -> MessageKeys {
    let lines: Vec<String> = seeds.iter().map(|s| STANDARD.encode([*s; 32])).collect();
    MessageKeys::parse(&format!("# first signs\n{}\n", lines.join("\n"))).unwrap()
}

#[test]
fn a_seal_holds_once_for_its_message_and_key() {
    let from: SocketAddr = "127.0.0.2:5112".parse().unwrap();
    let now = 1_764_576_000_000.0;
    let (mut mine, mut theirs) = (Seals::new(keys(&[1]), 5_000.0), Seals::new(keys(&[1]), 5_000.0));
    let sealed = mine.seal(now, vec![0x31, 7, 100]);
    assert_eq!(theirs.open(now, from, &sealed), Ok(&[0x31, 7, 100][..]));
    assert_eq!(theirs.open(now, from, &sealed), Err(BadSeal::Replayed));
    let (one, two) = (mine.seal(now, vec![1]), mine.seal(now, vec![2]));
    assert!(theirs.open(now, from, &two).is_ok(), "numbers grow within one microsecond too");
    assert_eq!(theirs.open(now, from, &one), Err(BadSeal::Replayed), "overtaken");
    for place in 0..sealed.len() {
        let mut bad = mine.seal(now, vec![0x31, 7, 100]);
        bad[place] ^= 1;
        assert_eq!(theirs.open(now, from, &bad), Err(BadSeal::Wrong), "byte {place}");
    }
    assert_eq!(theirs.open(now, from, &sealed[..TRAILER]), Err(BadSeal::Missing));
    assert_eq!(theirs.open(now, from, &[0x31, 7, 100, 1, 0, 100, 0, 0, 127, 1, 0, 1]), Err(BadSeal::Missing));
    let late = mine.seal(now, vec![1]);
    let mut fresh = Seals::new(keys(&[1]), 5_000.0);
    assert_eq!(fresh.open(now + 6_000.0, from, &late), Err(BadSeal::Skewed), "kept by somebody");
}

#[test]
fn keys_rotate_without_a_gap() {
    let from: SocketAddr = "127.0.0.2:5112".parse().unwrap();
    let (mut old, mut new) = (Seals::new(keys(&[1]), 5_000.0), Seals::new(keys(&[1, 2]), 5_000.0));
    assert!(new.open(9e6, from, &old.seal(9e6, vec![1])).is_ok());
    old.rekey(keys(&[2, 1]));
    assert!(new.open(9e6, from, &old.seal(9e6, vec![1])).is_ok());
    new.rekey(keys(&[2]));
    assert!(new.open(9e6, from, &old.seal(9e6, vec![1])).is_ok());
    old.rekey(keys(&[1]));
    assert_eq!(new.open(9e6, from, &old.seal(9e6, vec![1])), Err(BadSeal::Wrong));
}
