//! The body of a runner's answer, whole or cut short.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// A body; one that is cut ends with an error after half of its bytes.
#[derive(Debug, Default)]
pub struct Answer {
    rest: Option<Bytes>,
    length: u64,
    is_cut: bool,
}

impl Answer {
    /// A whole body.
    pub fn whole(bytes: Bytes) -> Answer {
        Answer {
            length: bytes.len() as u64,
            rest: Some(bytes),
            is_cut: false,
        }
    }

    /// A body that declares the length of `bytes` and ends after half of them.
    pub fn cut(bytes: &Bytes) -> Answer {
        Answer {
            length: bytes.len() as u64,
            rest: Some(bytes.slice(..bytes.len() / 2)),
            is_cut: true,
        }
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Poll::Ready(match self.rest.take() {
            Some(bytes) => Some(Ok(Frame::data(bytes))),
            None if self.is_cut => Some(Err(io::Error::other("cut short"))),
            None => None,
        })
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length)
    }
}
