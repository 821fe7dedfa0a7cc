use super::*;

const WARM: CoresConfig =
    CoresConfig { cores: 2.0, overload_factor: 4.0, initial_speed: 1.0, slow_start_ms: 1.0 };

#[test]
fn overload_lowers_throughput_and_slow_start_lowers_speed() {
    let completion_ms = |count: u32, config: CoresConfig| {
        let mut cores = Cores::new(config, 0.0);
        (0..count).for_each(|key| cores.start(key, 10.0));
        let mut now = 0.0;
        while cores.running() > 0 {
            now += 0.5;
            cores.advance(now);
        }
        now
    };
    assert!((completion_ms(2, WARM) - 10.0).abs() < 1.0);
    assert!((completion_ms(8, WARM) - 40.0).abs() < 1.0);
    assert!((completion_ms(16, WARM) - 160.0).abs() < 1.0);
    let cold = CoresConfig { initial_speed: 0.5, slow_start_ms: 1e9, ..WARM };
    assert!((completion_ms(2, cold) - 20.0).abs() < 1.0);
}

#[test]
fn cancelled_work_never_completes() {
    let mut cores = Cores::new(WARM, 0.0);
    cores.start(1, 5.0);
    cores.start(2, 5.0);
    assert!(cores.cancel(&1) && !cores.cancel(&1));
    assert_eq!(cores.advance(20.0), [2]);
}
