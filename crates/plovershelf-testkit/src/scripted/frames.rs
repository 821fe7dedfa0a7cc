//! Frames between a client and a backend, put together and read byte by byte.

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

/// A request's frame without its length; `overrides` replaces or adds fields, and an empty value leaves one out.
pub fn dispatch(seqid: i32, id: u64, class: &str, overrides: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let sent = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("a clock");
    let (id, sent_ms) = (format!("{id:016x}"), sent.as_millis().to_string());
    let mut fields = vec![("c", class), ("i", &id), ("s", &sent_ms), ("f", "0"), ("t", "acme")];
    fields.extend([("d", "20000"), ("m", "10"), ("p", "0.5")]);
    fields.retain(|(name, _)| !overrides.iter().any(|(other, _)| other == name));
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

/// A health check's frame without its length.
pub fn alive(seqid: i32) -> Vec<u8> {
    frame(1, "alive", seqid, &[2, 0, 1, 1])
}

/// A cancellation's frame without its length.
pub fn cancel(seqid: i32) -> Vec<u8> {
    frame(4, "cancelRequest", 99, &[&[8, 0, 1][..], &seqid.to_be_bytes()].concat())
}

/// What a backend sent, as far as tests look into it, with the sequence number that it responds to.
#[derive(Debug, PartialEq)]
pub enum Response {
    /// The request succeeded with this result.
    Succeeded(i32, Vec<u8>),
    /// The answer to a health check: is the backend ready?
    Ready(i32, bool),
    /// The request was rejected.
    Rejected(i32),
    /// The request failed.
    Failed(i32),
    /// The message was malformed.
    Exception(i32),
    /// The backend takes no new request on this connection.
    Closing,
}

/// Decodes a frame without its length, by the offsets that a backend's responses are known to have.
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
        other => panic!("not an answer: {other:?}"),
    }
}
