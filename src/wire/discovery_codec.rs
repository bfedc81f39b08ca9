//! The codec of the discovery service's watch, and the mapping of its frames to events under the settings.
//!
//! A frame is `length:4 number:8 kind:1 payload`, all integers unsigned and big-endian; `length` counts the
//! bytes that follow it. The proxy sends only the number of the last event that it has applied, as 8 bytes.

use crate::endpoint_list::{EndpointRecord, ListedEndpoint, Sequenced, WatchEvent};
use crate::settings::PlatformSettings;
use crate::EndpointState;
use bytes::{Buf, BufMut, BytesMut};
use std::net::{Ipv4Addr, SocketAddrV4};
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder};

/// The longest frame, in bytes after its length field.
pub const MAX_FRAME: usize = 262_144;
/// Bytes of a frame's length field.
const LENGTH_BYTES: usize = 4;
/// Bytes of a frame's number and kind.
const HEADER_BYTES: usize = 9;
/// Bytes of one endpoint's record.
const RECORD_BYTES: usize = 27;
/// Bytes of the purge of an object: the object and the time.
const OBJECT_PURGE_BYTES: usize = 16;
/// Bytes of the purge of a group: the group and the time.
const GROUP_PURGE_BYTES: usize = 10;

/// The kinds of frames.
mod kind {
    pub const HEARTBEAT: u8 = 0;
    pub const FULL_LIST: u8 = 1;
    pub const CHANGES: u8 = 2;
    pub const OBJECT_PURGE: u8 = 3;
    pub const GROUP_PURGE: u8 = 4;
}

/// A malformed frame, or a connection that failed.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The stated length does not cover the number and the kind.
    #[error("frame length {0} is below the minimum of {HEADER_BYTES} bytes")]
    TooShort(usize),
    /// The stated length is above [`MAX_FRAME`].
    #[error("frame length {0} exceeds the limit of {MAX_FRAME} bytes")]
    TooLarge(usize),
    /// The payload's length does not match the kind.
    #[error("frame of kind {kind}: invalid payload length {length}")]
    PayloadLength {
        /// The kind.
        kind: u8,
        /// The payload's length in bytes.
        length: usize,
    },
    /// A field of an endpoint's record has an unknown value.
    #[error("endpoint s-{id:08x}: unknown {field} {value}")]
    RecordField {
        /// The endpoint's id.
        id: u32,
        /// The field.
        field: &'static str,
        /// Its value.
        value: u8,
    },
}

/// A decoded frame. Its records refer to zones and kinds by their index in the settings.
#[derive(Clone, Debug)]
pub struct Frame {
    /// The event's sequence number.
    pub number: u64,
    kind: u8,
    payload: BytesMut,
}

impl Frame {
    /// Whether the frame is a heartbeat. Its number is that of the last event.
    pub fn is_heartbeat(&self) -> bool {
        self.kind == kind::HEARTBEAT
    }

    /// The event of the frame under these settings. A frame of an unknown kind, from a later version of the
    /// protocol, is read as a heartbeat.
    pub fn event(&self, settings: &PlatformSettings) -> Result<Sequenced, FrameError> {
        let mut payload = &self.payload[..];
        let event = match (self.kind, payload.len()) {
            (kind::HEARTBEAT, 0) => WatchEvent::Heartbeat,
            (kind::FULL_LIST | kind::CHANGES, length) if length % RECORD_BYTES == 0 => {
                let endpoints = self.records().map(|record| decode_record(record, settings));
                WatchEvent::Endpoints {
                    full: self.kind == kind::FULL_LIST,
                    endpoints: endpoints.collect::<Result<_, _>>()?,
                }
            }
            (kind::OBJECT_PURGE, OBJECT_PURGE_BYTES) => {
                let object = Some(payload.get_u64());
                WatchEvent::Purge { object, group: 0, issued_ms: payload.get_u64() as f64 }
            }
            (kind::GROUP_PURGE, GROUP_PURGE_BYTES) => {
                let group = u32::from(payload.get_u16());
                WatchEvent::Purge { object: None, group, issued_ms: payload.get_u64() as f64 }
            }
            (kind @ ..=kind::GROUP_PURGE, length) => return Err(FrameError::PayloadLength { kind, length }),
            _ => WatchEvent::Heartbeat,
        };
        Ok(Sequenced { number: self.number, event })
    }

    /// The endpoints of the valid records; malformed records are left out.
    pub fn valid_endpoints(&self, settings: &PlatformSettings) -> Vec<ListedEndpoint> {
        self.records().filter_map(|record| decode_record(record, settings).ok()).collect()
    }

    /// The records of an endpoint list or of changes to it; a trailing partial record is ignored.
    fn records(&self) -> impl Iterator<Item = &[u8]> {
        let is_list = matches!(self.kind, kind::FULL_LIST | kind::CHANGES);
        let payload = if is_list { &self.payload[..] } else { &[] };
        payload.chunks_exact(RECORD_BYTES)
    }
}

/// Decodes a record: `id:4 address:4 port:2 state:1 zone:1 kind:1 cell:2 weight:4 started:8`, the weight in
/// thousandths and the start in Unix milliseconds.
fn decode_record(mut record: &[u8], settings: &PlatformSettings) -> Result<ListedEndpoint, FrameError> {
    let id = record.get_u32();
    let unknown = |field, value| FrameError::RecordField { id, field, value };
    let address = SocketAddrV4::new(Ipv4Addr::from(record.get_u32()), record.get_u16());
    let state = match record.get_u8() {
        0 => EndpointState::Active,
        1 => EndpointState::Draining,
        2 => EndpointState::Removed,
        other => return Err(unknown("state", other)),
    };
    let (zone, kind) = (record.get_u8(), record.get_u8());
    let zone_name = settings.zone_name(zone.into()).ok_or_else(|| unknown("zone", zone))?;
    let kind_name = settings.kind_name(kind.into()).ok_or_else(|| unknown("kind", kind))?;
    let cell = u32::from(record.get_u16());
    let capacity_hint = Some(f64::from(record.get_u32()) / 1_000.0);
    let started_at = record.get_u64().saturating_mul(1_000);
    let (zone, kind) = (zone_name.to_string(), kind_name.to_string());
    let record = EndpointRecord { id, zone, kind, state, started_at, capacity_hint, cell };
    Ok(ListedEndpoint { record, address })
}

/// The codec of a watch: decodes frames, encodes the number of the last event.
#[derive(Debug, Default)]
pub struct FrameCodec;

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = FrameError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        let Some(length) = buffer.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if length < HEADER_BYTES {
            return Err(FrameError::TooShort(length));
        }
        if length > MAX_FRAME {
            return Err(FrameError::TooLarge(length));
        }
        if buffer.len() < LENGTH_BYTES + length {
            buffer.reserve(LENGTH_BYTES + length - buffer.len());
            return Ok(None);
        }
        buffer.advance(LENGTH_BYTES);
        let mut payload = buffer.split_to(length);
        let number = payload.get_u64();
        let kind = payload.get_u8();
        Ok(Some(Frame { number, kind, payload }))
    }
}

impl Encoder<u64> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, last_number: u64, out: &mut BytesMut) -> Result<(), FrameError> {
        out.put_u64(last_number);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
