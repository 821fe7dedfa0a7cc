//! Checks the interface for people and scripts: arguments, help and error texts, exit statuses and JSON keys.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

use serde_json::Value;

fn fixtures() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

fn plovershelf(arguments: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_plovershelf"));
    command.args(arguments.split_whitespace()).current_dir(fixtures()).stdin(Stdio::null());
    command.env_remove("PLOVERSHELF_LOG").output().expect("run plovershelf")
}

fn fixture(name: &str) -> String {
    std::fs::read_to_string(fixtures().join(name)).expect("read the fixture")
}

/// Scripts and runbooks call the command with the recorded arguments and match its output and exit status.
#[test]
fn command_prints_the_recorded_help_and_error_texts() {
    let transcript = fixture("transcript.txt");
    let mut commands = 0;
    for block in transcript.split("\n$ ") {
        let block = block.trim_start_matches("$ ");
        let (arguments, rest) = block.split_once('\n').expect("a command and its output");
        let (expected, status) = rest.rsplit_once("= ").expect("an exit status");
        let output = plovershelf(arguments);
        let printed = [output.stdout, output.stderr].concat();
        assert_eq!(String::from_utf8_lossy(&printed), expected, "{arguments}");
        let status: i32 = status.trim().parse().expect("a number");
        assert_eq!(output.status.code(), Some(status), "{arguments}");
        commands += 1;
    }
    assert!(commands > 30, "{commands} commands in the transcript");
}

/// Adds the path of each key, with `[]` for the elements of a list.
fn key_paths(value: &Value, path: &str, paths: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                let path = format!("{path}.{key}");
                key_paths(field, &path, paths);
                paths.insert(path);
            }
        }
        Value::Array(elements) => {
            elements.iter().for_each(|element| key_paths(element, &format!("{path}[]"), paths))
        }
        _ => {}
    }
}

/// Dashboards read the JSON of trials by its keys.
#[test]
fn trials_print_json_with_the_recorded_keys() {
    let keys = fixture("trial_keys.txt");
    let mut trials = 0;
    for block in keys.split("\n$ ") {
        let block = block.trim_start_matches("$ ");
        let (arguments, expected) = block.split_once('\n').expect("a trial and its keys");
        let output = plovershelf(arguments);
        let json: Value = serde_json::from_slice(&output.stdout).expect("one JSON object");
        let mut paths = BTreeSet::new();
        key_paths(&json, "", &mut paths);
        let printed: Vec<&str> = paths.iter().map(String::as_str).collect();
        let expected: Vec<&str> = expected.lines().collect();
        assert_eq!(printed, expected, "{arguments}");
        trials += 1;
    }
    assert!(trials >= 3, "{trials} trials in the fixture");
}
