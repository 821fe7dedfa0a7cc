use super::*;
use crate::caller::action::ConnectionId;
use plovershelf::api::BackpressureSignal;
use plovershelf_codec::front::ServerSignals;
use rand::SeedableRng;
use std::net::SocketAddr;

const ANY: Requirements<'static> = Requirements { priority: 0.5, subject: 0, avoid: &[], only: None };

/// Endpoints with ids from 1, and a balancer that chooses among them.
#[derive(Default)]
struct Fleet {
    endpoints: Endpoints,
    balancer: Balancer,
    config: ClientConfig,
}

impl Fleet {
    fn with(count: u16, config: ClientConfig) -> Self {
        let mut fleet = Fleet { config, ..Fleet::default() };
        let addresses: Vec<SocketAddr> =
            (0..count).map(|n| SocketAddr::from(([127, 0, 0, 1], 9000 + n))).collect();
        fleet.endpoints.replace(0.0, &addresses);
        fleet
    }

    fn new(count: u16) -> Self {
        Self::with(count, ClientConfig::default())
    }

    fn endpoint(&mut self, id: u32) -> &mut Endpoint {
        self.endpoints.get_mut(EndpointId(id)).expect("listed")
    }

    fn record_latency(&mut self, id: u32, latency_ms: f64) {
        self.balancer.record_latency(latency_ms);
        self.endpoint(id).latency.record(0.0, latency_ms);
    }

    fn record_signals(&mut self, id: u32, signals: &ServerSignals) {
        let config = self.config.clone();
        self.endpoint(id).backpressure.record(0.0, signals, &config);
    }

    fn eject(&mut self, id: u32, random: &mut Pcg32) {
        let config = self.config.clone();
        self.endpoint(id).breaker.record_protocol_fault(0.0, &config, random);
    }

    fn choose(
        &self,
        now_ms: f64,
        requirements: &Requirements<'_>,
        capacity_of: impl Fn(&Endpoint) -> Capacity,
        random: &mut Pcg32,
    ) -> Choice {
        self.balancer.choose(now_ms, &self.endpoints, requirements, capacity_of, &self.config, random)
    }

    /// Returns how often each endpoint is chosen in 1000 choices.
    fn choice_counts(&self, requirements: &Requirements<'_>, now_ms: f64) -> Vec<usize> {
        let mut random = Pcg32::seed_from_u64(5);
        let mut counts = vec![0; self.endpoints.selected().len()];
        for _ in 0..1000 {
            let choice = self.choose(now_ms, requirements, |_| Capacity::Available, &mut random);
            if let Choice::Endpoint { id, .. } = choice {
                counts[id.0 as usize - 1] += 1;
            }
        }
        counts
    }
}

#[test]
fn endpoint_with_fewer_attempts_in_flight_is_chosen() {
    let mut fleet = Fleet::new(4);
    fleet.endpoint(1).in_flight = 9;
    let counts = fleet.choice_counts(&ANY, 0.0);
    assert!(counts[0] == 0 && counts[1..].iter().all(|n| *n > 200), "{counts:?}");
}

#[test]
fn slow_endpoint_is_avoided_until_its_latency_has_decayed() {
    let mut fleet = Fleet::new(2);
    fleet.record_latency(1, 50.0);
    fleet.record_latency(2, 5.0);
    assert_eq!(fleet.choice_counts(&ANY, 1.0)[0], 0);
    fleet.endpoint(2).in_flight = 1;
    assert_eq!(fleet.choice_counts(&ANY, 60_000.0)[0], 1000);
}

#[test]
fn retry_after_excludes_only_its_own_endpoint() {
    let mut fleet = Fleet::new(3);
    let signals = ServerSignals { retry_after_ms: Some(100.0), ..ServerSignals::default() };
    fleet.record_signals(2, &signals);
    assert_eq!(fleet.choice_counts(&ANY, 99.0)[1], 0);
    assert!(fleet.choice_counts(&ANY, 101.0)[1] > 200);
    for id in [1, 3] {
        fleet.record_signals(id, &signals);
    }
    let choice = fleet.choose(50.0, &ANY, |_| Capacity::Available, &mut Pcg32::seed_from_u64(1));
    assert_eq!(choice, Choice::NotBefore(100.0));
}

