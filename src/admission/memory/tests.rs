use crate::admission::test_support::{config, request, start_backend};
use crate::api::{BackendConfig, Request};

/// Guards against exhausted memory, which would lose everything in flight: however many executions and
/// duplicates arrive, some memory remains for requests that are being read.
#[test]
fn executions_and_duplicates_never_fill_the_memory() {
    let mut backend = start_backend(BackendConfig { memory_kb: 400.0, ..config() });
    for id in 1..40 {
        backend.handle_request(0.0, request(id, 2));
        let duplicate = Request { duplicate_of: Some(1), memory_kb: 30.0, ..request(100 + id, 2) };
        backend.handle_request(0.0, duplicate);
    }
    assert!(backend.memory.occupied_fraction(backend.deduplication.entries()) < 1.0);
    assert!(backend.requests.running() > 0);
}
