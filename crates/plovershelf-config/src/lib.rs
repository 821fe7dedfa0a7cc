//! Operators' files to checked values. A file is taken whole or not at all, and all that is wrong with it is told in one
//! go: each error names the file, the section, the key, the value, and what would be right.

pub mod config_distribution;
pub mod group;
pub mod pools;

use std::net::SocketAddr;
use std::path::PathBuf;

use ini::{Ini, Properties};

/// What is wrong with a file, a line each.
#[derive(Debug, PartialEq, Eq)]
pub struct Wrong(pub Vec<String>);

impl std::fmt::Display for Wrong {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{}", self.0.join("; "))
    }
}

/// The longest file that is read.
const LONGEST: usize = 256 << 10;

/// Collects what is wrong while a file is read.
struct Reading<'a> {
    file: &'a str,
    wrong: Vec<String>,
}

impl<'a> Reading<'a> {
    fn of(file: &'a str, text: &str) -> Result<(Self, Ini), Wrong> {
        Reading::up_to(file, text, LONGEST)
    }

    fn up_to(file: &'a str, text: &str, longest: usize) -> Result<(Self, Ini), Wrong> {
        if text.len() > longest {
            return Err(Wrong(vec![format!("{file}: longer than {longest} bytes")]));
        }
        match Ini::load_from_str_noescape(text) {
            Ok(ini) => Ok((Reading { file, wrong: Vec::new() }, ini)),
            Err(error) => Err(Wrong(vec![format!("{file}: line {}: {}", error.line + 1, error.msg)])),
        }
    }

    fn say(&mut self, section: &str, what: &str) {
        self.wrong.push(format!("{}: [{section}] {what}", self.file));
    }

    /// Keys before the first section.
    fn outside(&mut self, told: &Properties, sections: &str) {
        for (key, _) in told.iter() {
            self.say("", &format!("{key} stands before any section; {sections} begins one"));
        }
    }

    fn word(&mut self, section: &str, told: &Properties, key: &str, otherwise: Option<&str>) -> String {
        let value = told.get(key).map(str::trim).or(otherwise).unwrap_or("");
        if value.is_empty()
            || value.len() > 64
            || value.contains(|c: char| c.is_whitespace() || c.is_control() || c == ',')
        {
            self.say(section, &format!("{key} = {value:?}: one word of at most 64 bytes"));
        }
        value.to_string()
    }

    /// A file or folder, where one is told.
    fn path(&mut self, section: &str, told: &Properties, key: &str) -> Option<PathBuf> {
        let value = told.get(key)?.trim();
        if value.is_empty() {
            self.say(section, &format!("{key} = \"\": a path"));
        }
        Some(PathBuf::from(value))
    }

    /// Where others reach this process.
    fn reached_at(&mut self, section: &str, told: &Properties, key: &str) -> SocketAddr {
        let value = told.get(key).unwrap_or("");
        match value.trim().parse::<SocketAddr>() {
            Ok(at) if at.port() != 0 && !at.ip().is_unspecified() => at,
            _ => {
                let what = "the ADDRESS:PORT at which others reach this member";
                self.say(section, &format!("{key} = {value:?}: {what}"));
                SocketAddr::from(([0, 0, 0, 0], 0))
            }
        }
    }

    /// Keys that are not known, or stand there twice.
    fn check_keys(&mut self, section: &str, told: &Properties, known: &[&str]) {
        let mut seen: Vec<&str> = Vec::new();
        for (key, _) in told.iter() {
            if seen.contains(&key) {
                self.say(section, &format!("{key} stands there twice"));
            } else if !known.contains(&key) {
                let what = format!("{key} is no key here{}", nearest(key, known.iter().copied()));
                self.say(section, &what);
            }
            seen.push(key);
        }
    }

    /// A number in its range, or the default where none is told.
    fn number(
        &mut self,
        section: &str,
        told: &Properties,
        key: &str,
        range: [f64; 2],
        otherwise: f64,
    ) -> f64 {
        let Some(value) = told.get(key) else { return otherwise };
        match value.trim().parse::<f64>() {
            Ok(number) if (range[0]..=range[1]).contains(&number) => number,
            _ => {
                self.say(section, &format!("{key} = {value:?}: a number from {} to {}", range[0], range[1]));
                otherwise
            }
        }
    }

    fn count(&mut self, section: &str, told: &Properties, key: &str, otherwise: usize) -> usize {
        let Some(value) = told.get(key) else { return otherwise };
        match value.trim().parse::<usize>() {
            Ok(number) if number <= 10_000 => number,
            _ => {
                self.say(section, &format!("{key} = {value:?}: a whole number from 0 to 10000"));
                otherwise
            }
        }
    }

    fn done<T>(self, value: T) -> Result<T, Wrong> {
        if self.wrong.is_empty() {
            Ok(value)
        } else {
            Err(Wrong(self.wrong))
        }
    }
}

/// The known name that is most like this one, as the end of a sentence.
fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let near = known.map(|other| (strsim::damerau_levenshtein(name, other), other)).min();
    near.filter(|(far, other)| *far <= 2.max(other.len() / 3))
        .map_or(String::new(), |(_, other)| format!("; did you mean {other:?}?"))
}