#[test]
fn backpressure_level_is_applied_in_each_of_its_meanings_until_it_expires() {
    let choice_counts = |backpressure: BackpressureSignal, value: f64, in_flight: usize| {
        let mut fleet = Fleet::with(3, ClientConfig { backpressure, ..ClientConfig::default() });
        fleet.record_signals(1, &ServerSignals { backpressure: Some(value), ..ServerSignals::default() });
        fleet.endpoints.iter_mut().for_each(|(_, endpoint)| endpoint.in_flight = in_flight);
        (fleet.choice_counts(&ANY, 10.0)[0], fleet.choice_counts(&ANY, 1001.0)[0])
    };
    let (before_expiry, after_expiry) = choice_counts(BackpressureSignal::MinimumPriority, 0.6, 0);
    assert!(before_expiry == 0 && after_expiry > 200, "{before_expiry}, {after_expiry}");
    assert!(choice_counts(BackpressureSignal::MinimumPriority, 0.5, 0).0 > 200);
    assert_eq!(choice_counts(BackpressureSignal::ConcurrencyPerClient, 2.0, 2).0, 0);
    assert!(choice_counts(BackpressureSignal::ConcurrencyPerClient, 2.0, 1).0 > 200);
    let (before_expiry, after_expiry) = choice_counts(BackpressureSignal::RateFraction, 0.2, 0);
    assert!(before_expiry * 2 < after_expiry, "{before_expiry}, {after_expiry}");
    assert!(choice_counts(BackpressureSignal::None, 0.0, 0).0 > 200);
}

/// Most endpoints are ejected at the same time, which indicates a fault of the client itself. The ejections
/// must be ignored.
#[test]
fn ejections_are_ignored_below_the_panic_threshold() {
    let mut fleet = Fleet::new(4);
    let mut random = Pcg32::seed_from_u64(2);
    for id in [1, 2] {
        fleet.eject(id, &mut random);
    }
    assert_eq!(fleet.choice_counts(&ANY, 1.0)[..2], [0, 0]);
    fleet.eject(3, &mut random);
    assert!(fleet.choice_counts(&ANY, 1.0).iter().all(|n| *n > 100));
}

#[test]
fn endpoint_of_an_earlier_attempt_and_a_draining_one_are_chosen_last() {
    let mut fleet = Fleet::new(3);
    let retry = Requirements { avoid: &[EndpointId(1)], ..ANY };
    assert_eq!(fleet.choice_counts(&retry, 0.0)[0], 0);
    fleet.endpoint(2).draining_until_ms = 500.0;
    assert_eq!(fleet.choice_counts(&retry, 1.0), [0, 0, 1000]);
    fleet.record_signals(3, &ServerSignals { retry_after_ms: Some(500.0), ..ServerSignals::default() });
    assert!(fleet.choice_counts(&retry, 1.0)[..2].iter().all(|n| *n > 200));
}

#[test]
fn subject_stays_at_its_endpoint_while_the_load_is_within_the_bound() {
    let mut fleet = Fleet::with(5, ClientConfig { subject_affinity: true, ..ClientConfig::default() });
    let with_subject = Requirements { subject: 77, ..ANY };
    let counts = fleet.choice_counts(&with_subject, 0.0);
    let index = counts.iter().position(|n| *n == 1000).expect("one endpoint is always chosen");
    fleet.endpoint(index as u32 + 1).in_flight = 4;
    let counts = fleet.choice_counts(&with_subject, 0.0);
    assert_eq!((counts[index], counts.iter().max().copied()), (0, Some(1000)));
}

#[test]
fn removed_endpoints_are_used_until_another_is_connected() {
    let mut fleet = Fleet::new(2);
    let connect = |(id, endpoint): (EndpointId, &mut Endpoint)| {
        endpoint.connections.push(ConnectionId(u64::from(id.0)));
    };
    fleet.endpoints.iter_mut().for_each(connect);
    fleet.endpoints.replace(0.0, &[SocketAddr::from(([127, 0, 0, 1], 9100))]);
    let mut random = Pcg32::seed_from_u64(2);
    let capacity_of = |endpoint: &Endpoint| {
        if endpoint.connections.is_empty() {
            Capacity::AfterConnecting
        } else {
            Capacity::Available
        }
    };
    let choice = fleet.choose(1.0, &ANY, capacity_of, &mut random);
    assert!(matches!(choice, Choice::Endpoint { id: EndpointId(1 | 2), .. }), "{choice:?}");
    fleet.endpoint(3).connections.push(ConnectionId(9));
    let choice = fleet.choose(1.0, &ANY, capacity_of, &mut random);
    assert_eq!(choice, Choice::Endpoint { id: EndpointId(3), connect_also: None });
}
