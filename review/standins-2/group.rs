//! Members of a group: the operators' file `group.ini` for each, and the commands for people.
#![allow(dead_code)]

use super::common::*;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};

/// A member's file of the group.
pub struct Member {
    pub address: SocketAddr,
    pub file: PathBuf,
}

/// Writes `group.ini` for each name. `zones` has a zone a name; `more` is appended to each file.
pub fn write_files(names: &[&str], zones: &[&str], more: &str) -> Vec<Member> {
    let addresses: Vec<SocketAddr> = names.iter().map(|_| free_address()).collect();
    let seeds: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    let council = names.join(", ");
    let one = |index: usize| {
        let name = names[index];
        let state = folder().join(format!("{name}-group"));
        let text = format!(
            "[group]\nname = fleet\nlisten = {}\nzone = {}\nregion = north\nseeds = {}\ncouncil = {council}\nvoters = 3\n\
             folder = {}\nprobe_period_ms = 300\nprobe_answer_ms = 100\nsuspicion_ms = 1000\nlease_ms = 800\n\
             election_least_ms = 400\nelection_most_ms = 800\nreplace_ms = 5000\ndrift_percent = 2\n{more}",
            addresses[index], zones[index], seeds.join(", "), state.display()
        );
        let file = folder().join(format!("{name}-group.ini"));
        if let Err(error) = std::fs::write(&file, text) {
            cannot_run(&format!("{}: {error}", file.display()));
        }
        Member { address: addresses[index], file }
    };
    (0..names.len()).map(one).collect()
}

/// Runs `plovershelf` with these arguments; returns its exit status and what it printed.
pub fn plovershelf(arguments: &[&str]) -> (i32, String) {
    let output = Command::new("target/release/plovershelf").args(arguments).stdin(Stdio::null()).output();
    match output {
        Ok(output) => {
            let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
            text.push_str(&String::from_utf8_lossy(&output.stderr));
            (output.status.code().unwrap_or(-1), text)
        }
        Err(error) => cannot_run(&format!("plovershelf: {error}")),
    }
}
