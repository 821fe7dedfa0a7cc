//! `plovershelf config`: proposes numbered changes of the tenant quotas to an origin, and shows where they are in force.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Subcommand};
use comfy_table::{presets, Table};
use plovershelf_cluster::status::{Answer, Question};
use plovershelf_cluster::wire::{decode, encode_payload};
use plovershelf_config_distribution::{Change, Edit, Version};
use plovershelf_server::config_distribution::admin::{AdminRequest, AdminResponse, StatusReport, KEY};
use serde_json::{json, Value};

use crate::group::ask;

#[derive(Args)]
pub struct Options {
    #[command(subcommand)]
    command: Command,
}

/// Options of a query: the processes to query, their group and the output format. They are not global, because clap drops
/// some of several addresses that stand on both sides of the sub-command.
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

/// Timeout of a query; the server answers within 8 s.
const QUERY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of names printed of listeners without the newest change.
const MAX_NAMES: usize = 8;
/// Maximum number of edits printed per change.
const MAX_EDITS: usize = 3;

/// Sends a configuration distribution request to one process.
///
/// Errors: the process can't be queried, or does not take part in configuration distribution. The text is one line.
async fn ask_changes(at: SocketAddr, group: &str, request: &AdminRequest) -> Result<AdminResponse, String> {
    let question = Question::Part { part: KEY.into(), bytes: encode_payload(request) };
    match ask(at, group, question, QUERY_TIMEOUT).await? {
        Answer::Part(bytes) => decode(&bytes).map_err(|error| format!("{at}: {error}")),
        Answer::Refused(reason) => Ok(AdminResponse::Rejected(reason)),
        _ => Err(format!("{at}: unexpected answer")),
    }
}

/// Returns exit status 0 on success, 1 if the request was refused or the newest change is not in force everywhere.
///
/// Errors: no process could be queried, or the file with the change is invalid.
pub fn run(options: &Options) -> Result<u8, String> {
    match &options.command {
        Command::Propose { file, after, whom } => {
            let path = file.to_string_lossy();
            let text = std::fs::read_to_string(file).map_err(|error| format!("{path}: {error}"))?;
            let edits = plovershelf_config::config_distribution::edits(&path, &text)
                .map_err(|error| error.to_string())?;
            send_to_one(whom, &AdminRequest::Propose { edits, after: *after })
        }
        Command::History { whom } => send_to_one(whom, &AdminRequest::History),
        Command::Status { whom } => print_status(whom),
    }
}

/// Sends a request to the one given address and prints the response; returns the exit status.
fn send_to_one(whom: &Whom, request: &AdminRequest) -> Result<u8, String> {
    let [at] = whom.at[..] else { return Err("--at: one address for this command".into()) };
    let response = &async_io::block_on(ask_changes(at, &whom.name, request))?;
    if whom.json {
        let object = match response {
            AdminResponse::Committed(message) => json!({"done": message}),
            AdminResponse::Rejected(reason) => json!({"refused": reason}),
            AdminResponse::History(changes) => {
                json!({"changes": changes.iter().map(change_json).collect::<Vec<Value>>()})
            }
            AdminResponse::Status(report) => process_json(report),
        };
        println!("{object}");
        return Ok(u8::from(matches!(response, AdminResponse::Rejected(_))));
    }
    match response {
        AdminResponse::Committed(message) => println!("{message}"),
        AdminResponse::History(changes) => println!("{}", history_table(changes)),
        AdminResponse::Status(report) => println!("{}", process_json(report)),
        AdminResponse::Rejected(reason) => {
            eprintln!("plovershelf: refused: {reason}");
            return Ok(1);
        }
    }
    Ok(0)
}

/// Totals over the status reports of several processes.
#[derive(Debug, Default, PartialEq)]
struct StatusTotals {
    newest: Version,
    /// Listeners on which the newest version is in force.
    in_force: u64,
    /// All known listeners.
    listeners: u64,
    /// Names of processes without the newest version.
    missing: Vec<String>,
    /// True if two processes have the newest version with different contents.
    has_conflict: bool,
}

