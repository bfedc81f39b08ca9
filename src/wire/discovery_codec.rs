//! The bulletin's frames, and the same events as JSON in the configuration.

use super::WireError;
use crate::endpoint_list::{EndpointRecord, ListedEndpoint, Sequenced, WatchEvent};
use crate::settings::PlatformSettings;
use crate::EndpointState;
use bytes::{Buf, BufMut, BytesMut};
use std::net::{Ipv4Addr, SocketAddrV4};
use tokio_util::codec::{Decoder, Encoder};

/// The longest frame: some thousands of records.
pub const MAX_FRAME: usize = 262_144;
const RECORD: usize = 27;

/// A frame as read: places in the settings' lists are not yet names.
#[derive(Clone, Debug)]
pub struct Frame {
    /// The event's number.
    pub no: u64,
    /// What kind of event.
    pub kind: u8,
    payload: BytesMut,
}

impl Frame {
    /// The event that a frame means under these settings.
    pub fn event(&self, env: &PlatformSettings) -> Result<Sequenced, WireError> {
        let mut payload = &self.payload[..];
        let event = match (self.kind, payload.len()) {
            (0, 0) => WatchEvent::Heartbeat,
            (1 | 2, n) if n % RECORD == 0 => {
                let endpoints = self.records().map(|r| target(r, env)).collect::<Result<_, _>>()?;
                WatchEvent::Endpoints { full: self.kind == 1, endpoints }
            }
            (3, 16) => {
                let object = Some(payload.get_u64());
                WatchEvent::Purge { object, group: 0, issued_ms: payload.get_u64() as f64 }
            }
            (4, 10) => {
                let group = u32::from(payload.get_u16());
                WatchEvent::Purge { object: None, group, issued_ms: payload.get_u64() as f64 }
            }
            (0..=4, _) => return Err(WireError::Malformed("a frame's length")),
            // A kind of a later day: its number counts, its text is skipped.
            _ => WatchEvent::Heartbeat,
        };
        Ok(Sequenced { number: self.no, event })
    }

    /// The endpoints that can be read in a list or changes of it, whatever stands beside them.
    pub fn readable(&self, env: &PlatformSettings) -> Vec<ListedEndpoint> {
        self.records().filter_map(|r| target(r, env).ok()).collect()
    }

    /// The records of a list or of changes of it.
    fn records(&self) -> impl Iterator<Item = &[u8]> {
        let payload = if matches!(self.kind, 1 | 2) { &self.payload[..] } else { &[] };
        payload.chunks_exact(RECORD)
    }
}

fn target(mut buf: &[u8], env: &PlatformSettings) -> Result<ListedEndpoint, WireError> {
    let id = buf.get_u32();
    let address = SocketAddrV4::new(Ipv4Addr::from(buf.get_u32()), buf.get_u16());
    let state = match buf.get_u8() {
        0 => EndpointState::Active,
        1 => EndpointState::Draining,
        2 => EndpointState::Removed,
        _ => return Err(WireError::Malformed("a member's state")),
    };
    let (zone, kind) = (usize::from(buf.get_u8()), usize::from(buf.get_u8()));
    let zone = env.zone_name(zone).ok_or(WireError::Malformed("a member's zone"))?.to_string();
    let kind = env.kind_name(kind).ok_or(WireError::Malformed("a member's kind"))?.to_string();
    let cell = u32::from(buf.get_u16());
    let capacity_hint = Some(f64::from(buf.get_u32()) / 1_000.0);
    let started_at = buf.get_u64().saturating_mul(1_000);
    let record = EndpointRecord { id, zone, kind, state, started_at, capacity_hint, cell };
    Ok(ListedEndpoint { record, address })
}

/// Both directions of the connection to the bulletin: frames come in, numbers go out.
#[derive(Debug, Default)]
pub struct FrameCodec;

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = WireError;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        let Some(head) = buf.first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*head) as usize;
        if length < 9 {
            return Err(WireError::Malformed("a frame's length"));
        }
        if length > MAX_FRAME {
            return Err(WireError::TooLarge("a frame"));
        }
        if buf.len() < 4 + length {
            buf.reserve(4 + length - buf.len());
            return Ok(None);
        }
        buf.advance(4);
        let mut payload = buf.split_to(length);
        let no = payload.get_u64();
        let kind = payload.get_u8();
        Ok(Some(Frame { no, kind, payload }))
    }
}

impl Encoder<u64> for FrameCodec {
    type Error = WireError;

    fn encode(&mut self, last: u64, out: &mut BytesMut) -> Result<(), WireError> {
        out.put_u64(last);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
