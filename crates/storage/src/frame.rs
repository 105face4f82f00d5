//! Framing of records in a segment.
//!
//! A frame consists of the length of the body (4 bytes), a CRC-32 of length, kind and body (4 bytes),
//! the kind (1 byte) and the body. All numbers are little endian. After each sync, a sync marker
//! records up to which offset the file is synced, so that damage before that offset can be
//! distinguished from a torn tail.

use std::ops::Range;

use sapphirepost_consensus::Record;

pub(crate) const HEADER_BYTES: usize = 9;

/// Maximum length of a body; a greater length is treated as damage.
const BODY_MAX_BYTES: usize = 1 << 30;

const KIND_RECORD: u8 = 1;
const KIND_SYNC_MARKER: u8 = 2;

/// Identifies sync markers in a search that starts after a damaged frame. It is not valid UTF-8, so
/// the JSON body of a record cannot contain it.
const SYNC_MARKER_MAGIC: [u8; 8] = [0xf5, 0xfe, b's', b'y', b'n', b'c', 0xff, 0xf6];
const SYNC_MARKER_BYTES: usize = HEADER_BYTES + SYNC_MARKER_MAGIC.len() + 8;

/// An intact frame.
pub(crate) enum Frame {
    Record(Record),
    /// Everything before this offset in the file is synced.
    SyncMarker(u64),
}

/// Why a frame cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FrameError {
    Incomplete,
    Checksum,
    InvalidBody,
}

impl FrameError {
    pub(crate) fn reason(self) -> &'static str {
        match self {
            FrameError::Incomplete => "incomplete record",
            FrameError::Checksum => "checksum mismatch",
            FrameError::InvalidBody => "unknown record content",
        }
    }
}

pub(crate) fn encode_record(record: &Record, out: &mut Vec<u8>) -> Result<(), serde_json::Error> {
    let body = serde_json::to_vec(record)?;
    encode(KIND_RECORD, &body, out);
    Ok(())
}

pub(crate) fn encode_sync_marker(synced_bytes: u64) -> Vec<u8> {
    let mut body = SYNC_MARKER_MAGIC.to_vec();
    body.extend_from_slice(&synced_bytes.to_le_bytes());
    let mut out = Vec::with_capacity(SYNC_MARKER_BYTES);
    encode(KIND_SYNC_MARKER, &body, &mut out);
    out
}

fn encode(kind: u8, body: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&checksum(kind, body).to_le_bytes());
    out.push(kind);
    out.extend_from_slice(body);
}

/// Checksum of a frame. It includes the length, since a damaged length would shift everything that
/// follows.
fn checksum(kind: u8, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(body.len() as u32).to_le_bytes());
    hasher.update(&[kind]);
    hasher.update(body);
    hasher.finalize()
}

/// Decodes the frame at `offset` and returns it with the offset of the next one.
pub(crate) fn decode(bytes: &[u8], offset: usize) -> Result<(Frame, usize), FrameError> {
    let header = bytes
        .get(offset..offset + HEADER_BYTES)
        .ok_or(FrameError::Incomplete)?;
    let length = read_u32(header, 0..4) as usize;
    if length > BODY_MAX_BYTES {
        return Err(FrameError::Checksum);
    }
    let start = offset + HEADER_BYTES;
    let body = bytes
        .get(start..start + length)
        .ok_or(FrameError::Incomplete)?;
    let kind = header[8];
    if checksum(kind, body) != read_u32(header, 4..8) {
        return Err(FrameError::Checksum);
    }
    let frame = decode_body(kind, body).ok_or(FrameError::InvalidBody)?;
    Ok((frame, start + length))
}

fn decode_body(kind: u8, body: &[u8]) -> Option<Frame> {
    match kind {
        KIND_RECORD => serde_json::from_slice(body).ok().map(Frame::Record),
        KIND_SYNC_MARKER => {
            let offset = body.strip_prefix(&SYNC_MARKER_MAGIC)?;
            Some(Frame::SyncMarker(u64::from_le_bytes(
                offset.try_into().ok()?,
            )))
        }
        _ => None,
    }
}

/// The greatest synced offset in an intact sync marker at or after `offset`.
pub(crate) fn max_synced_offset(bytes: &[u8], offset: usize) -> Option<u64> {
    let starts = offset..bytes.len().saturating_sub(SYNC_MARKER_BYTES - 1);
    let is_candidate =
        |start: &usize| bytes[start + HEADER_BYTES..].starts_with(&SYNC_MARKER_MAGIC);
    let frames = starts
        .filter(is_candidate)
        .map(|start| decode(bytes, start));
    let synced = frames.filter_map(|frame| match frame {
        Ok((Frame::SyncMarker(synced), _)) => Some(synced),
        _ => None,
    });
    synced.max()
}

fn read_u32(bytes: &[u8], range: Range<usize>) -> u32 {
    let mut value = [0; 4];
    value.copy_from_slice(&bytes[range]);
    u32::from_le_bytes(value)
}
