//! Division among bulkheads of the capacity for one kind of work (runs on the cores, or outbound calls).
//!
//! *Decides*: how much work each bulkhead may have in flight, and whether one more unit may start.
//! *Inputs*: each bulkhead's work in flight, waiting work and current limit; the total.
//! *Rule*: each bulkhead first gets its reservation. The rest is given unit by unit to the bulkhead furthest below its
//! weight, first up to the limits, then beyond them up to the maxima. The reserve is left to its owner.
//! *Why*: idle capacity serves waiting work of any bulkhead, and its owner gets it back as soon as work ends.
//! *Source*: weighted max-min fairness; Nygard, "Release It!", "Bulkheads".
//! *Without it*: a flood of one bulkhead takes the capacity of the others.

use crate::error::CapacityError;

/// Configured capacity of one bulkhead for one kind of work.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CapacityConfig {
    /// Name of the bulkhead.
    pub(crate) name: String,
    /// Number of units of work guaranteed on demand.
    pub(crate) reserved: usize,
    /// Maximum number of units of work in flight.
    pub(crate) max: usize,
    /// Relative weight in the division of the capacity beyond reservations.
    pub(crate) weight: f64,
}

/// Capacity set aside for one bulkhead, that of the least valuable requests; other bulkheads may not use it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reserve {
    /// Index of the bulkhead that owns the reserve.
    pub bulkhead: usize,
    /// Fraction of the total, from 0 to [`MAX_RESERVE_FRACTION`].
    pub fraction: f64,
}

/// The largest reserve, as a fraction of the total.
const MAX_RESERVE_FRACTION: f64 = 0.5;

impl Reserve {
    /// Returns the reserve of a total in whole units, rounded up.
    pub(crate) fn units_of(self, total: usize) -> usize {
        (self.fraction * total as f64).ceil() as usize
    }
}

/// Upper bound for a bulkhead in a round of the weighted allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ceiling {
    /// The current limit.
    Limit,
    /// The configured maximum; work above the limit is borrowed capacity.
    Max,
}

#[derive(Clone, Debug)]
struct Slot {
    config: CapacityConfig,
    /// Current adaptive limit, in units of work in flight.
    limit: usize,
    in_flight: usize,
    waiting: usize,
}

impl Slot {
    fn ceiling(&self, ceiling: Ceiling) -> usize {
        match ceiling {
            Ceiling::Limit => self.limit,
            Ceiling::Max => self.config.max,
        }
    }
}

/// Capacity of all bulkheads, whose sum is bounded by the current total. If the total falls below the work in flight,
/// that work continues and nothing more starts.
#[derive(Clone, Debug)]
pub(crate) struct CapacityAllocator {
    slots: Vec<Slot>,
    reserve: Option<Reserve>,
    total: usize,
}

impl CapacityAllocator {
    /// # Errors
    /// Fails without bulkheads, for an invalid weight or reserve, and for reservations above a maximum or, in sum, above
    /// the total.
    pub(crate) fn new(
        configs: Vec<CapacityConfig>,
        reserve: Option<Reserve>,
        total: usize,
    ) -> Result<Self, CapacityError> {
        validate(&configs, reserve, total)?;
        let slots =
            configs.into_iter().map(|config| Slot { limit: config.max, config, in_flight: 0, waiting: 0 });
        Ok(CapacityAllocator { slots: slots.collect(), reserve, total })
    }

    /// Sets the total, which may be below the reservations during slow start.
    pub(crate) fn set_total(&mut self, total: usize) {
        self.total = total;
    }

    /// Sets a bulkhead's current limit, clamped to its reservation and maximum.
    pub(crate) fn set_limit(&mut self, bulkhead: usize, limit: f64) {
        let slot = &mut self.slots[bulkhead];
        let limit = if limit.is_finite() { limit.max(0.0).floor() as usize } else { slot.config.max };
        slot.limit = limit.clamp(slot.config.reserved, slot.config.max);
    }

    /// Sets the amount of a bulkhead's work that waits to start.
    pub(crate) fn set_waiting(&mut self, bulkhead: usize, waiting: usize) {
        self.slots[bulkhead].waiting = waiting;
    }

    /// Sets a bulkhead's work in flight, regardless of what was allowed to start.
    pub(crate) fn set_in_flight(&mut self, bulkhead: usize, in_flight: usize) {
        self.slots[bulkhead].in_flight = in_flight;
    }

    /// Starts one unit of work of a bulkhead if that is allowed; returns whether it started.
    pub(crate) fn try_start(&mut self, bulkhead: usize) -> bool {
        let may_start = self.may_start(bulkhead);
        if may_start {
            let slot = &mut self.slots[bulkhead];
            slot.in_flight += 1;
            slot.waiting = slot.waiting.saturating_sub(1);
        }
        may_start
    }

    /// Ends one unit of work of a bulkhead.
    pub(crate) fn end(&mut self, bulkhead: usize) {
        self.slots[bulkhead].in_flight = self.slots[bulkhead].in_flight.saturating_sub(1);
    }

    /// Adds work that started under another plan.
    pub(crate) fn add_in_flight(&mut self, bulkhead: usize, in_flight: usize) {
        self.slots[bulkhead].in_flight += in_flight;
    }

    /// Returns the current total.
    pub(crate) fn total(&self) -> usize {
        self.total
    }

    /// Returns the work in flight of a bulkhead.
    pub(crate) fn in_flight(&self, bulkhead: usize) -> usize {
        self.slots[bulkhead].in_flight
    }

