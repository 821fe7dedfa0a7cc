use super::*;
use crate::front::{self, Complaint, Message};

fn one<'a>(body: &'a [u8]) -> Try<'a> {
    Try {
        offering: "plan",
        id: *b"9b1f03aa5c7e2d41",
        came_ms: 1_764_576_000_123,
        caller: 4,
        tenant: "acme",
        waits_ms: Some(479.9),
        footprint_kb: 24.5,
        rank: 0.625,
        subject: Some(0x7f3a),
        ticket: Some("t-1"),
        work_hint_ms: Some(12.5),
        marked_repeat: true,
        body,
    }
}

#[test]
fn a_backend_reads_what_a_caller_writes() {
    let body: Vec<u8> = (0..=255).collect();
    let frame = dispatch(7, &one(&body));
    let Ok(Message::Dispatch { seqid: 7, invocation }) = front::decode(&frame[4..]) else {
        panic!("not a dispatch")
    };
    assert_eq!((invocation.offering, invocation.tenant, invocation.ticket), ("plan", "acme", Some("t-1")));
    assert_eq!((invocation.waits_ms, invocation.footprint_kb), (Some(479.0), 24.5));
    assert_eq!((invocation.subject, invocation.work_hint_ms), (0x7f3a, Some(12.5)));
    assert!(invocation.marked_repeat);
    assert_eq!(invocation.body, body);
    assert_eq!(front::decode(&cancel(7)[4..]), Ok(Message::Cancel { seqid: 7 }));
    assert_eq!(front::decode(&alive(1)[4..]), Ok(Message::Alive { seqid: 1 }));
}

#[test]
fn a_first_try_without_extras_carries_no_field_that_older_backends_lack() {
    let plain = Try { subject: None, ticket: None, work_hint_ms: None, marked_repeat: false, ..one(b"x") };
    let frame = dispatch(1, &plain);
    let Ok(Message::Dispatch { invocation, .. }) = front::decode(&frame[4..]) else { panic!("no dispatch") };
    assert!(!invocation.marked_repeat);
    assert_eq!((invocation.subject, invocation.ticket, invocation.work_hint_ms), (0, None, None));
}

#[test]
fn a_caller_hears_each_kind_of_answer_with_its_words() {
    let words = Words { advice: Some(0.25), cool_down_ms: Some(120.0), last: true };
    let said = [
        (front::succeeded(1, b"result", &words), Heard::Succeeded { seqid: 1, result: b"result", words }),
        (front::dismissed(2, &words), Heard::Dismissed { seqid: 2, words }),
        (front::scrapped(3, &Words::default()), Heard::Scrapped { seqid: 3, words: Words::default() }),
        (front::health(4, false, &words), Heard::Health { seqid: 4, fit: false, words }),
        (
            front::complaint(5, "dispatch", Complaint::Protocol, "no"),
            Heard::Complaint { seqid: 5, ours: true, what: b"no" },
        ),
        (
            front::complaint(6, "dispatch", Complaint::Internal, "later"),
            Heard::Complaint { seqid: 6, ours: false, what: b"later" },
        ),
        (front::closing(), Heard::Closing),
    ];
    for (frame, expected) in &said {
        assert_eq!(take(frame, 8 << 10), Ok(Some((&frame[4..], frame.len()))));
        assert_eq!(hear(&frame[4..]).as_ref(), Ok(expected));
    }
}

#[test]
fn frames_cut_short_or_changed_are_faults_and_never_panic() {
    let words = Words { advice: Some(0.25), cool_down_ms: Some(120.0), last: true };
    let whole = front::succeeded(1, b"result", &words);
    for end in 4..whole.len() {
        assert!(hear(&whole[4..end]).is_err(), "{end}");
        assert_eq!(take(&whole[..end], 8 << 10), Ok(None));
    }
    for place in 4..whole.len() {
        for bit in 0..8 {
            let mut changed = whole.clone();
            changed[place] ^= 1 << bit;
            let _ = hear(&changed[4..]);
        }
    }
    assert!(take(&3_000_000_000u32.to_be_bytes(), 8 << 10).is_err());
    assert!(take(&2_000_000_000u32.to_be_bytes(), 8 << 10).is_err());
    assert!(hear(&front::health(1, true, &words)[4..]).is_ok());
}
