use super::*;
use crate::front::{self, ExceptionKind, Message};

fn attempt<'a>(body: &'a [u8]) -> Attempt<'a> {
    Attempt {
        class: "plan",
        id: *b"9b1f03aa5c7e2d41",
        sent_ms: 1_764_576_000_123,
        caller: 4,
        tenant: "acme",
        timeout_ms: Some(479.9),
        memory_kb: 24.5,
        rank: 0.625,
        object: Some(0x7f3a),
        idempotency_key: Some("t-1"),
        work_hint_ms: Some(12.5),
        marked_retry: true,
        body,
    }
}

#[test]
fn backend_decodes_messages_of_the_client() {
    let body: Vec<u8> = (0..=255).collect();
    let frame = dispatch(7, &attempt(&body));
    let Ok(Message::Dispatch { seqid: 7, request }) = front::decode(&frame[4..]) else {
        panic!("not a dispatch")
    };
    assert_eq!((request.class, request.tenant, request.idempotency_key), ("plan", "acme", Some("t-1")));
    assert_eq!((request.timeout_ms, request.memory_kb), (Some(479.0), 24.5));
    assert_eq!((request.object, request.work_hint_ms), (0x7f3a, Some(12.5)));
    assert!(request.marked_retry);
    assert_eq!(request.body, body);
    assert_eq!(front::decode(&cancel(7)[4..]), Ok(Message::Cancel { seqid: 7 }));
    assert_eq!(front::decode(&alive(1)[4..]), Ok(Message::Alive { seqid: 1 }));
}

#[test]
fn optional_fields_are_omitted_for_older_backends() {
    let minimal = Attempt {
        object: None,
        idempotency_key: None,
        work_hint_ms: None,
        marked_retry: false,
        ..attempt(b"x")
    };
    let frame = dispatch(1, &minimal);
    let Ok(Message::Dispatch { request, .. }) = front::decode(&frame[4..]) else { panic!("not a dispatch") };
    assert!(!request.marked_retry);
    assert_eq!((request.object, request.idempotency_key, request.work_hint_ms), (0, None, None));
}

#[test]
fn client_decodes_each_kind_of_response_with_its_signals() {
    let signals =
        ServerSignals { backpressure: Some(0.25), retry_after_ms: Some(120.0), no_retry_elsewhere: true };
    let cases = [
        (
            front::succeeded(1, b"result", &signals),
            Response::Succeeded { seqid: 1, result: b"result", signals },
        ),
        (front::rejected(2, &signals), Response::Rejected { seqid: 2, signals }),
        (
            front::failed(3, &ServerSignals::default()),
            Response::Failed { seqid: 3, signals: ServerSignals::default() },
        ),
        (front::health(4, false, &signals), Response::Health { seqid: 4, ready: false, signals }),
        (
            front::exception(5, "dispatch", ExceptionKind::Protocol, "no"),
            Response::Exception { seqid: 5, permanent: true, message: b"no" },
        ),
        (
            front::exception(6, "dispatch", ExceptionKind::Internal, "later"),
            Response::Exception { seqid: 6, permanent: false, message: b"later" },
        ),
        (front::closing(), Response::Closing),
    ];
    for (frame, expected) in &cases {
        assert_eq!(decode_first(frame, 8 << 10), Ok(Some((&frame[4..], frame.len()))));
        assert_eq!(decode_response(&frame[4..]).as_ref(), Ok(expected));
    }
}

#[test]
fn truncated_frames_are_errors_and_corrupt_ones_do_not_panic() {
    let signals =
        ServerSignals { backpressure: Some(0.25), retry_after_ms: Some(120.0), no_retry_elsewhere: true };
    let frame = front::succeeded(1, b"result", &signals);
    for end in 4..frame.len() {
        assert!(decode_response(&frame[4..end]).is_err(), "{end}");
        assert_eq!(decode_first(&frame[..end], 8 << 10), Ok(None));
    }
    for index in 4..frame.len() {
        for bit in 0..8 {
            let mut corrupt = frame.clone();
            corrupt[index] ^= 1 << bit;
            let _ = decode_response(&corrupt[4..]);
        }
    }
    assert!(decode_first(&3_000_000_000u32.to_be_bytes(), 8 << 10).is_err());
    assert!(decode_first(&2_000_000_000u32.to_be_bytes(), 8 << 10).is_err());
    assert!(decode_response(&front::health(1, true, &signals)[4..]).is_ok());
}
