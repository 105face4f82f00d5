//! Reads the body of a request into one buffer that is counted in the budget of the process.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use thiserror::Error;

use crate::byte_budget::Account;
use crate::byte_budget::OverBudget;
use crate::byte_budget::Part;

/// The first buffer of a body that arrives in many small frames.
const BUFFER_MIN_BYTES: usize = 4 * 1024;

/// Why a body was not read. The request has not run.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body is longer than the listener accepts.
    #[error("the body exceeds the limit of {0} bytes")]
    TooLong(usize),
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    TimedOut,
    /// The process has no memory left for it.
    #[error(transparent)]
    OverBudget(#[from] OverBudget),
    /// The connection failed or the body is malformed.
    #[error("{0}")]
    Broken(String),
}

/// A body that grows while it arrives, so that no frame keeps an allocation of its own.
#[derive(Debug)]
pub struct BodyBuffer<'a> {
    account: &'a Account,
    bytes: Vec<u8>,
    max_bytes: usize,
}

impl<'a> BodyBuffer<'a> {
    /// Creates an empty buffer for a body of at most `max_bytes` bytes.
    pub fn new(account: &'a Account, max_bytes: usize) -> BodyBuffer<'a> {
        BodyBuffer {
            account,
            bytes: Vec::new(),
            max_bytes,
        }
    }

    /// Appends a frame, or returns an error if the body becomes too long or the process has no
    /// memory left for it.
    pub fn push(&mut self, frame: &[u8]) -> Result<(), BodyError> {
        let needed = self.bytes.len() + frame.len();
        if needed > self.max_bytes {
            return Err(BodyError::TooLong(self.max_bytes));
        }
        let capacity = self.bytes.capacity();
        if needed > capacity {
            let doubled = (capacity * 2).max(BUFFER_MIN_BYTES).min(self.max_bytes);
            let wanted = doubled.max(needed);
            self.account.grow(Part::Body, wanted - capacity)?;
            self.bytes.reserve_exact(wanted - self.bytes.len());
        }
        self.bytes.extend_from_slice(frame);
        Ok(())
    }

    /// Returns the whole body, which stays counted in the account.
    pub fn finish(self) -> Bytes {
        Bytes::from(self.bytes)
    }
}

/// Reads a body of at most `max_bytes` bytes within `timeout`.
pub(crate) async fn read(
    body: Incoming,
    account: &Account,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    let declared = body.size_hint().exact();
    if declared.is_some_and(|length| length > max_bytes as u64) {
        return Err(BodyError::TooLong(max_bytes));
    }
    let max_bytes = declared.map_or(max_bytes, |length| length as usize);
    let reading = read_frames(body, BodyBuffer::new(account, max_bytes));
    let read = tokio::time::timeout(timeout, reading).await;
    read.unwrap_or(Err(BodyError::TimedOut))
}

async fn read_frames(mut body: Incoming, mut buffer: BodyBuffer<'_>) -> Result<Bytes, BodyError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Broken(error.to_string()))?;
        if let Some(data) = frame.data_ref() {
            buffer.push(data)?;
        }
    }
    Ok(buffer.finish())
}
