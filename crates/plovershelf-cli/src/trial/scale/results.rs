//! Results of a run by group size: figures from resource usage and polled statuses, slopes over the sizes, and a plot.

use std::net::IpAddr;
use std::path::Path;

use plovershelf_simulation::plot::{self, Line};
use plovershelf_simulation::statistics::{Fit, SampleDistribution};
use serde_json::{json, Value};

use super::super::{Bound, Figures};
use super::poller::{MemberStatus, Observations};
use super::processes::{Fleet, Mode, Topology, VOTERS};
use super::resource_usage::TrafficCounter;
use super::scenario::EventCounts;
use super::{Cost, ScaleOptions};

/// Measurements of one group size; `None` stands for a quantity that could not be measured.
#[derive(Default)]
pub struct SizeResult {
    pub members: usize,
    pub topology: Option<Topology>,
    /// Total cost of single-member processes, of racks and of real backends, before they join a group.
    pub baseline_cost: [Option<Cost>; 3],
    /// Total cost of the same processes in the settled group.
    pub group_cost: [Option<Cost>; 3],
    /// 99th percentile of the latency that a backend adds to a request, before it joins a group.
    pub baseline_added_ms: Option<f64>,
    /// 99th percentile of the latency that a backend adds to a request, in the settled group.
    pub added_ms: Option<f64>,
    /// Time until each member had all others in its view.
    pub settled_ms: Option<f64>,
    /// Fraction of the members that had all others in their view at the end of the wait.
    pub settled_fraction: f64,
    /// Largest fraction of the machine's memory that the run used.
    pub memory_fraction: Option<f64>,
    /// Fraction of the machine's processor time in use during the steady state, by any process.
    pub busy_fraction: Option<f64>,
    /// Bytes sent and received per second by the mean member.
    pub bytes_per_second: Option<f64>,
    /// Bytes sent and received per second by the leader.
    pub leader_bytes_per_second: Option<f64>,
    /// Connections of the mean member.
    pub links: Option<f64>,
    pub event_counts: EventCounts,
    /// Members that the scenario killed.
    pub killed: usize,
    /// Killed members whose failure was not detected by every untouched member.
    pub undetected: usize,
    /// Seconds from a kill until every untouched member has detected it.
    pub detection_s: SampleDistribution,
    pub changes: usize,
    /// Changes that did not reach every untouched member.
    pub changes_missed: usize,
    /// Changes that were not committed.
    pub changes_not_agreed: usize,
    /// Seconds from the commit of a change until the last untouched member has it.
    pub in_force_s: SampleDistribution,
    /// Version numbers that were observed with different contents.
    pub conflicting_versions: usize,
    /// Untouched members that were removed from a view, or cut off from configuration.
    pub healthy_members_removed: usize,
    pub rules_broken: u64,
    pub polls: u64,
    pub unanswered: u64,
    pub mode: Option<Mode>,
    /// Proposals that were refused and retried.
    pub refused: usize,
    /// Largest age of the latest origin message on an untouched listener, in seconds.
    pub max_age_s: Option<f64>,
    /// Listeners that the origins report at the end, less those that are running.
    pub listener_count_error: Option<f64>,
    /// Bytes sent and received per second by the single-member process with the most traffic.
    pub max_single_bytes_per_second: Option<f64>,
}

/// Time without an origin message after which a listener counts as cut off: the time within which a change has to be in
/// force.
const CUT_OFF_AFTER_MS: f64 = 4000.0;

/// Returns true if a member has settled. In a group, its view contains all members, it considers all of them alive and it
/// may act. With configuration distribution, a listener has a parent and has received a message, and an origin has a
/// quorum and a leader.
pub fn member_has_settled(status: &MemberStatus, all: usize) -> bool {
    match status {
        MemberStatus::Group(brief) => {
            brief.in_view as usize == all && brief.alive as usize == all && brief.may_act
        }
        MemberStatus::ConfigDistribution(report) => match &report.consensus {
            Some(consensus) => consensus.has_quorum && consensus.leader.is_some(),
            None => report.node.parent.is_some() && report.node.age_ms.is_some(),
        },
    }
}

/// Returns true if all members have settled and the origins report all listeners.
pub fn group_has_settled(observed: &Observations, fleet: &Fleet, all: usize) -> bool {
    let listeners = observed.listeners_counted_by_origins() as usize;
    let counted = fleet.mode == Mode::Group || listeners == all - VOTERS;
    counted && observed.latest.values().filter(|(_, status)| member_has_settled(status, all)).count() == all
}

