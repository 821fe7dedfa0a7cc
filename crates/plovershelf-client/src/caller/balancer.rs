//! Decides which endpoint an attempt goes to.
//!
//! Inputs: what is known of each endpoint; whether a connection there has capacity; what the call requires.
//!
//! Rule: of two endpoints drawn at random, the one with the lower cost, which is its attempts in flight plus one, times its
//! latency (power of two choices). Endpoints that drain or had an earlier attempt of the call are taken last; ejected ones, and those
//! in their Retry-After, not at all. With fewer healthy endpoints than the panic threshold, ejections are ignored. With subject
//! affinity the endpoint with the highest hash of subject and address is taken, unless it has more than its share (rendezvous
//! hashing with bounded loads). Where the better endpoint is not connected, the call goes to a connected one, and a connection to the
//! better one is made beside it.
//!
//! Why: clients that all know the same least loaded endpoint run to it together; two draws avoid that at almost the same
//! balance. Without the panic threshold a client's own trouble would leave it no endpoint at all. Source: Mitzenmacher, "The Power of
//! Two Choices in Randomized Load Balancing"; panic threshold in Envoy.

use rand::RngExt;
use rand_pcg::Pcg32;

use super::backpressure::AddedLoad;
use super::endpoint::{Endpoint, EndpointId, Endpoints};
use super::latency::MovingAverage;
use super::subset;
use crate::config::ClientConfig;

/// Latency that is assumed before any was measured.
const INITIAL_LATENCY_MS: f64 = 1.0;
/// Below this, latencies are not told apart.
const MIN_LATENCY_MS: f64 = 0.01;
/// With subject affinity an endpoint takes this many times the mean of attempts in flight.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;

/// Can an attempt be written to an endpoint?
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Capacity {
    Available,
    /// Once a connection is established that is being made, or may be.
    AfterConnecting,
    None,
}

/// What a call requires of its endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Requirements<'a> {
    pub(super) priority: f64,
    /// 0 for none.
    pub(super) subject: u64,
    /// Endpoints of earlier attempts.
    pub(super) avoid: &'a [EndpointId],
    /// No other endpoint will do.
    pub(super) only: Option<EndpointId>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Choice {
    Endpoint {
        id: EndpointId,
        /// The one that would have been better, were it connected.
        connect_also: Option<EndpointId>,
    },
    /// No endpoint takes it before this time.
    NotBefore(f64),
    /// Endpoints that could take it advise against it until this time.
    AdvisedAgainst { until_ms: f64 },
    /// No endpoint takes it.
    NoEndpoint,
}

#[derive(Clone, Copy, PartialEq)]
enum Eligibility {
    Eligible,
    LastResort,
    NotBefore(f64),
    AdvisedAgainst(f64),
    Excluded,
}

#[derive(Debug, Default)]
pub(super) struct Balancer {
    /// Latency over all endpoints, for those of which nothing is known.
    usual_latency: MovingAverage,
}

impl Balancer {
    /// An attempt at any endpoint succeeded.
    pub(super) fn record_latency(&mut self, took_ms: f64) {
        self.usual_latency.record(took_ms);
    }

    pub(super) fn choose(
        &self,
        now_ms: f64,
        endpoints: &Endpoints,
        requirements: &Requirements<'_>,
        capacity_of: impl Fn(&Endpoint) -> Capacity,
        config: &ClientConfig,
        random: &mut Pcg32,
    ) -> Choice {
        let usual_latency_ms = self.usual_latency.value().unwrap_or(INITIAL_LATENCY_MS);
        let mut selection = Selection {
            now_ms,
            endpoints,
            requirements,
            capacity_of,
            config,
            usual_latency_ms,
            ignores_ejections: false,
        };
        selection.ignores_ejections = selection.too_few_are_healthy();
        selection.choose(random)
    }
}

/// One choice, with all that it depends on.
struct Selection<'a, F> {
    now_ms: f64,
    endpoints: &'a Endpoints,
    requirements: &'a Requirements<'a>,
    capacity_of: F,
    config: &'a ClientConfig,
    usual_latency_ms: f64,
    ignores_ejections: bool,
}

