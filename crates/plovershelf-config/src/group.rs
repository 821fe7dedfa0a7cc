//! `group.ini`: who this member is, where the others are, how many vote, and how patient all are.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use plovershelf_cluster::NodeConfig;
use plovershelf_failover::{
    PlannerConfig, ReportLimits, Topology, Zone, DEFAULT_BETWEEN_REGIONS_MS, MAX_ZONES,
};
use plovershelf_replication::ReplicationConfig;

use crate::{Reading, Wrong};

/// All of the file, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    pub name: String,
    pub listen: SocketAddr,
    pub zone: String,
    pub region: String,
    pub seeds: Vec<SocketAddr>,
    /// Names of the first voters; the first founds the group.
    pub council: Vec<String>,
    /// Where votes and the log are kept; in memory alone without it.
    pub folder: Option<PathBuf>,
    pub config: NodeConfig,
    /// Others, by name, that are reached at another address than they say.
    pub ways: BTreeMap<String, SocketAddr>,
    /// Replication of deduplication records, where it is on.
    pub replication: Option<ReplicationConfig>,
    /// Zones with a plan of what goes where, where sections tell any.
    pub zones: Option<Zones>,
    /// Changes that are agreed on here and carried outward, where a section tells of it.
    pub changes: Option<crate::config_distribution::Origin>,
}

/// The zones that a plan is made for.
#[derive(Clone, Debug, PartialEq)]
pub struct Zones {
    pub topology: Topology,
    pub planner: PlannerConfig,
    pub report_limits: ReportLimits,
}

const KEYS: [&str; 16] = [
    "name",
    "listen",
    "zone",
    "region",
    "seeds",
    "council",
    "voters",
    "folder",
    "probe_period_ms",
    "probe_answer_ms",
    "suspicion_ms",
    "lease_ms",
    "election_least_ms",
    "election_most_ms",
    "replace_ms",
    "drift_percent",
];
const COPIES_KEYS: [&str; 7] =
    ["copies", "least", "tickets", "memory_mb", "claim_ms", "again_ms", "batches_a_second"];
const ZONES_KEYS: [&str; 10] = [
    "period_ms",
    "valid_ms",
    "renew_ms",
    "step_ms",
    "fill_percent",
    "near_fill_percent",
    "leave_percent",
    "return_percent",
    "well_ms",
    "way_most_ms",
];

/// Reads the file's text.
///
/// Errors: all that is wrong with the file.
pub fn read(file: &str, text: &str) -> Result<Group, Wrong> {
    let (mut reading, ini) = Reading::of(file, text)?;
    let config = NodeConfig::default();
    let mut group = Group {
        name: String::new(),
        listen: SocketAddr::from(([0, 0, 0, 0], 0)),
        zone: String::new(),
        region: String::new(),
        seeds: Vec::new(),
        council: Vec::new(),
        folder: None,
        config,
        ways: BTreeMap::new(),
        replication: None,
        zones: None,
        changes: None,
    };
    let (mut zones, mut ways, mut planner_config) = (Vec::new(), Vec::new(), PlannerConfig::default());
    let mut seen: Vec<&str> = Vec::new();
    for (section, told) in ini.iter() {
        let Some(section) = section else {
            reading.outside(told, "[group]");
            continue;
        };
        if seen.contains(&section) {
            reading.say(section, "stands there twice");
            continue;
        }
        seen.push(section);
        match section {
            "group" => {
                reading.check_keys(section, told, &KEYS);
                own(&mut reading, told, &mut group);
            }
            "copies" => {
                reading.check_keys(section, told, &COPIES_KEYS);
                group.replication = Some(replication(&mut reading, told));
            }
            crate::config_distribution::SECTION => {
                group.changes = Some(crate::config_distribution::origin(&mut reading, told));
            }
            "ways" => {
                for (from, to) in told.iter() {
                    match to.trim().parse() {
                        Ok(to) if group.ways.insert(from.trim().to_string(), to).is_none() => {}
                        Ok(_) => reading.say(section, &format!("{from} stands there twice")),
                        Err(_) => reading.say(section, &format!("{from} = {to:?}: NAME = ADDRESS:PORT")),
                    }
                }
            }
            "zones" => {
                reading.check_keys(section, told, &ZONES_KEYS);
                read_planner(&mut reading, told, &mut planner_config);
            }
            _ if section.starts_with("zone ") => {
                reading.check_keys(section, told, &["region"]);
                let name = section["zone ".len()..].trim().to_string();
                let region = reading.word(section, told, "region", Some("region"));
                zones.push(Zone { name, region });
            }
            _ if section.starts_with("way ") => {
                reading.check_keys(section, told, &["ms"]);
                let ms =
                    reading.number(section, told, "ms", [0.0, 60_000.0], DEFAULT_BETWEEN_REGIONS_MS);
                let ends: Vec<String> =
                    section["way ".len()..].split_whitespace().map(str::to_string).collect();
                ways.push((section.to_string(), ends, ms));
            }
            _ => reading.say(
                section,
                "is no section here; [group], [ways], [copies], [changes], [zones], [zone NAME] and [way ONE OTHER] are",
            ),
        }
    }
    if !seen.contains(&"group") {
        reading.say("group", "is missing");
    }
    if let Some(changes) = &group.changes {
        if group.folder.is_none() {
            let why = "what was agreed on would be lost when all sources start anew";
            reading.say("group", &format!("folder is missing, and [changes] needs it: {why}"));
        }
        if changes.listen == group.listen && changes.listen.port() != 0 {
            reading.say(
                "changes",
                &format!("listen = {}: [group] has it; changes have one of their own", group.listen),
            );
        }
    }
    group.zones = topology(&mut reading, zones, &ways, &group.zone).map(|topology| Zones {
        topology,
        planner: planner_config,
        report_limits: ReportLimits::default(),
    });
    reading.done(group)
}

