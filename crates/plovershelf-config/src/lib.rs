//! Parses and validates operators' files. A file is accepted as a whole or rejected with all of its errors: each error names
//! the file, the section, the key, the value, and the valid values.

pub mod config_distribution;
pub mod group;
pub mod pools;

use std::net::SocketAddr;
use std::path::PathBuf;

use ini::{Ini, Properties};

/// All errors of a file, one line each.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidFile(pub Vec<String>);

impl std::fmt::Display for InvalidFile {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{}", self.0.join("; "))
    }
}

/// Maximum length of a file in bytes.
const MAX_FILE_BYTES: usize = 256 << 10;

/// Parser of one file that collects its errors.
struct FileParser<'a> {
    file: &'a str,
    errors: Vec<String>,
}

impl<'a> FileParser<'a> {
    fn new(file: &'a str, text: &str) -> Result<(Self, Ini), InvalidFile> {
        FileParser::with_max_bytes(file, text, MAX_FILE_BYTES)
    }

    fn with_max_bytes(file: &'a str, text: &str, max_bytes: usize) -> Result<(Self, Ini), InvalidFile> {
        if text.len() > max_bytes {
            return Err(InvalidFile(vec![format!("{file}: longer than {max_bytes} bytes")]));
        }
        match Ini::load_from_str_noescape(text) {
            Ok(ini) => Ok((FileParser { file, errors: Vec::new() }, ini)),
            Err(error) => Err(InvalidFile(vec![format!("{file}: line {}: {}", error.line + 1, error.msg)])),
        }
    }

    fn report(&mut self, section: &str, message: &str) {
        self.errors.push(format!("{}: [{section}] {message}", self.file));
    }

    /// Reports keys before the first section.
    fn report_keys_outside_sections(&mut self, properties: &Properties, sections: &str) {
        for (key, _) in properties.iter() {
            self.report("", &format!("{key} stands before any section; {sections} begins one"));
        }
    }

    fn word(&mut self, section: &str, properties: &Properties, key: &str, default: Option<&str>) -> String {
        let value = properties.get(key).map(str::trim).or(default).unwrap_or("");
        if value.is_empty()
            || value.len() > 64
            || value.contains(|c: char| c.is_whitespace() || c.is_control() || c == ',')
        {
            self.report(section, &format!("{key} = {value:?}: one word of at most 64 bytes"));
        }
        value.to_string()
    }

    /// Returns the value of a key as a path, or `None` if the key is missing. Reports an empty value. Does not access
    /// the file system.
    fn path(&mut self, section: &str, properties: &Properties, key: &str) -> Option<PathBuf> {
        let value = properties.get(key)?.trim();
        if value.is_empty() {
            self.report(section, &format!("{key} = \"\": a path"));
        }
        Some(PathBuf::from(value))
    }

    /// Parses the value of a key as the address at which other processes reach this one. Reports an invalid value.
    fn advertised_address(&mut self, section: &str, properties: &Properties, key: &str) -> SocketAddr {
        let value = properties.get(key).unwrap_or("");
        match value.trim().parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 && !address.ip().is_unspecified() => address,
            _ => {
                let expected = "the ADDRESS:PORT at which others reach this member";
                self.report(section, &format!("{key} = {value:?}: {expected}"));
                SocketAddr::from(([0, 0, 0, 0], 0))
            }
        }
    }

    /// Reports unknown and duplicate keys.
    fn check_keys(&mut self, section: &str, properties: &Properties, known: &[&str]) {
        let mut seen: Vec<&str> = Vec::new();
        for (key, _) in properties.iter() {
            if seen.contains(&key) {
                self.report(section, &format!("{key} stands there twice"));
            } else if !known.contains(&key) {
                let message = format!("{key} is no key here{}", suggestion(key, known.iter().copied()));
                self.report(section, &message);
            }
            seen.push(key);
        }
    }

    /// Parses the value of a key as a number in a range; returns the default if the key is missing.
    fn number(
        &mut self,
        section: &str,
        properties: &Properties,
        key: &str,
        range: [f64; 2],
        default: f64,
    ) -> f64 {
        let Some(value) = properties.get(key) else { return default };
        match value.trim().parse::<f64>() {
            Ok(number) if (range[0]..=range[1]).contains(&number) => number,
            _ => {
                self.report(
                    section,
                    &format!("{key} = {value:?}: a number from {} to {}", range[0], range[1]),
                );
                default
            }
        }
    }

    fn count(&mut self, section: &str, properties: &Properties, key: &str, default: usize) -> usize {
        let Some(value) = properties.get(key) else { return default };
        match value.trim().parse::<usize>() {
            Ok(number) if number <= 10_000 => number,
            _ => {
                self.report(section, &format!("{key} = {value:?}: a whole number from 0 to 10000"));
                default
            }
        }
    }

    fn finish<T>(self, value: T) -> Result<T, InvalidFile> {
        if self.errors.is_empty() {
            Ok(value)
        } else {
            Err(InvalidFile(self.errors))
        }
    }
}

/// Returns a suggestion of the most similar known name, as the end of a message, or an empty string.
fn suggestion<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let similar = known.map(|other| (strsim::damerau_levenshtein(name, other), other)).min();
    similar
        .filter(|(distance, other)| *distance <= 2.max(other.len() / 3))
        .map_or(String::new(), |(_, other)| format!("; did you mean {other:?}?"))
}
