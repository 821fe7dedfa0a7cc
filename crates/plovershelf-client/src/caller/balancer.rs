//! Decides which endpoint receives an attempt.
//!
//! Inputs: the state of each endpoint; whether its connections have capacity; the requirements of the call.
//!
//! Rule: the balancer draws two endpoints at random and takes the one with the lower cost (power of two
//! choices). The cost is the number of attempts in flight plus one, multiplied by the latency. Draining
//! endpoints and those of earlier attempts of the call are chosen last. Ejected endpoints and those within
//! their Retry-After are excluded, but ejections are ignored if the fraction of healthy endpoints is below
//! the panic threshold. With subject affinity, the balancer takes the endpoint with the highest hash of
//! subject and address whose load is within a bound (rendezvous hashing with bounded loads). If the better
//! endpoint is not connected, the attempt goes to a connected one while a connection to the better one is
//! opened.
//!
//! Rationale: if all clients chose the least loaded endpoint, they would overload it together; two random
//! draws avoid that with almost the same balance. Without the panic threshold, a fault of the client itself,
//! such as its network, would eject every endpoint. Source: Mitzenmacher, "The Power of Two Choices in
//! Randomized Load Balancing"; panic threshold in Envoy.

use rand::RngExt;
use rand_pcg::Pcg32;

use super::backpressure::AttemptLoad;
use super::endpoint::{Endpoint, EndpointId, Endpoints};
use super::latency::MovingAverage;
use super::subset;
use crate::config::ClientConfig;

/// Latency that is assumed before the first measurement.
const INITIAL_LATENCY_MS: f64 = 1.0;
/// Lower bound of the latency in the cost, so that endpoints with very short latencies are compared by their
/// load.
const MIN_LATENCY_MS: f64 = 0.01;
/// With subject affinity, bound on an endpoint's attempts in flight as a multiple of their mean.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;

/// Capacity of an endpoint's connections for another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Capacity {
    Available,
    /// An attempt has to wait for a connection that is being established or may be opened.
    AfterConnecting,
    None,
}

/// Requirements of a call on its endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Requirements<'a> {
    pub(super) priority: f64,
    /// Key for subject affinity, or 0 if the call has none.
    pub(super) subject: u64,
    /// Endpoints of earlier attempts, which are chosen last.
    pub(super) avoid: &'a [EndpointId],
    /// The only endpoint that may be chosen, if the call is pinned.
    pub(super) only: Option<EndpointId>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Choice {
    Endpoint {
        id: EndpointId,
        /// A better endpoint that has to be connected first.
        connect_also: Option<EndpointId>,
    },
    /// No endpoint can take the call before this time, in milliseconds.
    NotBefore(f64),
    /// The backpressure signals of all endpoints that could take the call exclude it until `until_ms`.
    Backpressure { until_ms: f64 },
    /// No endpoint can take the call.
    NoEndpoint,
}

#[derive(Clone, Copy, PartialEq)]
enum Eligibility {
    Eligible,
    LastResort,
    /// The endpoint takes no attempt before this time, in milliseconds.
    NotBefore(f64),
    /// The endpoint's backpressure signal excludes the call until this time, in milliseconds.
    Backpressure(f64),
    Excluded,
}

#[derive(Debug, Default)]
pub(super) struct Balancer {
    /// Mean latency of all endpoints; the estimate for endpoints without measurements.
    mean_latency: MovingAverage,
}

impl Balancer {
    /// Records the latency of a successful attempt at any endpoint.
    pub(super) fn record_latency(&mut self, latency_ms: f64) {
        self.mean_latency.record(latency_ms);
    }

    /// Chooses the endpoint of an attempt.
    pub(super) fn choose(
        &self,
        now_ms: f64,
        endpoints: &Endpoints,
        requirements: &Requirements<'_>,
        capacity_of: impl Fn(&Endpoint) -> Capacity,
        config: &ClientConfig,
        random: &mut Pcg32,
    ) -> Choice {
        let mean_latency_ms = self.mean_latency.value().unwrap_or(INITIAL_LATENCY_MS);
        let mut selection = Selection {
            now_ms,
            endpoints,
            requirements,
            capacity_of,
            config,
            mean_latency_ms,
            ignores_ejections: false,
        };
        selection.ignores_ejections = selection.is_below_panic_threshold();
        selection.choose(random)
    }
}

/// Inputs of one choice.
struct Selection<'a, F> {
    now_ms: f64,
    endpoints: &'a Endpoints,
    requirements: &'a Requirements<'a>,
    capacity_of: F,
    config: &'a ClientConfig,
    mean_latency_ms: f64,
    ignores_ejections: bool,
}

