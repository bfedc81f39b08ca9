use super::*;

#[test]
fn records_round_trip_and_a_flipped_bit_is_detected() {
    let purge = Purge { seq: 3, issued_ms: 1.5, selector: "tag:a".parse().unwrap() };
    let records = [Record::Purge(purge), Record::Acknowledged { target: "b".into(), seq: 3 }];
    let mut bytes: Vec<u8> = records.iter().flat_map(|r| encode(r).unwrap()).collect();
    assert_eq!(decode(&bytes), DecodedLog { records: records.to_vec(), fault: None });
    let second_offset = encode(&records[0]).unwrap().len();
    bytes[second_offset + 12] ^= 0x20;
    let DecodedLog { records: intact, fault } = decode(&bytes);
    assert_eq!(intact, records[..1].to_vec());
    assert_eq!(fault, Some(InvalidRecord { offset: second_offset, fault: RecordFault::ChecksumMismatch }));
    let DecodedLog { records: intact, fault } = decode(&bytes[..second_offset + 5]);
    let torn = InvalidRecord { offset: second_offset, fault: RecordFault::TornHeader };
    assert_eq!((intact.len(), fault), (1, Some(torn)));
}
