//! `plovershelf config`: tenants' quotas as numbered changes: proposed to a source, and where they are in force.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Subcommand};
use comfy_table::{presets, Table};
use plovershelf_cluster::status::{Answer, Question};
use plovershelf_cluster::wire::{decode, encode_payload as plain};
use plovershelf_config_distribution::{Change, Edit, Version};
use plovershelf_server::config_distribution::admin::{AdminRequest, AdminResponse, StatusReport, KEY};
use serde_json::{json, Value};

use crate::group::ask;

#[derive(Args)]
pub struct Options {
    #[command(subcommand)]
    command: Command,
}

/// Who is asked, and how it is told. Not global, as some of several addresses would get lost where they stand on both
/// sides of the sub-command.
#[derive(Args)]
struct Whom {
    /// Who is asked, as `listen` in its section [changes]; for all of the fleet every source.
    #[arg(long, value_name = "ADDRESS:PORT", required = true)]
    at: Vec<SocketAddr>,
    /// The group's name.
    #[arg(long, value_name = "NAME", default_value = "fleet")]
    name: String,
    /// One JSON object instead of tables.
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand)]
enum Command {
    /// Proposes a change to a source, on its machine: [set] and [add] with NAME = quota a second, [remove] with NAME =.
    Propose {
        #[arg(long, value_name = "FILE")]
        file: PathBuf,
        /// Only if this is the newest number.
        #[arg(long, value_name = "NUMBER")]
        after: Option<u64>,
        #[command(flatten)]
        whom: Whom,
    },
    /// The newest change, where it is in force, and who lacks it.
    Status {
        #[command(flatten)]
        whom: Whom,
    },
    /// The last changes.
    History {
        #[command(flatten)]
        whom: Whom,
    },
}

/// A question is given up after this; the server answers within 8 s.
const WITHIN: Duration = Duration::from_secs(10);
/// Names of those that lack the newest.
const NAMES_SHOWN: usize = 8;
const EDITS_SHOWN: usize = 3;

/// Asks one process of its changes.
///
/// Errors: it can't be asked, or changes are not carried there, in one line.
pub async fn ask_changes(at: SocketAddr, group: &str, what: &AdminRequest) -> Result<AdminResponse, String> {
    let question = Question::Part { part: KEY.into(), bytes: plain(what) };
    match ask(at, group, question, WITHIN).await? {
        Answer::Part(bytes) => decode(&bytes).map_err(|spoilt| format!("{at}: {spoilt}")),
        Answer::Refused(why) => Ok(AdminResponse::Rejected(why)),
        _ => Err(format!("{at}: answered something else")),
    }
}

/// Exit statuses: 0 done, 1 refused or missing somewhere; an error is that nothing could be asked.
pub fn run(options: &Options) -> Result<u8, String> {
    match &options.command {
        Command::Propose { file, after, whom } => {
            let shown = file.to_string_lossy();
            let text = std::fs::read_to_string(file).map_err(|error| format!("{shown}: {error}"))?;
            let edits = plovershelf_config::config_distribution::edits(&shown, &text)
                .map_err(|wrong| wrong.to_string())?;
            ask_one(whom, &AdminRequest::Propose { edits, after: *after })
        }
        Command::History { whom } => ask_one(whom, &AdminRequest::History),
        Command::Status { whom } => status(whom),
    }
}

fn ask_one(whom: &Whom, what: &AdminRequest) -> Result<u8, String> {
    let [at] = whom.at[..] else { return Err("--at: one address for this command".into()) };
    let told = &async_io::block_on(ask_changes(at, &whom.name, what))?;
    if whom.json {
        let object = match told {
            AdminResponse::Committed(what) => json!({"done": what}),
            AdminResponse::Rejected(why) => json!({"refused": why}),
            AdminResponse::History(changes) => {
                json!({"changes": changes.iter().map(change).collect::<Vec<Value>>()})
            }
            AdminResponse::Status(report) => process(report),
        };
        println!("{object}");
        return Ok(u8::from(matches!(told, AdminResponse::Rejected(_))));
    }
    match told {
        AdminResponse::Committed(what) => println!("{what}"),
        AdminResponse::History(changes) => println!("{}", history(changes)),
        AdminResponse::Status(report) => println!("{}", process(report)),
        AdminResponse::Rejected(why) => {
            eprintln!("plovershelf: refused: {why}");
            return Ok(1);
        }
    }
    Ok(0)
}

/// What several processes say, as one.
#[derive(Debug, Default, PartialEq)]
pub struct Summed {
    pub newest: Version,
    pub in_force: u64,
    pub of: u64,
    pub missing: Vec<String>,
    /// Two say that they have the newest and have different contents.
    pub two_contents: bool,
}

/// Listeners are counted by their sources; where none of those was asked, those that were asked count.
pub fn summed(reports: &[StatusReport]) -> Summed {
    let newest = reports.iter().map(|report| report.node.version).max().unwrap_or_default();
    let mut all = Summed { newest, ..Summed::default() };
    let sources = reports.iter().any(|report| report.is_origin);
    for report in reports.iter().filter(|report| report.is_origin || !sources) {
        let node = &report.node;
        let has_it = node.version == newest;
        all.of += node.nodes;
        all.in_force += if has_it { node.up_to_date } else { 0 };
        if !has_it {
            all.missing.push(node.name.clone());
        }
        all.missing.extend(node.missing.iter().cloned());
    }
    all.missing.sort();
    all.missing.dedup();
    let digests =
        reports.iter().filter(|report| report.node.version == newest).map(|report| report.node.digest);
    let digests: std::collections::BTreeSet<u128> = digests.collect();
    all.two_contents = digests.len() > 1;
    all
}

