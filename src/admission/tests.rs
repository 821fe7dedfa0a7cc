use crate::admission::test_support::{config, request, start_backend};
use crate::api::{Gauges, Request, RunOutcome, Timer};

#[test]
fn identical_inputs_give_identical_effects() {
    let run = || {
        let mut backend = start_backend(config());
        let mut all = Vec::new();
        for step in 0..200u32 {
            let now_ms = f64::from(step) * 10.0;
            let deadline_ms = Some(now_ms + 900.0);
            let new = Request { deadline_ms, ..request(step + 1, step as usize % 4) };
            all.push(backend.handle_request(now_ms, new));
            all.push(backend.handle_run_ended(now_ms, step / 2, RunOutcome::Completed));
            all.push(backend.handle_timeout(now_ms, Timer::Periodic, Gauges::default()));
        }
        all
    };
    assert_eq!(run(), run());
}
