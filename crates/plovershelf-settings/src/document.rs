//! A JSON document read key by key. What is wrong with it is collected, so that one run of the program tells all of it.
//!
//! A key that the document does not have reads as `None`, and the caller has a default for it. A key that is there with a value
//! that can't be used reads as `None` too and leaves a [`Problem`]: the document is then refused whole. Keys that nobody
//! reads are not looked at.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;

use serde_json::{Map, Value};

/// Characters of a value that a problem shows.
const MAX_SHOWN_CHARS: usize = 60;
/// Problems that are shown; the rest are counted.
const MAX_SHOWN_PROBLEMS: usize = 40;

/// One key that can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    path: String,
    found: String,
    expected: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "\"{}\": {}: {}", self.path, self.found, self.expected)
    }
}

/// All that is wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct InvalidDocument(Vec<Problem>);

impl fmt::Display for InvalidDocument {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown: Vec<String> = self.0.iter().take(MAX_SHOWN_PROBLEMS).map(Problem::to_string).collect();
        out.write_str(&shown.join("; "))?;
        match self.0.len().saturating_sub(MAX_SHOWN_PROBLEMS) {
            0 => Ok(()),
            more => write!(out, "; and {more} more"),
        }
    }
}

/// Collects what is wrong while a document is read.
#[derive(Debug, Default)]
pub struct Problems(RefCell<Vec<Problem>>);

impl Problems {
    /// The value that was read, unless anything was wrong.
    ///
    /// # Errors
    /// All that was wrong.
    pub fn finish<T>(self, value: T) -> Result<T, InvalidDocument> {
        let mut problems = self.0.into_inner();
        // A key that is read for two purposes is wrong once.
        let mut seen = BTreeSet::new();
        problems.retain(|problem| seen.insert(problem.path.clone()));
        if problems.is_empty() {
            Ok(value)
        } else {
            Err(InvalidDocument(problems))
        }
    }
}

/// The numbers that a key may have.
#[derive(Clone, Copy, Debug)]
pub struct NumberRange {
    min: f64,
    max: f64,
    excludes_min: bool,
    is_whole: bool,
}

impl NumberRange {
    /// From `min` to `max`.
    pub const fn between(min: f64, max: f64) -> Self {
        NumberRange { min, max, excludes_min: false, is_whole: false }
    }

    /// Above `min`, and `max` at most.
    pub const fn above(min: f64, max: f64) -> Self {
        NumberRange { min, max, excludes_min: true, is_whole: false }
    }

    /// Whole numbers from `min` to `max`.
    pub const fn whole(min: f64, max: f64) -> Self {
        NumberRange { min, max, excludes_min: false, is_whole: true }
    }

    fn contains(&self, number: f64) -> bool {
        let above_min = if self.excludes_min { number > self.min } else { number >= self.min };
        above_min && number <= self.max && (!self.is_whole || number.fract() == 0.0)
    }
}

impl fmt::Display for NumberRange {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let NumberRange { min, max, .. } = self;
        match (self.is_whole, self.excludes_min) {
            (true, _) => write!(out, "a whole number from {min} to {max}"),
            (false, true) => write!(out, "a number above {min}, at most {max}"),
            (false, false) => write!(out, "a number from {min} to {max}"),
        }
    }
}

/// An object of the document; one that is missing has no keys.
#[derive(Clone, Debug)]
pub struct Section<'a> {
    path: String,
    fields: Option<&'a Map<String, Value>>,
    /// It is no object, which was said: nothing is said of the keys that it can't have.
    is_rejected: bool,
    problems: &'a Problems,
}

impl<'a> Section<'a> {
    /// The document itself.
    pub fn document(value: &'a Value, problems: &'a Problems) -> Self {
        Section::named(String::new(), value, problems)
    }

    /// An object that stands alone, under the name that it has in a document.
    pub fn named(path: String, value: &'a Value, problems: &'a Problems) -> Self {
        Entry { path, value: Some(value), is_rejected: false, problems }.section()
    }

