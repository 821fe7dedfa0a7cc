use super::*;

const WARM: Shape = Shape { cores: 2.0, crowd: 4.0, cold_speed: 1.0, warm_ms: 1.0 };

#[test]
fn work_shares_the_cores_and_a_crowd_gets_less_done() {
    let done = |count: u32, shape: Shape| {
        let mut cores = Cores::new(shape, 0.0);
        (0..count).for_each(|key| cores.begin(key, 10.0));
        let mut now = 0.0;
        while cores.running() > 0 {
            now += 0.5;
            cores.advance(now);
        }
        now
    };
    assert!((done(2, WARM) - 10.0).abs() < 1.0);
    assert!((done(8, WARM) - 40.0).abs() < 1.0);
    assert!((done(16, WARM) - 160.0).abs() < 1.0);
    let cold = Shape { cold_speed: 0.5, warm_ms: 1e9, ..WARM };
    assert!((done(2, cold) - 20.0).abs() < 1.0);
}

#[test]
fn what_is_stopped_never_ends() {
    let mut cores = Cores::new(WARM, 0.0);
    cores.begin(1, 5.0);
    cores.begin(2, 5.0);
    assert!(cores.stop(&1) && !cores.stop(&1));
    assert_eq!(cores.advance(20.0), [2]);
}
