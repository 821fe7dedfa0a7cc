//! Bytes as they come from a socket, up to a bound.

use std::io;
use std::net::TcpStream;

use async_io::Async;
use futures_lite::AsyncReadExt;

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
