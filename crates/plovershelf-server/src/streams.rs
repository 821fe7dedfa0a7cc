//! Reading and writing with bounded sizes and times.

use std::future::Future;
use std::io;
use std::net::TcpStream;
use std::time::Duration;

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};

/// Returns the result of an operation, or [`io::ErrorKind::TimedOut`] after `timeout_ms`.
pub(crate) async fn with_timeout<T>(
    timeout_ms: u64,
    operation: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let timed_out = async {
        Timer::after(Duration::from_millis(timeout_ms)).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(operation, timed_out).await
}

/// Writes all bytes, or fails if the peer has not taken them within `timeout_ms`.
pub(crate) async fn write_all(
    mut stream: &Async<TcpStream>,
    bytes: &[u8],
    timeout_ms: u64,
) -> io::Result<()> {
    with_timeout(timeout_ms, stream.write_all(bytes)).await
}

/// Returns the next message of a queue joined with all messages behind it, or `None` once the queue is closed and
/// empty.
pub(crate) async fn recv_batch(queue: &Receiver<Vec<u8>>) -> Option<Vec<u8>> {
    let mut bytes = queue.recv().await.ok()?;
    while let Ok(more) = queue.try_recv() {
        bytes.extend_from_slice(&more);
    }
    Some(bytes)
}

/// Bytes that were read from a stream and are not consumed yet.
pub(crate) struct ReadBuffer {
    bytes: Vec<u8>,
    max_bytes: usize,
    chunk_bytes: usize,
}

impl ReadBuffer {
    /// Returns a buffer of at most `max_bytes` that reads at most `chunk_bytes` at once.
    pub(crate) fn new(max_bytes: usize, chunk_bytes: usize) -> Self {
        ReadBuffer { bytes: Vec::new(), max_bytes, chunk_bytes }
    }

    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Removes bytes from the front. An empty buffer that grew beyond one chunk releases its memory.
    pub(crate) fn consume(&mut self, count: usize) {
        self.bytes.drain(..count);
        if self.bytes.is_empty() && self.bytes.capacity() > self.chunk_bytes {
            self.bytes = Vec::new();
        }
    }

    /// Reads the available bytes. Returns false at the end of the stream.
    ///
    /// # Errors
    /// Returns an error of the stream, or one for a full buffer.
    pub(crate) async fn fill(&mut self, mut stream: &Async<TcpStream>) -> io::Result<bool> {
        let buffered = self.bytes.len();
        if buffered >= self.max_bytes {
            return Err(io::Error::other("the read buffer is full"));
        }
        self.bytes.resize((buffered + self.chunk_bytes).min(self.max_bytes), 0);
        let read = stream.read(&mut self.bytes[buffered..]).await;
        self.bytes.truncate(buffered + read.as_ref().copied().unwrap_or(0));
        read.map(|count| count > 0)
    }
}
