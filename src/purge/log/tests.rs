use super::*;

#[test]
fn records_survive_their_round_and_a_flipped_bit_is_found() {
    let purge = Purge { seq: 3, issued_ms: 1.5, sel: "tag:a".parse().unwrap() };
    let records = [Record::Purge(purge), Record::Acked { target: "b".into(), seq: 3 }];
    let mut bytes: Vec<u8> = records.iter().flat_map(|r| encode(r).unwrap()).collect();
    assert_eq!(decode(&bytes), (records.to_vec(), None));
    let second = encode(&records[0]).unwrap().len();
    bytes[second + 12] ^= 0x20;
    let (kept, fault) = decode(&bytes);
    assert_eq!(kept, records[..1].to_vec());
    assert_eq!(fault, Some((second, "a record's checksum does not hold")));
    let (kept, fault) = decode(&bytes[..second + 5]);
    assert_eq!((kept.len(), fault), (1, Some((second, "a torn record head"))));
}
