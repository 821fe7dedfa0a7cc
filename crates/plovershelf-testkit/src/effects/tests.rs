use super::*;

#[test]
fn repeated_executions_are_reported_by_idempotency() {
    let mut effects = EffectLedger::default();
    let run = |effects: &mut EffectLedger, number, idempotency, process| {
        effects.record_start(&WorkSpec { number, work_ms: 1.0, outbound_calls: 0, idempotency }, process);
    };
    for process in [(0, 1), (0, 1)] {
        run(&mut effects, 1, Idempotency::Idempotent, process);
        run(&mut effects, 2, Idempotency::Keyed, process);
    }
    for process in [(0, 1), (1, 1)] {
        run(&mut effects, 3, Idempotency::Keyed, process);
        run(&mut effects, 4, Idempotency::NonIdempotent, process);
    }
    assert_eq!(effects.repeated_executions(), [2, 4]);
    assert_eq!(effects.repeated_keyed_launches(), [2, 3]);
}
