//! What a run came to, size by size: figures from accounts and answers, slopes over the sizes, a plot.

use std::net::IpAddr;
use std::path::Path;

use plovershelf_simulation::plot::{self, Line};
use plovershelf_simulation::statistics::{Fit, Spread};
use serde_json::{json, Value};

use super::super::{Aim, Figures};
use super::accounts::Tally;
use super::processes::{Fleet, Mode, Shape, FOUNDERS};
use super::troubles::Done;
use super::watch::{Look, Seen};
use super::{Cost, Wanted};

/// One size. What could not be measured is none.
#[derive(Default)]
pub struct Came {
    pub members: usize,
    pub shape: Option<Shape>,
    /// Of members alone in their process, of racks and of real backends: all of them together, without and with a group.
    pub off: [Option<Cost>; 3],
    pub on: [Option<Cost>; 3],
    pub added_off_ms: Option<f64>,
    pub added_ms: Option<f64>,
    /// Until each member had all others in its view, and the part of them that had at the end of the wait.
    pub settled_ms: Option<f64>,
    pub settled_share: f64,
    pub memory_share: Option<f64>,
    /// Of all that the machine's cores could do in the calm, whoever had them.
    pub busy_share: Option<f64>,
    /// Bytes a second of the mean member, sent and received, and of the leader.
    pub bytes: Option<f64>,
    pub leader_bytes: Option<f64>,
    pub links: Option<f64>,
    pub done: Done,
    pub deaths: usize,
    pub deaths_not_known: usize,
    pub death_known: Spread,
    pub changes: usize,
    pub changes_missed: usize,
    pub changes_not_agreed: usize,
    /// From when a change was agreed until the last member had it.
    pub in_force: Spread,
    pub two_at_one_number: usize,
    pub healthy_put_out: usize,
    pub rules_broken: u64,
    pub asked: u64,
    pub unanswered: u64,
    pub mode: Option<Mode>,
    /// Proposals that were refused and made again.
    pub refused: usize,
    /// The oldest word of a source that a listener served by, of those that nothing was done to.
    pub oldest_word_s: Option<f64>,
    /// How far the sources' sum of listeners is from those that live, at the end.
    pub sum_off: Option<f64>,
    /// Of members alone in their process, the one with most bytes, both ways.
    pub alone_bytes: Option<f64>,
}

/// After this a listener that hears nothing counts as put out: the time in which a change is to be in force.
const PUT_OUT_MS: f64 = 4000.0;

/// Whether a member is where it belongs: it knows of all that there are, has them in its view and may act; or it hears of
/// changes; of a source, its council can agree.
pub fn whole(look: &Look, all: usize) -> bool {
    match look {
        Look::Group(brief) => brief.in_view as usize == all && brief.alive as usize == all && brief.may_act,
        Look::Changes(report) => match &report.consensus {
            Some(consensus) => consensus.has_quorum && consensus.leader.is_some(),
            None => report.node.parent.is_some() && report.node.age_ms.is_some(),
        },
    }
}

/// Whether all are, and the sources count each listener.
pub fn settled(seen: &Seen, fleet: &Fleet, all: usize) -> bool {
    let counted = fleet.mode == Mode::Group || seen.summed() as usize == all - FOUNDERS;
    counted && seen.latest.values().filter(|(_, look)| whole(look, all)).count() == all
}

/// Members that the trial never touched and that live: by them it judges.
fn untouched(fleet: &Fleet) -> impl Iterator<Item = usize> + '_ {
    (0..fleet.members.len()).filter(|place| fleet.members[*place].live && !fleet.members[*place].touched)
}

/// The latest time in a table of those, none where one of them is missing or there are none.
fn latest(times: &std::collections::BTreeMap<usize, f64>, of: impl Iterator<Item = usize>) -> Option<f64> {
    let times: Option<Vec<f64>> = of.map(|place| times.get(&place).copied()).collect();
    times?.into_iter().reduce(f64::max)
}

