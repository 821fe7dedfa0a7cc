//! `plovershelf group`: shows the members of a cluster and the decisions of its consensus group, and has the two commands
//! by which an operator changes the group.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::{Async, Timer};
use clap::{Args, Subcommand};
use comfy_table::{presets, Table};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use plovershelf_cluster::status::{Answer, Question, Status};
use plovershelf_cluster::wire::{decode, encode_frame, read_frame, Hello, Wire};

use crate::member_options::{Member, MemberOptions};

#[derive(Args)]
pub struct Options {
    #[command(subcommand)]
    command: Command,
    #[command(flatten)]
    member: MemberOptions,
}

#[derive(Subcommand)]
enum Command {
    /// Council, leader, view, and whether this member may act.
    Status,
    /// All members, with zone, condition, vote and lag.
    Members,
    /// The last views: who joined and who left.
    History,
    /// Replaces a voter at once instead of after `replace_ms`; asked of the leader, on its machine.
    Replace { voter: String },
    /// Begins a new council without those named, when a majority of voters is gone for good. What only they kept is lost.
    /// Asked of any member that is left, on its machine; all others that are left must answer.
    Recover {
        /// Names of all members that are gone, with commas between.
        #[arg(long, value_delimiter = ',', required = true)]
        lose: Vec<String>,
    },
}

/// Sends a question to one member and returns its answer.
///
/// Errors: the member can't be reached, doesn't answer in time, or sends an unexpected message. The text is one line.
pub async fn ask(
    at: SocketAddr,
    group: &str,
    question: Question,
    timeout: Duration,
) -> Result<Answer, String> {
    let failed = |cause: &str| format!("{at}: {cause}");
    let exchange = async {
        let stream =
            Async::<std::net::TcpStream>::connect(at).await.map_err(|error| failed(&error.to_string()))?;
        let bytes = [encode_frame(&Hello::of(group)), encode_frame(&Wire::Question(question))].concat();
        (&stream).write_all(&bytes).await.map_err(|error| failed(&error.to_string()))?;
        let (mut bytes, mut chunk) = (Vec::new(), vec![0; 16 << 10]);
        loop {
            if let Some((payload, _)) = read_frame(&bytes).map_err(|error| failed(&error.to_string()))? {
                return match decode::<Wire>(payload) {
                    Ok(Wire::Answer(answer)) => Ok(*answer),
                    _ => Err(failed("unexpected answer")),
                };
            }
            match (&stream).read(&mut chunk).await {
                Ok(0) => return Err(failed("closed the link: another group's name, or another version")),
                Ok(count) => bytes.extend_from_slice(&chunk[..count]),
                Err(error) => return Err(failed(&error.to_string())),
            }
        }
    };
    let timed_out = async {
        Timer::after(timeout).await;
        Err(failed("no answer came in time"))
    };
    future::or(exchange, timed_out).await
}

/// Returns exit status 0 on success, 1 if the member refused.
///
/// Errors: the member could not be queried.
pub fn run(options: &Options) -> Result<u8, String> {
    let Member { address: at, cluster: name } = options.member.member()?;
    let question = match &options.command {
        Command::Status | Command::Members | Command::History => Question::Status,
        Command::Replace { voter } => Question::Replace { voter: voter.clone() },
        Command::Recover { lose } => Question::Recover { lost: lose.clone() },
    };
    match async_io::block_on(ask(at, &name, question, Duration::from_secs(10)))? {
        Answer::Status(status) => {
            if options.member.json {
                println!("{}", serde_json::to_string(&*status).map_err(|error| error.to_string())?);
            } else {
                match options.command {
                    Command::Members => println!("{}", members_table(&status)),
                    Command::History => println!("{}", history_table(&status)),
                    _ => println!("{}", status_text(&status)),
                }
            }
            Ok(0)
        }
        Answer::Copies(_) | Answer::Ticket(_) | Answer::Part(_) | Answer::Brief(_) => {
            Err(format!("{at}: unexpected answer"))
        }
        Answer::Done(message) => {
            println!("{message}");
            Ok(0)
        }
        Answer::Refused(reason) => {
            eprintln!("plovershelf: refused: {reason}");
            Ok(1)
        }
    }
}

fn status_text(status: &Status) -> String {
    let mut lines = vec![
        format!("group {}, member {} ({:016x})", status.group, status.name, status.node_id),
        match &status.leader {
            Some(leader) => format!(
                "council {}, term {}, led by {leader}; this member: {}",
                status.epoch_number, status.term, status.role
            ),
            None => format!(
                "council {}, term {}, no leader known; this member: {}",
                status.epoch_number, status.term, status.role
            ),
        },
        format!(
            "view {} of {} members, {} decisions",
            status.view,
            status.view_members.len(),
            status.commit_index
        ),
    ];
    lines.push(match status.may_act {
        Some(view) => format!("may act by view {view}"),
        None => "may not act by the council's word now".into(),
    });
    if let Some(ms) = status.no_leader_ms {
        lines.push(format!(
            "NO LEADER'S WORD for {:.0} s: nothing new is agreed. If a majority of voters is gone for good, see \
             `plovershelf group recover --help`",
            ms / 1000.0
        ));
    }
    if !status.is_storage_working {
        lines.push("the folder takes nothing: this member neither votes nor confirms".into());
    }
    lines.extend(status.values.iter().map(|(key, number)| format!("agreed: {key}, number {number}")));
    lines.join("\n")
}

fn members_table(status: &Status) -> Table {
    let mut table = Table::new();
    let columns =
        ["member", "zone", "region", "memory", "condition", "for s", "works", "in view", "voter", "lag"];
    table.load_preset(presets::NOTHING).set_header(columns);
    for member in &status.members {
        let yes_no = |value: bool| if value { "yes" } else { "no" }.to_string();
        table.add_row([
            member.name.clone(),
            member.zone.clone(),
            member.region.clone(),
            format!("{:016x}", member.node_id),
            member.state.clone(),
            format!("{:.0}", member.since_ms / 1000.0),
            if member.is_draining { "leaves".into() } else { yes_no(member.is_ready) },
            yes_no(member.in_view),
            yes_no(member.voter),
            member.lag.map_or(String::new(), |lag| lag.to_string()),
        ]);
    }
    table
}

fn history_table(status: &Status) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(["view", "joined", "left"]);
    let names = |members: &[(plovershelf_cluster::NodeId, String)]| {
        let names = members.iter().map(|(id, name)| format!("{name} ({:08x})", id.0 >> 32));
        names.collect::<Vec<_>>().join(", ")
    };
    for change in &status.history {
        table.add_row([change.number.to_string(), names(&change.joined), names(&change.left)]);
    }
    table
}
