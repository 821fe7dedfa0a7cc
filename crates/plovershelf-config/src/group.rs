//! `group.ini`: the cluster's name, this member's address and zone, the initial voters, timeouts, replication and
//! failover.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use plovershelf_cluster::NodeConfig;
use plovershelf_failover::{
    PlannerConfig, ReportLimits, Topology, Zone, DEFAULT_BETWEEN_REGIONS_MS, MAX_ZONES,
};
use plovershelf_replication::ReplicationConfig;

use crate::{FileParser, InvalidFile};

/// Contents of a valid `group.ini`.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// Name of the cluster.
    pub name: String,
    /// Address at which other members reach this one.
    pub listen: SocketAddr,
    /// Zone of this member.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Addresses of members through which this member joins.
    pub seeds: Vec<SocketAddr>,
    /// Names of the initial voters; the first one bootstraps the cluster.
    pub initial_voters: Vec<String>,
    /// Folder of the votes and the log; without it they are in memory only.
    pub folder: Option<PathBuf>,
    /// Timeouts of membership and consensus, and the number of voters.
    pub config: NodeConfig,
    /// Addresses to use for members that can't be reached at the address that they announce, by member name.
    pub address_overrides: BTreeMap<String, SocketAddr>,
    /// Replication of deduplication records, if enabled.
    pub replication: Option<ReplicationConfig>,
    /// Failover between zones, if the file has sections for it.
    pub failover: Option<FailoverConfig>,
    /// Configuration distribution from this member as an origin, if the file has its section.
    pub config_distribution: Option<crate::config_distribution::Origin>,
}

/// Zones and settings of the failover planner.
#[derive(Clone, Debug, PartialEq)]
pub struct FailoverConfig {
    /// Zones and the latencies between them.
    pub topology: Topology,
    /// Settings of the planner.
    pub planner: PlannerConfig,
    /// Limits on the age and the weight of load reports.
    pub report_limits: ReportLimits,
}

const GROUP_KEYS: [&str; 16] = [
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

/// Parses the text of `group.ini`. `file` is the file's name in error messages.
///
/// # Errors
/// Returns all errors of the file.
pub fn read(file: &str, text: &str) -> Result<Group, InvalidFile> {
    let (mut parser, ini) = FileParser::new(file, text)?;
    let config = NodeConfig::default();
    let mut group = Group {
        name: String::new(),
        listen: SocketAddr::from(([0, 0, 0, 0], 0)),
        zone: String::new(),
        region: String::new(),
        seeds: Vec::new(),
        initial_voters: Vec::new(),
        folder: None,
        config,
        address_overrides: BTreeMap::new(),
        replication: None,
        failover: None,
        config_distribution: None,
    };
    let (mut zones, mut latencies, mut planner_config) = (Vec::new(), Vec::new(), PlannerConfig::default());
    let mut seen: Vec<&str> = Vec::new();
    for (section, properties) in ini.iter() {
        let Some(section) = section else {
            parser.report_keys_outside_sections(properties, "[group]");
            continue;
        };
        if seen.contains(&section) {
            parser.report(section, "stands there twice");
            continue;
        }
        seen.push(section);
        match section {
            "group" => {
                parser.check_keys(section, properties, &GROUP_KEYS);
                read_group_section(&mut parser, properties, &mut group);
            }
            "copies" => {
                parser.check_keys(section, properties, &COPIES_KEYS);
                group.replication = Some(read_replication(&mut parser, properties));
            }
            crate::config_distribution::SECTION => {
                group.config_distribution = Some(crate::config_distribution::origin(&mut parser, properties));
            }
            "ways" => {
                for (from, to) in properties.iter() {
                    match to.trim().parse() {
                        Ok(to) if group.address_overrides.insert(from.trim().to_string(), to).is_none() => {}
                        Ok(_) => parser.report(section, &format!("{from} stands there twice")),
                        Err(_) => parser.report(section, &format!("{from} = {to:?}: NAME = ADDRESS:PORT")),
                    }
                }
            }
            "zones" => {
                parser.check_keys(section, properties, &ZONES_KEYS);
                read_planner(&mut parser, properties, &mut planner_config);
            }
            _ if section.starts_with("zone ") => {
                parser.check_keys(section, properties, &["region"]);
                let name = section["zone ".len()..].trim().to_string();
                let region = parser.word(section, properties, "region", Some("region"));
                zones.push(Zone { name, region });
            }
            _ if section.starts_with("way ") => {
                parser.check_keys(section, properties, &["ms"]);
                let latency_ms =
                    parser.number(section, properties, "ms", [0.0, 60_000.0], DEFAULT_BETWEEN_REGIONS_MS);
                let zone_names: Vec<String> =
                    section["way ".len()..].split_whitespace().map(str::to_string).collect();
                latencies.push((section.to_string(), zone_names, latency_ms));
            }
            _ => parser.report(
                section,
                "is no section here; [group], [ways], [copies], [changes], [zones], [zone NAME] and [way ONE OTHER] are",
            ),
        }
    }
    if !seen.contains(&"group") {
        parser.report("group", "is missing");
    }
    if let Some(changes) = &group.config_distribution {
        if group.folder.is_none() {
            let reason = "what was agreed on would be lost when all sources start anew";
            parser.report("group", &format!("folder is missing, and [changes] needs it: {reason}"));
        }
        if changes.listen == group.listen && changes.listen.port() != 0 {
            parser.report(
                "changes",
                &format!("listen = {}: [group] has it; changes have one of their own", group.listen),
            );
        }
    }
    group.failover = topology(&mut parser, zones, &latencies, &group.zone).map(|topology| FailoverConfig {
        topology,
        planner: planner_config,
        report_limits: ReportLimits::default(),
    });
    parser.finish(group)
}

/// Returns the zones and the latencies between them, if the file has any.
fn topology(
    parser: &mut FileParser<'_>,
    zones: Vec<Zone>,
    latencies: &[(String, Vec<String>, f64)],
    own_zone: &str,
) -> Option<Topology> {
    if zones.is_empty() {
        latencies.iter().for_each(|(section, ..)| parser.report(section, "is told, but no [zone NAME]"));
        return None;
    }
    if zones.len() > MAX_ZONES {
        parser.report("zones", &format!("{} zones: {MAX_ZONES} at most", zones.len()));
        return None;
    }
    let mut topology = Topology::new(zones);
    if topology.index_of(own_zone).is_none() {
        parser.report("group", &format!("zone = {own_zone:?} has no section [zone {own_zone}]"));
    }
    for (section, zone_names, latency_ms) in latencies {
        match zone_names.iter().map(|name| topology.index_of(name)).collect::<Option<Vec<usize>>>().as_deref()
        {
            Some([from, to]) if from != to => topology.set_latency(*from, *to, *latency_ms),
            _ => parser.report(section, "names two zones that have sections of their own"),
        }
    }
    Some(topology)
}

fn read_planner(parser: &mut FileParser<'_>, properties: &ini::Properties, config: &mut PlannerConfig) {
    let section = "zones";
    let mut number =
        |key: &str, range: [f64; 2], default: f64| parser.number(section, properties, key, range, default);
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
        parser.report(section, "renew_ms is more than half of valid_ms: one word lost would end the plan");
    }
}