/// Whether nothing is waited for any more.
pub fn all_known(seen: &Seen, fleet: &Fleet) -> bool {
    let deaths = seen.deaths.iter().all(|death| latest(&death.known, untouched(fleet)).is_some());
    seen.pending == 0
        && deaths
        && seen.words.iter().all(|word| latest(&word.in_force, untouched(fleet)).is_some())
}

impl Came {
    /// Takes what links carried over a span. Each byte is one member's sent and another's received. Sources of changes are
    /// no backends, so their part is left out of the mean.
    pub fn count_bytes(&mut self, tally: &Tally, leader: Option<IpAddr>, fleet: &Fleet) {
        if tally.looks < 2 || tally.span_ms <= 0.0 || self.members <= FOUNDERS {
            return;
        }
        let seconds = tally.span_ms / 1000.0;
        let of = |address: IpAddr| tally.of(address).map(|bytes| bytes / seconds);
        let all = 2.0 * tally.all.both() / seconds;
        let founders: Option<Vec<f64>> = fleet.founders().map(|founder| of(founder.address.ip())).collect();
        self.bytes = match fleet.mode {
            Mode::Group => Some(all / self.members as f64),
            Mode::Changes => founders
                .map(|founders| (all - founders.iter().sum::<f64>()) / (self.members - FOUNDERS) as f64),
        };
        self.links = Some(2.0 * tally.links as f64 / self.members as f64);
        self.leader_bytes = leader.and_then(of);
        let founders: Vec<IpAddr> = fleet.founders().map(|founder| founder.address.ip()).collect();
        let alone = fleet.alone().into_values().filter(|address| !founders.contains(address));
        self.alone_bytes = alone.filter_map(of).reduce(f64::max);
    }

    pub fn judge(&mut self, seen: &Seen, fleet: &Fleet) {
        for death in &seen.deaths {
            self.deaths += 1;
            match latest(&death.known, untouched(fleet)) {
                Some(known) => self.death_known.put((known - death.at) / 1000.0),
                None => self.deaths_not_known += 1,
            }
        }
        for word in &seen.words {
            self.changes += 1;
            self.changes_not_agreed += usize::from(word.agreed.is_none());
            match (word.agreed, latest(&word.in_force, untouched(fleet))) {
                (Some(agreed), Some(last)) => self.in_force.put((last - agreed) / 1000.0),
                _ => self.changes_missed += 1,
            }
        }
        for word in &seen.words {
            let slow = |(place, at): &(usize, f64)| {
                word.agreed.is_some_and(|agreed| at - agreed > PUT_OUT_MS) && !fleet.members[*place].touched
            };
            let slow: Vec<&str> = word
                .in_force
                .iter()
                .map(|(place, at)| (*place, *at))
                .filter(slow)
                .map(|(place, _)| &*fleet.members[place].name)
                .collect();
            if !slow.is_empty() {
                let last = latest(&word.in_force, untouched(fleet));
                tracing::warn!(
                    event = "late",
                    number = word.number,
                    agreed = word.agreed,
                    last,
                    count = slow.len(),
                    "{:?}",
                    &slow[..slow.len().min(8)]
                );
            }
        }
        for (place, oldest) in seen
            .oldest
            .iter()
            .filter(|(place, oldest)| **oldest > PUT_OUT_MS && !fleet.members[**place].touched)
        {
            let member = &fleet.members[*place];
            let relied = seen.oldest_at.get(place).map(|(at, relied)| {
                let name = |at: &Option<std::net::SocketAddr>| {
                    fleet.members.iter().find(|m| Some(m.address) == *at).map_or("nobody", |m| &*m.name)
                };
                format!("at {at:.0} heard from {}, with {} as its spare", name(&relied[0]), name(&relied[1]))
            });
            let (zone, relied) = (member.zone + 1, relied.unwrap_or_default());
            tracing::warn!(event = "cut_off", name = %member.name, zone, process = member.process, oldest, "{relied}");
        }
        self.two_at_one_number = seen.two_at_one_number();
        self.healthy_put_out = match fleet.mode {
            Mode::Group => seen.healthy_put_out(|place| fleet.members[place].touched),
            Mode::Changes => untouched(fleet)
                .filter(|place| seen.oldest.get(place).is_some_and(|oldest| *oldest > PUT_OUT_MS))
                .count(),
        };
        let oldest = untouched(fleet).filter_map(|place| seen.oldest.get(&place).copied());
        self.oldest_word_s = oldest.reduce(f64::max).map(|ms| ms / 1000.0).filter(|s| s.is_finite());
        let listeners = fleet.members.iter().filter(|member| member.live).count() as f64 - FOUNDERS as f64;
        self.sum_off = (fleet.mode == Mode::Changes).then(|| seen.summed() as f64 - listeners);
        let missing = seen.proposed.saturating_sub(seen.words.len());
        self.changes += missing;
        self.changes_not_agreed += missing;
        self.changes_missed += missing;
        self.refused = seen.refused;
        (self.asked, self.unanswered) = (seen.asked, seen.unanswered);
    }

