//! The datagrams by which a backend stays on the roster.

pub fn heartbeat(name: &str, leaving: bool) -> Vec<u8> {
    let state = if leaving { "draining" } else { "ready" };
    format!("BEAT {name} {state}").into_bytes()
}