/// Returns the running members that the trial has never touched; only these are evaluated.
fn untouched(fleet: &Fleet) -> impl Iterator<Item = usize> + '_ {
    let is_untouched = |index: &usize| fleet.members[*index].running && !fleet.members[*index].touched;
    (0..fleet.members.len()).filter(is_untouched)
}

/// Returns the latest time of the given members; `None` if a time is missing or there are no members.
fn latest(
    times: &std::collections::BTreeMap<usize, f64>,
    members: impl Iterator<Item = usize>,
) -> Option<f64> {
    let times: Option<Vec<f64>> = members.map(|member| times.get(&member).copied()).collect();
    times?.into_iter().reduce(f64::max)
}

/// Returns true if every failure and every change has reached all untouched members, and no proposal is pending.
pub fn all_propagated(observed: &Observations, fleet: &Fleet) -> bool {
    let reached_all = |times| latest(times, untouched(fleet)).is_some();
    observed.pending == 0
        && observed.killed.iter().all(|killed| reached_all(&killed.detected_at_ms))
        && observed.changes.iter().all(|change| reached_all(&change.in_force_at_ms))
}

impl SizeResult {
    /// Records the traffic of a span. Each byte counts twice, as sent by one member and as received by another. Origins of
    /// configuration are no backends, so the mean excludes their traffic.
    pub fn record_traffic(&mut self, traffic: &TrafficCounter, leader: Option<IpAddr>, fleet: &Fleet) {
        if traffic.samples < 2 || traffic.span_ms <= 0.0 || self.members <= VOTERS {
            return;
        }
        let seconds = traffic.span_ms / 1000.0;
        let per_second = |address: IpAddr| traffic.member_total(address).map(|bytes| bytes / seconds);
        let all = 2.0 * traffic.all.total() / seconds;
        let voters: Option<Vec<f64>> = fleet.voters().map(|voter| per_second(voter.address.ip())).collect();
        self.bytes_per_second = match fleet.mode {
            Mode::Group => Some(all / self.members as f64),
            Mode::ConfigDistribution => {
                voters.map(|voters| (all - voters.iter().sum::<f64>()) / (self.members - VOTERS) as f64)
            }
        };
        self.links = Some(2.0 * traffic.links as f64 / self.members as f64);
        self.leader_bytes_per_second = leader.and_then(per_second);
        let voters: Vec<IpAddr> = fleet.voters().map(|voter| voter.address.ip()).collect();
        let single =
            fleet.single_member_processes().into_values().filter(|address| !voters.contains(address));
        self.max_single_bytes_per_second = single.filter_map(per_second).reduce(f64::max);
    }