    /// What the group costs, as the difference to the same processes without it: a member's share.
    fn cost(&self, kind: usize) -> Option<Cost> {
        let (off, on, shape) = (self.off[kind]?, self.on[kind]?, self.shape?);
        let members = [shape.alone, shape.racked, shape.real][kind] as f64;
        Some(Cost {
            core_percent: (on.core_percent - off.core_percent) / members,
            memory_mb: (on.memory_mb - off.memory_mb) / members,
        })
    }

    fn death_known_s(&self) -> Option<f64> {
        self.death_known.most()
    }

    fn in_force_s_99(&self) -> Option<f64> {
        self.in_force.at(0.99)
    }

    /// What grows with the members, by name.
    fn growing(&self) -> [(&'static str, Option<f64>); 8] {
        let [alone, racked, _] = [0, 1, 2].map(|kind| self.cost(kind));
        [
            ("control_core_percent", alone.map(|cost| cost.core_percent)),
            ("racked_core_percent", racked.map(|cost| cost.core_percent)),
            ("control_memory_mb", alone.map(|cost| cost.memory_mb)),
            ("control_bytes_a_second", self.bytes),
            ("leader_bytes_a_second", self.leader_bytes),
            ("death_known_s_worst", self.death_known_s()),
            ("change_in_force_s_99", self.in_force_s_99()),
            ("added_ms_99", self.added_ms),
        ]
    }
}

/// A line a figure: its values by size, and a straight line through them with what it may be off by.
pub fn slopes(all: &[Came]) -> Value {
    let table: serde_json::Map<String, Value> = (0..all.first().map_or(0, |came| came.growing().len()))
        .map(|place| {
            let points: Vec<(f64, Option<f64>)> =
                all.iter().map(|came| (came.members as f64, came.growing()[place].1)).collect();
            let known: Vec<(f64, f64)> = points.iter().filter_map(|(x, y)| Some((*x, (*y)?))).collect();
            let fit = Fit::of(&known);
            let row = json!({
                "members": points.iter().map(|(x, _)| *x as u64).collect::<Vec<_>>(),
                "values": points.iter().map(|(_, y)| *y).collect::<Vec<_>>(),
                "slope_a_member": fit.map(|fit| fit.slope),
                "slope_bar": fit.map(|fit| fit.slope_bar()),
                "intercept": fit.map(|fit| fit.intercept),
                "r_squared": fit.map(|fit| fit.r_squared),
            });
            (all[0].growing()[place].0.to_string(), row)
        })
        .collect();
    table.into()
}

/// Each growing figure over the members, as a part of the most it came to.
///
/// Errors: nothing to draw, or a file that can't be written.
pub fn plot(all: &[Came], path: &Path) -> Result<(), String> {
    let line = |place: usize| {
        let name = all[0].growing()[place].0;
        let points: Vec<(f64, f64)> =
            all.iter().filter_map(|came| Some((came.members as f64, came.growing()[place].1?))).collect();
        let most = points.iter().map(|(_, y)| *y).fold(0.0, f64::max);
        let points = points.into_iter().map(|(x, y)| (x, y / most.max(1e-9))).collect();
        Line { name: format!("{name}, of {most:.1}"), points }
    };
    let lines: Vec<Line> = (0..all.first().map_or(0, |came| came.growing().len())).map(line).collect();
    let text = plot::lines("A group as it grows", "members", "of the most", &lines)?;
    std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
}

/// The figures of the largest size, and the slopes over all; `judged` against the budget of a backend.
pub fn figures(all: &[Came], wanted: Wanted, ended_by: &str, judged: bool) -> Figures {
    let mut figures = Figures::default();
    let Some(came) = all.last() else { return figures };
    let aim = |most: f64| if judged { Aim::AtMost(most) } else { Aim::Told };
    let none = aim(0.0);
    figures.told("members", came.members as f64);
    figures.told("hollow", came.shape.map_or(0, |shape| shape.hollow()) as f64);
    figures.told("real", came.shape.map_or(0, |shape| shape.real) as f64);
    figures.told("processes", came.shape.map_or(0, |shape| shape.processes()) as f64);
    figures.told("callers", wanted.callers as f64);
    figures.told("tenants", wanted.tenants as f64);
    figures.note("ended_by", ended_by.into());
    let share = all.iter().map(|came| came.memory_share).reduce(super::larger).flatten();
    figures.put("peak_memory_share", share, Aim::AtMost(super::MEMORY_MOST));
    figures.put("machine_busy_share", came.busy_share, Aim::Told);
    figures.note("slopes", slopes(all));
    let [alone, racked, real] = [0, 1, 2].map(|kind| came.cost(kind));
    figures.put("control_core_percent", alone.map(|cost| cost.core_percent), aim(1.4));
    figures.put("control_memory_mb", alone.map(|cost| cost.memory_mb), aim(32.0));
    figures.put("racked_core_percent", racked.map(|cost| cost.core_percent), Aim::Told);
    figures.put("racked_memory_mb", racked.map(|cost| cost.memory_mb), Aim::Told);
    figures.put("real_core_percent", real.map(|cost| cost.core_percent), Aim::Told);
    figures.put("real_memory_mb", real.map(|cost| cost.memory_mb), Aim::Told);
    figures.put("control_bytes_a_second", came.bytes, aim(4096.0));
    figures.put("leader_bytes_a_second", came.leader_bytes, Aim::Told);
    figures.put("links_a_member", came.links, Aim::Told);
    figures.put("alone_bytes_a_second_worst", came.alone_bytes, Aim::Told);
    if came.mode == Some(Mode::Changes) {
        figures.told("relays_killed", came.done.relays as f64);
        figures.told("proposals_refused", came.refused as f64);
        figures.put("oldest_word_s", came.oldest_word_s, Aim::Told);
        figures.put("sum_off_at_the_end", came.sum_off, Aim::Told);
    }
    figures.told("settled_share", came.settled_share);
    figures.told("deaths", came.deaths as f64);
    figures.put("death_known_s_worst", came.death_known_s(), Aim::Told);
    figures.told("deaths_not_known", came.deaths_not_known as f64);
    figures.told("changes", came.changes as f64);
    figures.put("change_in_force_s_99", came.in_force_s_99(), aim(4.0));
    figures.put("changes_missed", came.changes_missed as f64, none);
    figures.told("changes_not_agreed", came.changes_not_agreed as f64);
    figures.put("two_at_one_number", came.two_at_one_number as f64, none);
    figures.put("healthy_put_out", came.healthy_put_out as f64, none);
    figures.put("added_ms_99", came.added_ms, aim(1.1));
    figures.put("added_ms_99_off", came.added_off_ms, Aim::Told);
    figures.told("questions", came.asked as f64);
    figures.told("unanswered", came.unanswered as f64);
    figures.put("rules_broken", all.iter().map(|came| came.rules_broken).sum::<u64>() as f64, none);
    figures
}

#[cfg(test)]
mod tests;
