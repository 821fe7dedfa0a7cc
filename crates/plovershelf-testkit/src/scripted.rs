//! Scripted peers that a test drives message by message: clients, and the agent's and the dependency's end of a
//! connection. Frames are encoded byte by byte, so that a backend is tested against the protocol and not against the
//! product's codec. The peers panic like a test on an unexpected message, and on a required message that does not
//! arrive within [`READ_TIMEOUT`].

mod client;
mod frames;
mod line_link;

use std::time::Duration;

pub use client::ScriptedClient;
pub use frames::{alive, cancel, decode_response, dispatch, Response};
pub use line_link::LineLink;

/// Timeout for reading a message.
pub const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings with four request classes (two idempotent ones of different value, one keyed and one non-idempotent) and
/// two gauges.
pub const SETTINGS: &str = r#"{
    "classes": [
        {"name": "plain", "aim_ms": 20000.0, "deadline_ms": 30000.0, "effect": "repeatable", "gain": 1.0},
        {"name": "better", "aim_ms": 20000.0, "deadline_ms": 30000.0, "effect": "repeatable", "gain": 5.0},
        {"name": "marked", "aim_ms": 20000.0, "deadline_ms": 30000.0, "effect": "by_key", "gain": 5.0,
         "dedup_window_ms": 60000.0},
        {"name": "single", "aim_ms": 20000.0, "deadline_ms": 30000.0, "effect": "once", "gain": 5.0}],
    "tenants": [{"name": "acme", "quota_per_s": 1000.0}],
    "family_info": {"cores": 4, "memory_kb": 1000000.0, "run_factor": 2.0, "entry_kb": 1.0, "below": "shared",
        "dep_share": 20.0, "halt": "abort", "signal": "threshold", "senders": 2, "keepalive_max_ms": 30000.0,
        "passes_deadline": true, "meters": ["cpu_busy", "runnable"]},
    "policy_limits": {"retry_after": true, "max_retry_after_ms": 1000.0},
    "rules": {"tip_multiple": 8.0, "drain_grace_ms": 300.0}}"#;
