//! Line format of the text protocols: space-separated words that end with CR LF, optionally followed by a
//! body and another CR LF.

use thiserror::Error;

/// Longest valid line including its CR LF, in bytes. A longer line is malformed.
const MAX_LINE_BYTES: usize = 1024;
/// Maximum number of bytes of a malformed line that an error shows.
const MAX_SHOWN_BYTES: usize = 80;

/// Error of a malformed line: its cause and the beginning of the line.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("{cause}: {shown:?}")]
pub struct MalformedLine {
    cause: &'static str,
    shown: String,
}

/// Returns the error of a malformed line.
pub(crate) fn malformed<T>(cause: &'static str, line: &[u8]) -> Result<T, MalformedLine> {
    let shown = String::from_utf8_lossy(&line[..line.len().min(MAX_SHOWN_BYTES)]).into_owned();
    Err(MalformedLine { cause, shown })
}

/// Returns the first line without its CR LF, and its length with it, or `None` if the line is not complete
/// yet.
pub(crate) fn take_line(read: &[u8]) -> Result<Option<(&[u8], usize)>, MalformedLine> {
    let part = &read[..read.len().min(MAX_LINE_BYTES)];
    match part.iter().position(|byte| *byte == b'\n') {
        Some(end) if end > 0 && part[end - 1] == b'\r' => Ok(Some((&part[..end - 1], end + 1))),
        Some(end) => malformed("the line does not end with CR LF", &part[..end]),
        None if part.len() == MAX_LINE_BYTES => malformed("the line is too long", part),
        None => Ok(None),
    }
}

/// Returns the body after a line, which starts at `from`, and the position after its CR LF; `None` if it is
/// not complete yet. `length` is the last word of the line.
pub(crate) fn take_body<'a>(
    read: &'a [u8],
    line: &[u8],
    from: usize,
    length: &[u8],
    max_length: usize,
) -> Result<Option<(&'a [u8], usize)>, MalformedLine> {
    let Some(length) = number::<usize>(length).filter(|length| *length <= max_length) else {
        return malformed("the body length is not a number or exceeds the limit", line);
    };
    let end = from + length;
    match read.get(end..end + 2) {
        Some(b"\r\n") => Ok(Some((&read[from..end], end + 2))),
        Some(other) => malformed("the body is not followed by CR LF", other),
        None => Ok(None),
    }
}

/// Ends a line with the length of a body and appends the body.
pub(crate) fn push_body(line: &mut Vec<u8>, body: &[u8]) {
    line.extend_from_slice(format!(" {}\r\n", body.len()).as_bytes());
    line.extend_from_slice(body);
    line.extend_from_slice(b"\r\n");
}

/// Splits a line into its words.
pub(crate) fn words(line: &[u8]) -> impl Iterator<Item = &[u8]> {
    line.split(|byte| *byte == b' ')
}

/// Parses a number.
pub(crate) fn number<T: std::str::FromStr>(word: &[u8]) -> Option<T> {
    std::str::from_utf8(word).ok()?.parse().ok()
}

/// Parses a finite number that is not negative.
pub(crate) fn non_negative(word: &[u8]) -> Option<f64> {
    number(word).filter(|value: &f64| value.is_finite() && *value >= 0.0)
}

#[cfg(test)]
mod tests;