/// Endpoints by eligibility, and when the others become eligible.
struct Candidates {
    eligible: Vec<EndpointId>,
    last_resort: Vec<EndpointId>,
    /// Earliest time at which another endpoint takes attempts, in milliseconds; infinite if there is none.
    not_before_ms: f64,
    backpressure_until_ms: Option<f64>,
}

impl<F: Fn(&Endpoint) -> Capacity> Selection<'_, F> {
    fn choose(&self, random: &mut Pcg32) -> Choice {
        if let Some(id) = self.better_of_two_available(random) {
            return Choice::Endpoint { id, connect_also: None };
        }
        let candidates = self.candidates(random);
        for group in [candidates.eligible, candidates.last_resort] {
            if let Some(choice) = self.best_of(&group, random) {
                return choice;
            }
        }
        match candidates.backpressure_until_ms {
            Some(until_ms) => Choice::Backpressure { until_ms },
            None if candidates.not_before_ms.is_finite() => Choice::NotBefore(candidates.not_before_ms),
            None => Choice::NoEndpoint,
        }
    }

    /// Fast path: draws two endpoints and returns the cheaper one if both can take the call now. Its cost
    /// does not depend on the size of the subset.
    fn better_of_two_available(&self, random: &mut Pcg32) -> Option<EndpointId> {
        let selected = self.endpoints.selected();
        if self.requirements.only.is_some() || selected.len() <= 2 || self.has_affinity() {
            return None;
        }
        let (first, second) = draw_two(selected, random);
        let available = |id: EndpointId, random: &mut Pcg32| {
            let eligible = self.eligibility(id, random) == Eligibility::Eligible;
            (eligible && self.capacity(id) == Capacity::Available).then_some(id)
        };
        // Evaluate both even if the first is not available, because each evaluation may draw a random number.
        let (first, second) = (available(first, random), available(second, random));
        Some(self.cheaper(first?, second?))
    }

    fn candidates(&self, random: &mut Pcg32) -> Candidates {
        let mut found = Candidates {
            eligible: Vec::new(),
            last_resort: Vec::new(),
            not_before_ms: f64::INFINITY,
            backpressure_until_ms: None,
        };
        let selected = self.endpoints.selected().iter().copied();
        for id in selected.chain(self.removed_candidates()) {
            match self.eligibility(id, random) {
                Eligibility::Eligible => found.eligible.push(id),
                Eligibility::LastResort => found.last_resort.push(id),
                Eligibility::NotBefore(at_ms) => found.not_before_ms = found.not_before_ms.min(at_ms),
                Eligibility::Backpressure(until_ms) => {
                    let earliest_ms = found.backpressure_until_ms.unwrap_or(until_ms).min(until_ms);
                    found.backpressure_until_ms = Some(earliest_ms);
                }
                Eligibility::Excluded => {}
            }
        }
        found
    }

    /// Returns the removed endpoints that may still be used: all of them for a pinned call, else the
    /// connected ones until an endpoint of the subset is available or `make_before_break_ms` has elapsed.
    fn removed_candidates(&self) -> Vec<EndpointId> {
        let is_pinned = self.requirements.only.is_some();
        let is_available = |id: &EndpointId| self.capacity(*id) == Capacity::Available;
        if !is_pinned && self.endpoints.selected().iter().any(is_available) {
            return Vec::new();
        }
        let is_usable = |endpoint: &Endpoint| {
            let in_time = |removed_at_ms: f64| self.now_ms - removed_at_ms < self.config.make_before_break_ms;
            let connected = !endpoint.connections.is_empty();
            let removed_at_ms = endpoint.removed_at_ms;
            removed_at_ms.is_some_and(|removed_at_ms| is_pinned || (in_time(removed_at_ms) && connected))
        };
        let all = self.endpoints.iter();
        all.filter(|(_, endpoint)| is_usable(endpoint)).map(|(id, _)| id).collect()
    }

    /// Returns whether an endpoint can take the call. May draw random numbers.
    fn eligibility(&self, id: EndpointId, random: &mut Pcg32) -> Eligibility {
        let Some(endpoint) = self.endpoints.get(id) else { return Eligibility::Excluded };
        let Requirements { priority, avoid, only, .. } = *self.requirements;
        if only.is_some_and(|only| only != id) {
            return Eligibility::Excluded;
        }
        let retry_after_until_ms = endpoint.backpressure.retry_after_until_ms();
        if retry_after_until_ms > self.now_ms {
            return Eligibility::NotBefore(retry_after_until_ms);
        }
        if endpoint.reconnect_at_ms > self.now_ms && endpoint.connections.is_empty() {
            return Eligibility::NotBefore(endpoint.reconnect_at_ms);
        }
        if !self.ignores_ejections && !endpoint.breaker.admits(self.now_ms, self.config, random) {
            return Eligibility::NotBefore(self.ejected_until(endpoint));
        }
        let load = AttemptLoad { priority, in_flight: endpoint.in_flight };
        let excluded_until = endpoint.backpressure.excludes_until(self.now_ms, load, self.config, random);
        if let Some(until_ms) = excluded_until {
            return Eligibility::Backpressure(until_ms);
        }
        if endpoint.draining_until_ms > self.now_ms || (only.is_none() && avoid.contains(&id)) {
            Eligibility::LastResort
        } else {
            Eligibility::Eligible
        }
    }

    /// Returns the earliest time at which an ejected endpoint may admit an attempt, in milliseconds.
    fn ejected_until(&self, endpoint: &Endpoint) -> f64 {
        let admits_from = endpoint.breaker.admits_from(self.now_ms);
        admits_from.map_or(self.now_ms + self.config.sweep_interval_ms, |at_ms| at_ms.max(self.now_ms + 1.0))
    }

    /// Chooses among equally eligible endpoints; `None` if none has capacity.
    fn best_of(&self, group: &[EndpointId], random: &mut Pcg32) -> Option<Choice> {
        let with_capacity = |capacity: Capacity| -> Vec<EndpointId> {
            group.iter().copied().filter(|id| self.capacity(*id) == capacity).collect()
        };
        let available = with_capacity(Capacity::Available);
        let usable = [available.clone(), with_capacity(Capacity::AfterConnecting)].concat();
        if self.has_affinity() {
            // The call waits for a connection to the endpoint of its subject and does not go to another one.
            let id = self.choose_by_subject(&usable)?;
            return Some(Choice::Endpoint { id, connect_also: None });
        }
        let best = self.better_of_two(&usable, random)?;
        if available.is_empty() || available.contains(&best) {
            return Some(Choice::Endpoint { id: best, connect_also: None });
        }
        let id = self.better_of_two(&available, random)?;
        Some(Choice::Endpoint { id, connect_also: Some(best) })
    }

    /// Chooses by rendezvous hashing with bounded loads.
    fn choose_by_subject(&self, usable: &[EndpointId]) -> Option<EndpointId> {
        let in_flight = |id: &EndpointId| self.endpoints.get(*id).map_or(0, |endpoint| endpoint.in_flight);
        let total: usize = usable.iter().map(in_flight).sum();
        let max_in_flight = AFFINITY_LOAD_FACTOR * (total as f64 + 1.0) / usable.len().max(1) as f64 + 1.0;
        let weight = |id: &&EndpointId| {
            let address_hash =
                self.endpoints.get(**id).map_or(0, |endpoint| subset::address_hash(&endpoint.address));
            subset::mix_bits(self.requirements.subject ^ address_hash)
        };
        let below_bound = usable.iter().filter(|id| (in_flight(id) as f64) < max_in_flight);
        below_bound.max_by_key(weight).or(usable.first()).copied()
    }

    fn better_of_two(&self, from: &[EndpointId], random: &mut Pcg32) -> Option<EndpointId> {
        if from.len() < 2 {
            return from.first().copied();
        }
        let (first, second) = draw_two(from, random);
        Some(self.cheaper(first, second))
    }

    fn cheaper(&self, first: EndpointId, second: EndpointId) -> EndpointId {
        if self.cost(first) <= self.cost(second) {
            first
        } else {
            second
        }
    }

    fn cost(&self, id: EndpointId) -> f64 {
        let Some(endpoint) = self.endpoints.get(id) else { return f64::INFINITY };
        let latency_ms = endpoint.latency.estimate_ms(self.now_ms, self.mean_latency_ms);
        (endpoint.in_flight as f64 + 1.0) * latency_ms.max(MIN_LATENCY_MS)
    }

    fn capacity(&self, id: EndpointId) -> Capacity {
        self.endpoints.get(id).map_or(Capacity::None, &self.capacity_of)
    }

    fn has_affinity(&self) -> bool {
        self.config.subject_affinity && self.requirements.subject != 0
    }

    /// Returns whether the fraction of healthy endpoints in the subset is below the panic threshold.
    fn is_below_panic_threshold(&self) -> bool {
        let selected = self.endpoints.selected();
        let is_healthy = |id: &&EndpointId| {
            self.endpoints.get(**id).is_some_and(|endpoint| endpoint.breaker.is_healthy(self.now_ms))
        };
        let healthy = selected.iter().filter(is_healthy).count();
        (healthy as f64) < self.config.panic_threshold * selected.len() as f64
    }
}

/// Draws two different endpoints from a slice of at least two.
fn draw_two(from: &[EndpointId], random: &mut Pcg32) -> (EndpointId, EndpointId) {
    let first = random.random_range(0..from.len());
    let second = (first + 1 + random.random_range(0..from.len() - 1)) % from.len();
    (from[first], from[second])
}

#[cfg(test)]
mod tests;
