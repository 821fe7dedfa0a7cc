//! What a caller knows of each member, and which of them a call goes to.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use plovershelf::interface::AdviceMeaning;
use plovershelf_codec::front::Words;
use rand::RngExt;
use rand_pcg::Pcg32;

use super::breaker::Breaker;
use super::subset;
use super::terms::Terms;
use super::times::Mean;
use super::LinkId;

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
    pub fn told(&mut self, now: f64, words: &Words, terms: &Terms) {
        if let Some(value) = words.advice {
            self.advice = Some((value, now + terms.heeded_ms));
        }
        if let Some(span) = words.cool_down_ms {
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
                AdviceMeaning::Nothing => false,
                AdviceMeaning::LowestRank => wants.rank < value,
                // A fraction counts by chance.
                AdviceMeaning::OutstandingPerCaller => {
                    let more = f64::from(chance.random::<f64>() < value.fract());
                    member.outstanding as f64 >= value.floor() + more
                }
                AdviceMeaning::ShareOfUsual => chance.random::<f64>() >= value,
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
mod tests {
    use super::*;
    use rand::SeedableRng;

    const ANY: Wants<'static> = Wants { rank: 0.5, subject: 0, avoid: &[], only: None };

    fn members(count: u16) -> Members {
        let mut members = Members::default();
        let all: Vec<SocketAddr> = (0..count).map(|n| SocketAddr::from(([127, 0, 0, 1], 9000 + n))).collect();
        members.replace(0.0, &all);
        members
    }

    /// How often each of them is chosen out of a thousand.
    fn shares(members: &Members, wants: &Wants<'_>, terms: &Terms, now: f64) -> Vec<usize> {
        let mut chance = Pcg32::seed_from_u64(5);
        let mut counts = vec![0; members.chosen().len()];
        for _ in 0..1000 {
            if let Choice::Member { id, .. } = members.choose(now, wants, |_| Room::Now, terms, &mut chance) {
                counts[id.0 as usize - 1] += 1;
            }
        }
        counts
    }

    #[test]
    fn the_less_loaded_of_two_is_taken() {
        let mut members = members(4);
        members.get_mut(MemberId(1)).expect("listed").outstanding = 9;
        let counts = shares(&members, &ANY, &Terms::default(), 0.0);
        assert!(counts[0] == 0 && counts[1..].iter().all(|n| *n > 200), "{counts:?}");
    }

    #[test]
    fn a_slow_member_gets_less_until_what_is_known_of_it_is_old() {
        let (mut members, terms) = (members(2), Terms::default());
        members.learn(0.0, MemberId(1), 50.0);
        members.learn(0.0, MemberId(2), 5.0);
        assert_eq!(shares(&members, &ANY, &terms, 1.0)[0], 0);
        members.get_mut(MemberId(2)).expect("listed").outstanding = 1;
        assert_eq!(shares(&members, &ANY, &terms, 60_000.0)[0], 1000);
    }

    #[test]
    fn words_of_a_member_keep_calls_from_itself_alone() {
        let (mut members, terms) = (members(3), Terms::default());
        let away = Words { cool_down_ms: Some(100.0), ..Words::default() };
        members.get_mut(MemberId(2)).expect("listed").told(0.0, &away, &terms);
        assert_eq!(shares(&members, &ANY, &terms, 99.0)[1], 0);
        assert!(shares(&members, &ANY, &terms, 101.0)[1] > 200);
        for id in [1, 3] {
            members.get_mut(MemberId(id)).expect("listed").told(0.0, &away, &terms);
        }
        let mut chance = Pcg32::seed_from_u64(1);
        let choice = members.choose(50.0, &ANY, |_| Room::Now, &terms, &mut chance);
        assert_eq!(choice, Choice::After(100.0));
    }

    #[test]
    fn the_advised_value_is_heeded_in_each_of_its_meanings_and_for_its_span() {
        let told = |advice: AdviceMeaning, value: f64, outstanding: usize| {
            let (mut members, terms) = (members(3), Terms { advice, ..Terms::default() });
            let words = Words { advice: Some(value), ..Words::default() };
            members.get_mut(MemberId(1)).expect("listed").told(0.0, &words, &terms);
            members.iter_mut().for_each(|(_, member)| member.outstanding = outstanding);
            (shares(&members, &ANY, &terms, 10.0)[0], shares(&members, &ANY, &terms, 1001.0)[0])
        };
        let (heeded, after) = told(AdviceMeaning::LowestRank, 0.6, 0);
        assert!(heeded == 0 && after > 200, "{heeded}, {after}");
        assert!(told(AdviceMeaning::LowestRank, 0.5, 0).0 > 200);
        assert_eq!(told(AdviceMeaning::OutstandingPerCaller, 2.0, 2).0, 0);
        assert!(told(AdviceMeaning::OutstandingPerCaller, 2.0, 1).0 > 200);
        let (heeded, after) = told(AdviceMeaning::ShareOfUsual, 0.2, 0);
        assert!(heeded * 2 < after, "{heeded}, {after}");
        assert!(told(AdviceMeaning::Nothing, 0.0, 0).0 > 200);
    }

    #[test]
    fn most_of_a_list_that_fails_is_believed_to_be_the_callers_own_fault() {
        let (mut members, terms) = (members(4), Terms::default());
        let mut chance = Pcg32::seed_from_u64(2);
        for id in [1, 2] {
            members.get_mut(MemberId(id)).expect("listed").breaker.fault(0.0, &terms, &mut chance);
        }
        assert_eq!(shares(&members, &ANY, &terms, 1.0)[..2], [0, 0]);
        members.get_mut(MemberId(3)).expect("listed").breaker.fault(0.0, &terms, &mut chance);
        assert!(shares(&members, &ANY, &terms, 1.0).iter().all(|n| *n > 100));
    }

    #[test]
    fn a_member_of_an_earlier_try_is_taken_last_and_one_that_leaves_too() {
        let (mut members, terms) = (members(3), Terms::default());
        let tried = Wants { avoid: &[MemberId(1)], ..ANY };
        assert_eq!(shares(&members, &tried, &terms, 0.0)[0], 0);
        members.get_mut(MemberId(2)).expect("listed").leaving_until = 500.0;
        assert_eq!(shares(&members, &tried, &terms, 1.0), [0, 0, 1000]);
        members.get_mut(MemberId(3)).expect("listed").away_until = 500.0;
        assert!(shares(&members, &tried, &terms, 1.0)[..2].iter().all(|n| *n > 200));
    }

    #[test]
    fn a_subject_stays_with_its_member_as_long_as_that_has_no_more_than_its_part() {
        let (mut members, terms) = (members(5), Terms { by_subject: true, ..Terms::default() });
        let about = Wants { subject: 77, ..ANY };
        let counts = shares(&members, &about, &terms, 0.0);
        let own = counts.iter().position(|n| *n == 1000).expect("one member has them all");
        members.get_mut(MemberId(own as u32 + 1)).expect("listed").outstanding = 4;
        let moved = shares(&members, &about, &terms, 0.0);
        assert_eq!((moved[own], moved.iter().max().copied()), (0, Some(1000)));
    }

    #[test]
    fn those_that_left_the_list_serve_until_another_is_connected() {
        let (mut members, terms) = (members(2), Terms::default());
        members.iter_mut().for_each(|(id, member)| member.links.push(LinkId(u64::from(id.0))));
        members.replace(0.0, &[SocketAddr::from(([127, 0, 0, 1], 9100))]);
        let mut chance = Pcg32::seed_from_u64(2);
        let room = |member: &Member| if member.links.is_empty() { Room::Soon } else { Room::Now };
        let choice = members.choose(1.0, &ANY, room, &terms, &mut chance);
        assert!(matches!(choice, Choice::Member { id: MemberId(1 | 2), .. }), "{choice:?}");
        members.get_mut(MemberId(3)).expect("listed").links.push(LinkId(9));
        let choice = members.choose(1.0, &ANY, room, &terms, &mut chance);
        assert_eq!(choice, Choice::Member { id: MemberId(3), warm: None });
    }
}
