//! Reads a JSON document key by key and collects its errors, so that one run of the program reports all of them.
//!
//! A missing key reads as `None`, for which the caller has a default. A key with an invalid value reads as `None` too and
//! records a [`Problem`], which makes the whole document invalid. Keys that no one reads are ignored.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;

use serde_json::{Map, Value};

/// Maximum number of characters of a value in an error message.
const MAX_SHOWN_CHARS: usize = 60;
/// Maximum number of errors in a message; the others are only counted.
const MAX_SHOWN_PROBLEMS: usize = 40;

/// A key with an invalid or missing value.
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

/// All errors of a document.
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

/// Errors collected while a document is read.
#[derive(Debug, Default)]
pub struct Problems(RefCell<Vec<Problem>>);

impl Problems {
    /// Returns the value that was read if no errors were recorded.
    ///
    /// # Errors
    /// Returns all recorded errors.
    pub fn finish<T>(self, value: T) -> Result<T, InvalidDocument> {
        let mut problems = self.0.into_inner();
        // A key that is read twice is reported once.
        let mut seen = BTreeSet::new();
        problems.retain(|problem| seen.insert(problem.path.clone()));
        if problems.is_empty() {
            Ok(value)
        } else {
            Err(InvalidDocument(problems))
        }
    }
}

/// Range of valid numbers for a key.
#[derive(Clone, Copy, Debug)]
pub struct NumberRange {
    min: f64,
    max: f64,
    excludes_min: bool,
    is_whole: bool,
}

impl NumberRange {
    /// Returns the range from `min` to `max`, both included.
    pub const fn between(min: f64, max: f64) -> Self {
        NumberRange { min, max, excludes_min: false, is_whole: false }
    }

    /// Returns the range above `min` up to and including `max`.
    pub const fn above(min: f64, max: f64) -> Self {
        NumberRange { min, max, excludes_min: true, is_whole: false }
    }

    /// Returns the range of integers from `min` to `max`, both included.
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

/// An object of the document; a missing object has no keys.
#[derive(Clone, Debug)]
pub struct Section<'a> {
    path: String,
    fields: Option<&'a Map<String, Value>>,
    /// Whether the value is not an object, which was reported; errors of its keys are not reported then.
    is_rejected: bool,
    problems: &'a Problems,
}

impl<'a> Section<'a> {
    /// Returns the root object of a document.
    pub fn document(value: &'a Value, problems: &'a Problems) -> Self {
        Section::named(String::new(), value, problems)
    }

    /// Returns a separate object, with `path` as its path in error messages.
    pub fn named(path: String, value: &'a Value, problems: &'a Problems) -> Self {
        Entry { path, value: Some(value), is_rejected: false, problems }.section()
    }

    /// Returns the entry of a key.
    pub fn get(&self, key: &str) -> Entry<'a> {
        let path = if self.path.is_empty() { key.to_string() } else { format!("{}.{key}", self.path) };
        let value = self.fields.and_then(|fields| fields.get(key));
        Entry { path, value, is_rejected: self.is_rejected, problems: self.problems }
    }
}

/// A key of a section, or an element of a list, with its value if there is one.
#[derive(Clone, Debug)]
pub struct Entry<'a> {
    path: String,
    value: Option<&'a Value>,
    is_rejected: bool,
    problems: &'a Problems,
}

impl<'a> Entry<'a> {
    /// Returns the path of the entry in the document.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns whether the document has the key.
    pub fn is_present(&self) -> bool {
        self.value.is_some()
    }

    /// Records that the value is invalid, with a description of valid values.
    pub fn reject(&self, expected: impl fmt::Display) {
        if self.is_rejected {
            return;
        }
        let found = self.value.map_or_else(|| "missing".to_string(), |value| truncated(&value.to_string()));
        let problem = Problem { path: self.path.clone(), found, expected: expected.to_string() };
        self.problems.0.borrow_mut().push(problem);
    }

    /// Returns the value as an object.
    pub fn section(&self) -> Section<'a> {
        let fields = self.value.and_then(Value::as_object);
        let is_no_object = fields.is_none() && self.is_present();
        if is_no_object {
            self.reject("an object");
        }
        let is_rejected = is_no_object || self.is_rejected;
        Section { path: self.path.clone(), fields, is_rejected, problems: self.problems }
    }

    /// Returns the elements of a list; empty if the list is missing.
    pub fn rows(&self) -> Vec<Entry<'a>> {
        let rows = self.value.and_then(Value::as_array);
        if rows.is_none() && self.is_present() {
            self.reject("a list");
        }
        let row = |(index, value)| Entry {
            path: format!("{}[{index}]", self.path),
            value: Some(value),
            is_rejected: self.is_rejected,
            problems: self.problems,
        };
        rows.into_iter().flatten().enumerate().map(row).collect()
    }

    /// Returns the value as a number in a range.
    pub fn number(&self, range: NumberRange) -> Option<f64> {
        self.convert(range, |value| value.as_f64().filter(|number| range.contains(*number)))
    }

    /// Returns the value as a number in a range, and rejects the entry if it is missing.
    pub fn required_number(&self, range: NumberRange) -> Option<f64> {
        if !self.is_present() {
            self.reject(range);
        }
        self.number(range)
    }

    /// Returns the value as a boolean.
    pub fn flag(&self) -> Option<bool> {
        self.convert("true or false", Value::as_bool)
    }

    /// Returns the value as a string that is not empty.
    pub fn text(&self) -> Option<&'a str> {
        self.convert("text that is not empty", |value| value.as_str().filter(|text| !text.is_empty()))
    }

    /// Returns the meaning of the value, which must be one of the given keywords.
    pub fn keyword<T: Copy>(&self, keywords: &[(&str, T)]) -> Option<T> {
        let meaning_of = |value: &Value| {
            let text = value.as_str()?;
            keywords.iter().find(|(keyword, _)| *keyword == text).map(|(_, meaning)| *meaning)
        };
        let names: Vec<&str> = keywords.iter().map(|(keyword, _)| *keyword).collect();
        self.convert(join_alternatives(&names), meaning_of)
    }

    /// Returns the value as converted by `convert`, and rejects the entry if that returns `None`.
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

/// Joins names to `a, b or c`.
fn join_alternatives(names: &[&str]) -> String {
    match names {
        [] => String::new(),
        [only] => (*only).to_string(),
        [first @ .., last] => format!("{} or {last}", first.join(", ")),
    }
}

fn truncated(text: &str) -> String {
    match text.char_indices().nth(MAX_SHOWN_CHARS) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text.to_string(),
    }
}
