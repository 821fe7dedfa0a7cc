//! Framing of the line protocols of the agent and the dependency: a line, followed by a body for some commands.

/// Decodes the first complete command; returns its line, its body and the encoded length of both in bytes.
pub(crate) fn decode_command(bytes: &[u8]) -> Option<(String, Vec<u8>, usize)> {
    let end = bytes.windows(2).position(|pair| pair == b"\r\n")?;
    let line = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let has_body = ["launch ", "deliver ", "OP "].iter().any(|prefix| line.starts_with(prefix));
    if !has_body {
        return Some((line, Vec::new(), end + 2));
    }
    let length: usize = line.rsplit(' ').next()?.parse().ok()?;
    let body = bytes.get(end + 2..end + 2 + length)?.to_vec();
    (bytes.len() >= end + length + 4).then_some((line, body, end + length + 4))
}
