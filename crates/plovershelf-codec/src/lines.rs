//! Lines of words that end in CR LF, some followed by a body and another CR LF.

use thiserror::Error;

/// The longest line that is read before the peer is considered broken, in bytes.
const MAX_LINE: usize = 1024;
/// As much of a malformed line as its error shows, in bytes.
const SHOWN_OF_LINE: usize = 80;

/// What is wrong with a line, and how it begins.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("{what}: {shown:?}")]
pub struct MalformedLine {
    what: &'static str,
    shown: String,
}

pub(crate) fn malformed<T>(what: &'static str, line: &[u8]) -> Result<T, MalformedLine> {
    let shown = String::from_utf8_lossy(&line[..line.len().min(SHOWN_OF_LINE)]).into_owned();
    Err(MalformedLine { what, shown })
}

/// The first line without its ending, and how many bytes it takes; `None` until it is complete.
pub(crate) fn take_line(read: &[u8]) -> Result<Option<(&[u8], usize)>, MalformedLine> {
    let part = &read[..read.len().min(MAX_LINE)];
    match part.iter().position(|byte| *byte == b'\n') {
        Some(end) if end > 0 && part[end - 1] == b'\r' => Ok(Some((&part[..end - 1], end + 1))),
        Some(end) => malformed("a line ends without CR", &part[..end]),
        None if part.len() == MAX_LINE => malformed("a line is too long", part),
        None => Ok(None),
    }
}

/// The body behind a line whose last word is its length, and where it ends; `None` until it is complete.
pub(crate) fn take_body<'a>(
    read: &'a [u8],
    line: &[u8],
    from: usize,
    length: &[u8],
    max_length: usize,
) -> Result<Option<(&'a [u8], usize)>, MalformedLine> {
    let Some(length) = number::<usize>(length).filter(|length| *length <= max_length) else {
        return malformed("a length is out of bounds", line);
    };
    let end = from + length;
    match read.get(end..end + 2) {
        Some(b"\r\n") => Ok(Some((&read[from..end], end + 2))),
        Some(other) => malformed("bytes do not end where their length says", other),
        None => Ok(None),
    }
}

/// Ends a line with the length of a body, and appends the body.
pub(crate) fn push_body(line: &mut Vec<u8>, body: &[u8]) {
    line.extend_from_slice(format!(" {}\r\n", body.len()).as_bytes());
    line.extend_from_slice(body);
    line.extend_from_slice(b"\r\n");
}

pub(crate) fn words(line: &[u8]) -> impl Iterator<Item = &[u8]> {
    line.split(|byte| *byte == b' ')
}

pub(crate) fn number<T: std::str::FromStr>(word: &[u8]) -> Option<T> {
    std::str::from_utf8(word).ok()?.parse().ok()
}

/// A quantity: finite and not below 0.
pub(crate) fn measure(word: &[u8]) -> Option<f64> {
    number(word).filter(|value: &f64| value.is_finite() && *value >= 0.0)
}

#[cfg(test)]
mod tests;
