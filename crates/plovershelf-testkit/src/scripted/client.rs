//! A client that a test plays frame by frame.

use std::io::{Read, Write};
use std::net::TcpStream;

use super::{decode_response, Response, READ_TIMEOUT};

/// A client's connection.
pub struct ScriptedClient(
    /// The connection.
    pub TcpStream,
);

impl ScriptedClient {
    /// Connects to a backend.
    pub fn connect(address: &str) -> Self {
        Self::over(TcpStream::connect(address).expect("a backend that listens"))
    }

    /// Uses an open connection.
    pub fn over(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout");
        ScriptedClient(stream)
    }

    /// Sends a frame with its length before it.
    pub fn send(&mut self, frame: &[u8]) {
        let whole = [&(frame.len() as u32).to_be_bytes()[..], frame].concat();
        self.0.write_all(&whole).expect("a connection that takes frames");
    }

    /// The next frame, or `None` at the end of the connection.
    pub fn read_response(&mut self) -> Option<Response> {
        let mut length = [0; 4];
        self.0.read_exact(&mut length).ok()?;
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        self.0.read_exact(&mut frame).ok()?;
        Some(decode_response(&frame))
    }
}