    /// One key of it.
    pub fn get(&self, key: &str) -> Entry<'a> {
        let path = if self.path.is_empty() { key.to_string() } else { format!("{}.{key}", self.path) };
        let value = self.fields.and_then(|fields| fields.get(key));
        Entry { path, value, is_rejected: self.is_rejected, problems: self.problems }
    }
}

/// One key of a section, or one row of a list, with its value if it has one.
#[derive(Clone, Debug)]
pub struct Entry<'a> {
    path: String,
    value: Option<&'a Value>,
    is_rejected: bool,
    problems: &'a Problems,
}

impl<'a> Entry<'a> {
    /// Where it stands in the document.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Whether the document has the key.
    pub fn is_present(&self) -> bool {
        self.value.is_some()
    }

    /// Says that it can't be used, and what would be right.
    pub fn reject(&self, expected: impl fmt::Display) {
        if self.is_rejected {
            return;
        }
        let found = self.value.map_or_else(|| "missing".to_string(), |value| shortened(&value.to_string()));
        let problem = Problem { path: self.path.clone(), found, expected: expected.to_string() };
        self.problems.0.borrow_mut().push(problem);
    }

    /// As an object.
    pub fn section(&self) -> Section<'a> {
        let fields = self.value.and_then(Value::as_object);
        let is_no_object = fields.is_none() && self.is_present();
        if is_no_object {
            self.reject("an object");
        }
        let is_rejected = is_no_object || self.is_rejected;
        Section { path: self.path.clone(), fields, is_rejected, problems: self.problems }
    }

    /// As a list; empty where it is missing.
    pub fn rows(&self) -> Vec<Entry<'a>> {
        let rows = self.value.and_then(Value::as_array);
        if rows.is_none() && self.is_present() {
            self.reject("a list");
        }
        let row = |(place, value)| Entry {
            path: format!("{}[{place}]", self.path),
            value: Some(value),
            is_rejected: self.is_rejected,
            problems: self.problems,
        };
        rows.into_iter().flatten().enumerate().map(row).collect()
    }

    /// As a number in a range.
    pub fn number(&self, range: NumberRange) -> Option<f64> {
        self.convert(range, |value| value.as_f64().filter(|number| range.contains(*number)))
    }

    /// As a number that the document must have.
    pub fn required_number(&self, range: NumberRange) -> Option<f64> {
        if !self.is_present() {
            self.reject(range);
        }
        self.number(range)
    }

    /// As true or false.
    pub fn flag(&self) -> Option<bool> {
        self.convert("true or false", Value::as_bool)
    }

    /// As text that is not empty.
    pub fn text(&self) -> Option<&'a str> {
        self.convert("text that is not empty", |value| value.as_str().filter(|text| !text.is_empty()))
    }

    /// As one of these words.
    pub fn word<T: Copy>(&self, words: &[(&str, T)]) -> Option<T> {
        let known = |value: &Value| {
            let text = value.as_str()?;
            words.iter().find(|(word, _)| *word == text).map(|(_, meaning)| *meaning)
        };
        let names: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
        self.convert(listed(&names), known)
    }

    /// As whatever `convert` makes of it; what it makes nothing of is rejected.
    pub fn convert<T>(
        &self,
        expected: impl fmt::Display,
        convert: impl FnOnce(&'a Value) -> Option<T>,
    ) -> Option<T> {
        let converted = convert(self.value?);
        if converted.is_none() {
            self.reject(expected);
        }
        converted
    }
}

/// `a, b or c`.
fn listed(names: &[&str]) -> String {
    match names {
        [] => String::new(),
        [only] => (*only).to_string(),
        [first @ .., last] => format!("{} or {last}", first.join(", ")),
    }
}

fn shortened(text: &str) -> String {
    match text.char_indices().nth(MAX_SHOWN_CHARS) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text.to_string(),
    }
}