    /// Records how failures and changes propagated to the untouched members, and logs late changes and cut-off listeners.
    pub fn record_propagation(&mut self, observed: &Observations, fleet: &Fleet) {
        for killed in &observed.killed {
            self.killed += 1;
            match latest(&killed.detected_at_ms, untouched(fleet)) {
                Some(detected_at_ms) => {
                    self.detection_s.put((detected_at_ms - killed.killed_at_ms) / 1000.0);
                }
                None => self.undetected += 1,
            }
        }
        for change in &observed.changes {
            self.changes += 1;
            self.changes_not_agreed += usize::from(change.agreed_at_ms.is_none());
            match (change.agreed_at_ms, latest(&change.in_force_at_ms, untouched(fleet))) {
                (Some(agreed), Some(last)) => self.in_force_s.put((last - agreed) / 1000.0),
                _ => self.changes_missed += 1,
            }
        }
        for change in &observed.changes {
            let is_late = |(member, at_ms): &(usize, f64)| {
                change.agreed_at_ms.is_some_and(|agreed| at_ms - agreed > CUT_OFF_AFTER_MS)
                    && !fleet.members[*member].touched
            };
            let late: Vec<&str> = change
                .in_force_at_ms
                .iter()
                .map(|(member, at_ms)| (*member, *at_ms))
                .filter(is_late)
                .map(|(member, _)| &*fleet.members[member].name)
                .collect();
            if !late.is_empty() {
                let last = latest(&change.in_force_at_ms, untouched(fleet));
                tracing::warn!(
                    event = "late_change",
                    number = change.number,
                    agreed = change.agreed_at_ms,
                    last,
                    count = late.len(),
                    "{:?}",
                    &late[..late.len().min(8)]
                );
            }
        }
        for (index, oldest) in observed
            .max_age_ms
            .iter()
            .filter(|(index, oldest)| **oldest > CUT_OFF_AFTER_MS && !fleet.members[**index].touched)
        {
            let member = &fleet.members[*index];
            let parents = observed.max_age_context.get(index).map(|(at_ms, parents)| {
                let name = |address: &Option<std::net::SocketAddr>| {
                    fleet.members.iter().find(|m| Some(m.address) == *address).map_or("none", |m| &*m.name)
                };
                format!("at {at_ms:.0} ms parent {}, backup parent {}", name(&parents[0]), name(&parents[1]))
            });
            let (zone, parents) = (member.zone + 1, parents.unwrap_or_default());
            tracing::warn!(event = "listener_cut_off", name = %member.name, zone, process = member.process, oldest, "{parents}");
        }
        self.conflicting_versions = observed.conflicting_versions();
        self.healthy_members_removed = match fleet.mode {
            Mode::Group => observed.healthy_members_removed(|member| fleet.members[member].touched),
            Mode::ConfigDistribution => untouched(fleet)
                .filter(|member| {
                    observed.max_age_ms.get(member).is_some_and(|age_ms| *age_ms > CUT_OFF_AFTER_MS)
                })
                .count(),
        };
        let ages_ms = untouched(fleet).filter_map(|member| observed.max_age_ms.get(&member).copied());
        self.max_age_s = ages_ms.reduce(f64::max).map(|ms| ms / 1000.0).filter(|s| s.is_finite());
        let listeners = fleet.members.iter().filter(|member| member.running).count() as f64 - VOTERS as f64;
        self.listener_count_error = (fleet.mode == Mode::ConfigDistribution)
            .then(|| observed.listeners_counted_by_origins() as f64 - listeners);
        let missing = observed.proposed.saturating_sub(observed.changes.len());
        self.changes += missing;
        self.changes_not_agreed += missing;
        self.changes_missed += missing;
        self.refused = observed.refused;
        (self.polls, self.unanswered) = (observed.polls, observed.unanswered);
    }

    /// Returns the cost of group membership per member: the difference to the same processes without a group. `kind` indexes
    /// `baseline_cost` and `group_cost`.
    fn cost(&self, kind: usize) -> Option<Cost> {
        let (baseline, group, topology) = (self.baseline_cost[kind]?, self.group_cost[kind]?, self.topology?);
        let members = [topology.single, topology.racked, topology.real][kind] as f64;
        Some(Cost {
            core_percent: (group.core_percent - baseline.core_percent) / members,
            memory_mb: (group.memory_mb - baseline.memory_mb) / members,
        })
    }

    fn max_detection_s(&self) -> Option<f64> {
        self.detection_s.most()
    }

    fn p99_in_force_s(&self) -> Option<f64> {
        self.in_force_s.at(0.99)
    }

