//! Follows the bytes of a WebSocket connection to tell how much memory the library needs for an
//! incomplete message.
//!
//! The library allocates the declared length of a frame when its header has arrived, and does not
//! tell how much it holds.

use crate::rpc::MESSAGE_MAX_BYTES;

/// The end of a handshake.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// The shortest header of a frame of a client: two bytes and the mask.
const HEADER_MIN_BYTES: usize = 6;
/// The longest header of a frame of a client, with a length of eight bytes.
const HEADER_MAX_BYTES: usize = 14;
const FINAL_BIT: u8 = 0x80;
const CONTROL_BIT: u8 = 0x08;
const LENGTH_BITS: u8 = 0x7f;
const LENGTH_OF_2_BYTES: u8 = 126;
const LENGTH_OF_8_BYTES: u8 = 127;

/// Counts the bytes of the handshake, then of the incomplete message.
#[derive(Debug, Default)]
pub(crate) struct MessageMeter {
    /// How many bytes of [`HEAD_END`] the last bytes match.
    matched: usize,
    is_open: bool,
    header: [u8; HEADER_MAX_BYTES],
    header_bytes: usize,
    /// The bytes of the current frame that have not arrived.
    missing_bytes: u64,
    message_bytes: usize,
}

impl MessageMeter {
    /// Whether the handshake has arrived completely.
    pub(crate) fn is_open(&self) -> bool {
        self.is_open
    }

    /// The memory of the incomplete handshake or message; 0 between two. A message that is declared
    /// too long counts as the longest one, since the library rejects it.
    pub(crate) fn held_bytes(&self) -> usize {
        let held_bytes = self.missing_bytes.saturating_add(self.message_bytes as u64);
        held_bytes.min(MESSAGE_MAX_BYTES.into()) as usize
    }

    /// Takes bytes that have arrived.
    pub(crate) fn feed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match (self.is_open, self.missing_bytes) {
                (false, _) => self.feed_head(bytes),
                (true, 0) => self.feed_header(bytes),
                (true, _) => self.feed_payload(bytes),
            };
        }
    }

    fn feed_head<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let (first, rest) = (bytes[0], &bytes[1..]);
        self.message_bytes += 1;
        self.matched = match first == HEAD_END[self.matched] {
            true => self.matched + 1,
            false => usize::from(first == HEAD_END[0]),
        };
        if self.matched == HEAD_END.len() {
            self.is_open = true;
            self.message_bytes = 0;
        }
        rest
    }

    fn feed_header<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        self.header[self.header_bytes] = bytes[0];
        self.header_bytes += 1;
        if let Some(length) = self.frame_length() {
            self.header_bytes = 0;
            self.missing_bytes = length;
            self.end_message_if_complete();
        }
        &bytes[1..]
    }

    fn feed_payload<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let count = (bytes.len() as u64).min(self.missing_bytes) as usize;
        self.missing_bytes -= count as u64;
        self.message_bytes += count;
        self.end_message_if_complete();
        &bytes[count..]
    }

    /// The length of the frame, once its header is complete.
    fn frame_length(&self) -> Option<u64> {
        let header = &self.header[..self.header_bytes];
        let short = header.get(1)? & LENGTH_BITS;
        let length_bytes = match short {
            LENGTH_OF_2_BYTES => 2,
            LENGTH_OF_8_BYTES => 8,
            _ => 0,
        };
        if header.len() < HEADER_MIN_BYTES + length_bytes {
            return None;
        }
        let long = header[2..2 + length_bytes].iter();
        let long = long.fold(0, |length, byte| length << 8 | u64::from(*byte));
        Some(if length_bytes == 0 {
            short.into()
        } else {
            long
        })
    }

    fn end_message_if_complete(&mut self) {
        let is_final = self.header[0] & FINAL_BIT != 0;
        let is_control = self.header[0] & CONTROL_BIT != 0;
        if self.missing_bytes == 0 && is_final && !is_control {
            self.message_bytes = 0;
        }
    }
}