    /// Returns the work in flight of a bulkhead above its limit, which uses capacity lent by others.
    pub(crate) fn borrowed(&self, bulkhead: usize) -> usize {
        self.slots[bulkhead].in_flight.saturating_sub(self.slots[bulkhead].limit)
    }

    /// Returns the capacity of a bulkhead if it wanted the total while the others' work and demand stayed the same.
    pub(crate) fn available(&self, bulkhead: usize) -> usize {
        let mut demand = self.demand();
        demand[bulkhead] = self.slots[bulkhead].in_flight + self.total;
        self.allocate(&demand)[bulkhead].min(self.total.saturating_sub(self.reserved_from(bulkhead)))
    }

    /// Returns whether a bulkhead may start one more unit of work: the total and its maximum must not be reached, and
    /// the demand of other bulkheads must leave it the capacity.
    fn may_start(&self, bulkhead: usize) -> bool {
        let slot = &self.slots[bulkhead];
        if self.total_in_flight() + self.reserved_from(bulkhead) >= self.total
            || slot.in_flight >= slot.config.max
        {
            return false;
        }
        // The bulkhead wants at least this unit, even if none was reported as waiting.
        let mut demand = self.demand();
        demand[bulkhead] = slot.in_flight + slot.waiting.max(1);
        slot.in_flight < self.allocate(&demand)[bulkhead]
    }

    fn demand(&self) -> Vec<usize> {
        self.slots.iter().map(|slot| slot.in_flight + slot.waiting).collect()
    }

    fn total_in_flight(&self) -> usize {
        self.slots.iter().map(|slot| slot.in_flight).sum()
    }

    /// Returns the unused part of the reserve that a bulkhead must leave to the reserve's owner.
    fn reserved_from(&self, bulkhead: usize) -> usize {
        let Some(reserve) = self.reserve.filter(|reserve| reserve.bulkhead != bulkhead) else { return 0 };
        reserve.units_of(self.total).min(self.total).saturating_sub(self.slots[reserve.bulkhead].in_flight)
    }

    /// Returns the part of a bulkhead's demand that is allocated before the weights apply.
    fn reservation(&self, bulkhead: usize, demand: usize) -> usize {
        let reserve = self.reserve.filter(|reserve| reserve.bulkhead == bulkhead);
        let reserved = reserve.map_or(0, |reserve| reserve.units_of(self.total));
        demand.min(self.slots[bulkhead].config.reserved.max(reserved))
    }

    /// Divides the total among the demands of all bulkheads. The sum of the result is at most the total.
    fn allocate(&self, demand: &[usize]) -> Vec<usize> {
        let mut allocated = vec![0usize; self.slots.len()];
        let mut remaining = self.allocate_reservations(demand, &mut allocated);
        for ceiling in [Ceiling::Limit, Ceiling::Max] {
            remaining = self.allocate_by_weight(demand, ceiling, remaining, &mut allocated);
        }
        allocated
    }

    /// Allocates reservations one unit per bulkhead in turn, so that no bulkhead starves because of its position when
    /// the total is below the reservations, as during slow start. Returns the remaining capacity.
    fn allocate_reservations(&self, demand: &[usize], allocated: &mut [usize]) -> usize {
        let mut remaining = self.total;
        loop {
            let mut has_allocated = false;
            for (bulkhead, allocated) in allocated.iter_mut().enumerate() {
                if remaining > 0 && *allocated < self.reservation(bulkhead, demand[bulkhead]) {
                    *allocated += 1;
                    remaining -= 1;
                    has_allocated = true;
                }
            }
            if !has_allocated {
                return remaining;
            }
        }
    }

    /// Allocates one unit at a time to the bulkhead furthest below its weight. Returns the remaining capacity.
    fn allocate_by_weight(
        &self,
        demand: &[usize],
        ceiling: Ceiling,
        mut remaining: usize,
        allocated: &mut [usize],
    ) -> usize {
        while remaining > 0 {
            let can_grow =
                |index: &usize| allocated[*index] < demand[*index].min(self.slots[*index].ceiling(ceiling));
            let weighted =
                |index: &usize| (allocated[*index] as f64 + 1.0) / self.slots[*index].config.weight;
            let next =
                (0..allocated.len()).filter(can_grow).min_by(|a, b| weighted(a).total_cmp(&weighted(b)));
            let Some(index) = next else { break };
            allocated[index] += 1;
            remaining -= 1;
        }
        remaining
    }
}

fn validate(configs: &[CapacityConfig], reserve: Option<Reserve>, total: usize) -> Result<(), CapacityError> {
    if configs.is_empty() {
        return Err(CapacityError::NoBulkhead);
    }
    for CapacityConfig { name, reserved, max, weight } in configs {
        if !(weight.is_finite() && *weight > 0.0) {
            return Err(CapacityError::BadWeight { bulkhead: name.clone(), weight: *weight });
        }
        if reserved > max {
            let (bulkhead, reserved, max) = (name.clone(), *reserved, *max);
            return Err(CapacityError::ReservedAboveMax { bulkhead, reserved, max });
        }
    }
    if let Some(Reserve { bulkhead, fraction }) = reserve {
        if bulkhead >= configs.len() || !(0.0..=MAX_RESERVE_FRACTION).contains(&fraction) {
            return Err(CapacityError::BadReserve { fraction });
        }
    }
    let reserved: usize = configs.iter().map(|config| config.reserved).sum();
    if reserved > total {
        return Err(CapacityError::ReservedAboveTotal { reserved, total });
    }
    Ok(())
}

#[cfg(test)]
mod tests;
