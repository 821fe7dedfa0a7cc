//! Framing of the line protocols that agent and dependency speak: a line, and a body where its command has one.

/// The first complete command with its body, and the length of both in bytes.
pub(crate) fn decode_command(bytes: &[u8]) -> Option<(String, Vec<u8>, usize)> {
    let end = bytes.windows(2).position(|pair| pair == b"\r\n")?;
    let line = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let with_body = ["launch ", "deliver ", "OP "].iter().any(|begin| line.starts_with(begin));
    if !with_body {
        return Some((line, Vec::new(), end + 2));
    }
    let length: usize = line.rsplit(' ').next()?.parse().ok()?;
    let body = bytes.get(end + 2..end + 2 + length)?.to_vec();
    (bytes.len() >= end + length + 4).then_some((line, body, end + length + 4))
}
