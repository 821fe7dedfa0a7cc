//! Scripted client that a test drives frame by frame.

use std::io::{Read, Write};
use std::net::TcpStream;

use super::{decode_response, Response, READ_TIMEOUT};

/// Connection of a scripted client.
pub struct ScriptedClient(
    /// Stream to the backend.
    pub TcpStream,
);

impl ScriptedClient {
    /// Connects to a backend.
    pub fn connect(address: &str) -> Self {
        Self::over(TcpStream::connect(address).expect("connect to the backend"))
    }

    /// Creates a client on an open connection.
    pub fn over(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("set the read timeout");
        ScriptedClient(stream)
    }

    /// Sends a frame, preceded by its length.
    pub fn send(&mut self, frame: &[u8]) {
        let encoded = [&(frame.len() as u32).to_be_bytes()[..], frame].concat();
        self.0.write_all(&encoded).expect("write a frame to the backend");
    }

    /// Reads the next frame; returns `None` at the end of the connection or after the read timeout.
    pub fn read_response(&mut self) -> Option<Response> {
        let mut length = [0; 4];
        self.0.read_exact(&mut length).ok()?;
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        self.0.read_exact(&mut frame).ok()?;
        Some(decode_response(&frame))
    }
}