/// The zones with the ways between them, where any are told.
fn topology(
    reading: &mut Reading<'_>,
    zones: Vec<Zone>,
    ways: &[(String, Vec<String>, f64)],
    own: &str,
) -> Option<Topology> {
    if zones.is_empty() {
        ways.iter().for_each(|(section, ..)| reading.say(section, "is told, but no [zone NAME]"));
        return None;
    }
    if zones.len() > MAX_ZONES {
        reading.say("zones", &format!("{} zones: {MAX_ZONES} at most", zones.len()));
        return None;
    }
    let mut topology = Topology::new(zones);
    if topology.index_of(own).is_none() {
        reading.say("group", &format!("zone = {own:?} has no section [zone {own}]"));
    }
    for (section, ends, ms) in ways {
        match ends.iter().map(|name| topology.index_of(name)).collect::<Option<Vec<usize>>>().as_deref() {
            Some([one, other]) if one != other => topology.set_latency(*one, *other, *ms),
            _ => reading.say(section, "names two zones that have sections of their own"),
        }
    }
    Some(topology)
}

fn read_planner(reading: &mut Reading<'_>, told: &ini::Properties, config: &mut PlannerConfig) {
    let section = "zones";
    let mut number =
        |key: &str, range: [f64; 2], otherwise: f64| reading.number(section, told, key, range, otherwise);
    config.period_ms = number("period_ms", [50.0, 10_000.0], config.period_ms);
    config.valid_ms = number("valid_ms", [500.0, 600_000.0], config.valid_ms);
    config.renew_interval_ms =
        number("renew_ms", [100.0, 60_000.0], config.renew_interval_ms.min(config.valid_ms / 3.0));
    config.step_interval_ms = number("step_ms", [50.0, 600_000.0], config.step_interval_ms);
    config.fill_fraction = number("fill_percent", [10.0, 100.0], config.fill_fraction * 100.0) / 100.0;
    config.near_fill_fraction =
        number("near_fill_percent", [10.0, 100.0], config.near_fill_fraction * 100.0) / 100.0;
    config.leave_step = number("leave_percent", [1.0, 100.0], config.leave_step * 100.0) / 100.0;
    config.return_step = number("return_percent", [1.0, 100.0], config.return_step * 100.0) / 100.0;
    config.recovery_wait_ms = number("well_ms", [0.0, 3_600_000.0], config.recovery_wait_ms);
    config.max_recovery_wait_ms = config.max_recovery_wait_ms.max(config.recovery_wait_ms);
    config.max_latency_ms = number("way_most_ms", [0.0, 60_000.0], config.max_latency_ms);
    if config.renew_interval_ms * 2.0 > config.valid_ms {
        reading.say(section, "renew_ms is more than half of valid_ms: one word lost would end the plan");
    }
}

