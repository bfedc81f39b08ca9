use super::*;

fn settings() -> PlatformSettings {
    let mut text = br#"{"classes":[],"localities":["hub","east"],"skus":["std","parent"]}"#.to_vec();
    simd_json::from_slice(&mut text).unwrap()
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut out = (payload.len() as u32 + 9).to_be_bytes().to_vec();
    out.extend(number.to_be_bytes());
    out.push(kind);
    out.extend(payload);
    out
}

fn record() -> Vec<u8> {
    let mut out = 0x00c4_1f7au32.to_be_bytes().to_vec();
    out.extend([10, 1, 0, 9]);
    out.extend(5_050u16.to_be_bytes());
    out.extend([1, 1, 0]);
    out.extend(2u16.to_be_bytes());
    out.extend(4_500u32.to_be_bytes());
    out.extend(1_764_576_000_123u64.to_be_bytes());
    out
}

#[test]
fn frames_are_decoded_however_they_are_split() {
    let mut bytes = frame(7, 2, &record());
    bytes.extend(frame(7, 0, &[]));
    let purge: Vec<u8> = 17u16.to_be_bytes().into_iter().chain(99u64.to_be_bytes()).collect();
    bytes.extend(frame(8, 4, &purge));
    for cut in 0..bytes.len() {
        let (mut codec, mut buffer, mut events) = (FrameCodec, BytesMut::new(), Vec::new());
        for part in [&bytes[..cut], &bytes[cut..]] {
            buffer.extend_from_slice(part);
            while let Some(frame) = codec.decode(&mut buffer).unwrap() {
                events.push(frame.event(&settings()).unwrap());
            }
        }
        assert_eq!(events.iter().map(|event| event.number).collect::<Vec<_>>(), [7, 7, 8]);
        let WatchEvent::Endpoints { full: false, endpoints } = &events[0].event else { panic!("{events:?}") };
        assert_eq!(endpoints[0].address.to_string(), "10.1.0.9:5050");
        let record = &endpoints[0].record;
        assert_eq!(
            (record.id, record.zone.as_str(), record.state),
            (0xc41f7a, "east", EndpointState::Draining)
        );
        assert_eq!((record.started_at, record.capacity_hint), (1_764_576_000_123_000, Some(4.5)));
        assert!(matches!(events[1].event, WatchEvent::Heartbeat));
        assert!(matches!(events[2].event, WatchEvent::Purge { object: None, group: 17, issued_ms: 99.0 }));
    }
}

#[test]
fn frames_that_are_malformed_or_too_large_are_errors() {
    let mut state = record();
    state[10] = 9;
    let mut zone = record();
    zone[11] = 9;
    for (kind, payload) in [(1, &state[..]), (2, &zone[..]), (1, &state[..26]), (3, &[1, 2]), (0, &[1])] {
        let mut buffer = BytesMut::from(&frame(1, kind, payload)[..]);
        assert!(FrameCodec.decode(&mut buffer).unwrap().unwrap().event(&settings()).is_err(), "{kind}");
    }
    for length in [8u32, MAX_FRAME as u32 + 1, u32::MAX] {
        assert!(FrameCodec.decode(&mut BytesMut::from(&length.to_be_bytes()[..])).is_err());
    }
}
