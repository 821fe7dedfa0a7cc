//! What a caller knows of each member, and which of them a call goes to.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use plovershelf::api::BackpressureSignal;
use plovershelf_codec::front::ServerSignals;
use rand::RngExt;
use rand_pcg::Pcg32;

use super::circuit_breaker::Breaker;
use super::latency::Mean;
use super::subset;
use super::LinkId;
use crate::config::Terms;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberId(pub u32);

#[derive(Debug)]
pub struct Member {
    pub address: SocketAddr,
    /// Since when it is not among the chosen any more.
    pub left_since: Option<f64>,
    pub outstanding: usize,
    pub links: Vec<LinkId>,
    pub breaker: Breaker,
    mean: Mean,
    learnt_at: f64,
    /// It said so, or closes connections in use.
    pub away_until: f64,
    pub leaving_until: f64,
    advice: Option<(f64, f64)>,
    /// After a loss: how many in a row without a word from it, and when it is met again.
    pub losses: u32,
    pub rest_until: f64,
}

impl Member {
    fn new(address: SocketAddr) -> Self {
        Member {
            address,
            left_since: None,
            outstanding: 0,
            links: Vec::new(),
            breaker: Breaker::default(),
            mean: Mean::default(),
            learnt_at: 0.0,
            away_until: 0.0,
            leaving_until: 0.0,
            advice: None,
            losses: 0,
            rest_until: 0.0,
        }
    }

    /// What it says of itself counts for itself alone.
    pub fn told(&mut self, now: f64, words: &ServerSignals, terms: &Terms) {
        if let Some(value) = words.backpressure {
            self.advice = Some((value, now + terms.heeded_ms));
        }
        if let Some(span) = words.retry_after_ms {
            self.away_until = self.away_until.max(now + span.min(terms.cool_down_most_ms));
        }
    }

    /// The value that counts now, and until when.
    pub fn advice(&self, now: f64) -> Option<(f64, f64)> {
        self.advice.filter(|(_, until)| *until > now)
    }
}

/// Can a call be written to a member?
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Room {
    Now,
    /// After a connection that is being made, or may be.
    Soon,
    None,
}

/// What a call asks of the member it goes to.
#[derive(Clone, Copy, Debug)]
pub struct Wants<'a> {
    pub rank: f64,
    pub subject: u64,
    /// Members of earlier tries, taken only where there is no other.
    pub avoid: &'a [MemberId],
    /// Only this one will do.
    pub only: Option<MemberId>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// `warm` would have been better, were it connected: it should be.
    Member { id: MemberId, warm: Option<MemberId> },
    /// Nobody takes it before this time.
    After(f64),
    /// Members that could take it advise against calls like it; the advice is over at this time.
    Declined(f64),
    /// Nobody will.
    Nobody,
}

#[derive(Clone, Copy, PartialEq)]
enum Willing {
    Yes,
    /// Only where nobody else is.
    AtLast,
    After(f64),
    Declined(f64),
    Never,
}

#[derive(Debug, Default)]
pub struct Members {
    table: BTreeMap<MemberId, Member>,
    /// Those that calls go to.
    chosen: Vec<MemberId>,
    last_id: u32,
    /// What calls take anywhere, for members of which nothing is known of late.
    usual: Mean,
}

