use super::*;
use crate::caller::action::ConnectionId;
use plovershelf::api::BackpressureSignal;
use plovershelf_codec::front::ServerSignals;
use rand::SeedableRng;
use std::net::SocketAddr;

const ANY: Requirements<'static> = Requirements { priority: 0.5, subject: 0, avoid: &[], only: None };

#[derive(Default)]
struct Fleet {
    endpoints: Endpoints,
    balancer: Balancer,
    config: ClientConfig,
}

impl Fleet {
    fn with(count: u16, config: ClientConfig) -> Self {
        let mut fleet = Fleet { config, ..Fleet::default() };
        let all: Vec<SocketAddr> = (0..count).map(|n| SocketAddr::from(([127, 0, 0, 1], 9000 + n))).collect();
        fleet.endpoints.replace(0.0, &all);
        fleet
    }

    fn new(count: u16) -> Self {
        Self::with(count, ClientConfig::default())
    }

    fn endpoint(&mut self, id: u32) -> &mut Endpoint {
        self.endpoints.get_mut(EndpointId(id)).expect("listed")
    }

    fn record_latency(&mut self, id: u32, took_ms: f64) {
        self.balancer.record_latency(took_ms);
        self.endpoint(id).latency.record(0.0, took_ms);
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

    /// How often each of them is chosen out of a thousand.
    fn shares(&self, requirements: &Requirements<'_>, now_ms: f64) -> Vec<usize> {
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
fn less_loaded_of_two_is_chosen() {
    let mut fleet = Fleet::new(4);
    fleet.endpoint(1).in_flight = 9;
    let counts = fleet.shares(&ANY, 0.0);
    assert!(counts[0] == 0 && counts[1..].iter().all(|n| *n > 200), "{counts:?}");
}

#[test]
fn slow_endpoint_gets_less_until_its_latency_is_old() {
    let mut fleet = Fleet::new(2);
    fleet.record_latency(1, 50.0);
    fleet.record_latency(2, 5.0);
    assert_eq!(fleet.shares(&ANY, 1.0)[0], 0);
    fleet.endpoint(2).in_flight = 1;
    assert_eq!(fleet.shares(&ANY, 60_000.0)[0], 1000);
}

#[test]
fn retry_after_keeps_calls_from_its_own_endpoint_alone() {
    let mut fleet = Fleet::new(3);
    let signals = ServerSignals { retry_after_ms: Some(100.0), ..ServerSignals::default() };
    fleet.record_signals(2, &signals);
    assert_eq!(fleet.shares(&ANY, 99.0)[1], 0);
    assert!(fleet.shares(&ANY, 101.0)[1] > 200);
    for id in [1, 3] {
        fleet.record_signals(id, &signals);
    }
    let choice = fleet.choose(50.0, &ANY, |_| Capacity::Available, &mut Pcg32::seed_from_u64(1));
    assert_eq!(choice, Choice::NotBefore(100.0));
}

#[test]
fn advised_value_is_heeded_in_each_of_its_meanings_and_for_its_time() {
    let shares = |backpressure: BackpressureSignal, value: f64, in_flight: usize| {
        let mut fleet = Fleet::with(3, ClientConfig { backpressure, ..ClientConfig::default() });
        fleet.record_signals(1, &ServerSignals { backpressure: Some(value), ..ServerSignals::default() });
        fleet.endpoints.iter_mut().for_each(|(_, endpoint)| endpoint.in_flight = in_flight);
        (fleet.shares(&ANY, 10.0)[0], fleet.shares(&ANY, 1001.0)[0])
    };
    let (heeded, after) = shares(BackpressureSignal::MinimumPriority, 0.6, 0);
    assert!(heeded == 0 && after > 200, "{heeded}, {after}");
    assert!(shares(BackpressureSignal::MinimumPriority, 0.5, 0).0 > 200);
    assert_eq!(shares(BackpressureSignal::ConcurrencyPerClient, 2.0, 2).0, 0);
    assert!(shares(BackpressureSignal::ConcurrencyPerClient, 2.0, 1).0 > 200);
    let (heeded, after) = shares(BackpressureSignal::RateFraction, 0.2, 0);
    assert!(heeded * 2 < after, "{heeded}, {after}");
    assert!(shares(BackpressureSignal::None, 0.0, 0).0 > 200);
}

/// Most endpoints are ejected at once: more likely the client's own trouble than theirs. Then ejections are ignored.
#[test]
fn ejections_are_ignored_below_the_panic_threshold() {
    let mut fleet = Fleet::new(4);
    let mut random = Pcg32::seed_from_u64(2);
    for id in [1, 2] {
        fleet.eject(id, &mut random);
    }
    assert_eq!(fleet.shares(&ANY, 1.0)[..2], [0, 0]);
    fleet.eject(3, &mut random);
    assert!(fleet.shares(&ANY, 1.0).iter().all(|n| *n > 100));
}

#[test]
fn endpoint_of_an_earlier_attempt_and_a_draining_one_are_chosen_last() {
    let mut fleet = Fleet::new(3);
    let tried = Requirements { avoid: &[EndpointId(1)], ..ANY };
    assert_eq!(fleet.shares(&tried, 0.0)[0], 0);
    fleet.endpoint(2).draining_until_ms = 500.0;
    assert_eq!(fleet.shares(&tried, 1.0), [0, 0, 1000]);
    fleet.record_signals(3, &ServerSignals { retry_after_ms: Some(500.0), ..ServerSignals::default() });
    assert!(fleet.shares(&tried, 1.0)[..2].iter().all(|n| *n > 200));
}

#[test]
fn subject_stays_with_its_endpoint_while_that_has_no_more_than_its_share() {
    let mut fleet = Fleet::with(5, ClientConfig { subject_affinity: true, ..ClientConfig::default() });
    let about = Requirements { subject: 77, ..ANY };
    let counts = fleet.shares(&about, 0.0);
    let own = counts.iter().position(|n| *n == 1000).expect("one endpoint has them all");
    fleet.endpoint(own as u32 + 1).in_flight = 4;
    let moved = fleet.shares(&about, 0.0);
    assert_eq!((moved[own], moved.iter().max().copied()), (0, Some(1000)));
}

#[test]
fn removed_endpoints_serve_until_another_is_connected() {
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