/// Sums up status reports. Listeners are counted by the reports of the origins, or by their own reports if there is no
/// report of an origin.
fn sum_reports(reports: &[StatusReport]) -> StatusTotals {
    let newest = reports.iter().map(|report| report.node.version).max().unwrap_or_default();
    let mut all = StatusTotals { newest, ..StatusTotals::default() };
    let has_origin = reports.iter().any(|report| report.is_origin);
    for report in reports.iter().filter(|report| report.is_origin || !has_origin) {
        let node = &report.node;
        let has_newest = node.version == newest;
        all.listeners += node.nodes;
        all.in_force += if has_newest { node.up_to_date } else { 0 };
        if !has_newest {
            all.missing.push(node.name.clone());
        }
        all.missing.extend(node.missing.iter().cloned());
    }
    all.missing.sort();
    all.missing.dedup();
    let digests =
        reports.iter().filter(|report| report.node.version == newest).map(|report| report.node.digest);
    let digests: std::collections::BTreeSet<u128> = digests.collect();
    all.has_conflict = digests.len() > 1;
    all
}

/// Queries all given addresses and prints the totals; returns the exit status.
fn print_status(whom: &Whom) -> Result<u8, String> {
    let (mut reports, mut unreached) = (Vec::new(), Vec::new());
    for at in &whom.at {
        match async_io::block_on(ask_changes(*at, &whom.name, &AdminRequest::Status)) {
            Ok(AdminResponse::Status(report)) => reports.push(*report),
            Ok(AdminResponse::Rejected(reason)) => unreached.push(format!("{at}: {reason}")),
            Ok(_) => unreached.push(format!("{at}: unexpected answer")),
            Err(error) => unreached.push(error),
        }
    }
    if reports.is_empty() {
        return Err(unreached.join("; "));
    }
    let all = sum_reports(&reports);
    if whom.json {
        let object = json!({
            "newest": all.newest.to_string(), "number": all.newest.number, "in_force": all.in_force, "of": all.listeners,
            "missing": all.missing, "two_contents": all.has_conflict, "unreached": unreached,
            "processes": reports.iter().map(process_json).collect::<Vec<Value>>(),
        });
        println!("{object}");
    } else {
        println!("{}", status_text(&reports, &all));
        unreached.iter().for_each(|error| println!("NOT ASKED: {error}"));
    }
    // A fleet without any known listener is not a success.
    let succeeded = all.listeners > 0
        && all.in_force == all.listeners
        && all.missing.is_empty()
        && unreached.is_empty()
        && !all.has_conflict;
    Ok(u8::from(!succeeded))
}

fn process_json(report: &StatusReport) -> Value {
    let node = &report.node;
    json!({
        "name": node.name, "source": report.is_origin, "version": node.version.to_string(), "number": node.version.number,
        "digest": format!("{:032x}", node.digest), "tenants": node.tenants, "age_ms": node.age_ms,
        "parent": node.parent.map(|at| at.to_string()), "spare": node.backup_parent.map(|at| at.to_string()),
        "children": node.children, "under": node.nodes, "in_force": node.up_to_date, "oldest": node.oldest.to_string(),
        "missing": node.missing,
        "council": report.consensus.as_ref().map(|consensus| json!({
            "number": consensus.number, "leader": consensus.leader, "agrees": consensus.has_quorum,
        })),
    })
}

fn change_json(change: &Change) -> Value {
    let edits: Vec<String> = change.edits.iter().map(Edit::to_string).collect();
    json!({
        "version": change.version.to_string(), "number": change.version.number, "before": change.previous.to_string(),
        "digest": format!("{:032x}", change.digest), "proposed_ms": change.proposed_unix_ms, "edits": edits,
    })
}

fn status_text(reports: &[StatusReport], all: &StatusTotals) -> String {
    let mut table = Table::new();
    let columns = ["process", "", "number", "digest", "tenants", "age s", "hears from", "spare", "feeds"];
    table.load_preset(presets::NOTHING).set_header(columns);
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
            all.newest.number, all.in_force, all.listeners
        ),
    ];
    if all.listeners == 0 {
        lines.push("NO LISTENER IS HEARD OF".into());
    }
    if !all.missing.is_empty() {
        let names: Vec<&str> = all.missing.iter().take(MAX_NAMES).map(String::as_str).collect();
        let more = if all.missing.len() > MAX_NAMES { " and more" } else { "" };
        lines.push(format!("MISSING: {}{more}", names.join(", ")));
    }
    if all.has_conflict {
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

fn history_table(changes: &[Change]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(["number", "proposed", "edits"]);
    let now_ms = std::time::SystemTime::UNIX_EPOCH.elapsed().map_or(0, |since| since.as_millis() as u64);
    for change in changes {
        let edits: Vec<String> = change.edits.iter().take(MAX_EDITS).map(Edit::to_string).collect();
        let more = change.edits.len().saturating_sub(MAX_EDITS);
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
