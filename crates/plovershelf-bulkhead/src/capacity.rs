//! Capacity for one kind of work (runs on the cores, or outbound calls) divided among bulkheads.
//!
//! *Decides*: what each bulkhead may have in flight, and whether one may start one more.
//! *Inputs*: each bulkhead's work in flight, work waiting, present limit; the total.
//! *Rule*: each first gets what is reserved for it, then one unit at a time goes to the bulkhead furthest below its
//! weight, up to the limits, then beyond them up to the maxima. The reserve is left to its owner.
//! *Why*: idle capacity serves whoever waits, and its owner has it back with the next end of work.
//! *Source*: weighted max-min fairness; Nygard, "Release It!", "Bulkheads".
//! *Without it*: a flood of one bulkhead takes the capacity of the others.

use crate::error::CapacityError;

/// Capacity of one bulkhead for one kind of work.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CapacityConfig {
    /// The bulkhead's name.
    pub(crate) name: String,
    /// What it always has where it asks.
    pub(crate) reserved: usize,
    /// The most that it may have.
    pub(crate) max: usize,
    /// Its part of what is left beyond reservations, against the others'.
    pub(crate) weight: f64,
}

/// Capacity that one bulkhead, that of the least valuable requests, always finds: the others may not take the last of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reserve {
    /// The index of the bulkhead that owns it.
    pub bulkhead: usize,
    /// Fraction of the total, from 0 to [`MAX_RESERVE_FRACTION`].
    pub fraction: f64,
}

/// The largest reserve, as a fraction of the total.
const MAX_RESERVE_FRACTION: f64 = 0.5;

impl Reserve {
    /// Whole units of a total.
    pub(crate) fn of(self, total: usize) -> usize {
        (self.fraction * total as f64).ceil() as usize
    }
}

/// How far the second part of an allocation may go for a bulkhead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ceiling {
    /// Its present limit.
    Limit,
    /// Its maximum: what is beyond the limit is borrowed.
    Max,
}

#[derive(Clone, Debug)]
struct Slot {
    config: CapacityConfig,
    /// The present limit, as it adapts.
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

/// The capacity of all bulkheads. Its sum is bounded by the total that was set last; work in flight beyond that, where
/// the total sank, only keeps more from starting.
#[derive(Clone, Debug)]
pub(crate) struct CapacityAllocator {
    slots: Vec<Slot>,
    reserve: Option<Reserve>,
    total: usize,
}

impl CapacityAllocator {
    /// # Errors
    /// No bulkhead, a bad weight or reserve, reservations that are above a maximum or, added up, above the total.
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

    /// Sets the total. During slow start it may lie below the reservations.
    pub(crate) fn set_total(&mut self, total: usize) {
        self.total = total;
    }

    /// Sets a bulkhead's limit, as its adaptive limit has it, within its configuration.
    pub(crate) fn set_limit(&mut self, bulkhead: usize, limit: f64) {
        let slot = &mut self.slots[bulkhead];
        let limit = if limit.is_finite() { limit.max(0.0).floor() as usize } else { slot.config.max };
        slot.limit = limit.clamp(slot.config.reserved, slot.config.max);
    }

    /// Sets how much of a bulkhead waits to start.
    pub(crate) fn set_waiting(&mut self, bulkhead: usize, waiting: usize) {
        self.slots[bulkhead].waiting = waiting;
    }

    /// Sets how much of a bulkhead is in flight, whatever was allowed to start.
    pub(crate) fn set_in_flight(&mut self, bulkhead: usize, in_flight: usize) {
        self.slots[bulkhead].in_flight = in_flight;
    }

    /// Starts one more of a bulkhead if it may; returns whether it did.
    pub(crate) fn try_start(&mut self, bulkhead: usize) -> bool {
        let may_start = self.may_start(bulkhead);
        if may_start {
            let slot = &mut self.slots[bulkhead];
            slot.in_flight += 1;
            slot.waiting = slot.waiting.saturating_sub(1);
        }
        may_start
    }

    /// One of a bulkhead ended.
    pub(crate) fn end(&mut self, bulkhead: usize) {
        self.slots[bulkhead].in_flight = self.slots[bulkhead].in_flight.saturating_sub(1);
    }

    /// Takes in work that started under another plan.
    pub(crate) fn adopt(&mut self, bulkhead: usize, in_flight: usize) {
        self.slots[bulkhead].in_flight += in_flight;
    }

    /// The total that was set last.
    pub(crate) fn total(&self) -> usize {
        self.total
    }

