use super::*;

#[test]
fn executions_share_the_cores_and_have_at_most_one_core_each() {
    let mut cpu = CpuUsage::new(4.0);
    cpu.advance(100.0, 2);
    assert_eq!(cpu.execution_clock_ms(), 100.0);
    cpu.advance(100.0, 8);
    assert_eq!(cpu.execution_clock_ms(), 150.0);
}

#[test]
fn executions_that_wait_for_disk_have_less_core_time() {
    let mut cpu = CpuUsage::new(4.0);
    (0..100).for_each(|_| cpu.update_runnable(Some(1.0), 2));
    cpu.advance(100.0, 2);
    assert!((cpu.execution_clock_ms() - 50.0).abs() < 1e-3);
}

#[test]
fn persistent_runnable_tasks_of_others_are_contention() {
    let mut cpu = CpuUsage::new(4.0);
    cpu.update_runnable(Some(22.0), 2);
    assert_eq!(cpu.contention(), Contention::Normal);
    (0..10).for_each(|_| cpu.update_runnable(Some(22.0), 2));
    assert_eq!(cpu.contention(), Contention::High);
    (0..10).for_each(|_| cpu.update_runnable(Some(2.0), 2));
    assert_eq!(cpu.contention(), Contention::Normal);
}

#[test]
fn without_gauges_the_cores_count_as_busy_and_without_contention() {
    let mut cpu = CpuUsage::new(4.0);
    cpu.update_utilization(None);
    cpu.update_runnable(None, 2);
    assert_eq!((cpu.utilization(), cpu.contention()), (1.0, Contention::Normal));
}
