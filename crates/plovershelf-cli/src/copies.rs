//! `plovershelf copies`: shows the records that a member stores for idempotency keys, and the record of one key.

use std::time::Duration;

use clap::{Args, Subcommand};
use plovershelf_cluster::status::{Answer, KeyStatus, Question, ReplicationStatus};

use crate::group::ask;
use crate::member_options::{Member, MemberOptions};

#[derive(Args)]
#[command(mut_arg("json", |json| json.help("One JSON object instead of lines")))]
pub struct Options {
    #[command(subcommand)]
    command: Command,
    #[command(flatten)]
    member: MemberOptions,
}

#[derive(Subcommand)]
enum Command {
    /// What this member holds, how much of it has too few copies, what it runs, whom it passes over.
    Status,
    /// One ticket: where its copies lie, who ran it, how it ended, for how long it is kept.
    Show { offering: String, ticket: String },
}

/// Returns exit status 0 on success, 1 if the member refused or has no record of the key.
///
/// Errors: the member could not be queried.
pub fn run(options: &Options) -> Result<u8, String> {
    let Member { address: at, cluster: name } = options.member.member()?;
    let question = match &options.command {
        Command::Status => Question::Copies,
        Command::Show { offering, ticket } => {
            Question::Ticket { offering: offering.clone(), ticket: ticket.clone() }
        }
    };
    let json = |value: serde_json::Result<String>| value.map_err(|error| error.to_string());
    match async_io::block_on(ask(at, &name, question, Duration::from_secs(10)))? {
        Answer::Copies(status) => {
            println!(
                "{}",
                if options.member.json {
                    json(serde_json::to_string(&status))?
                } else {
                    status_text(&status)
                }
            );
            Ok(0)
        }
        Answer::Ticket(key) => {
            println!(
                "{}",
                if options.member.json { json(serde_json::to_string(&key))? } else { key_text(&key) }
            );
            Ok(u8::from(key.record.is_none()))
        }
        Answer::Refused(reason) => {
            eprintln!("plovershelf: refused: {reason}");
            Ok(1)
        }
        Answer::Status(_) | Answer::Done(_) | Answer::Part(_) | Answer::Brief(_) => {
            Err(format!("{at}: unexpected answer"))
        }
    }
}

fn status_text(status: &ReplicationStatus) -> String {
    let mut lines = vec![
        format!(
            "member {}, view {}, {} copies of each ticket, claims from {} on{}",
            status.name,
            status.view,
            status.replication_factor,
            status.min_replicas,
            if status.is_reconciled {
                ""
            } else {
                "; NOT SETTLED: it waits for what others hold of its tickets"
            }
        ),
        format!(
            "holds {} tickets of {}, {:.1} MB of {:.0}",
            status.records,
            status.max_records,
            status.outcome_bytes as f64 / 1_048_576.0,
            status.max_outcome_bytes as f64 / 1_048_576.0
        ),
        format!(
            "its own: {} asked for, {} wait for another's end, {} run, {} whose end is being copied",
            status.reserving, status.waiting, status.running, status.completing
        ),
    ];
    if status.under_replicated_records > 0 {
        lines.push(format!(
            "{} tickets have FEWER COPIES than they should and are being copied",
            status.under_replicated_records
        ));
    }
    if !status.suspected.is_empty() {
        lines.push(format!("passes over: {}", status.suspected.join(", ")));
    }
    if !status.draining.is_empty() {
        lines.push(format!("leaving: {}", status.draining.join(", ")));
    }
    lines.join("\n")
}

fn key_text(key: &KeyStatus) -> String {
    let mut lines = vec![format!(
        "ticket {}, as {} sees it by view {}: copies lie at {}",
        key.hash,
        key.name,
        key.view,
        key.replica_set.join(", ")
    )];
    lines.push(match &key.record {
        None => format!("{} holds nothing of it", key.name),
        Some(record) => format!(
            "{}; run by {}, claimed under view {} at {}; kept for {:.1} s more",
            record.state,
            record.executor,
            record.reserved_in_view,
            record.replica_set.join(", "),
            record.retention_ms as f64 / 1000.0
        ),
    });
    lines.join("\n")
}
