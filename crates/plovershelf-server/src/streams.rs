//! Reading and writing with bounds: bytes as they come, up to a size; what takes time, up to a span.

use std::future::Future;
use std::io;
use std::net::TcpStream;
use std::time::Duration;

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};

/// What comes of it if that comes within the span.
pub async fn within<T>(span_ms: u64, done: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let late = async {
        Timer::after(Duration::from_millis(span_ms)).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(done, late).await
}

/// Writes all, unless the peer takes nothing for too long.
pub async fn write_all(mut stream: &Async<TcpStream>, bytes: &[u8], stall_ms: u64) -> io::Result<()> {
    within(stall_ms, stream.write_all(bytes)).await
}

/// The next of a queue with all that stand behind it, in one piece; `None` when no more can come.
pub async fn gather(queue: &Receiver<Vec<u8>>) -> Option<Vec<u8>> {
    let mut bytes = queue.recv().await.ok()?;
    while let Ok(more) = queue.try_recv() {
        bytes.extend_from_slice(&more);
    }
    Some(bytes)
}

pub struct Inflow {
    bytes: Vec<u8>,
    most: usize,
    each: usize,
}

impl Inflow {
    pub fn new(most: usize, each: usize) -> Self {
        Inflow { bytes: Vec::new(), most, each }
    }

    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    pub fn used(&mut self, count: usize) {
        self.bytes.drain(..count);
        if self.bytes.is_empty() && self.bytes.capacity() > self.each {
            self.bytes = Vec::new();
        }
    }

    /// Reads what is there; false at the end of the stream. What is more than the bound is an error.
    pub async fn fill(&mut self, mut stream: &Async<TcpStream>) -> io::Result<bool> {
        let had = self.bytes.len();
        if had >= self.most {
            return Err(io::Error::other("more came than is taken at once"));
        }
        self.bytes.resize((had + self.each).min(self.most), 0);
        let got = stream.read(&mut self.bytes[had..]).await;
        self.bytes.truncate(had + got.as_ref().copied().unwrap_or(0));
        got.map(|count| count > 0)
    }
}
