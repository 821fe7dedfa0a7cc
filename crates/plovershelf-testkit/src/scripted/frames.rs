//! Frames between a client and a backend, encoded and decoded byte by byte.

use std::time::SystemTime;

fn write_string(out: &mut Vec<u8>, value: &[u8]) {
    out.extend((value.len() as u32).to_be_bytes());
    out.extend(value);
}

fn frame(kind: u8, method: &str, seqid: i32, arguments: &[u8]) -> Vec<u8> {
    let mut out = vec![0x80, 0x01, 0, kind];
    write_string(&mut out, method.as_bytes());
    out.extend(seqid.to_be_bytes());
    out.extend(arguments);
    out.push(0);
    out
}

/// Encodes a request's frame without its length. `overrides` replaces or adds fields; an empty value omits the field.
pub fn dispatch(seqid: i32, id: u64, class: &str, overrides: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let sent = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("a clock after 1970");
    let (id, sent_ms) = (format!("{id:016x}"), sent.as_millis().to_string());
    let mut fields = vec![("c", class), ("i", &id), ("s", &sent_ms), ("f", "0"), ("t", "acme")];
    fields.extend([("d", "20000"), ("m", "10"), ("p", "0.5")]);
    fields.retain(|(name, _)| !overrides.iter().any(|(overridden, _)| overridden == name));
    fields.extend(overrides.iter().filter(|(_, value)| !value.is_empty()));
    let mut out = vec![13, 0, 1, 11, 11];
    out.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        write_string(&mut out, name.as_bytes());
        write_string(&mut out, value.as_bytes());
    }
    out.extend([11, 0, 2]);
    write_string(&mut out, body);
    frame(1, "dispatch", seqid, &out)
}

/// Encodes a health check's frame without its length.
pub fn alive(seqid: i32) -> Vec<u8> {
    frame(1, "alive", seqid, &[2, 0, 1, 1])
}

/// Encodes the frame that cancels the request with the given sequence number, without its length.
pub fn cancel(seqid: i32) -> Vec<u8> {
    frame(4, "cancelRequest", 99, &[&[8, 0, 1][..], &seqid.to_be_bytes()].concat())
}

/// Message from a backend, reduced to the parts that tests check. The first field is the sequence number of the request
/// that it responds to.
#[derive(Debug, PartialEq)]
pub enum Response {
    /// The request succeeded with this result.
    Succeeded(i32, Vec<u8>),
    /// Response to a health check, with whether the backend is ready.
    Ready(i32, bool),
    /// The request was rejected.
    Rejected(i32),
    /// The request failed.
    Failed(i32),
    /// The client's message was malformed.
    Exception(i32),
    /// The backend accepts no new request on this connection.
    Closing,
}

/// Decodes a frame without its length, by the fixed offsets of a backend's responses; panics on any other frame.
pub fn decode_response(frame: &[u8]) -> Response {
    let method_length = u32::from_be_bytes(frame[4..8].try_into().unwrap()) as usize;
    let (method, rest) = frame[8..].split_at(method_length);
    let seqid = i32::from_be_bytes(rest[..4].try_into().unwrap());
    match (frame[3], method, &rest[4..]) {
        (4, b"closing", _) => Response::Closing,
        (3, ..) => Response::Exception(seqid),
        (2, b"dispatch", [12, 0, 0, 11, 0, 1, body @ ..]) => {
            let length = u32::from_be_bytes(body[..4].try_into().unwrap()) as usize;
            Response::Succeeded(seqid, body[4..4 + length].to_vec())
        }
        (2, b"alive", result) => Response::Ready(seqid, result[result.len() - 3] == 1),
        (2, b"dispatch", [12, 0, 1, ..]) => Response::Rejected(seqid),
        (2, b"dispatch", [12, 0, 2, ..]) => Response::Failed(seqid),
        other => panic!("not a backend's response: {other:?}"),
    }
}
