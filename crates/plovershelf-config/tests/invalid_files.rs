//! Invalid operators' files: each key with an invalid value is reported, and nothing panics.

use plovershelf_config::{config_distribution, group, pools, InvalidFile};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const SEED: u64 = 0x1f11_e5ee;
const FILES: usize = 3000;

const POOLS: &str = "[pool cheap]\nofferings = quote\nleast_runs = 1\nmost_runs = 5\nleast_calls = 0\n\
    most_calls = 9\nweight = 2\n[pool valuable]\nofferings = book\n[reserve]\npool = valuable\nshare = 0.1\n";

const CHANGES: &str = "[changes]\nname = fleet\nzone = a\nregion = north\nlisten = 127.0.0.1:7400\n\
    sources = 127.0.0.1:7401, 127.0.0.1:7402\nfan_out = 4\nsource_fan_out = 8\nbeat_ms = 500\nsilent_ms = 2000\n\
    sum_ms = 1000\nspare_check_ms = 5000\n";

const GROUP: &str = "[group]\nname = fleet\nlisten = 127.0.0.1:7400\nzone = a\nregion = north\n\
    seeds = 127.0.0.1:7401\ncouncil = n1, n2, n3\nvoters = 3\nfolder = /var/lib/x\nprobe_period_ms = 1000\n\
    probe_answer_ms = 300\nsuspicion_ms = 2000\nlease_ms = 800\nelection_least_ms = 500\nelection_most_ms = 1000\n\
    replace_ms = 5000\ndrift_percent = 1\n[ways]\nn2 = 127.0.0.1:9001\n[copies]\ncopies = 3\nleast = 2\n\
    tickets = 1000\nmemory_mb = 64\nclaim_ms = 500\nagain_ms = 100\nbatches_a_second = 100\n\
    [changes]\nlisten = 127.0.0.1:7500\nsources = 127.0.0.1:7501\nbeat_ms = 500\nsilent_ms = 2000\n\
    [zones]\nperiod_ms = 500\nvalid_ms = 6000\nrenew_ms = 2000\nstep_ms = 500\nfill_percent = 80\n\
    near_fill_percent = 90\nleave_percent = 20\nreturn_percent = 10\nwell_ms = 1000\nway_most_ms = 100\n\
    [zone a]\nregion = north\n[zone b]\nregion = south\n[way a b]\nms = 12\n";

const INVALID_VALUES: [&str; 8] =
    ["", "-1", "1e308", "NaN", "9223372036854775808", "two words, x", "{}", "0x10"];

fn read(file: &str, text: &str) -> Result<(), InvalidFile> {
    let classes = ["quote".to_string(), "book".to_string()];
    match file {
        "pools.ini" => pools::read(file, text, &classes).map(drop),
        "changes.ini" => config_distribution::read(file, text).map(drop),
        _ => group::read(file, text).map(drop),
    }
}

fn files() -> [(&'static str, &'static str); 3] {
    [("pools.ini", POOLS), ("changes.ini", CHANGES), ("group.ini", GROUP)]
}

/// Returns whether a value is valid after all: paths and words may be any text, and a member may have no seeds or origins.
fn is_allowed(file: &str, key: &str, value: &str) -> bool {
    let is_word = !value.is_empty() && !value.contains([' ', ',']);
    match key {
        "folder" => !value.is_empty(),
        "name" | "zone" | "region" => is_word,
        "council" => is_word,
        "seeds" | "sources" => file == "group.ini" && value.is_empty(),
        _ => false,
    }
}

/// Guards against a file accepted with an invalid value: the error must name file, section and key.
#[test]
fn each_key_with_an_invalid_value_is_reported() {
    let mut rejected = 0;
    for (file, text) in files() {
        assert_eq!(read(file, text), Ok(()), "{file}");
        let lines: Vec<&str> = text.lines().collect();
        for (index, line) in lines.iter().enumerate() {
            let Some((key, _)) = line.split_once(" = ") else { continue };
            for value in INVALID_VALUES.into_iter().filter(|value| !is_allowed(file, key, value)) {
                let mut changed: Vec<String> = lines.iter().map(|line| line.to_string()).collect();
                changed[index] = format!("{key} = {value}");
                let Err(wrong) = read(file, &changed.join("\n")) else {
                    panic!("{file}: {key} = {value:?} was accepted");
                };
                let names_key = |line: &String| line.starts_with(&format!("{file}: [")) && line.contains(key);
                assert!(wrong.0.iter().any(names_key), "{file}: {key} = {value:?}: {wrong}");
                rejected += 1;
            }
        }
    }
    assert!(rejected > 300, "{rejected} rejected");
}

/// Guards against a duplicate key, whose intended value cannot be known.
#[test]
fn each_duplicate_key_is_reported() {
    for (file, text) in files() {
        let lines: Vec<&str> = text.lines().collect();
        for (index, line) in lines.iter().enumerate() {
            let Some((key, _)) = line.split_once(" = ") else { continue };
            let mut doubled = lines.clone();
            doubled.insert(index, line);
            let Err(wrong) = read(file, &doubled.join("\n")) else {
                panic!("{file}: duplicate {key} was accepted")
            };
            assert!(wrong.to_string().contains(&format!("{key} stands there twice")), "{wrong}");
        }
    }
}

/// Guards against panics: files with lines removed, duplicated, swapped and changed are read or rejected.
#[test]
fn random_files_are_read_or_rejected() {
    let mut random = Pcg64::seed_from_u64(SEED);
    let mut accepted = 0;
    for _ in 0..FILES {
        let (file, text) = *files().choose(&mut random).expect("a file");
        let mut lines: Vec<String> = text.lines().map(str::to_string).collect();
        for _ in 0..random.random_range(1..4) {
            let index = random.random_range(0..lines.len());
            let other = random.random_range(0..lines.len());
            match random.random_range(0..4) {
                0 => drop(lines.remove(index)),
                1 => lines.insert(index, lines[other].clone()),
                2 => lines.swap(index, other),
                _ => {
                    let key = lines[index].split(" = ").next().unwrap_or_default().to_string();
                    lines[index] =
                        format!("{key} = {}", INVALID_VALUES.choose(&mut random).expect("a value"));
                }
            }
        }
        accepted += usize::from(read(file, &lines.join("\n")).is_ok());
    }
    assert!(accepted > FILES / 20, "{accepted} accepted");
}
