//! A TCP stream that counts the bytes that arrive, and fails once they exceed the budget.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::byte_budget::Account;
use crate::byte_budget::Reason;
use crate::write_timeout::DEFAULT_LIMIT;
use crate::write_timeout::WriteTimeout;

/// A stream whose reads are counted in the account of its connection.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    stream: WriteTimeout,
    account: Arc<Account>,
    /// The most bytes that the reader of the stream buffers.
    buffer_max_bytes: usize,
}

impl MeteredStream {
    pub(crate) fn new(
        stream: TcpStream,
        account: Arc<Account>,
        buffer_max_bytes: usize,
    ) -> MeteredStream {
        MeteredStream {
            stream: WriteTimeout::new(stream, DEFAULT_LIMIT),
            account,
            buffer_max_bytes,
        }
    }

    fn record_timeout<T>(&self, written: &Poll<io::Result<T>>) {
        if let Poll::Ready(Err(error)) = written
            && error.kind() == io::ErrorKind::TimedOut
        {
            self.account.record(Reason::WriteTimeout);
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let arrived = buffer.filled().len() - before;
        if arrived > 0 {
            let counted = self.account.add_arrived(arrived, self.buffer_max_bytes);
            counted.map_err(io::Error::other)?;
        }
        read
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_timeout(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.record_timeout(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