impl Members {
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.table.get(&id)
    }

    pub fn get_mut(&mut self, id: MemberId) -> Option<&mut Member> {
        self.table.get_mut(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.table.iter().map(|(id, member)| (*id, member))
    }

    #[cfg(test)]
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (MemberId, &mut Member)> {
        self.table.iter_mut().map(|(id, member)| (*id, member))
    }

    /// A call took so long there.
    pub fn learn(&mut self, now: f64, id: MemberId, took_ms: f64) {
        self.usual.learn(took_ms);
        if let Some(member) = self.table.get_mut(&id) {
            member.mean.learn(took_ms);
            member.learnt_at = now;
        }
    }

    pub fn chosen(&self) -> &[MemberId] {
        &self.chosen
    }

    /// Takes a new list. Those that stay keep all that is known of them; those that left go when nothing is out there.
    pub fn replace(&mut self, now: f64, chosen: &[SocketAddr]) {
        self.chosen.clear();
        for address in chosen {
            let known = self.table.iter().find(|(_, member)| member.address == *address).map(|(id, _)| *id);
            let id = known.unwrap_or_else(|| {
                self.last_id += 1;
                self.table.insert(MemberId(self.last_id), Member::new(*address));
                MemberId(self.last_id)
            });
            self.chosen.push(id);
        }
        for (id, member) in &mut self.table {
            let stays = self.chosen.contains(id);
            member.left_since = if stays { None } else { member.left_since.or(Some(now)) };
        }
    }

    pub fn forget(&mut self, id: MemberId) {
        self.table.remove(&id);
    }

    /// Members that look well are so few that breakers are not believed.
    fn list_is_believed(&self, now: f64, terms: &Terms) -> bool {
        let well = self.chosen.iter().filter(|id| self.table[id].breaker.looks_well(now)).count();
        (well as f64) < terms.believe_list_under * self.chosen.len() as f64
    }

    /// Outstanding work by the time that calls take there of late. What was learnt long ago counts for little, so that
    /// one that was slow once is tried again.
    fn cost(&self, now: f64, id: MemberId) -> f64 {
        let member = &self.table[&id];
        let usual_ms = self.usual.value().unwrap_or(1.0);
        let weight = (-(now - member.learnt_at).max(0.0) / 5000.0).exp();
        let own = member.mean.value().unwrap_or(usual_ms);
        (member.outstanding as f64 + 1.0) * (usual_ms + weight * (own - usual_ms)).max(0.01)
    }

    fn willing(
        &self,
        now: f64,
        id: MemberId,
        wants: &Wants<'_>,
        believed: bool,
        terms: &Terms,
        chance: &mut Pcg32,
    ) -> Willing {
        let Some(member) = self.table.get(&id) else { return Willing::Never };
        if wants.only.is_some_and(|only| only != id) {
            return Willing::Never;
        }
        if member.away_until > now {
            return Willing::After(member.away_until);
        }
        if member.rest_until > now && member.links.is_empty() {
            return Willing::After(member.rest_until);
        }
        if !believed && !member.breaker.admits(now, terms, chance) {
            return Willing::After(
                member.breaker.opens_at(now).map_or(now + terms.sweep_ms, |at| at.max(now + 1.0)),
            );
        }
        if let Some((value, until)) = member.advice(now) {
            let declines = match terms.advice {
                BackpressureSignal::None => false,
                BackpressureSignal::MinimumPriority => wants.rank < value,
                // A fraction counts by chance.
                BackpressureSignal::ConcurrencyPerClient => {
                    let more = f64::from(chance.random::<f64>() < value.fract());
                    member.outstanding as f64 >= value.floor() + more
                }
                BackpressureSignal::RateFraction => chance.random::<f64>() >= value,
            };
            if declines {
                return Willing::Declined(until);
            }
        }
        let last = member.leaving_until > now || (wants.only.is_none() && wants.avoid.contains(&id));
        if last {
            Willing::AtLast
        } else {
            Willing::Yes
        }
    }

    /// The member that a call goes to. `room` tells of each whether one more call can be written there.
    pub fn choose(
        &self,
        now: f64,
        wants: &Wants<'_>,
        room: impl Fn(&Member) -> Room,
        terms: &Terms,
        chance: &mut Pcg32,
    ) -> Choice {
        let believed = self.list_is_believed(now, terms);
        let ask =
            |id: MemberId, chance: &mut Pcg32| match self.willing(now, id, wants, believed, terms, chance) {
                Willing::Yes if room(&self.table[&id]) == Room::Now => Some(id),
                _ => None,
            };
        let count = self.chosen.len();
        // The ordinary path: two at random, both can take it.
        if wants.only.is_none() && count > 2 && !(terms.by_subject && wants.subject != 0) {
            let first = chance.random_range(0..count);
            let second = (first + 1 + chance.random_range(0..count - 1)) % count;
            if let (Some(a), Some(b)) = (ask(self.chosen[first], chance), ask(self.chosen[second], chance)) {
                let better = self.cost(now, a) <= self.cost(now, b);
                return Choice::Member { id: if better { a } else { b }, warm: None };
            }
        }
        // Else all that there are, those that have left the list where nobody else is connected.
        let connected = |id: &MemberId| room(&self.table[id]) == Room::Now;
        let bridge = wants.only.is_some() || !self.chosen.iter().any(connected);
        let left = |member: &Member| {
            member
                .left_since
                .is_some_and(|since| now - since < terms.make_before_break_ms || wants.only.is_some())
        };
        let gone = self.table.iter().filter(|(_, member)| {
            bridge && left(member) && (wants.only.is_some() || !member.links.is_empty())
        });
        let all: Vec<MemberId> = self.chosen.iter().copied().chain(gone.map(|(id, _)| *id)).collect();
        let (mut good, mut last) = (Vec::new(), Vec::new());
        let (mut after, mut declined) = (f64::INFINITY, None);
        for id in all {
            match self.willing(now, id, wants, believed, terms, chance) {
                Willing::Yes => good.push(id),
                Willing::AtLast => last.push(id),
                Willing::After(at) => after = after.min(at),
                Willing::Declined(until) => declined = Some(declined.unwrap_or(until).min(until)),
                Willing::Never => {}
            }
        }
        for group in [good, last] {
            if let Some((id, warm)) = self.best(now, group, wants, &room, terms, chance) {
                return Choice::Member { id, warm };
            }
        }
        match (declined, after.is_finite()) {
            (Some(until), _) => Choice::Declined(until),
            (None, true) => Choice::After(after),
            (None, false) => Choice::Nobody,
        }
    }

    /// The best of those that would take a call: the subject's own, or the less loaded of two at random. Where that is not
    /// connected, the better of two that are, and beside it the one that should be.
    fn best(
        &self,
        now: f64,
        group: Vec<MemberId>,
        wants: &Wants<'_>,
        room: &impl Fn(&Member) -> Room,
        terms: &Terms,
        chance: &mut Pcg32,
    ) -> Option<(MemberId, Option<MemberId>)> {
        let of = |wanted: Room| -> Vec<MemberId> {
            group.iter().copied().filter(|id| room(&self.table[id]) == wanted).collect()
        };
        let ready = of(Room::Now);
        let both = [ready.clone(), of(Room::Soon)].concat();
        if terms.by_subject && wants.subject != 0 {
            // It waits for the connection to the subject's own, unless that has more than its part.
            let sum: usize = both.iter().map(|id| self.table[id].outstanding).sum();
            let most = 1.25 * (sum as f64 + 1.0) / both.len().max(1) as f64 + 1.0;
            let bounded = both.iter().filter(|id| (self.table[id].outstanding as f64) < most);
            let weight =
                |id: &MemberId| subset::mixed(wants.subject ^ subset::order(&self.table[id].address));
            return bounded.max_by_key(|id| weight(id)).or(both.first()).map(|id| (*id, None));
        }
        let best = self.better_of_two(now, &both, chance)?;
        if ready.is_empty() || ready.contains(&best) {
            return Some((best, None));
        }
        Some((self.better_of_two(now, &ready, chance)?, Some(best)))
    }

    fn better_of_two(&self, now: f64, from: &[MemberId], chance: &mut Pcg32) -> Option<MemberId> {
        if from.len() < 2 {
            return from.first().copied();
        }
        let first = chance.random_range(0..from.len());
        let second = (first + 1 + chance.random_range(0..from.len() - 1)) % from.len();
        let (a, b) = (from[first], from[second]);
        Some(if self.cost(now, a) <= self.cost(now, b) { a } else { b })
    }
}

#[cfg(test)]
mod tests;