/// Parses the section `[copies]`.
fn read_replication(parser: &mut FileParser<'_>, properties: &ini::Properties) -> ReplicationConfig {
    const BYTES_PER_MB: f64 = 1_048_576.0;
    let section = "copies";
    let mut config = ReplicationConfig::default();
    config.replication_factor = parser.count(section, properties, "copies", config.replication_factor);
    config.min_replicas =
        parser.count(section, properties, "least", config.min_replicas.min(config.replication_factor));
    let (factor, min) = (config.replication_factor, config.min_replicas);
    if !(2..=7).contains(&factor) || min == 0 || min > factor {
        parser.report(section, "copies is from 2 to 7, and least from 1 to copies");
    }
    let mut number =
        |key: &str, range: [f64; 2], default: f64| parser.number(section, properties, key, range, default);
    config.max_records = number("tickets", [100.0, 10_000_000.0], config.max_records as f64) as usize;
    let megabytes = config.max_outcome_bytes as f64 / BYTES_PER_MB;
    config.max_outcome_bytes = (number("memory_mb", [1.0, 65_536.0], megabytes) * BYTES_PER_MB) as usize;
    config.reservation_timeout_ms = number("claim_ms", [50.0, 60_000.0], config.reservation_timeout_ms);
    config.retransmit_interval_ms = number("again_ms", [10.0, 10_000.0], config.retransmit_interval_ms);
    config.max_batches_per_second =
        number("batches_a_second", [1.0, 100_000.0], config.max_batches_per_second);
    config
}

fn read_group_section(parser: &mut FileParser<'_>, properties: &ini::Properties, group: &mut Group) {
    let section = "group";
    let list = |key: &str| -> Vec<String> {
        let value = properties.get(key).unwrap_or("");
        value.split(',').map(str::trim).filter(|item| !item.is_empty()).map(str::to_string).collect()
    };
    group.name = parser.word(section, properties, "name", None);
    group.zone = parser.word(section, properties, "zone", Some("zone"));
    group.region = parser.word(section, properties, "region", Some("region"));
    group.listen = parser.advertised_address(section, properties, "listen");
    for seed in list("seeds") {
        match seed.parse() {
            Ok(seed) => group.seeds.push(seed),
            Err(_) => parser.report(section, &format!("seeds: {seed:?}: ADDRESS:PORT, with commas between")),
        }
    }
    group.initial_voters = list("council");
    if group.initial_voters.is_empty() {
        parser.report(
            section,
            "council is missing: names of the first voters, of which the first founds the group",
        );
    }
    for name in group.initial_voters.iter().filter(|name| name.contains(char::is_whitespace)) {
        parser.report(section, &format!("council: {name:?}: one word a name, with commas between"));
    }
    let mut names = group.initial_voters.clone();
    names.sort();
    names.dedup();
    if names.len() < group.initial_voters.len() {
        parser.report(section, "council names one twice");
    }
    let max_voters = plovershelf_cluster::consensus::MAX_VOTERS;
    let voters = parser.count(section, properties, "voters", group.initial_voters.len().max(1));
    if voters.is_multiple_of(2) || voters > max_voters {
        parser.report(section, &format!("voters = {voters}: 1, 3, 5 or {max_voters}"));
    }
    if group.initial_voters.len() > max_voters {
        parser
            .report(section, &format!("council names {}: {max_voters} at most", group.initial_voters.len()));
    }
    group.config.voters = voters;
    group.folder = parser.path(section, properties, "folder");
    let mut number =
        |key: &str, range: [f64; 2], default: f64| parser.number(section, properties, key, range, default);
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
        parser.report(
            section,
            "probe_answer_ms is more than half of probe_period_ms: no time is left to ask others",
        );
    }
    if group.config.raft.election_timeout_ms[1] < group.config.raft.election_timeout_ms[0] * 1.5 {
        parser.report(
            section,
            "election_most_ms is less than one and a half times election_least_ms: votes would split",
        );
    }
}

#[cfg(test)]
mod tests;
