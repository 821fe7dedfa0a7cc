//! Heartbeats to the service registry. Each is one datagram.

/// Encodes a heartbeat of a backend that is ready for requests or draining.
pub fn heartbeat(name: &str, draining: bool) -> Vec<u8> {
    let state = if draining { "draining" } else { "ready" };
    format!("BEAT {name} {state}").into_bytes()
}