    /// Work of a bulkhead in flight.
    pub(crate) fn in_flight(&self, bulkhead: usize) -> usize {
        self.slots[bulkhead].in_flight
    }

    /// What a bulkhead has beyond its limit, lent to it until the owners ask.
    pub(crate) fn borrowed(&self, bulkhead: usize) -> usize {
        self.slots[bulkhead].in_flight.saturating_sub(self.slots[bulkhead].limit)
    }

    /// What a bulkhead could have if it wanted the total, while the others have and want what they do.
    pub(crate) fn available(&self, bulkhead: usize) -> usize {
        let mut wanted = self.wanted();
        wanted[bulkhead] = self.slots[bulkhead].in_flight + self.total;
        self.allocate(&wanted)[bulkhead].min(self.total.saturating_sub(self.reserved_from(bulkhead)))
    }

    /// Whether a bulkhead may start one more: not where the total or its maximum is reached, nor where what it has lent,
    /// or what others are owed, comes first.
    fn may_start(&self, bulkhead: usize) -> bool {
        let slot = &self.slots[bulkhead];
        if self.total_in_flight() + self.reserved_from(bulkhead) >= self.total
            || slot.in_flight >= slot.config.max
        {
            return false;
        }
        // It wants this one at least, also where it had none waiting.
        let mut wanted = self.wanted();
        wanted[bulkhead] = slot.in_flight + slot.waiting.max(1);
        slot.in_flight < self.allocate(&wanted)[bulkhead]
    }

    fn wanted(&self) -> Vec<usize> {
        self.slots.iter().map(|slot| slot.in_flight + slot.waiting).collect()
    }

    fn total_in_flight(&self) -> usize {
        self.slots.iter().map(|slot| slot.in_flight).sum()
    }

    /// What of the reserve a bulkhead must leave to its owner, as far as the owner has not taken it.
    fn reserved_from(&self, bulkhead: usize) -> usize {
        let Some(reserve) = self.reserve.filter(|reserve| reserve.bulkhead != bulkhead) else { return 0 };
        reserve.of(self.total).min(self.total).saturating_sub(self.slots[reserve.bulkhead].in_flight)
    }

    /// What a bulkhead has before the others' weights count, of what it wants.
    fn reservation(&self, bulkhead: usize, wanted: usize) -> usize {
        let reserve = self.reserve.filter(|reserve| reserve.bulkhead == bulkhead);
        let reserved = reserve.map_or(0, |reserve| reserve.of(self.total));
        wanted.min(self.slots[bulkhead].config.reserved.max(reserved))
    }

    /// Divides the total, given what each bulkhead wants in flight. The sum is the total at most.
    fn allocate(&self, wanted: &[usize]) -> Vec<usize> {
        let mut allocated = vec![0usize; self.slots.len()];
        let mut left = self.allocate_reservations(wanted, &mut allocated);
        for ceiling in [Ceiling::Limit, Ceiling::Max] {
            left = self.allocate_by_weight(wanted, ceiling, left, &mut allocated);
        }
        allocated
    }

    /// Gives one unit to each in turn, so that none goes without for its place where not even the reservations fit, as
    /// during slow start. Returns what is left.
    fn allocate_reservations(&self, wanted: &[usize], allocated: &mut [usize]) -> usize {
        let mut left = self.total;
        loop {
            let mut has_given = false;
            for (bulkhead, allocated) in allocated.iter_mut().enumerate() {
                if left > 0 && *allocated < self.reservation(bulkhead, wanted[bulkhead]) {
                    *allocated += 1;
                    left -= 1;
                    has_given = true;
                }
            }
            if !has_given {
                return left;
            }
        }
    }

    /// Gives one unit at a time to the bulkhead furthest below its weight. Returns what is left.
    fn allocate_by_weight(
        &self,
        wanted: &[usize],
        ceiling: Ceiling,
        mut left: usize,
        allocated: &mut [usize],
    ) -> usize {
        while left > 0 {
            let is_open =
                |place: &usize| allocated[*place] < wanted[*place].min(self.slots[*place].ceiling(ceiling));
            let weighted =
                |place: &usize| (allocated[*place] as f64 + 1.0) / self.slots[*place].config.weight;
            let next =
                (0..allocated.len()).filter(is_open).min_by(|a, b| weighted(a).total_cmp(&weighted(b)));
            let Some(place) = next else { break };
            allocated[place] += 1;
            left -= 1;
        }
        left
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
