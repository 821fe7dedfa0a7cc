use crate::admission::test_support::{config, request, started};
use crate::api::{BackendConfig, Request};

/// Executions and their duplicates come without end: a process that runs out of memory loses all that it has
/// in flight. There is always some left for what is being read.
#[test]
fn memory_is_never_filled() {
    let mut backend = started(BackendConfig { memory_kb: 400.0, ..config() });
    for id in 1..40 {
        backend.handle_request(0.0, request(id, 2));
        let duplicate = Request { duplicate_of: Some(1), memory_kb: 30.0, ..request(100 + id, 2) };
        backend.handle_request(0.0, duplicate);
    }
    assert!(backend.memory.occupied_fraction(backend.deduplication.entries()) < 1.0);
    assert!(backend.requests.running() > 0);
}
