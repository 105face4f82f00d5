//! The body of a runner's response, whole or truncated.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// A response body. A truncated one ends with an error after half of its bytes.
#[derive(Debug, Default)]
pub struct ResponseBody {
    remaining: Option<Bytes>,
    length: u64,
    is_truncated: bool,
}

impl ResponseBody {
    /// Creates a complete body.
    pub fn whole(bytes: Bytes) -> ResponseBody {
        ResponseBody {
            length: bytes.len() as u64,
            remaining: Some(bytes),
            is_truncated: false,
        }
    }

    /// Creates a body that declares the length of `bytes` and ends with an error after half of
    /// them.
    pub fn truncated(bytes: &Bytes) -> ResponseBody {
        ResponseBody {
            length: bytes.len() as u64,
            remaining: Some(bytes.slice(..bytes.len() / 2)),
            is_truncated: true,
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Poll::Ready(match self.remaining.take() {
            Some(bytes) => Some(Ok(Frame::data(bytes))),
            None if self.is_truncated => Some(Err(io::Error::other("cut short"))),
            None => None,
        })
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length)
    }
}
