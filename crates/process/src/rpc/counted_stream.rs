//! A stream whose incomplete handshake or message is counted in the budget of the process.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::byte_budget::Part;
use crate::byte_budget::Phase;
use crate::connections::ConnectionPermit;
use crate::rpc::message_meter::MessageMeter;
use crate::write_timeout::DEFAULT_LIMIT;
use crate::write_timeout::WriteTimeout;

/// A stream of which the first bytes have been read already; readers get them first.
pub(crate) struct CountedStream {
    head: Vec<u8>,
    /// How many bytes of the head readers have got.
    taken: usize,
    stream: WriteTimeout,
    /// The library owns the stream after the handshake, so the permit belongs to the stream.
    permit: ConnectionPermit,
    /// Completes when the connection has to close.
    closed: Pin<Box<dyn Future<Output = ()> + Send>>,
    meter: MessageMeter,
    /// The bytes that are counted in the account.
    counted_bytes: usize,
}

impl CountedStream {
    pub(crate) fn new(head: &[u8], stream: TcpStream, permit: ConnectionPermit) -> CountedStream {
        let account = permit.account.clone();
        CountedStream {
            head: head.to_vec(),
            taken: 0,
            stream: WriteTimeout::new(stream, DEFAULT_LIMIT),
            permit,
            closed: Box::pin(async move { account.closed().await }),
            meter: MessageMeter::default(),
            counted_bytes: 0,
        }
    }

    fn count(&mut self, arrived: &[u8]) -> io::Result<()> {
        let was_open = self.meter.is_open();
        self.meter.feed(arrived);
        let held_bytes = self.meter.held_bytes();
        if held_bytes < self.counted_bytes {
            self.permit.account.release(Part::Body);
            self.counted_bytes = 0;
        }
        let counting = self
            .permit
            .account
            .grow(Part::Body, held_bytes - self.counted_bytes);
        counting.map_err(io::Error::other)?;
        let has_changed = (self.counted_bytes == 0) != (held_bytes == 0);
        if self.meter.is_open() && (has_changed || !was_open) {
            let is_complete = held_bytes == 0;
            let phase = if is_complete {
                Phase::Running
            } else {
                Phase::Body
            };
            self.permit.account.enter(phase);
        }
        self.counted_bytes = held_bytes;
        Ok(())
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.closed.as_mut().poll(context).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let before = buffer.filled().len();
        let read = match self.head.len() - self.taken {
            0 => Pin::new(&mut self.stream).poll_read(context, buffer),
            left => {
                let count = left.min(buffer.remaining());
                let taken = self.taken;
                buffer.put_slice(&self.head[taken..taken + count]);
                self.taken += count;
                Poll::Ready(Ok(()))
            }
        };
        self.count(&buffer.filled()[before..])?;
        read
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