fn status(whom: &Whom) -> Result<u8, String> {
    let (mut reports, mut unreached) = (Vec::new(), Vec::new());
    for at in &whom.at {
        match async_io::block_on(ask_changes(*at, &whom.name, &AdminRequest::Status)) {
            Ok(AdminResponse::Status(report)) => reports.push(*report),
            Ok(AdminResponse::Rejected(why)) => unreached.push(format!("{at}: {why}")),
            Ok(_) => unreached.push(format!("{at}: answered something else")),
            Err(why) => unreached.push(why),
        }
    }
    if reports.is_empty() {
        return Err(unreached.join("; "));
    }
    let all = summed(&reports);
    if whom.json {
        let object = json!({
            "newest": shown(all.newest), "number": all.newest.number, "in_force": all.in_force, "of": all.of,
            "missing": all.missing, "two_contents": all.two_contents, "unreached": unreached,
            "processes": reports.iter().map(process).collect::<Vec<Value>>(),
        });
        println!("{object}");
    } else {
        println!("{}", told(&reports, &all));
        unreached.iter().for_each(|why| println!("NOT ASKED: {why}"));
    }
    // Nobody heard of is no success.
    let well = all.of > 0
        && all.in_force == all.of
        && all.missing.is_empty()
        && unreached.is_empty()
        && !all.two_contents;
    Ok(u8::from(!well))
}

fn shown(version: Version) -> String {
    version.to_string()
}

fn process(report: &StatusReport) -> Value {
    let node = &report.node;
    json!({
        "name": node.name, "source": report.is_origin, "version": shown(node.version), "number": node.version.number,
        "digest": format!("{:032x}", node.digest), "tenants": node.tenants, "age_ms": node.age_ms,
        "parent": node.parent.map(|at| at.to_string()), "spare": node.backup_parent.map(|at| at.to_string()),
        "children": node.children, "under": node.nodes, "in_force": node.up_to_date, "oldest": shown(node.oldest),
        "missing": node.missing,
        "council": report.consensus.as_ref().map(|consensus| json!({
            "number": consensus.number, "leader": consensus.leader, "agrees": consensus.has_quorum,
        })),
    })
}

fn change(change: &Change) -> Value {
    let edits: Vec<String> = change.edits.iter().map(Edit::to_string).collect();
    json!({
        "version": shown(change.version), "number": change.version.number, "before": shown(change.previous),
        "digest": format!("{:032x}", change.digest), "proposed_ms": change.proposed_unix_ms, "edits": edits,
    })
}

fn told(reports: &[StatusReport], all: &Summed) -> String {
    let mut table = Table::new();
    let head = ["process", "", "number", "digest", "tenants", "age s", "hears from", "spare", "feeds"];
    table.load_preset(presets::NOTHING).set_header(head);
    for StatusReport { node, is_origin, .. } in reports {
        let at = |at: Option<SocketAddr>| at.map_or(String::new(), |at| at.to_string());
        table.add_row([
            node.name.clone(),
            if *is_origin { "source" } else { "listener" }.to_string(),
            node.version.number.to_string(),
            format!("{:08x}", node.digest >> 96),
            node.tenants.to_string(),
            node.age_ms.map_or("never heard".into(), |age| format!("{:.1}", age / 1000.0)),
            at(node.parent),
            at(node.backup_parent),
            node.children.to_string(),
        ]);
    }
    let mut lines = vec![
        table.to_string(),
        format!(
            "change {} is in force on {} of {} that are heard of",
            all.newest.number, all.in_force, all.of
        ),
    ];
    if all.of == 0 {
        lines.push("NO LISTENER IS HEARD OF".into());
    }
    if !all.missing.is_empty() {
        let names: Vec<&str> = all.missing.iter().take(NAMES_SHOWN).map(String::as_str).collect();
        let more = if all.missing.len() > NAMES_SHOWN { " and more" } else { "" };
        lines.push(format!("MISSING: {}{more}", names.join(", ")));
    }
    if all.two_contents {
        lines.push("TWO CONTENTS UNDER ONE NUMBER: the digests differ".into());
    }
    for StatusReport { node, consensus, .. } in reports {
        if let Some(consensus) = consensus.as_ref().filter(|consensus| !consensus.has_quorum) {
            let leader = consensus.leader.as_deref().unwrap_or("nobody that is known");
            lines.push(format!("{}: NOTHING NEW IS AGREED ON there now; led by {leader}", node.name));
        }
    }
    lines.join("\n")
}

fn history(changes: &[Change]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(["number", "proposed", "edits"]);
    let now_ms = std::time::SystemTime::UNIX_EPOCH.elapsed().map_or(0, |since| since.as_millis() as u64);
    for change in changes {
        let edits: Vec<String> = change.edits.iter().take(EDITS_SHOWN).map(Edit::to_string).collect();
        let more = change.edits.len().saturating_sub(EDITS_SHOWN);
        let more = if more > 0 { format!(" and {more} more") } else { String::new() };
        table.add_row([
            change.version.number.to_string(),
            format!("{} s ago", now_ms.saturating_sub(change.proposed_unix_ms) / 1000),
            edits.join(", ") + &more,
        ]);
    }
    table
}

#[cfg(test)]
mod tests;
