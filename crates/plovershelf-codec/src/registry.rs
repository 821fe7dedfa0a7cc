//! Heartbeats to the service registry, one datagram each.

/// A heartbeat of the backend of this name, ready for requests or draining.
pub fn heartbeat(name: &str, draining: bool) -> Vec<u8> {
    let state = if draining { "draining" } else { "ready" };
    format!("BEAT {name} {state}").into_bytes()
}
