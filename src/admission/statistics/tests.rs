use super::*;

impl DecayClock {
    pub(in crate::admission) fn updated_ms(&self) -> f64 {
        self.updated_ms
    }
}

impl DecayedTallies {
    pub(in crate::admission) fn from_counts(counts: &[f64]) -> Self {
        DecayedTallies { counts: counts.to_vec() }
    }
}

impl DecayedCount {
    pub(in crate::admission) fn from_sum(sum: f64, updated_ms: f64) -> Self {
        DecayedCount { sum, updated_ms }
    }
}

#[test]
fn a_count_halves_in_its_half_life_whether_or_not_it_is_read() {
    let mut read = DecayedCount::new(0.0);
    let mut unread = DecayedCount::new(0.0);
    for count in [&mut read, &mut unread] {
        (0..8).for_each(|_| count.increment(100.0));
    }
    for step in 1..20 {
        read.value_at(100.0 + 100.0 * f64::from(step));
    }
    assert_eq!(read.value_at(100.0 + HALF_LIFE_MS), 4.0);
    assert_eq!(unread.value_at(100.0 + HALF_LIFE_MS), 4.0);
}

#[test]
fn the_rate_of_a_steady_stream_is_measured() {
    let mut count = DecayedCount::new(0.0);
    (1..2000).for_each(|step| count.increment(20.0 * f64::from(step)));
    assert!((count.rate_per_s(20.0 * 2000.0) - 50.0).abs() < 0.5);
}

#[test]
fn tallies_that_share_a_clock_decay_by_the_same_factor() {
    let mut clock = DecayClock::new(500.0);
    let factor = clock.advance_to(500.0 + HALF_LIFE_MS);
    let mut tallies = DecayedTallies::from_counts(&[8.0, 2.0]);
    tallies.decay(factor);
    tallies.increment(1);
    assert_eq!((tallies.as_slice(), tallies.total()), (&[4.0, 2.0][..], 6.0));
    assert_eq!(clock.advance_to(500.0 + HALF_LIFE_MS), 1.0);
}

#[test]
fn core_time_is_expected_by_hint_where_executions_came_with_hints() {
    let mut time = ServiceTime::default();
    assert_eq!(time.expected_core_ms(Some(10.0)), None);
    time.record(50.0, None);
    assert_eq!(time.expected_core_ms(Some(10.0)), Some(50.0));
    let mut hinted = ServiceTime::default();
    hinted.record(50.0, Some(25.0));
    assert_eq!(hinted.expected_core_ms(Some(10.0)), Some(20.0));
    assert_eq!(hinted.expected_core_ms(None), Some(50.0));
}