    /// Returns the figures that are fitted and plotted over the number of members, by name.
    fn scaling_figures(&self) -> [(&'static str, Option<f64>); 8] {
        let [single, racked, _] = [0, 1, 2].map(|kind| self.cost(kind));
        [
            ("control_core_percent", single.map(|cost| cost.core_percent)),
            ("racked_core_percent", racked.map(|cost| cost.core_percent)),
            ("control_memory_mb", single.map(|cost| cost.memory_mb)),
            ("control_bytes_a_second", self.bytes_per_second),
            ("leader_bytes_a_second", self.leader_bytes_per_second),
            ("death_known_s_worst", self.max_detection_s()),
            ("change_in_force_s_99", self.p99_in_force_s()),
            ("added_ms_99", self.added_ms),
        ]
    }
}

/// Returns a table with one row per figure: its values by size, and a linear fit with the error of the slope.
pub fn slopes(all: &[SizeResult]) -> Value {
    let table: serde_json::Map<String, Value> =
        (0..all.first().map_or(0, |size| size.scaling_figures().len()))
            .map(|index| {
                let points: Vec<(f64, Option<f64>)> =
                    all.iter().map(|size| (size.members as f64, size.scaling_figures()[index].1)).collect();
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
                (all[0].scaling_figures()[index].0.to_string(), row)
            })
            .collect();
    table.into()
}

/// Plots each scaling figure over the number of members, as a fraction of its largest value.
///
/// Errors: there is nothing to draw, or the file can't be written.
pub fn plot(all: &[SizeResult], path: &Path) -> Result<(), String> {
    let line = |index: usize| {
        let name = all[0].scaling_figures()[index].0;
        let points: Vec<(f64, f64)> = all
            .iter()
            .filter_map(|size| Some((size.members as f64, size.scaling_figures()[index].1?)))
            .collect();
        let max = points.iter().map(|(_, y)| *y).fold(0.0, f64::max);
        let points = points.into_iter().map(|(x, y)| (x, y / max.max(1e-9))).collect();
        Line { name: format!("{name}, of {max:.1}"), points }
    };
    let lines: Vec<Line> =
        (0..all.first().map_or(0, |size| size.scaling_figures().len())).map(line).collect();
    let text = plot::lines("A group as it grows", "members", "of the most", &lines)?;
    std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
}

/// Returns the figures of the largest size and the slopes over all sizes. If `judged`, the figures are checked against the
/// budget of a backend. `limit` names what bounded the largest size.
pub fn figures(all: &[SizeResult], options: ScaleOptions, limit: &str, judged: bool) -> Figures {
    let mut figures = Figures::default();
    let Some(result) = all.last() else { return figures };
    let bound = |max: f64| if judged { Bound::AtMost(max) } else { Bound::Informational };
    let zero = bound(0.0);
    figures.report("members", result.members as f64);
    figures.report("hollow", result.topology.map_or(0, |topology| topology.hollow()) as f64);
    figures.report("real", result.topology.map_or(0, |topology| topology.real) as f64);
    figures.report("processes", result.topology.map_or(0, |topology| topology.processes()) as f64);
    figures.report("callers", options.callers as f64);
    figures.report("tenants", options.tenants as f64);
    figures.note("ended_by", limit.into());
    let share = all.iter().map(|size| size.memory_fraction).reduce(super::larger).flatten();
    figures.put("peak_memory_share", share, Bound::AtMost(super::MAX_MEMORY_FRACTION));
    figures.put("machine_busy_share", result.busy_fraction, Bound::Informational);
    figures.note("slopes", slopes(all));
    let [single, racked, real] = [0, 1, 2].map(|kind| result.cost(kind));
    figures.put("control_core_percent", single.map(|cost| cost.core_percent), bound(1.4));
    figures.put("control_memory_mb", single.map(|cost| cost.memory_mb), bound(32.0));
    figures.put("racked_core_percent", racked.map(|cost| cost.core_percent), Bound::Informational);
    figures.put("racked_memory_mb", racked.map(|cost| cost.memory_mb), Bound::Informational);
    figures.put("real_core_percent", real.map(|cost| cost.core_percent), Bound::Informational);
    figures.put("real_memory_mb", real.map(|cost| cost.memory_mb), Bound::Informational);
    figures.put("control_bytes_a_second", result.bytes_per_second, bound(4096.0));
    figures.put("leader_bytes_a_second", result.leader_bytes_per_second, Bound::Informational);
    figures.put("links_a_member", result.links, Bound::Informational);
    figures.put("alone_bytes_a_second_worst", result.max_single_bytes_per_second, Bound::Informational);
    if result.mode == Some(Mode::ConfigDistribution) {
        figures.report("relays_killed", result.event_counts.relays as f64);
        figures.report("proposals_refused", result.refused as f64);
        figures.put("oldest_word_s", result.max_age_s, Bound::Informational);
        figures.put("sum_off_at_the_end", result.listener_count_error, Bound::Informational);
    }
    figures.report("settled_share", result.settled_fraction);
    figures.report("deaths", result.killed as f64);
    figures.put("death_known_s_worst", result.max_detection_s(), Bound::Informational);
    figures.report("deaths_not_known", result.undetected as f64);
    figures.report("changes", result.changes as f64);
    figures.put("change_in_force_s_99", result.p99_in_force_s(), bound(4.0));
    figures.put("changes_missed", result.changes_missed as f64, zero);
    figures.report("changes_not_agreed", result.changes_not_agreed as f64);
    figures.put("two_at_one_number", result.conflicting_versions as f64, zero);
    figures.put("healthy_put_out", result.healthy_members_removed as f64, zero);
    figures.put("added_ms_99", result.added_ms, bound(1.1));
    figures.put("added_ms_99_off", result.baseline_added_ms, Bound::Informational);
    figures.report("questions", result.polls as f64);
    figures.report("unanswered", result.unanswered as f64);
    figures.put("rules_broken", all.iter().map(|size| size.rules_broken).sum::<u64>() as f64, zero);
    figures
}

#[cfg(test)]
mod tests;