/// Endpoints by eligibility, and what the others wait for.
struct Candidates {
    eligible: Vec<EndpointId>,
    last_resort: Vec<EndpointId>,
    not_before_ms: f64,
    advised_until_ms: Option<f64>,
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
        match candidates.advised_until_ms {
            Some(until_ms) => Choice::AdvisedAgainst { until_ms },
            None if candidates.not_before_ms.is_finite() => Choice::NotBefore(candidates.not_before_ms),
            None => Choice::NoEndpoint,
        }
    }

    /// The ordinary path, whose cost does not grow with the subset: two at random, if both can take the call now.
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
        // Both are asked in any case: each asking may draw.
        let (first, second) = (available(first, random), available(second, random));
        Some(self.cheaper(first?, second?))
    }

    fn candidates(&self, random: &mut Pcg32) -> Candidates {
        let mut found = Candidates {
            eligible: Vec::new(),
            last_resort: Vec::new(),
            not_before_ms: f64::INFINITY,
            advised_until_ms: None,
        };
        let selected = self.endpoints.selected().iter().copied();
        for id in selected.chain(self.removed_candidates()) {
            match self.eligibility(id, random) {
                Eligibility::Eligible => found.eligible.push(id),
                Eligibility::LastResort => found.last_resort.push(id),
                Eligibility::NotBefore(at_ms) => found.not_before_ms = found.not_before_ms.min(at_ms),
                Eligibility::AdvisedAgainst(until_ms) => {
                    found.advised_until_ms = Some(found.advised_until_ms.unwrap_or(until_ms).min(until_ms));
                }
                Eligibility::Excluded => {}
            }
        }
        found
    }

    /// Endpoints that left the subset: where no other is connected, or where the call can go nowhere else.
    fn removed_candidates(&self) -> Vec<EndpointId> {
        let is_pinned = self.requirements.only.is_some();
        let is_available = |id: &EndpointId| self.capacity(*id) == Capacity::Available;
        if !is_pinned && self.endpoints.selected().iter().any(is_available) {
            return Vec::new();
        }
        let still_serves = |endpoint: &Endpoint| {
            let in_time = |since: f64| self.now_ms - since < self.config.make_before_break_ms;
            let connected = !endpoint.connections.is_empty();
            endpoint.removed_ms.is_some_and(|since| is_pinned || (in_time(since) && connected))
        };
        let all = self.endpoints.iter();
        all.filter(|(_, endpoint)| still_serves(endpoint)).map(|(id, _)| id).collect()
    }

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
        let load = AddedLoad { priority, in_flight: endpoint.in_flight };
        let advised = endpoint.backpressure.advises_against_until(self.now_ms, load, self.config, random);
        if let Some(until_ms) = advised {
            return Eligibility::AdvisedAgainst(until_ms);
        }
        if endpoint.draining_until_ms > self.now_ms || (only.is_none() && avoid.contains(&id)) {
            Eligibility::LastResort
        } else {
            Eligibility::Eligible
        }
    }

    fn ejected_until(&self, endpoint: &Endpoint) -> f64 {
        let admits_from = endpoint.breaker.admits_from(self.now_ms);
        admits_from.map_or(self.now_ms + self.config.sweep_interval_ms, |at_ms| at_ms.max(self.now_ms + 1.0))
    }

    fn best_of(&self, group: &[EndpointId], random: &mut Pcg32) -> Option<Choice> {
        let with = |capacity: Capacity| -> Vec<EndpointId> {
            group.iter().copied().filter(|id| self.capacity(*id) == capacity).collect()
        };
        let available = with(Capacity::Available);
        let usable = [available.clone(), with(Capacity::AfterConnecting)].concat();
        if self.has_affinity() {
            // It waits for the connection to the subject's own endpoint rather than go to another.
            let id = self.of_subject(&usable)?;
            return Some(Choice::Endpoint { id, connect_also: None });
        }
        let best = self.better_of_two(&usable, random)?;
        if available.is_empty() || available.contains(&best) {
            return Some(Choice::Endpoint { id: best, connect_also: None });
        }
        let id = self.better_of_two(&available, random)?;
        Some(Choice::Endpoint { id, connect_also: Some(best) })
    }

    fn of_subject(&self, usable: &[EndpointId]) -> Option<EndpointId> {
        let in_flight = |id: &EndpointId| self.endpoints.get(*id).map_or(0, |endpoint| endpoint.in_flight);
        let sum: usize = usable.iter().map(in_flight).sum();
        let most = AFFINITY_LOAD_FACTOR * (sum as f64 + 1.0) / usable.len().max(1) as f64 + 1.0;
        let weight = |id: &&EndpointId| {
            let address_hash =
                self.endpoints.get(**id).map_or(0, |endpoint| subset::address_hash(&endpoint.address));
            subset::mix_bits(self.requirements.subject ^ address_hash)
        };
        let below_bound = usable.iter().filter(|id| (in_flight(id) as f64) < most);
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
        let latency_ms = endpoint.latency.estimate_ms(self.now_ms, self.usual_latency_ms);
        (endpoint.in_flight as f64 + 1.0) * latency_ms.max(MIN_LATENCY_MS)
    }

    fn capacity(&self, id: EndpointId) -> Capacity {
        self.endpoints.get(id).map_or(Capacity::None, &self.capacity_of)
    }

    fn has_affinity(&self) -> bool {
        self.config.subject_affinity && self.requirements.subject != 0
    }

    fn too_few_are_healthy(&self) -> bool {
        let selected = self.endpoints.selected();
        let is_healthy = |id: &&EndpointId| {
            self.endpoints.get(**id).is_some_and(|endpoint| endpoint.breaker.looks_healthy(self.now_ms))
        };
        let healthy = selected.iter().filter(is_healthy).count();
        (healthy as f64) < self.config.panic_threshold * selected.len() as f64
    }
}

/// Two different places of at least two.
fn draw_two(from: &[EndpointId], random: &mut Pcg32) -> (EndpointId, EndpointId) {
    let first = random.random_range(0..from.len());
    let second = (first + 1 + random.random_range(0..from.len() - 1)) % from.len();
    (from[first], from[second])
}

#[cfg(test)]
mod tests;
