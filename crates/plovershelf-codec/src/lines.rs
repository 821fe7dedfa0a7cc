//! Lines of words that end in CR LF, some with bytes and another CR LF behind them.

/// The longest line that is read before the peer is held to be broken.
const LONGEST_LINE: usize = 1024;

#[derive(Debug, PartialEq, Eq)]
pub struct BadLine(pub String);

pub(crate) fn bad<T>(what: &str, line: &[u8]) -> Result<T, BadLine> {
    let shown = String::from_utf8_lossy(&line[..line.len().min(80)]);
    Err(BadLine(format!("{what}: {shown:?}")))
}

/// The first line of what was read without its ending, and how many bytes it takes; `None` until it is whole.
pub(crate) fn take_line(read: &[u8]) -> Result<Option<(&[u8], usize)>, BadLine> {
    let part = &read[..read.len().min(LONGEST_LINE)];
    match part.iter().position(|b| *b == b'\n') {
        Some(end) if end > 0 && part[end - 1] == b'\r' => Ok(Some((&part[..end - 1], end + 1))),
        Some(end) => bad("a line ends without CR", &part[..end]),
        None if part.len() == LONGEST_LINE => bad("a line is too long", part),
        None => Ok(None),
    }
}

/// The bytes behind a line whose last word is their length, and where they end; `None` until all are there.
pub(crate) fn take_body<'a>(
    read: &'a [u8],
    line: &[u8],
    from: usize,
    length: &[u8],
    most: usize,
) -> Result<Option<(&'a [u8], usize)>, BadLine> {
    let Some(length) = number::<usize>(length).filter(|length| *length <= most) else {
        return bad("a length is out of bounds", line);
    };
    let end = from + length;
    match read.get(end..end + 2) {
        Some(b"\r\n") => Ok(Some((&read[from..end], end + 2))),
        Some(other) => bad("bytes do not end where their length says", other),
        None => Ok(None),
    }
}

/// Ends a line with the length of a body, and the body behind it.
pub(crate) fn push_body(line: &mut Vec<u8>, body: &[u8]) {
    line.extend_from_slice(format!(" {}\r\n", body.len()).as_bytes());
    line.extend_from_slice(body);
    line.extend_from_slice(b"\r\n");
}

pub(crate) fn words(line: &[u8]) -> impl Iterator<Item = &[u8]> {
    line.split(|b| *b == b' ')
}

pub(crate) fn number<T: std::str::FromStr>(word: &[u8]) -> Option<T> {
    std::str::from_utf8(word).ok()?.parse().ok()
}

/// A number of milliseconds or of a gauge: finite and not under 0.
pub(crate) fn measure(word: &[u8]) -> Option<f64> {
    number(word).filter(|value: &f64| value.is_finite() && *value >= 0.0)
}

#[cfg(test)]
mod tests;
