//! `plovershelf hollow`: runs many members of a group in one process. Each member runs the real protocol state machine on
//! real connections from an address of its own, but serves no requests. The `scale` trial starts the process and sends it
//! commands on standard input. The process exits when standard input closes, so that a failed trial leaves none behind.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use clap::Args;
use plovershelf_server::cluster::{self, DriverHeartbeat, Incoming};
use plovershelf_server::config_distribution::{self, DistributionSetup, Subscriber};
use serde_json::Value;

#[derive(Args)]
pub struct Options {
    /// A JSON list of members, each with `name` and `file`, the text of its group.ini, or of its changes.ini where `listener`
    /// is true.
    #[arg(long, value_name = "FILE")]
    file: PathBuf,
}

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// A command on standard input, one a line.
#[derive(Debug, PartialEq)]
pub enum HollowCommand {
    /// Starts all members.
    Begin,
    /// Makes one member propose a value to the consensus group.
    Propose { member: String, key: String, number: u64, bytes: Vec<u8> },
}

impl HollowCommand {
    /// Parses a line.
    ///
    /// Errors: the line is malformed.
    pub fn parse(line: &str) -> Result<Self, String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["begin"] => Ok(HollowCommand::Begin),
            ["word", member, key, number, bytes] => Ok(HollowCommand::Propose {
                member: member.into(),
                key: key.into(),
                number: number.parse().map_err(|_| format!("{line:?}: {number:?} is not a number"))?,
                bytes: bytes.into(),
            }),
            _ => Err(format!("{line:?}: expected begin, or word MEMBER KEY NUMBER BYTES")),
        }
    }

    /// Returns the command as a line with its line break.
    pub fn to_line(&self) -> String {
        match self {
            HollowCommand::Begin => "begin\n".into(),
            HollowCommand::Propose { member, key, number, bytes } => {
                format!("word {member} {key} {number} {}\n", String::from_utf8_lossy(bytes))
            }
        }
    }
}

/// Returns exit status 0 when standard input closes.
///
/// Errors: the list of members or a command is invalid, or a member can't be started.
pub fn run(options: &Options) -> Result<u8, String> {
    // A process paused by SIGSTOP does not notice that its input has closed; this signal ends it nevertheless.
    let _ = rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::KILL));
    let named = |what: String| format!("{}: {what}", options.file.display());
    let text = std::fs::read_to_string(&options.file).map_err(|error| named(error.to_string()))?;
    let plan: Value = serde_json::from_str(&text).map_err(|error| named(error.to_string()))?;
    let (mut setups, mut listeners) = (Vec::new(), Vec::new());
    for member in plan.as_array().ok_or_else(|| named("no list of members".into()))? {
        let text = |key: &str| {
            member[key].as_str().ok_or_else(|| named(format!("a member without {key:?}"))).map(str::to_string)
        };
        let (name, file) = (text("name")?, text("file")?);
        let invalid = |error: plovershelf_config::InvalidFile| error.to_string();
        if member["listener"].as_bool().unwrap_or(false) {
            let listener = plovershelf_config::config_distribution::read(&name, &file).map_err(invalid)?;
            listeners.push((name, DistributionSetup::from(listener)));
        } else {
            setups.push((name.clone(), plovershelf_config::group::read(&name, &file).map_err(invalid)?));
        }
    }
    // All members share one heartbeat: no server driver runs here that could get stuck.
    let heartbeat = Arc::<DriverHeartbeat>::default();
    let recorded = heartbeat.clone();
    let beat = move || loop {
        recorded.record(true);
        std::thread::sleep(HEARTBEAT_INTERVAL);
    };
    std::thread::Builder::new()
        .spawn(beat)
        .map_err(|error| format!("starting the heartbeat thread: {error}"))?;
    let mut members = BTreeMap::new();
    for line in std::io::stdin().lock().lines() {
        match HollowCommand::parse(&line.map_err(|error| format!("standard input: {error}"))?)? {
            HollowCommand::Begin => {
                for (name, setup) in setups.drain(..) {
                    let inbox = cluster::start(setup, name.clone(), heartbeat.clone(), None)?;
                    members.insert(name, inbox);
                }
                start_listeners(std::mem::take(&mut listeners))?;
            }
            HollowCommand::Propose { member, key, number: version, bytes } => {
                let inbox =
                    members.get(&member).ok_or_else(|| named(format!("member {member:?} is not running")))?;
                let _ = inbox.try_send(Incoming::ProposeValue { key, version, bytes });
            }
        }
    }
    Ok(0)
}

/// Starts the listeners. A single listener gets a thread to itself, as in a backend; several listeners share one thread.
fn start_listeners(mut listeners: Vec<(String, DistributionSetup)>) -> Result<(), String> {
    if listeners.len() < 2 {
        let Some((name, setup)) = listeners.pop() else { return Ok(()) };
        let started = config_distribution::start_listener(setup, name, Subscriber::Discard);
        return started.map(drop).map_err(|error| error.to_string());
    }
    let run = move || {
        let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
        let mut tasks = Vec::new();
        for (name, setup) in listeners {
            match config_distribution::spawn_listener(executor, setup, name, Subscriber::Discard) {
                Ok(task) => tasks.push(task),
                // The trial notices the missing listener when it polls the members.
                Err(error) => tracing::error!("starting a listener: {error}"),
            }
        }
        async_io::block_on(executor.run(futures_lite::future::pending::<()>()));
    };
    let thread = std::thread::Builder::new().name("listeners".into()).spawn(run);
    thread.map(drop).map_err(|error| format!("starting the listeners' thread: {error}"))
}

#[cfg(test)]
mod tests;