/// The section `[copies]`.
fn replication(reading: &mut Reading<'_>, told: &ini::Properties) -> ReplicationConfig {
    const BYTES_PER_MB: f64 = 1_048_576.0;
    let section = "copies";
    let mut config = ReplicationConfig::default();
    config.replication_factor = reading.count(section, told, "copies", config.replication_factor);
    config.min_replicas =
        reading.count(section, told, "least", config.min_replicas.min(config.replication_factor));
    let (factor, least) = (config.replication_factor, config.min_replicas);
    if !(2..=7).contains(&factor) || least == 0 || least > factor {
        reading.say(section, "copies is from 2 to 7, and least from 1 to copies");
    }
    let mut number =
        |key: &str, range: [f64; 2], otherwise: f64| reading.number(section, told, key, range, otherwise);
    config.max_records = number("tickets", [100.0, 10_000_000.0], config.max_records as f64) as usize;
    let megabytes = config.max_outcome_bytes as f64 / BYTES_PER_MB;
    config.max_outcome_bytes = (number("memory_mb", [1.0, 65_536.0], megabytes) * BYTES_PER_MB) as usize;
    config.reservation_timeout_ms = number("claim_ms", [50.0, 60_000.0], config.reservation_timeout_ms);
    config.retransmit_interval_ms = number("again_ms", [10.0, 10_000.0], config.retransmit_interval_ms);
    config.max_batches_per_second =
        number("batches_a_second", [1.0, 100_000.0], config.max_batches_per_second);
    config
}

fn own(reading: &mut Reading<'_>, told: &ini::Properties, group: &mut Group) {
    let section = "group";
    let words = |key: &str| -> Vec<String> {
        let value = told.get(key).unwrap_or("");
        value.split(',').map(str::trim).filter(|word| !word.is_empty()).map(str::to_string).collect()
    };
    group.name = reading.word(section, told, "name", None);
    group.zone = reading.word(section, told, "zone", Some("zone"));
    group.region = reading.word(section, told, "region", Some("region"));
    group.listen = reading.reached_at(section, told, "listen");
    for seed in words("seeds") {
        match seed.parse() {
            Ok(seed) => group.seeds.push(seed),
            Err(_) => reading.say(section, &format!("seeds: {seed:?}: ADDRESS:PORT, with commas between")),
        }
    }
    group.council = words("council");
    if group.council.is_empty() {
        reading.say(
            section,
            "council is missing: names of the first voters, of which the first founds the group",
        );
    }
    for name in group.council.iter().filter(|name| name.contains(char::is_whitespace)) {
        reading.say(section, &format!("council: {name:?}: one word a name, with commas between"));
    }
    let mut names = group.council.clone();
    names.sort();
    names.dedup();
    if names.len() < group.council.len() {
        reading.say(section, "council names one twice");
    }
    let most = plovershelf_cluster::consensus::MAX_VOTERS;
    let voters = reading.count(section, told, "voters", group.council.len().max(1));
    if voters.is_multiple_of(2) || voters > most {
        reading.say(section, &format!("voters = {voters}: 1, 3, 5 or {most}"));
    }
    if group.council.len() > most {
        reading.say(section, &format!("council names {}: {most} at most", group.council.len()));
    }
    group.config.voters = voters;
    group.folder = reading.path(section, told, "folder");
    let mut number =
        |key: &str, range: [f64; 2], otherwise: f64| reading.number(section, told, key, range, otherwise);
    let config = &mut group.config;
    let gossip = &mut config.gossip;
    gossip.probe_interval_ms = number("probe_period_ms", [50.0, 60_000.0], gossip.probe_interval_ms);
    gossip.probe_timeout_ms = number("probe_answer_ms", [10.0, 30_000.0], gossip.probe_timeout_ms);
    gossip.suspicion_timeout_ms = number("suspicion_ms", [100.0, 600_000.0], gossip.suspicion_timeout_ms);
    config.lease_duration_ms = number("lease_ms", [100.0, 60_000.0], config.lease_duration_ms);
    let raft = &mut config.raft;
    raft.election_timeout_ms[0] = number("election_least_ms", [100.0, 60_000.0], raft.election_timeout_ms[0]);
    raft.election_timeout_ms[1] = number("election_most_ms", [200.0, 120_000.0], raft.election_timeout_ms[1]);
    config.replace_voter_after_ms =
        number("replace_ms", [500.0, 86_400_000.0], config.replace_voter_after_ms);
    raft.clock_drift_fraction =
        number("drift_percent", [0.0, 10.0], raft.clock_drift_fraction * 100.0) / 100.0;
    raft.heartbeat_interval_ms = raft.heartbeat_interval_ms.min(raft.election_timeout_ms[0] / 4.0);
    config.lease_renew_interval_ms = config.lease_renew_interval_ms.min(config.lease_duration_ms / 4.0);
    if gossip.probe_timeout_ms * 2.0 > gossip.probe_interval_ms {
        reading.say(
            section,
            "probe_answer_ms is more than half of probe_period_ms: no time is left to ask others",
        );
    }
    if group.config.raft.election_timeout_ms[1] < group.config.raft.election_timeout_ms[0] * 1.5 {
        reading.say(
            section,
            "election_most_ms is less than one and a half times election_least_ms: votes would split",
        );
    }
}

#[cfg(test)]
mod tests;
