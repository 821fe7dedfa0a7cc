//! Startup errors: one line that names file and key, and exit status 2.

use std::path::PathBuf;
use std::process::{Command, Stdio};

/// Runbooks match these lines. Each block of the fixture names a configuration file and variables, followed by the
/// output.
#[test]
fn startup_with_invalid_settings_prints_the_recorded_line() {
    let fixtures = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures");
    let recorded = std::fs::read_to_string(fixtures.join("startup_errors.txt")).expect("a fixture");
    let mut starts = 0;
    for block in recorded.split("\n$ ") {
        let (start, rest) = block.trim_start_matches("$ ").split_once('\n').expect("a start and its output");
        let (expected, status) = rest.rsplit_once("= ").expect("an exit status");
        let mut words = start.split_whitespace();
        let mut command = Command::new(env!("CARGO_BIN_EXE_plovershelf-server"));
        command.env("RELAY_CONFIG", words.next().expect("a configuration file"));
        command.envs(words.map(|pair| pair.split_once('=').expect("a variable and its value")));
        command.current_dir(fixtures.join("settings")).stdin(Stdio::null());
        let output = command.output().expect("the program runs");
        assert_eq!(String::from_utf8_lossy(&output.stderr), expected, "{start}");
        assert_eq!(output.status.code(), status.trim().parse().ok(), "{start}");
        starts += 1;
    }
    assert!(starts > 15, "{starts} starts in the fixture");
}
