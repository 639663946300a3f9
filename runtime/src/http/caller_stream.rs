//! Connection from a client that nobody controls.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

/// Maximum time for which bytes of the client are discarded after the last response. Closing the
/// connection while they arrive would reset it, and the client might not get the response.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Maximum number of bytes that are discarded after the last response.
const LINGER_BYTES: usize = 16 << 20;

/// Size of the buffer for bytes that are discarded, in bytes.
const DISCARD_BYTES: usize = 8 << 10;

/// A connection that fails if the client takes no bytes for a time, since a client that reads
/// nothing would otherwise keep its response in memory. Its shutdown lets a client that is still
/// sending a request read the response first.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    /// Maximum time in which the client takes no bytes.
    write_limit: Duration,
    /// Runs while the client takes no bytes.
    write_timer: Option<Pin<Box<Sleep>>>,
    /// Runs once the last response was sent.
    linger_timer: Option<Pin<Box<Sleep>>>,
    /// Number of bytes discarded.
    discarded: usize,
}

impl CallerStream {
    /// Returns the connection `stream`, which fails if the client takes no bytes for
    /// `write_limit`.
    pub fn new(stream: TcpStream, write_limit: Duration) -> Self {
        Self { stream, write_limit, write_timer: None, linger_timer: None, discarded: 0 }
    }

    /// Returns the result of a write, or an error if the client has taken no bytes for the limit.
    fn limit_write(
        &mut self,
        context: &mut Context<'_>,
        write: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if write.is_ready() {
            self.write_timer = None;
            return write;
        }
        let limit = self.write_limit;
        let timer = self.write_timer.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Discards bytes until the client closes the connection or a limit is reached.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; DISCARD_BYTES];
        while self.discarded < LINGER_BYTES {
            let mut buffer = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.stream).poll_read(context, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    self.discarded += buffer.filled().len();
                }
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => {
                    let timer =
                        self.linger_timer.get_or_insert_with(|| Box::pin(sleep(LINGER_TIME)));
                    return timer.as_mut().poll(context);
                }
            }
        }
        Poll::Ready(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let write = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.limit_write(context, write)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let write = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.limit_write(context, write)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A further shutdown of the same direction does nothing.
        ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
        self.poll_linger(context).map(Ok)
    }
}
