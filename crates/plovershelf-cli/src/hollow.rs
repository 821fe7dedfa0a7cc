//! `plovershelf hollow`: many members of a group in one process, each with the true state machine and true links on an
//! address of its own, but without a front and without work. A trial of size starts it and tells it what to do on its
//! standard input; it ends when that closes, so that none is left behind by a trial that failed.

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

const BEAT: Duration = Duration::from_millis(500);

/// What a line on standard input asks for.
#[derive(Debug, PartialEq)]
pub enum Line {
    /// Starts all members.
    Begin,
    /// Has one of them propose a word to the council.
    Word { member: String, key: String, number: u64, bytes: Vec<u8> },
}

impl Line {
    /// Errors: what can't be read of it.
    pub fn read(line: &str) -> Result<Self, String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["begin"] => Ok(Line::Begin),
            ["word", member, key, number, bytes] => Ok(Line::Word {
                member: member.into(),
                key: key.into(),
                number: number.parse().map_err(|_| format!("{line:?}: {number:?} is no number"))?,
                bytes: bytes.into(),
            }),
            _ => Err(format!("{line:?}: begin, or word MEMBER KEY NUMBER BYTES")),
        }
    }

    pub fn written(&self) -> String {
        match self {
            Line::Begin => "begin\n".into(),
            Line::Word { member, key, number, bytes } => {
                format!("word {member} {key} {number} {}\n", String::from_utf8_lossy(bytes))
            }
        }
    }
}

/// Exit status 0 when standard input closes; an error is a plan or a line that can't be carried out.
pub fn run(options: &Options) -> Result<u8, String> {
    // Closing its input does not reach a process that is stopped, this does.
    let _ = rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::KILL));
    let named = |what: String| format!("{}: {what}", options.file.display());
    let text = std::fs::read_to_string(&options.file).map_err(|error| named(error.to_string()))?;
    let plan: Value = serde_json::from_str(&text).map_err(|error| named(error.to_string()))?;
    let (mut setups, mut listeners) = (Vec::new(), Vec::new());
    for member in plan.as_array().ok_or_else(|| named("no list of members".into()))? {
        let word = |key: &str| {
            member[key].as_str().ok_or_else(|| named(format!("a member without {key:?}"))).map(str::to_string)
        };
        let (name, file) = (word("name")?, word("file")?);
        let wrong = |wrong: plovershelf_config::Wrong| wrong.to_string();
        if member["listener"].as_bool().unwrap_or(false) {
            let listener = plovershelf_config::config_distribution::read(&name, &file).map_err(wrong)?;
            listeners.push((name, DistributionSetup::from(listener)));
        } else {
            setups.push((name.clone(), plovershelf_config::group::read(&name, &file).map_err(wrong)?));
        }
    }
    // One for all of them: there is no owner here that could be stuck.
    let pulse = Arc::<DriverHeartbeat>::default();
    let beating = pulse.clone();
    let beat = move || loop {
        beating.record(true);
        std::thread::sleep(BEAT);
    };
    std::thread::Builder::new().spawn(beat).map_err(|error| format!("the pulse's thread: {error}"))?;
    let mut members = BTreeMap::new();
    for line in std::io::stdin().lock().lines() {
        match Line::read(&line.map_err(|error| format!("standard input: {error}"))?)? {
            Line::Begin => {
                for (name, setup) in setups.drain(..) {
                    let inbox = cluster::start(setup, name.clone(), pulse.clone(), None)?;
                    members.insert(name, inbox);
                }
                listen(std::mem::take(&mut listeners))?;
            }
            Line::Word { member, key, number: version, bytes } => {
                let inbox =
                    members.get(&member).ok_or_else(|| named(format!("no member {member:?} runs")))?;
                let _ = inbox.try_send(Incoming::ProposeValue { key, version, bytes });
            }
        }
    }
    Ok(0)
}

/// One listener has a thread to itself, as in a backend; many share one.
fn listen(mut listeners: Vec<(String, DistributionSetup)>) -> Result<(), String> {
    if listeners.len() < 2 {
        let Some((name, setup)) = listeners.pop() else { return Ok(()) };
        let started = config_distribution::start_listener(setup, name, Subscriber::Nobody);
        return started.map(drop).map_err(|error| error.to_string());
    }
    let run = move || {
        let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
        let mut tasks = Vec::new();
        for (name, setup) in listeners {
            match config_distribution::spawn_listener(executor, setup, name, Subscriber::Nobody) {
                Ok(task) => tasks.push(task),
                // Whoever watches sees that it is not there.
                Err(error) => tracing::error!("a listener does not start: {error}"),
            }
        }
        async_io::block_on(executor.run(futures_lite::future::pending::<()>()));
    };
    let thread = std::thread::Builder::new().name("listeners".into()).spawn(run);
    thread.map(drop).map_err(|error| format!("the listeners' thread: {error}"))
}

#[cfg(test)]
mod tests;
