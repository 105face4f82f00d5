//! Framing of records in a segment.
//!
//! A frame is length (4 bytes), CRC-32 of the rest (4 bytes), kind (1 byte) and body, all numbers
//! little endian. After each sync a marker frame states up to which offset the file is synced, so
//! that damage before it can be told from a torn tail.

use std::ops::Range;

use sapphirepost_consensus::Record;

pub(crate) const HEADER_BYTES: usize = 9;

/// Longest accepted body; a longer one is damage.
const BODY_MAX_BYTES: usize = 1 << 30;

const KIND_RECORD: u8 = 1;
const KIND_MARKER: u8 = 2;

/// Lets a search find markers behind a damaged frame. It is no UTF-8 text, so that the body of a
/// record cannot contain it.
const MARKER_MAGIC: [u8; 8] = [0xf5, 0xfe, b's', b'y', b'n', b'c', 0xff, 0xf6];
const MARKER_BYTES: usize = HEADER_BYTES + MARKER_MAGIC.len() + 8;

/// The content of an intact frame.
pub(crate) enum Frame {
    Record(Record),
    /// Everything before this offset is synced.
    Marker(u64),
}

/// Why no frame could be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FrameError {
    Incomplete,
    Checksum,
    Content,
}

impl FrameError {
    pub(crate) fn reason(self) -> &'static str {
        match self {
            FrameError::Incomplete => "incomplete record",
            FrameError::Checksum => "checksum mismatch",
            FrameError::Content => "unknown record content",
        }
    }
}

pub(crate) fn encode_record(record: &Record, out: &mut Vec<u8>) -> Result<(), serde_json::Error> {
    let body = serde_json::to_vec(record)?;
    encode(KIND_RECORD, &body, out);
    Ok(())
}

pub(crate) fn encode_marker(synced_bytes: u64) -> Vec<u8> {
    let mut body = MARKER_MAGIC.to_vec();
    body.extend_from_slice(&synced_bytes.to_le_bytes());
    let mut out = Vec::with_capacity(MARKER_BYTES);
    encode(KIND_MARKER, &body, &mut out);
    out
}

fn encode(kind: u8, body: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&checksum(kind, body).to_le_bytes());
    out.push(kind);
    out.extend_from_slice(body);
}

/// Includes the length, since a damaged length would shift all that follows.
fn checksum(kind: u8, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(body.len() as u32).to_le_bytes());
    hasher.update(&[kind]);
    hasher.update(body);
    hasher.finalize()
}

/// Reads the frame at `offset`; returns it with the offset of the next one.
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
    let frame = decode_body(kind, body).ok_or(FrameError::Content)?;
    Ok((frame, start + length))
}

fn decode_body(kind: u8, body: &[u8]) -> Option<Frame> {
    match kind {
        KIND_RECORD => serde_json::from_slice(body).ok().map(Frame::Record),
        KIND_MARKER => {
            let offset = body.strip_prefix(&MARKER_MAGIC)?;
            Some(Frame::Marker(u64::from_le_bytes(offset.try_into().ok()?)))
        }
        _ => None,
    }
}

/// The greatest synced offset that an intact marker after `offset` states.
pub(crate) fn last_marker(bytes: &[u8], offset: usize) -> Option<u64> {
    let starts = offset..bytes.len().saturating_sub(MARKER_BYTES - 1);
    let is_candidate = |start: &usize| bytes[start + HEADER_BYTES..].starts_with(&MARKER_MAGIC);
    let frames = starts
        .filter(is_candidate)
        .map(|start| decode(bytes, start));
    let synced = frames.filter_map(|frame| match frame {
        Ok((Frame::Marker(synced), _)) => Some(synced),
        _ => None,
    });
    synced.max()
}

fn read_u32(bytes: &[u8], range: Range<usize>) -> u32 {
    let mut value = [0; 4];
    value.copy_from_slice(&bytes[range]);
    u32::from_le_bytes(value)
}
